"""Coordination parts that other programs can embed.

Nothing here imports HTTP, gRPC or the command line; each part takes its clock
and its random source from outside.
"""
