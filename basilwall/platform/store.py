"""Read-only HTTP client of the platform's metadata store.

The first read lists all keys page by page; after that, one long-polling call
watches all keys. Whether the store answers is found out by a read that costs
little and may be stale; see `basilwall.configuration.long_poll`.

The store may come back from an older copy and give out revisions again. It then
raises a number, its epoch, which is part of all its responses.
"""

import http.client
import logging
import random
from functools import partial
from urllib.parse import quote

import msgspec

from basilwall.configuration.client import (
    PlatformError,
    PlatformReader,
    UnusableReplyError,
    WatchReply,
)
from basilwall.configuration.http_call import HTTP_OK, CallResponse
from basilwall.configuration.limited_read import read_body
from basilwall.configuration.long_poll import LongPollClient, Poll
from basilwall.configuration.transfer_progress import TransferProgress
from basilwall.parts.clock import Clock
from basilwall.platform.decoding import MS_PER_SECOND, cut_for_log
from basilwall.platform.store_replies import (
    EPOCH_HEADER,
    StoredItems,
    decode_changes,
    decode_epoch,
    decode_page,
)
from basilwall.records.catalogue import PublishedValue
from basilwall.records.revision import NO_REVISION, Revision

#: A listing with more pages is taken for an endless one and given up.
MAX_PAGES = 1000
HTTP_GONE = 410
#: Lists the keys with a prefix that none has. It costs a tenth of other reads.
CHECK_PATH = '/v1/kv-range?prefix=none/&stale_ok=1'
_USABLE_STATUSES = frozenset((HTTP_OK, HTTP_GONE))

_log = logging.getLogger(__name__)


class HttpStoreClient(PlatformReader):
    """Client of the metadata store at one address."""

    def __init__(
        self,
        address: str,
        watch_seconds: float,
        progress: TransferProgress,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        """Create a client.

        Args:
            address: The address of the store.
            watch_seconds: For how long the store holds a watch.
            progress: Learns of the replies that are being received.
            clock: Times the calls.
            rng: Draws the time between calls.
        """
        self._progress = progress
        self._watch_seconds = watch_seconds
        self._calls = LongPollClient(address, clock, rng, self._read_body)
        #: Items, and epochs of responses, that could not be used so far.
        self.unusable_count = 0
        self._logged_epoch = ''
        #: Whether the changes since a revision came in a reply of no use.
        self._must_list = False

    @property
    def call_count(self) -> int:
        """All calls made."""
        return self._calls.call_count

    def watch(self, after: Revision) -> WatchReply:
        """Wait until there are changes above a revision or the watch ends.

        Args:
            after: The revision up to which all values are known here;
                `NO_REVISION` if none are.

        Returns:
            The changes, or a complete listing if nothing is known, the store
            no longer has the changes since then, it came back from a copy, or
            the last reply with changes could not be used.

        Raises:
            PlatformError: If the store can't be reached or its reply is
                invalid.
        """
        if after == NO_REVISION or self._must_list:
            reply = self._list_all(after)
            self._must_list = False
        else:
            reply = self._read_changes(after)
        was_silent = self._calls.take_was_silent()
        return msgspec.structs.replace(reply, was_silent=was_silent)

    def _read_changes(self, after: Revision) -> WatchReply:
        try:
            response = self._get(self._poll_for_changes(after))
            epoch = self._epoch_of(response, after.epoch)
            if epoch != after.epoch or response.status == HTTP_GONE:
                return self._list_all(after)
            changes = decode_changes(response, epoch)
        except UnusableReplyError:
            # The same reply would come again.
            self._must_list = True
            raise
        self.unusable_count += changes.unusable
        return WatchReply(changes.revision, changes.values)

    def _poll_for_changes(self, after: Revision) -> Poll:
        path = f'/v1/kv-watch?prefix=&after={after.number}&wait_ms='
        wait_ms = int(self._watch_seconds * MS_PER_SECOND)
        return Poll(
            f'{path}{wait_ms}',
            f'{path}0',
            CHECK_PATH,
            self._watch_seconds,
            partial(_is_ahead, after),
        )

    def _list_all(self, after: Revision) -> WatchReply:
        """List all keys.

        The reply has the revision of the first page, so the next watch returns
        all changes made during the listing.
        """
        listed: list[PublishedValue] = []
        unusable_keys: list[str] = []
        first_revision, page_query = NO_REVISION, ''
        for number in range(MAX_PAGES):
            page = self._read_page(page_query, after)
            if not number:
                first_revision = page.revision
            if first_revision.epoch != page.revision.epoch:
                raise PlatformError('store restored during a listing')
            listed += page.values
            unusable_keys += page.unusable_keys
            if not page.has_more:
                return WatchReply(
                    first_revision,
                    tuple(listed),
                    is_whole=True,
                    is_restored=_is_restored(after, first_revision),
                    live_keys=tuple(unusable_keys),
                )
            if not page.last_key:
                raise PlatformError('no key to continue a listing after')
            page_query = f'&after={quote(page.last_key)}'
        raise PlatformError(f'listing has more than {MAX_PAGES} pages')

    def _read_page(self, page_query: str, after: Revision) -> StoredItems:
        path = f'/v1/kv-range?prefix={page_query}'
        response = self._get(Poll(path, path, CHECK_PATH, 0, _has_no_news))
        page = decode_page(response, self._epoch_of(response, after.epoch))
        self.unusable_count += page.unusable
        return page

    def _get(self, poll: Poll) -> CallResponse:
        response = self._calls.get(poll)
        if response.status not in _USABLE_STATUSES:
            self._calls.drop_connections()
        return response

    def _read_body(self, response: http.client.HTTPResponse) -> bytes:
        if response.status != HTTP_OK:
            return read_body(response)
        with self._progress.receiving():
            return read_body(response, on_piece=self._progress.note_piece)

    def _epoch_of(self, response: CallResponse, known_epoch: int) -> int:
        """Return the epoch of a response, the known one if it names none.

        Raises:
            PlatformError: If it is older than the known one.
        """
        text = response.headers.get(EPOCH_HEADER)
        epoch = None if text is None else decode_epoch(text)
        if text is not None and epoch is None:
            self._record_unusable_epoch(text)
        if epoch is None:
            return known_epoch
        if epoch < known_epoch:
            raise PlatformError(
                f'response of epoch {epoch}, {known_epoch} is known'
            )
        return epoch

    def _record_unusable_epoch(self, text: str) -> None:
        self.unusable_count += 1
        logged = cut_for_log(text)
        # A store that names it once names it in each response.
        if logged != self._logged_epoch:
            self._logged_epoch = logged
            _log.warning('invalid epoch of the store', extra={'epoch': logged})


def _is_ahead(after: Revision, check: CallResponse) -> bool:
    """Return whether a check shows changes after a revision of the store.

    The epoch is not compared: what is read then tells it.
    """
    return decode_page(check, after.epoch).revision > after


def _has_no_news(_: CallResponse) -> bool:
    return False


def _is_restored(after: Revision, current: Revision) -> bool:
    is_restored = after != NO_REVISION and current.epoch != after.epoch
    if is_restored:
        _log.warning(
            'store came back from an older copy',
            extra={'former_epoch': after.epoch, 'epoch': current.epoch},
        )
    return is_restored
