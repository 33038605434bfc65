"""Gossip messages between entry VMs: encoding, decoding and application.

Messages may be repeated, late or out of order: members are merely recorded
again, and the evidence of a strike only rises. A message that can't be decoded
is rejected.
"""

import logging
import random
from collections.abc import Callable, Sequence

import msgspec

from basilwall.fleet.leaving_messages import (
    WireLeaving,
    decode_leaving,
    encode_leaving,
    ignore_leaving,
    no_leaving_notices,
)
from basilwall.fleet.rate_limit_messages import (
    WireLimit,
    decode_notice,
    encode_notice,
)
from basilwall.fleet.revision_messages import (
    decode_revision,
    encode_revision,
)
from basilwall.parts.crash_weights import MAX_REMEMBERED_SECONDS
from basilwall.parts.membership import Member, Membership
from basilwall.parts.quarantine import Quarantine
from basilwall.records.ids import (
    Fingerprint,
    Incarnation,
    IncidentId,
    ProcessId,
    SearcherAddress,
    ServiceName,
    VmAddress,
    Zone,
)
from basilwall.records.rate_limit import RateLimitNotice
from basilwall.records.revision import NO_REVISION, Revision
from basilwall.records.strike import Evidence, Strike
from basilwall.routing.leaving_processes import LeavingNotice

#: Most members and most quarantined contents in one message.
MAX_MEMBERS = 24
MAX_CONTENTS = 64
#: Most limits of searchers that are taken from one message.
MAX_LIMITS = 256

_log = logging.getLogger(__name__)


class TellingError(Exception):
    """A gossip message or reply is invalid."""


class _WireMember(msgspec.Struct, array_like=True):
    address: str
    incarnation: str
    zone: str
    leaving: bool
    # Where it takes relayed requests, empty for nowhere.
    relay_address: str = ''
    reaches_searchers: bool = True
    link_mbps: float = 0


class _WireStrike(msgspec.Struct, array_like=True):
    incident: str
    searcher: str
    evidence: int
    seconds_ago: float = 0
    process: str = ''
    service: str = ''
    follows_loss: bool = False
    is_unanswered: bool = False


class _WireContent(msgspec.Struct, array_like=True):
    fingerprint: str
    seconds_left: float
    strikes: tuple[_WireStrike, ...]


class _GossipMessage(msgspec.Struct, array_like=True):
    sender: _WireMember
    members: tuple[_WireMember, ...]
    contents: tuple[_WireContent, ...]
    # Revision up to which the sender knows all changes of the store, 0 if
    # former builds can't read it; `revision_text` then says it.
    revision: int = 0
    limits: tuple[WireLimit, ...] = ()
    leaving: tuple[WireLeaving, ...] = ()
    # How far back the sender knows of all strikes.
    memory_seconds: float = 0
    revision_text: str = ''


_decoder = msgspec.msgpack.Decoder(_GossipMessage)


def _no_revision() -> Revision:
    return NO_REVISION


def _no_notices() -> Sequence[RateLimitNotice]:
    return ()


def _ignore_notice(_: RateLimitNotice) -> None:
    """Ignore a notice of another VM."""


def _ignore_revision(*_: VmAddress | Revision) -> None:
    """Ignore the address and the revision of another VM."""


class GossipMessages:
    """Encodes the gossip of this VM and applies that of others."""

    def __init__(
        self,
        membership: Membership,
        quarantine: Quarantine,
        rng: random.Random,
    ) -> None:
        self.membership = membership
        self.quarantine = quarantine
        #: Returns the revision up to which this VM knows all changes.
        self.own_revision: Callable[[], Revision] = _no_revision
        #: Called with the address and the revision of a VM.
        self.record_peer_revision: Callable[[VmAddress, Revision], None] = (
            _ignore_revision
        )
        #: Returns what this VM knows of the limits of searchers.
        self.rate_limit_notices: Callable[[], Sequence[RateLimitNotice]] = (
            _no_notices
        )
        #: Called with what another VM knows of the limit of a searcher.
        self.apply_rate_limit: Callable[[RateLimitNotice], None] = (
            _ignore_notice
        )
        #: Returns the leaving searchers that the platform doesn't report yet.
        self.leaving_notices: Callable[[], Sequence[LeavingNotice]] = (
            no_leaving_notices
        )
        #: Called with the leaving searchers that another VM knows of.
        self.apply_leaving: Callable[[Sequence[LeavingNotice]], None] = (
            ignore_leaving
        )
        self._rng = rng

    def encode(self) -> bytes:
        """Return a message with the members and the contents with strikes."""
        members = [_to_wire(member) for member in self._sample_members()]
        contents = [
            _WireContent(
                entry.fingerprint,
                self.quarantine.seconds_left(entry.fingerprint),
                tuple(
                    map(_strike_to_wire, self.quarantine.aged_strikes(entry))
                ),
            )
            for entry in self.quarantine.entries_to_report()[-MAX_CONTENTS:]
        ]
        revision = encode_revision(self.own_revision())
        decoded = _GossipMessage(
            _to_wire(self.membership.own),
            tuple(members),
            tuple(contents),
            revision if isinstance(revision, int) else 0,
            tuple(map(encode_notice, self.rate_limit_notices())),
            tuple(map(encode_leaving, self.leaving_notices())),
            self.quarantine.memory.seconds,
            revision if isinstance(revision, str) else '',
        )
        return msgspec.msgpack.encode(decoded)

    def apply(self, message: bytes) -> None:
        """Apply a message of another VM.

        Args:
            message: The encoded message.

        Raises:
            TellingError: If the message can't be decoded.
        """
        try:
            decoded = _decoder.decode(message)
            revision = decode_revision(
                decoded.revision_text or decoded.revision
            )
        except (msgspec.MsgspecError, ValueError, RecursionError) as error:
            raise TellingError(str(error)) from error
        self.membership.record_contact(_from_wire(decoded.sender))
        for member in decoded.members[:MAX_MEMBERS]:
            self.membership.record_mention(_from_wire(member))
        for content in decoded.contents[:MAX_CONTENTS]:
            self._apply_content(content)
        if self.quarantine.memory.inherit(decoded.memory_seconds):
            _log.info(
                'earlier strikes are known from VM',
                extra={'vm': decoded.sender.address},
            )
        for limit in decoded.limits[:MAX_LIMITS]:
            self.apply_rate_limit(decode_notice(limit))
        self.apply_leaving(tuple(map(decode_leaving, decoded.leaving)))
        self.record_peer_revision(VmAddress(decoded.sender.address), revision)

    def _apply_content(self, content: _WireContent) -> None:
        strikes = list(map(_strike_from_wire, content.strikes))
        fingerprint = Fingerprint(content.fingerprint)
        ttl_seconds = content.seconds_left
        if self.quarantine.strike(fingerprint, strikes, ttl_seconds):
            _log.warning(
                'received strikes against a request content',
                extra={
                    'fingerprint': fingerprint,
                    'strikes': len(strikes),
                    'suspicion': self.quarantine.suspicion_of(
                        fingerprint
                    ).value,
                },
            )

    def _sample_members(self) -> list[Member]:
        members = self.membership.live_members()
        if len(members) > MAX_MEMBERS:
            return self._rng.sample(members, MAX_MEMBERS)
        return members


def _strike_to_wire(strike: Strike) -> _WireStrike:
    return _WireStrike(
        strike.incident,
        strike.searcher,
        strike.evidence,
        strike.seconds_ago,
        strike.process,
        strike.service,
        strike.follows_loss,
        strike.is_unanswered,
    )


def _strike_from_wire(wire: _WireStrike) -> Strike:
    has_age = 0 <= wire.seconds_ago <= MAX_REMEMBERED_SECONDS
    return Strike(
        IncidentId(wire.incident),
        SearcherAddress(wire.searcher),
        Evidence(max(min(wire.evidence, max(Evidence)), 0)),
        wire.seconds_ago if has_age else 0,
        ProcessId(wire.process),
        ServiceName(wire.service),
        wire.follows_loss,
        wire.is_unanswered,
    )


def _to_wire(member: Member) -> _WireMember:
    return _WireMember(
        member.address,
        member.incarnation,
        member.zone,
        member.leaving,
        member.relay_address,
        member.reaches_searchers,
        member.link_mbps,
    )


def _from_wire(member: _WireMember) -> Member:
    return Member(
        VmAddress(member.address),
        Incarnation(member.incarnation),
        Zone(member.zone),
        member.leaving,
        VmAddress(member.relay_address),
        member.reaches_searchers,
        member.link_mbps,
    )
