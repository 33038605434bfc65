"""Scatter-gather queries over the shards of a pinned snapshot."""
