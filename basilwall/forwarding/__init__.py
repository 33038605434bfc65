"""Forwards callers' requests to searchers and combines the replies.

The thread that serves the caller's connection runs a request from the first
attempt to the final answer. It polls the searchers' sockets and the caller's
together, so it notices a disconnected caller as soon as a reply.
"""
