"""Open-loop load generator for VMs on this machine, and its reports."""
