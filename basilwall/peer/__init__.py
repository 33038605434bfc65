"""Calls between entry VMs over gRPC: gossip, forwarded orders, handovers."""
