"""The other entry VMs on the users' platform, and what they tell each other.

They tell who is there, which the shared caps and budgets are divided by, and
which contents crash searchers. gRPC, which links VMs elsewhere, takes more
memory than all else in this program; these few facts go as msgpack over HTTP.
"""
