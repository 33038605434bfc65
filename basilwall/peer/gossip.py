"""Gossip between VMs: builds messages and applies those received.

Messages may arrive twice, late or out of order: revisions only increase,
strikes only accumulate, and notices of leaving searchers carry their age.
Content that no VM sends is counted as malformed, logged and ignored.
"""

import logging
import random
import re
from collections.abc import Iterable, Iterator

from basilwall.parts.digests import (
    KeyDigest,
    newer_refusals,
    newer_values,
)
from basilwall.parts.leaving_searchers import (
    NOTICE_TTL_SECONDS,
    LeavingNotice,
    LeavingSearchers,
)
from basilwall.parts.membership import Member, Membership
from basilwall.parts.quarantine import Quarantine
from basilwall.parts.refusals import Refusal
from basilwall.parts.revisions import RevisionRegister
from basilwall.peer.generated import peer_pb2
from basilwall.peer.revision_messages import (
    decode_revision,
    number_of,
    text_of,
)
from basilwall.records.catalogue import PublishedValue
from basilwall.records.ids import (
    Fingerprint,
    Incarnation,
    IncidentId,
    SearcherAddress,
    VmAddress,
    Zone,
)
from basilwall.records.revision import NO_REVISION, Revision
from basilwall.records.strike import Evidence, Strike

MS_PER_SECOND = 1000
#: Maximum number of entries of one kind in one message.
MAX_ENTRIES = 256
#: Maximum number of members in one message, a new random sample for each.
MAX_MEMBERS = 4
#: Longest name other than a key, in characters.
MAX_NAME_LENGTH = 128
#: Total size of the values in one message; a single larger one is sent alone.
MAX_VALUES_BYTES = 1_048_576
_ADDRESS = re.compile(r'[0-9a-fA-F.:\[\]]{2,45}:\d{1,5}')

_log = logging.getLogger(__name__)


class GossipProtocol:
    """Builds gossip messages of this VM's state and applies those of peers."""

    def __init__(
        self,
        register: RevisionRegister,
        leaving_searchers: LeavingSearchers,
        quarantine: Quarantine,
        membership: Membership,
        rng: random.Random,
    ) -> None:
        self.register = register
        self.leaving_searchers = leaving_searchers
        self.quarantine = quarantine
        self.membership = membership
        self.malformed = 0
        self._rng = rng

    def identity(self) -> peer_pb2.VmIdentity:
        """Return the identity of this VM."""
        return _identity_to_wire(self.membership.own)

    def build_facts(
        self,
        published: Iterable[PublishedValue] = (),
        refusals: dict[str, Refusal] | None = None,
    ) -> peer_pb2.Facts:
        """Return all short-lived state with the given values and refusals."""
        return peer_pb2.Facts(
            published=[
                peer_pb2.PublishedValue(
                    key=published_value.key,
                    revision=number_of(published_value.revision),
                    revision_text=text_of(published_value.revision),
                    body=published_value.body,
                )
                for published_value in published
            ],
            refused=[
                peer_pb2.RefusedValue(
                    key=key,
                    revision=number_of(refusal.revision),
                    revision_text=text_of(refusal.revision),
                    reason=refusal.reason,
                )
                for key, refusal in (refusals or {}).items()
            ][:MAX_ENTRIES],
            quarantine=self._quarantine_entries(),
            leaving=self._leaving_to_wire(),
            members=self._sample_members(),
        )

    def build_request(
        self,
        keys: Iterable[str] = (),
        whole: bool = False,
    ) -> peer_pb2.ExchangeRequest:
        """Return the request of an exchange.

        Args:
            keys: Keys that just changed, whose digest is included.
            whole: True if the digest of all keys is included.
        """
        digest = self.register.digest(None if whole else keys)
        return peer_pb2.ExchangeRequest(
            sender=self.identity(),
            digest=[
                peer_pb2.KeyRevision(
                    key=key,
                    revision=number_of(known.revision),
                    revision_text=text_of(known.revision),
                    refused=number_of(known.refused),
                    refused_text=text_of(known.refused),
                )
                for key, known in digest.items()
            ],
            facts=self.build_facts(),
            digest_hash=self.register.hash(),
            whole=whole,
        )

    def handle_exchange(
        self,
        request: peer_pb2.ExchangeRequest,
    ) -> peer_pb2.ExchangeReply:
        """Apply a request and return the state that its sender lacks."""
        self.apply(request.sender, request.facts)
        register = self.register
        if not (request.whole or request.digest):
            return peer_pb2.ExchangeReply(
                sender=self.identity(),
                facts=self.build_facts(),
                differs=request.digest_hash != register.hash(),
            )
        digest = {
            entry.key: KeyDigest(
                self._revision_of(entry.revision, entry.revision_text),
                self._revision_of(entry.refused, entry.refused_text),
            )
            for entry in request.digest
        }
        own_digest = register.digest(None if request.whole else digest)
        lacking_values = register.values_for(newer_values(own_digest, digest))
        first_batch = next(batches_by_size(lacking_values), [])
        return peer_pb2.ExchangeReply(
            sender=self.identity(),
            facts=self.build_facts(
                first_batch,
                register.refusals(newer_refusals(own_digest, digest)),
            ),
            wanted=register.keys_to_request(digest),
            more=len(first_batch) < len(lacking_values),
        )

    def build_pushes(
        self, wanted: Iterable[str]
    ) -> Iterator[peer_pb2.PushRequest]:
        """Return messages with the values and refusals of the wanted keys."""
        keys = list(wanted)
        refusals = self.register.refusals(keys)
        batches = batches_by_size(self.register.values_for(keys))
        for values in (next(batches, []), *batches):
            yield peer_pb2.PushRequest(
                sender=self.identity(),
                facts=self.build_facts(values, refusals),
            )

    def apply(
        self,
        sender: peer_pb2.VmIdentity,
        facts: peer_pb2.Facts,
    ) -> None:
        """Apply the state that another VM sent."""
        if self._is_well_formed(sender):
            self.membership.record_contact(_member_from_wire(sender))
        for member in facts.members:
            if self._is_well_formed(member):
                self.membership.record_mention(_member_from_wire(member))
        for published in facts.published:
            self.register.offer(
                PublishedValue(
                    published.key,
                    self._revision_of(
                        published.revision, published.revision_text
                    ),
                    published.body,
                ),
            )
        for refused in facts.refused:
            refusal = Refusal(
                self._revision_of(refused.revision, refused.revision_text),
                refused.reason[:MAX_ENTRIES],
            )
            self.register.record_peer_refusal(refused.key, refusal)
        for entry in facts.quarantine:
            self.quarantine.strike(
                Fingerprint(entry.fingerprint),
                [
                    _strike_from_wire(wire_strike)
                    for wire_strike in entry.strikes
                ],
                entry.expires_in_ms / MS_PER_SECOND,
            )
        for leaving in facts.leaving:
            self._apply_leaving(leaving)

    def _apply_leaving(self, leaving: peer_pb2.LeavingSearcher) -> None:
        age = leaving.age_ms / MS_PER_SECOND
        is_valid = (
            _ADDRESS.fullmatch(leaving.address) and age < NOTICE_TTL_SECONDS
        )
        if not is_valid or len(leaving.observer) > MAX_NAME_LENGTH:
            self._count_malformed('leaving searcher', leaving.address)
            return
        seen_at = self.leaving_searchers.now() - age
        self.leaving_searchers.add_notice(
            SearcherAddress(leaving.address),
            LeavingNotice(
                Incarnation(leaving.observer),
                leaving.number,
                seen_at,
                leaving.ended,
            ),
        )

    def _is_well_formed(self, identity: peer_pb2.VmIdentity) -> bool:
        longest = max(len(identity.incarnation), len(identity.zone))
        if _ADDRESS.fullmatch(identity.address) and longest <= MAX_NAME_LENGTH:
            return True
        self._count_malformed('identity', identity.address)
        return False

    def _revision_of(self, number: int, text: str) -> Revision:
        """Return a received revision, none if it is malformed."""
        try:
            return decode_revision(number, text)
        except ValueError:
            self._count_malformed('revision', text)
        return NO_REVISION

    def _count_malformed(self, kind: str, name: str) -> None:
        self.malformed += 1
        _log.warning(
            'malformed %s', kind, extra={'named': name[:MAX_NAME_LENGTH]}
        )

    def _quarantine_entries(self) -> list[peer_pb2.QuarantineEntry]:
        return [
            peer_pb2.QuarantineEntry(
                fingerprint=entry.fingerprint,
                expires_in_ms=int(
                    self.quarantine.seconds_left(entry.fingerprint)
                    * MS_PER_SECOND,
                ),
                strikes=[
                    peer_pb2.Strike(
                        incident=strike.incident,
                        searcher=strike.searcher,
                        evidence=strike.evidence,
                        age_ms=int(strike.seconds_ago * MS_PER_SECOND),
                    )
                    for strike in self.quarantine.aged_strikes(entry)
                ],
            )
            for entry in self.quarantine.entries_to_report()[-MAX_ENTRIES:]
        ]

    def _leaving_to_wire(self) -> list[peer_pb2.LeavingSearcher]:
        now = self.leaving_searchers.now()
        return [
            peer_pb2.LeavingSearcher(
                address=address,
                age_ms=int((now - notice.observed_at) * MS_PER_SECOND),
                observer=notice.observer,
                number=notice.number,
                ended=notice.is_revoked,
            )
            for address, notice in self.leaving_searchers.recent_notices()[
                :MAX_ENTRIES
            ]
        ]

    def _sample_members(self) -> list[peer_pb2.VmIdentity]:
        alive = self.membership.live_members()
        if len(alive) > MAX_MEMBERS:
            alive = self._rng.sample(alive, MAX_MEMBERS)
        return [_identity_to_wire(member) for member in alive]


def batches_by_size(
    values: Iterable[PublishedValue],
) -> Iterator[list[PublishedValue]]:
    """Split values into lists that each fit into one message."""
    batch: list[PublishedValue] = []
    size = 0
    for published in values:
        if batch and size + len(published.body) > MAX_VALUES_BYTES:
            yield batch
            batch, size = [], 0
        batch.append(published)
        size += len(published.body)
    if batch:
        yield batch


def _identity_to_wire(member: Member) -> peer_pb2.VmIdentity:
    return peer_pb2.VmIdentity(
        address=member.address,
        incarnation=member.incarnation,
        zone=member.zone,
        leaving=member.leaving,
    )


def _member_from_wire(identity: peer_pb2.VmIdentity) -> Member:
    return Member(
        VmAddress(identity.address),
        Incarnation(identity.incarnation),
        Zone(identity.zone),
        identity.leaving,
    )


def _strike_from_wire(wire: peer_pb2.Strike) -> Strike:
    return Strike(
        IncidentId(wire.incident),
        SearcherAddress(wire.searcher),
        Evidence(min(wire.evidence, max(Evidence))),
        wire.age_ms / MS_PER_SECOND,
    )
