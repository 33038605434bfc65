"""Orders, the requests that are not idempotent: tickets and dispatch."""
