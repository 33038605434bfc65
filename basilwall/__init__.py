"""A query tier over many shards.

The packages are named after the peer that each one talks to; `parts` holds
the coordination parts that can be embedded in other programs.
"""
