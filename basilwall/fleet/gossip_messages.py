"""What one entry VM tells another, and how it is taken in.

Every fact may be told twice, late or out of order: members are seen again,
strikes only add up. What does not decode is counted and passed over.
"""

import logging
import random

import msgspec

from basilwall.parts.membership import Member, Membership
from basilwall.parts.quarantine import Quarantine
from basilwall.records.ids import (
    Fingerprint,
    Incarnation,
    IncidentId,
    SearcherAddress,
    VmAddress,
    Zone,
)
from basilwall.records.strike import Evidence, Strike

#: Most members and most quarantined contents in one message.
MAX_MEMBERS = 24
MAX_CONTENTS = 64

_log = logging.getLogger(__name__)


class TellingError(Exception):
    """A message that no VM of ours would send."""


class _Member(msgspec.Struct, array_like=True):
    address: str
    incarnation: str
    zone: str
    leaving: bool


class _Strike(msgspec.Struct, array_like=True):
    incident: str
    searcher: str
    evidence: int


class _Content(msgspec.Struct, array_like=True):
    fingerprint: str
    seconds_left: float
    strikes: tuple[_Strike, ...]


class _Told(msgspec.Struct, array_like=True):
    sender: _Member
    members: tuple[_Member, ...]
    contents: tuple[_Content, ...]


_decoder = msgspec.msgpack.Decoder(_Told)


class GossipMessages:
    """Makes and takes in the messages of this VM."""

    def __init__(
        self,
        membership: Membership,
        quarantine: Quarantine,
        rng: random.Random,
    ) -> None:
        self.membership = membership
        self.quarantine = quarantine
        self._rng = rng

    def encode(self) -> bytes:
        """Return all that this VM tells now."""
        members = [_to_wire(one) for one in self._some_members()]
        contents = [
            _Content(
                entry.fingerprint,
                self.quarantine.seconds_left(entry.fingerprint),
                tuple(
                    _Strike(one.incident, one.searcher, one.evidence)
                    for one in entry.strikes
                ),
            )
            for entry in self.quarantine.entries()[-MAX_CONTENTS:]
        ]
        told = _Told(
            _to_wire(self.membership.own),
            tuple(members),
            tuple(contents),
        )
        return msgspec.msgpack.encode(told)

    def apply(self, message: bytes) -> None:
        """Take in what another VM told.

        Raises:
            TellingError: If the message can't be read.
        """
        try:
            told = _decoder.decode(message)
        except (msgspec.MsgspecError, ValueError, RecursionError) as error:
            raise TellingError(str(error)) from error
        self.membership.record_contact(_from_wire(told.sender))
        for member in told.members[:MAX_MEMBERS]:
            self.membership.record_mention(_from_wire(member))
        for content in told.contents[:MAX_CONTENTS]:
            self._take_content(content)

    def _take_content(self, content: _Content) -> None:
        strikes = [
            Strike(
                IncidentId(one.incident),
                SearcherAddress(one.searcher),
                Evidence(max(min(one.evidence, max(Evidence)), 0)),
            )
            for one in content.strikes
        ]
        fingerprint = Fingerprint(content.fingerprint)
        left = content.seconds_left
        if self.quarantine.strike(fingerprint, strikes, left):
            _log.warning(
                'told of a content that crashes searchers',
                extra={
                    'fingerprint': fingerprint,
                    'strikes': len(strikes),
                    'suspicion': self.quarantine.suspicion_of(
                        fingerprint
                    ).value,
                },
            )

    def _some_members(self) -> list[Member]:
        alive = self.membership.live_members()
        if len(alive) > MAX_MEMBERS:
            return self._rng.sample(alive, MAX_MEMBERS)
        return alive


def _to_wire(member: Member) -> _Member:
    return _Member(
        member.address,
        member.incarnation,
        member.zone,
        member.leaving,
    )


def _from_wire(member: _Member) -> Member:
    return Member(
        VmAddress(member.address),
        Incarnation(member.incarnation),
        Zone(member.zone),
        member.leaving,
    )
