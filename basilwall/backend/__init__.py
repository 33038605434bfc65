"""Access to searchers: connections, attempts, replica choice, limits."""
