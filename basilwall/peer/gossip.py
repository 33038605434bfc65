"""The facts that VMs tell each other, and how they are taken in.

Every fact may be told twice, late or out of order: revisions only rise,
strikes only add up, and signs of leaving carry their age. What no VM of ours
would say is counted, logged and passed over.
"""

import logging
import random
import re
from collections.abc import Iterable, Iterator

from basilwall.parts.digests import (
    Digest,
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
from basilwall.records.catalogue import PublishedValue
from basilwall.records.ids import (
    Fingerprint,
    Incarnation,
    IncidentId,
    SearcherAddress,
    VmAddress,
    Zone,
)
from basilwall.records.strike import Evidence, Strike

MS_PER_SECOND = 1000
#: Most entries of one kind in one message.
MAX_ENTRIES = 256
#: Most members named in one message, drawn anew for each.
MAX_MEMBERS = 4
#: Longest name of anything but a key, in characters.
MAX_NAME_LENGTH = 128
#: Values in one message end at this size, in bytes; one always fits.
MAX_VALUES_BYTES = 1_048_576
_ADDRESS = re.compile(r'[0-9a-fA-F.:\[\]]{2,45}:\d{1,5}')

_log = logging.getLogger(__name__)


class GossipProtocol:
    """Collects what this VM knows and takes in what others tell."""

    def __init__(
        self,
        register: RevisionRegister,
        departures: LeavingSearchers,
        quarantine: Quarantine,
        membership: Membership,
        rng: random.Random,
    ) -> None:
        self.register = register
        self.departures = departures
        self.quarantine = quarantine
        self.membership = membership
        self.malformed = 0
        self._rng = rng

    def identity(self) -> peer_pb2.VmIdentity:
        """Return how this VM names itself."""
        return _identity_to_wire(self.membership.own)

    def build_facts(
        self,
        published: Iterable[PublishedValue] = (),
        refusals: dict[str, Refusal] | None = None,
    ) -> peer_pb2.Facts:
        """Return all short-lived facts, with the given values."""
        return peer_pb2.Facts(
            published=[
                peer_pb2.PublishedValue(
                    key=one.key,
                    revision=one.revision,
                    body=one.body,
                )
                for one in published
            ],
            refused=[
                peer_pb2.RefusedValue(
                    key=key,
                    revision=refusal.revision,
                    reason=refusal.reason,
                )
                for key, refusal in (refusals or {}).items()
            ][:MAX_ENTRIES],
            quarantine=self._quarantine_entries(),
            leaving=self._leaving_searchers(),
            members=self._sample_members(),
        )

    def build_request(
        self,
        keys: Iterable[str] = (),
        whole: bool = False,
    ) -> peer_pb2.ExchangeRequest:
        """Return the request of an exchange.

        Args:
            keys: Keys that just changed, whose digest goes along.
            whole: True if the digest of all keys goes along.
        """
        digest = self.register.digest(None if whole else keys)
        return peer_pb2.ExchangeRequest(
            sender=self.identity(),
            digest=[
                peer_pb2.KeyRevision(
                    key=key,
                    revision=known.revision,
                    refused=known.refused,
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
        """Take in a request and return what its sender lacks."""
        self.apply(request.sender, request.facts)
        register = self.register
        if not (request.whole or request.digest):
            return peer_pb2.ExchangeReply(
                sender=self.identity(),
                facts=self.build_facts(),
                differs=request.digest_hash != register.hash(),
            )
        digest = {
            one.key: KeyDigest(one.revision, one.refused)
            for one in request.digest
        }
        mine = register.digest(None if request.whole else digest)
        newer = register.values_for(newer_values(mine, digest))
        first = next(batches_by_size(newer), [])
        return peer_pb2.ExchangeReply(
            sender=self.identity(),
            facts=self.build_facts(
                first, self._refusals_unknown_to(mine, digest)
            ),
            wanted=register.keys_to_request(digest),
            more=len(first) < len(newer),
        )

    def build_pushes(
        self, wanted: Iterable[str]
    ) -> Iterator[peer_pb2.PushRequest]:
        """Return messages with what is known of the wanted keys."""
        keys = list(wanted)
        refusals = self.register.refusals(keys)
        steps = batches_by_size(self.register.values_for(keys))
        for values in (next(steps, []), *steps):
            yield peer_pb2.PushRequest(
                sender=self.identity(),
                facts=self.build_facts(values, refusals),
            )

    def apply(
        self,
        sender: peer_pb2.VmIdentity,
        facts: peer_pb2.Facts,
    ) -> None:
        """Take in what another VM told."""
        if self._is_well_formed(sender):
            self.membership.record_contact(_member_from_wire(sender))
        for member in facts.members:
            if self._is_well_formed(member):
                self.membership.record_mention(_member_from_wire(member))
        for published in facts.published:
            self.register.offer(
                PublishedValue(
                    published.key,
                    published.revision,
                    published.body,
                ),
            )
        for refused in facts.refused:
            refusal = Refusal(refused.revision, refused.reason[:MAX_ENTRIES])
            self.register.record_peer_refusal(refused.key, refusal)
        for entry in facts.quarantine:
            self.quarantine.strike(
                Fingerprint(entry.fingerprint),
                [_strike_from_wire(one) for one in entry.strikes],
                entry.expires_in_ms / MS_PER_SECOND,
            )
        for leaving in facts.leaving:
            self._apply_leaving(leaving)

    def _refusals_unknown_to(
        self, mine: Digest, theirs: Digest
    ) -> dict[str, Refusal]:
        return self.register.refusals(newer_refusals(mine, theirs))

    def _apply_leaving(self, leaving: peer_pb2.LeavingSearcher) -> None:
        age = leaving.age_ms / MS_PER_SECOND
        known = _ADDRESS.fullmatch(leaving.address) and age < NOTICE_TTL_SECONDS
        if not known or len(leaving.observer) > MAX_NAME_LENGTH:
            self._count_malformed('sign of leaving', leaving.address)
            return
        seen_at = self.departures.now() - age
        self.departures.add_notice(
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
                        incident=one.incident,
                        searcher=one.searcher,
                        evidence=one.evidence,
                    )
                    for one in entry.strikes
                ],
            )
            for entry in self.quarantine.entries()[-MAX_ENTRIES:]
        ]

    def _leaving_searchers(self) -> list[peer_pb2.LeavingSearcher]:
        now = self.departures.now()
        return [
            peer_pb2.LeavingSearcher(
                address=address,
                age_ms=int((now - sign.observed_at) * MS_PER_SECOND),
                observer=sign.observer,
                number=sign.number,
                ended=sign.is_revoked,
            )
            for address, sign in self.departures.recent_notices()[:MAX_ENTRIES]
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
    step: list[PublishedValue] = []
    size = 0
    for published in values:
        if step and size + len(published.body) > MAX_VALUES_BYTES:
            yield step
            step, size = [], 0
        step.append(published)
        size += len(published.body)
    if step:
        yield step


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
    )
