"""Adapter between the users' platform and the product.

It handles only names and encodings: the settings file that the platform
writes, its metadata store, the stored values and the headers of requests. All
decisions are made elsewhere, on the product's own types.
"""
