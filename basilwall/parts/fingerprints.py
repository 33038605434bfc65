"""Fingerprints of requests by content.

A caller sends a failed request again under a new id, so only the content can
tell that it is the same one. JSON is brought to one form first: key order and
spaces make no difference.
"""

import hashlib

import msgspec

from basilwall.records.ids import Fingerprint, ServiceName

DIGEST_BYTES = 16


def fingerprint(service: ServiceName, kind: str, body: bytes) -> Fingerprint:
    """Return the hash of a request's content.

    Args:
        service: The service that the request is for.
        kind: What is asked of it.
        body: The request's JSON, or any other bytes.

    Returns:
        The same text for every resend of the request.
    """
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    digest.update(f'{service}\n{kind}\n'.encode())
    digest.update(_canonical(body))
    return Fingerprint(digest.hexdigest())


def _canonical(body: bytes) -> bytes:
    try:
        decoded = msgspec.json.decode(body)
    except (msgspec.DecodeError, RecursionError):
        return body
    return msgspec.json.encode(decoded, order='sorted')
