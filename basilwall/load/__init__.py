"""Open-loop load on VMs of this machine, and a report of what callers saw."""
