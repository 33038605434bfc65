"""Callers' connections: reads whole requests and writes whole answers.

waitress decodes the target, joins repeated headers and hides a caller that
left, so the connections are read with h11, one task for each.
"""
