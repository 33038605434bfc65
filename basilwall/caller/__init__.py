"""HTTP interface to callers: routing, admission control and error replies."""
