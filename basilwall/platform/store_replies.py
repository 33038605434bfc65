"""Decodes the replies of the platform's metadata store.

The pages name no highest revision and no highest epoch, so neither has one
here. What bounds them is the form of the field: a JSON integer, or the digits
of a header, of as many digits as Python reads (4,300).

An item that can't be used takes no other one with it: what is known of its key
stays in force.
"""

import base64
import binascii
import json
import logging
import re
from dataclasses import dataclass
from typing import Annotated, TypeVar

import msgspec

from basilwall.configuration.client import PlatformError, UnusableReplyError
from basilwall.configuration.http_call import HTTP_OK, CallResponse
from basilwall.platform.decoding import DECODE_ERRORS, cut_for_log
from basilwall.records.catalogue import PublishedValue
from basilwall.records.revision import Revision

#: Header with the epoch. The pages' word for it is "era".
EPOCH_HEADER = 'Store-Era'
#: Sorts after all ASCII characters, so no id of a searcher is skipped if a page
#: is to begin after a key that ends so.
REPLACEMENT_CHARACTER = '\ufffd'
#: Stands for a value that can't be read; no decoder accepts it.
UNREADABLE_BODY = b'\xff'
_LONE_SURROGATES = re.compile('[\ud800-\udfff]')
_EPOCH = re.compile('[0-9]+', re.ASCII)

_log = logging.getLogger(__name__)

_Number = Annotated[int, msgspec.Meta(ge=0)]
DecodedT = TypeVar('DecodedT')


class _Key(msgspec.Struct):
    key: str


class _StoredItem(msgspec.Struct):
    key: str
    # The store's counter when the item was last changed.
    revision: _Number
    # In base64.
    value: str = ''
    removed: bool = False


class _Page(msgspec.Struct):
    items: tuple[msgspec.Raw, ...]
    # The store's counter when this page was made.
    at: _Number
    has_more: bool = False


class _Changes(msgspec.Struct):
    events: tuple[msgspec.Raw, ...]
    # The store's counter, after which the next watch continues.
    at: _Number


_page_decoder = msgspec.json.Decoder(_Page)
_changes_decoder = msgspec.json.Decoder(_Changes)
_item_decoder = msgspec.json.Decoder(_StoredItem)
_key_decoder = msgspec.json.Decoder(_Key)


@dataclass(frozen=True, slots=True)
class StoredItems:
    """The items of one reply.

    Attributes:
        revision: The revision of the store when the reply was made.
        values: The items that can be used.
        unusable_keys: The keys of the others, as far as they can be read.
        unusable: How many items can't be used.
        last_key: The key of the last item, empty if it can't be read.
        has_more: Whether further pages follow.
    """

    revision: Revision
    values: tuple[PublishedValue, ...]
    unusable_keys: tuple[str, ...]
    unusable: int
    last_key: str
    has_more: bool = False


def decode_page(response: CallResponse, epoch: int) -> StoredItems:
    """Decode one page of a listing.

    Args:
        response: The response of the store.
        epoch: Its epoch.

    Raises:
        PlatformError: If it is refused.
        UnusableReplyError: If it is no page.
    """
    page = _decode(_page_decoder, response)
    return _stored_items(page.items, Revision(epoch, page.at), page.has_more)


def decode_changes(response: CallResponse, epoch: int) -> StoredItems:
    """Decode the reply to a watch.

    Args:
        response: The response of the store.
        epoch: Its epoch.

    Raises:
        PlatformError: If it is refused.
        UnusableReplyError: If it does not hold changes.
    """
    changes = _decode(_changes_decoder, response)
    return _stored_items(changes.events, Revision(epoch, changes.at))


def decode_epoch(text: str) -> int | None:
    """Return the epoch that a header names, None if it is none."""
    if not _EPOCH.fullmatch(text):
        return None
    try:
        return int(text)
    except ValueError:
        # More digits than Python reads.
        return None


def _stored_items(
    entries: tuple[msgspec.Raw, ...], revision: Revision, has_more: bool = False
) -> StoredItems:
    listed: list[PublishedValue] = []
    unusable_keys: list[str] = []
    errors: list[Exception] = []
    for entry in entries:
        try:
            listed.append(_value(_item_decoder.decode(entry), revision.epoch))
        except DECODE_ERRORS as error:
            errors.append(error)
            unusable_keys += _keys_of(entry)
    if errors:
        _log.warning(
            'items of the store not usable',
            extra={
                'items': len(errors),
                'first_key': cut_for_log(next(iter(unusable_keys), '')),
                'first_error': cut_for_log(str(errors[0])),
            },
        )
    return StoredItems(
        revision,
        tuple(listed),
        tuple(unusable_keys),
        len(errors),
        next((key for last in entries[-1:] for key in _keys_of(last)), ''),
        has_more,
    )


def _keys_of(entry: msgspec.Raw) -> list[str]:
    """Return the key of an item in a list, which is empty if it has none."""
    try:
        return [_key_decoder.decode(entry).key]
    except DECODE_ERRORS:
        return []


def _decode(
    decoder: msgspec.json.Decoder[DecodedT],
    response: CallResponse,
) -> DecodedT:
    if response.status != HTTP_OK:
        raise PlatformError(
            f'metadata store answered with status {response.status}'
        )
    try:
        # Items are cut out unread, so their text is checked before.
        response.body.decode()
        return decoder.decode(response.body)
    except (UnicodeDecodeError, msgspec.MsgspecError) as error:
        first_error = error
    try:
        decoded = decoder.decode(_with_valid_text(response.body))
    except DECODE_ERRORS as error:
        raise UnusableReplyError(f'reply not usable: {error}') from error
    _log.warning('odd response of the store', extra={'error': str(first_error)})
    return decoded


def _with_valid_text(body: bytes) -> bytes:
    """Return a JSON text in which what is no valid text is replaced.

    Another writer's key may hold bytes or surrogates that are none. It must not
    hide the other items, and such a key names no searcher.
    """
    decoded = json.loads(body.decode('utf-8', 'replace'))
    text = json.dumps(decoded, ensure_ascii=False)
    return _LONE_SURROGATES.sub(REPLACEMENT_CHARACTER, text).encode()


def _value(item: _StoredItem, epoch: int) -> PublishedValue:
    """Convert a stored item to a published value.

    An empty body means that the key was removed. An item that is empty or
    isn't valid base64 gets a body that no decoder accepts instead.
    """
    revision = Revision(epoch, item.revision)
    if item.removed:
        return PublishedValue(item.key, revision, b'')
    try:
        body = base64.b64decode(item.value, validate=True)
    except (binascii.Error, ValueError):
        body = UNREADABLE_BODY
    return PublishedValue(item.key, revision, body or UNREADABLE_BODY)
