"""The document that a team owns: its model and its check."""
