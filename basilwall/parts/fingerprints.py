"""Fingerprints of request contents.

A caller that repeats a failed request may use a new request id, so repeats are
recognised by their content. JSON is brought to a canonical form first, so that
key order and white space make no difference.
"""

import hashlib

import msgspec

from basilwall.records.ids import Fingerprint, ServiceName

DIGEST_BYTES = 16


def fingerprint(service: ServiceName, kind: str, body: bytes) -> Fingerprint:
    """Return the hash of a request's content.

    Args:
        service: The service that the request is for.
        kind: The kind of request.
        body: The request's JSON, or any other bytes.

    Returns:
        The hash as hexadecimal text, equal for every resend of the request.
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
