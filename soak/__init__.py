"""A randomized soak of entry VMs as processes of their own on one machine.

Faults come from outside: a proxy on loopback delays, resets, silences or cuts
one way; signals pause, stop, kill. Callers and searchers note what they see,
and the promises are checked against that.
"""
