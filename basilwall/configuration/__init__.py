"""Reads the product's configuration service, including the fleet list.

The service can only be read and watched; it may be down or stale. The adapter
of the users' platform is `basilwall.platform`.
"""
