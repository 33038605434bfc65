"""HTTP server for callers' connections: reads requests and writes answers.

It is built on httptools with one task per connection. waitress does not fit,
because it decodes the request target, joins repeated headers and does not show
that a caller has disconnected.
"""
