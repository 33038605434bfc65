"""A query tier over many shards.

Most packages are named after the peer that they communicate with; `parts` is
a library of coordination parts that other programs can embed.
"""
