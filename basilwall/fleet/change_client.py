"""Gets changes of the store from other VMs."""

import logging
from collections.abc import Callable, Sequence
from dataclasses import dataclass

import msgspec

from basilwall.configuration.client import PlatformError, WatchReply
from basilwall.fleet.changes import (
    CHANGES_PATH,
    ChangesRequest,
    decode_changes,
    decode_relayed,
    decode_value,
    encode_request,
)
from basilwall.fleet.http_calls import HTTP_OK, CallLimits, post
from basilwall.fleet.revision_messages import encode_revision
from basilwall.parts.revisions import MAX_BODY_BYTES
from basilwall.records.catalogue import PublishedValue
from basilwall.records.ids import VmAddress

#: Sends a request to a VM within limits; returns the HTTP status and the body
#: of the reply.
Post = Callable[[VmAddress, bytes, CallLimits], tuple[int, bytes]]
#: Returns the large values that this VM has.
LargeValues = Callable[[], Sequence[PublishedValue]]

_log = logging.getLogger(__name__)


def _post(
    address: VmAddress, body: bytes, limits: CallLimits
) -> tuple[int, bytes]:
    return post(address, CHANGES_PATH, body, limits)


def _no_large_values() -> Sequence[PublishedValue]:
    return ()


@dataclass(frozen=True, slots=True)
class RelayedChanges:
    """Changes that another VM relayed.

    Attributes:
        reply: The changes.
        age: Seconds since the store was read, when the reply was sent.
        removals_held_seconds: How long that VM still holds removals back.
        held_seconds: How long it held the request open.
    """

    reply: WatchReply
    age: float
    removals_held_seconds: float
    held_seconds: float


class ChangeClient:
    """Requests changes of the store from other VMs."""

    def __init__(
        self,
        large_values: LargeValues = _no_large_values,
        send: Post = _post,
        max_value_bytes: int = MAX_BODY_BYTES,
    ) -> None:
        """Create a client.

        Args:
            large_values: Returns the large values that this VM has, so that it
                is sent only what has changed in them.
            send: Sends a request to a VM, by HTTP.
            max_value_bytes: The largest size of a value.
        """
        self._max_value_bytes = max_value_bytes
        self._large_values = large_values
        self._send = send

    def fetch(
        self,
        vm: VmAddress,
        request: ChangesRequest,
        limits: CallLimits,
    ) -> RelayedChanges:
        """Get changes from a VM.

        Args:
            vm: The address of the VM.
            request: What to ask for.
            limits: Limits of the call.

        Returns:
            The changes.

        Raises:
            OSError: If the VM was not reached or did not reply in time.
            http.client.HTTPException: If its reply is not valid HTTP.
            PlatformError: If it refused, or if its reply is malformed.
        """
        known_by_key = {known.key: known for known in self._large_values()}
        known_revisions = {
            key: encode_revision(known.revision)
            for key, known in known_by_key.items()
        }
        encoded = encode_request(
            msgspec.structs.replace(request, known_revisions=known_revisions)
        )
        status, body = self._send(vm, encoded, limits)
        if status != HTTP_OK:
            raise PlatformError(f'HTTP status {status}')
        changes = decode_changes(body)
        reply = WatchReply(
            decode_relayed(changes.revision),
            tuple(
                decode_value(relayed, known_by_key, self._max_value_bytes)
                for relayed in changes.values
            ),
            changes.is_whole,
            live_keys=changes.live_keys,
        )
        return RelayedChanges(
            reply,
            changes.age,
            changes.removals_held_seconds,
            changes.held_seconds,
        )


def log_changes(
    source: str, reply: WatchReply, age: float, seconds: float
) -> None:
    """Log received changes; a reply without any is not logged.

    Args:
        source: The VM that relayed them, or the store.
        reply: The changes.
        age: Seconds since they were read from the store.
        seconds: How long the call took.
    """
    if not reply.values:
        return
    _log.info(
        'changes received',
        extra={
            'source': source,
            'revision': str(reply.revision),
            'values': len(reply.values),
            'bytes': sum(len(one.body) for one in reply.values),
            'whole': reply.is_whole,
            'age': round(age, 2),
            'seconds': round(seconds, 2),
        },
    )
