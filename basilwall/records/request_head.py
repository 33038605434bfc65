"""The head of a caller's request, as it was read from its connection."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from basilwall.records.forwarding import RawHeaders


@dataclass(frozen=True, slots=True)
class RequestHead:
    """The request line and the headers, these as on the wire.

    `headers_by_name` has them by lower-case name; the last one wins if
    repeated. `is_keep_alive` is True if the caller keeps its connection open
    after the answer.
    """

    method: bytes
    target: bytes
    headers: RawHeaders
    is_keep_alive: bool = True
    headers_by_name: Mapping[bytes, bytes] = field(init=False)

    def __post_init__(self) -> None:
        """Index the headers."""
        by_name = {name.lower(): text for name, text in self.headers}
        object.__setattr__(self, 'headers_by_name', by_name)
