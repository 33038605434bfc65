"""Benchmarks of the query tier and its parts; not part of the product."""
