"""Plain data records that several packages share.

Functions on them belong to the package that uses them.
"""
