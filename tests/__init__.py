"""Whole sessions over separate processes."""
