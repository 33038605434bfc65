"""Service documents: their model and configuration keys."""
