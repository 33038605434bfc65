"""Searchers that end under a request content and soon start again."""

import contextlib
import threading
import time

from basilwall.standin.platform_searcher import PlatformSearcherStandIn

#: Part of the target of a request that ends each searcher that runs it.
CRASHING = b'crashing'
POLL_SECONDS = 0.02


class Restarts:
    """Starts each searcher that ended again, as platforms do.

    It comes back at the same address under another id. `ended` are the ids of
    the processes that ended, in order.
    """

    def __init__(self, stage, restart_seconds, work_seconds=0.05):
        self.ended = []
        self._stage = stage
        self._restart_seconds = restart_seconds
        self._work_seconds = work_seconds
        self._stopping = threading.Event()
        self._due = []
        for searcher in stage.searcher_by_id.values():
            self._arm(searcher)

    def run(self):
        """Watch the searchers until `stop`."""
        while not self._stopping.wait(POLL_SECONDS):
            for searcher_id, searcher in tuple(
                self._stage.searcher_by_id.items()
            ):
                if searcher.crash.has_ended and searcher_id not in self.ended:
                    self.ended.append(searcher_id)
                    due_at = time.monotonic() + self._restart_seconds
                    self._due.append((due_at, searcher_id))
            while self._due and self._due[0][0] <= time.monotonic():
                self._restart(self._due.pop(0)[1])

    def set_work_seconds(self, seconds):
        """Set how long the searchers take for a request, later ones too."""
        self._work_seconds = seconds
        for searcher in self._stage.searcher_by_id.values():
            searcher.work_seconds = seconds

    def stop(self):
        """End `run`."""
        self._stopping.set()

    def _restart(self, ended_id):
        ended = self._stage.searcher_by_id[ended_id]
        base, _, number = ended_id.partition('#')
        new_id = f'{base}#{int(number or 1) + 1}'
        service, _, zone = base.partition('.')
        records = [ended.body[:16]]
        started = PlatformSearcherStandIn(ended.address, new_id, records)
        self._arm(started)
        started.start()
        self._stage.searcher_by_id[new_id] = started
        self._stage.list_searcher(new_id, service, zone=zone)
        self._stage.store.remove(f'servers/{ended_id}')

    def _arm(self, searcher):
        searcher.crash.content = CRASHING
        searcher.work_seconds = self._work_seconds


@contextlib.contextmanager
def restarts(stage, restart_seconds=1.0):
    """Let searchers end under the content, and start them again.

    Yields:
        What keeps the ids of the searchers that ended.
    """
    restarting = Restarts(stage, restart_seconds)
    thread = threading.Thread(target=restarting.run, daemon=True)
    thread.start()
    try:
        yield restarting
    finally:
        restarting.stop()
        thread.join()
        for searcher in tuple(stage.searcher_by_id.values()):
            searcher.stop()
