"""Status reports, metrics and logs for operators."""
