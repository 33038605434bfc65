"""The product's own configuration service and its fleet list.

Both can only be read and watched, and both may be down or stale. The users'
platform is met by `basilwall.platform`.
"""
