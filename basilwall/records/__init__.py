"""Plain data records, in one place.

Functions over them live in the package of the peer that they concern.
"""
