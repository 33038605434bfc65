"""Decides where requests go: route table, listed searchers and selection.

Nothing here opens a connection or knows a wire format.
"""
