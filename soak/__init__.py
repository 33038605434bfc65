"""Randomized soak test of entry VMs that run as processes on one machine.

Faults are injected from outside the processes. Loopback proxies delay, reset
or block connections, in both directions or for replies only. Signals pause,
stop and kill the processes. Callers and searchers record the requests that
they send and receive, and the guarantees of the entry VMs are checked against
these records.
"""
