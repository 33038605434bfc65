"""Plays a deployment in virtual time, to judge policies within seconds.

The code that places, hedges, spends, settles and refuses is the product's own;
the searchers, the network and the callers are a model. Nothing is sent, and a
seed plays the same again.
"""
