"""Translation between the users' platform and the product.

Only names and encodings are handled here: the settings file that the platform
writes, its metadata store, the values in it and the headers of requests. All
decisions are made elsewhere, on the product's own types.
"""
