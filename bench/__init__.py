"""Benchmarks over separate processes; no part of the product."""
