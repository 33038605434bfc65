"""Sends callers' requests to searchers and makes one answer of the replies.

A request is run by the task of its caller's connection from the first attempt
to the final answer. It waits on its searchers and its caller at once, so it
learns of a caller that left as soon as of a reply.
"""
