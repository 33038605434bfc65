"""Discrete-event simulation of a deployment, to compare policies in seconds.

Replica selection, hedging, the budget of extra attempts, completion and
refusal run the production code; the searchers, the network and the callers are
models. Nothing is sent over a network. The same seed gives the same run.
"""
