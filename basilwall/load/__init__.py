"""Open-loop load with a report."""
