"""Relays callers' requests between VMs.

A VM that has lost its links to all searchers is still reached by its callers
and by the other VMs, so one of these serves the requests. A relayed request
comes in at an address of its own and is not relayed again.
"""
