"""Searchers: connections, attempts, replica choice and limits."""
