"""Callers, over HTTP: routes, admission and refusals."""
