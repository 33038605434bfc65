"""The facts that VMs tell each other, and how they are taken in.

Every fact may be told twice, late or out of order: revisions only rise,
strikes only add up, and signs of leaving carry their age.
"""

from basilwall.parts.departures import Departures
from basilwall.parts.membership import Member, Membership
from basilwall.parts.quarantine import Quarantine
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

MILLISECONDS = 1000
#: Most entries of one kind in one message.
MAX_ENTRIES = 256


class Facts:
    """Collects what this VM knows and takes in what others tell."""

    def __init__(
        self,
        register: RevisionRegister,
        departures: Departures,
        quarantine: Quarantine,
        membership: Membership,
    ) -> None:
        self.register = register
        self.departures = departures
        self.quarantine = quarantine
        self.membership = membership

    def identity(self) -> peer_pb2.VmIdentity:
        """Return how this VM names itself."""
        own = self.membership.own
        return peer_pb2.VmIdentity(
            address=own.address,
            incarnation=own.incarnation,
            zone=own.zone,
            leaving=own.leaving,
        )

    def collect(
        self,
        published: list[PublishedValue] | None = None,
    ) -> peer_pb2.Facts:
        """Return all short-lived facts, with the given values."""
        return peer_pb2.Facts(
            published=[
                peer_pb2.PublishedValue(
                    key=one.key,
                    revision=one.revision,
                    body=one.body,
                )
                for one in published or ()
            ],
            quarantine=self._quarantine(),
            leaving=self._leaving(),
            members=self._members(),
        )

    def digest(self) -> list[peer_pb2.KeyRevision]:
        """Return the revision held of each key."""
        return [
            peer_pb2.KeyRevision(key=key, revision=revision)
            for key, revision in self.register.digest().items()
        ]

    def take(
        self,
        sender: peer_pb2.VmIdentity,
        facts: peer_pb2.Facts,
    ) -> None:
        """Take in what another VM told."""
        self.membership.heard_from(_member(sender))
        for member in facts.members:
            self.membership.heard_of(_member(member))
        for published in facts.published:
            self.register.offer(
                PublishedValue(
                    published.key,
                    published.revision,
                    published.body,
                ),
            )
        for entry in facts.quarantine:
            self.quarantine.strike(
                Fingerprint(entry.fingerprint),
                [_strike(one) for one in entry.strikes],
                entry.expires_in_ms / MILLISECONDS,
            )
        for leaving in facts.leaving:
            self.departures.mark(
                SearcherAddress(leaving.address),
                leaving.age_ms / MILLISECONDS,
            )

    def _quarantine(self) -> list[peer_pb2.QuarantineEntry]:
        return [
            peer_pb2.QuarantineEntry(
                fingerprint=entry.fingerprint,
                expires_in_ms=int(
                    self.quarantine.seconds_left(entry.fingerprint)
                    * MILLISECONDS,
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

    def _leaving(self) -> list[peer_pb2.LeavingSearcher]:
        return [
            peer_pb2.LeavingSearcher(
                address=address,
                age_ms=int(age * MILLISECONDS),
            )
            for address, age in self.departures.ages().items()
        ][:MAX_ENTRIES]

    def _members(self) -> list[peer_pb2.VmIdentity]:
        return [
            peer_pb2.VmIdentity(
                address=member.address,
                incarnation=member.incarnation,
                zone=member.zone,
                leaving=member.leaving,
            )
            for member in self.membership.alive()[:MAX_ENTRIES]
        ]


def _member(identity: peer_pb2.VmIdentity) -> Member:
    return Member(
        VmAddress(identity.address),
        Incarnation(identity.incarnation),
        Zone(identity.zone),
        identity.leaving,
    )


def _strike(wire: peer_pb2.Strike) -> Strike:
    return Strike(
        IncidentId(wire.incident),
        SearcherAddress(wire.searcher),
        Evidence(min(wire.evidence, max(Evidence))),
    )
