"""Validated reading of JSON with comments, for settings and documents."""
