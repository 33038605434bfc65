"""Operators: status, metrics, logs and reports."""
