"""Library of coordination parts that other programs can embed.

The modules don't import HTTP, gRPC or the command line. Clocks and random
generators are passed in.
"""
