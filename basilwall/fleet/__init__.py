"""Gossip between entry VMs on the users' platform.

The VMs exchange their membership, whose size divides shared caps and budgets,
and the request contents that crash searchers. Other deployments connect VMs by
gRPC, but gRPC would take more memory than the rest of this program. So these
messages are sent as msgpack over HTTP.
"""
