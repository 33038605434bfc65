"""In-memory searchers and a simulated clock for query tests."""

import heapq
import itertools
import json
import random
from collections import defaultdict, deque
from dataclasses import dataclass, field
from types import SimpleNamespace

from basilwall.backend.pools import SearcherPools
from basilwall.backend.replies import RawReply, ReplyError, parse_reply
from basilwall.backend.trusting_crash_tracker_test import TrustingCrashTracker
from basilwall.configuration.state import PlatformState
from basilwall.parts.attempt_ids import AttemptIds
from basilwall.parts.clock import ManualClock
from basilwall.parts.leaving_searchers import LeavingSearchers
from basilwall.parts.replica_choice import LatencyEstimate
from basilwall.parts.served_snapshots import ServedSnapshots
from basilwall.query.inbox import Inbox
from basilwall.query.pinning import Pinning
from basilwall.query.policy import Policies
from basilwall.query.progress import Query
from basilwall.query.runner import QueryRunner
from basilwall.query.sending import Backends
from basilwall.records.attempt import MayHaveRun, NotRun, OutcomeTag
from basilwall.records.catalogue import Catalogue, Part, Snapshot

SERVICE = 'depot-desk'
START = ManualClock().monotonic()
#: Latency of a late reply, which is later than the hedge.
LATE_SECONDS = 0.06
STATUS_BY_OUTCOME = defaultdict(lambda: 503, answered=200)


def make_snapshot(name, instances, searchers, records=4):
    """Return a snapshot with `searchers` distributed round-robin to parts."""
    parts = [
        Part(
            f'{SERVICE}-{index}',
            tuple(searchers[index::instances]),
            records + index,
        )
        for index in range(instances)
    ]
    return Snapshot(name, tuple(parts))


@dataclass
class Searcher:
    """One searcher; `mode` is the fault in its replies."""

    serves: list[str]
    mode: str = 'normal'
    latency: float = 0.002
    is_up: bool = True
    previous_body: bytes = b''


def _default_estimate():
    return SimpleNamespace(seconds=0.005, seen=0.005)


@dataclass(eq=False)
class FakePool:
    """Fake pool of connections to one searcher."""

    world: 'World'
    address: str
    in_flight: int = 0
    connections: int = 25
    estimate: SimpleNamespace = field(default_factory=_default_estimate)

    def __post_init__(self):
        self.estimate = LatencyEstimate(self.world.clock)

    @property
    def is_reachable(self):
        return self.world.by_address[self.address].is_up

    def close(self):
        """Do nothing: there are no tasks to end."""

    def submit(self, job):
        self.world.receive(self.address, job)


class FakePools(SearcherPools):
    """The real bookkeeping with fake pools."""

    def __init__(self, world):
        super().__init__(
            None, world.clock, world.leaving_searchers, 1, world.rng
        )
        self._world = world

    def _open(self, address, share):
        self.by_address[address] = FakePool(self._world, address)


class FakeInbox(Inbox):
    """Advances the clock to the next scheduled action instead of waiting."""

    def __init__(self, world):
        self._world = world
        self._arrived = deque()

    def put(self, job, outcome):
        self._arrived.append((job, outcome))

    def take(self, min_events, timeout):
        end = self._world.clock.monotonic() + timeout
        has_more = True
        while has_more and not self._arrived:
            has_more = self._world.step(end)
        return self._arrived.popleft() if self._arrived else None


@dataclass
class World:
    """All searchers, the catalogue and the schedule of actions."""

    by_address: dict[str, Searcher] = field(default_factory=dict)
    clock: ManualClock = field(default_factory=ManualClock)
    rng: random.Random = field(default_factory=lambda: random.Random(1))

    def __post_init__(self):
        self.leaving_searchers = LeavingSearchers(self.clock, 'fake')
        self.served_snapshots = ServedSnapshots(self.clock)
        self.state = PlatformState()
        self.pools = FakePools(self)
        self.ran = []
        self.attempt_ids = set()
        self.session = []
        self._scheduled = []
        self._sequence = itertools.count()
        backends = Backends(
            self.pools,
            self.served_snapshots,
            AttemptIds('fake'),
            self.clock,
            lambda: FakeInbox(self),
        )
        self.runner = QueryRunner(
            Pinning(
                self.state,
                self.pools,
                self.leaving_searchers,
                self.served_snapshots,
            ),
            Policies(),
            backends,
            TrustingCrashTracker(),
        )

    def publish(self, *snapshots):
        catalogue = Catalogue(SERVICE, snapshots)
        self.state.catalogue_by_service[SERVICE] = catalogue
        self.pools.apply_catalogue(catalogue)
        self.log(
            'platform',
            'publishes',
            *[snapshot.snapshot_id for snapshot in snapshots],
        )

    def log(self, actor, *words):
        """Add a line with the current time to the session log."""
        at = round((self.clock.monotonic() - START) * 1000, 3)
        self.session.append(f'{at:8} ms  {actor:12} {" ".join(words)}')

    def ask(self, token, document, timeout):
        """Run one query and return its answer or refusal."""
        deadline = self.clock.monotonic() + timeout
        query = Query('same-id', SERVICE, json.dumps(token).encode(), deadline)
        return self.runner.run(query, document)

    def schedule(self, seconds, action):
        """Schedule an action after `seconds`."""
        at = self.clock.monotonic() + seconds
        heapq.heappush(self._scheduled, (at, next(self._sequence), action))

    def step(self, end):
        """Run the next action due by `end`; return False if there is none."""
        due = self._scheduled[0][0] if self._scheduled else end + 1
        now = self.clock.monotonic()
        self.clock.advance(max(min(due, end) - now, 0))
        if due > end:
            return False
        heapq.heappop(self._scheduled)[-1]()
        return True

    def run_until_idle(self):
        """Run all scheduled actions."""
        has_more = True
        while has_more:
            has_more = self.step(self.clock.monotonic() + 60)

    def receive(self, address, job):
        searcher, request = self.by_address[address], job.request
        assert request.attempt_id not in self.attempt_ids
        self.attempt_ids.add(request.attempt_id)
        job.searcher, job.sent_at = address, self.clock.monotonic()
        self.log(address, 'gets', request.attempt_id, request.snapshot)
        if not searcher.is_up:
            lost = NotRun(address, OutcomeTag.NOT_SENT, 'refused')
            self.schedule(0, lambda: self.deliver(job, lost))
        elif searcher.mode != 'silent':
            is_late = searcher.mode == 'late'
            body = self._body(searcher, request)
            self.schedule(
                LATE_SECONDS if is_late else searcher.latency,
                lambda: self._reply(address, job, body),
            )

    def deliver(self, job, outcome):
        job.ended_at = self.clock.monotonic()
        job.deliver(job, outcome)

    def _reply(self, address, job, full_body):
        searcher = self.by_address[address]
        reply_body = full_body
        if searcher.mode == 'swapped' and searcher.previous_body:
            reply_body = searcher.previous_body
        elif searcher.mode == 'cut':
            reply_body = full_body[: len(full_body) // 2]
        searcher.previous_body = full_body
        try:
            outcome = parse_reply(
                address,
                job.request,
                RawReply(
                    STATUS_BY_OUTCOME[json.loads(full_body)['outcome']],
                    reply_body,
                ),
            )
        except ReplyError as error:
            outcome = MayHaveRun(address, error.tag, str(error))
        description = getattr(outcome, 'snapshot', None) or outcome.detail
        self.log(
            address, 'replies', searcher.mode, outcome.tag.value, description
        )
        for _ in range(1 + (searcher.mode == 'doubled')):
            self.deliver(job, outcome)

    def _body(self, searcher, request):
        mode, wanted = searcher.mode, request.snapshot
        serves = [] if mode == 'mute' else searcher.serves
        reply = {'attempt_id': request.attempt_id, 'serves': serves}
        if mode == 'shed' or not searcher.serves:
            return json.dumps(reply | {'outcome': 'shed'}).encode()
        used = 's0' if mode == 'older' else wanted
        if wanted not in searcher.serves:
            return json.dumps(reply | {'outcome': 'wrong_snapshot'}).encode()
        self.ran.append(request.body)
        held = self.held_indexes(used, request.instance)
        found = held[: {'partial': 1, 'empty': 0}.get(mode, len(held))]
        reply |= {
            'outcome': 'answered',
            'snapshot': used,
            'records': [
                [used, request.instance, index, json.loads(request.body)]
                for index in found
            ],
            'covered': len(held if mode == 'empty' else found),
            'total': 0 if mode == 'empty' else len(held),
        }
        return json.dumps(reply).encode()

    def held_indexes(self, snapshot, instance):
        """Return the indexes of the records that an instance holds."""
        number = int(instance.rpartition('-')[2])
        return list(range(4 + number))
