"""Small stand-ins for a searcher and for the platform."""
