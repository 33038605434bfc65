"""The settings of one VM: their model and their check."""
