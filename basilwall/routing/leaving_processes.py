"""Processes of searchers that have said that they leave.

A process that has begun to leave doesn't return, but the platform may lose its
report and list an older one again, and it may say so in replies only.
"""

from collections import OrderedDict

from basilwall.records.ids import SearcherId
from basilwall.records.searcher import Searcher, is_same_process

#: Further processes replace those that were added first.
MAX_PROCESSES = 4096


class LeavingProcesses:
    """The latest process of each searcher that has said that it leaves."""

    def __init__(self) -> None:
        self._by_id: OrderedDict[SearcherId, Searcher] = OrderedDict()

    def __contains__(self, searcher: Searcher) -> bool:
        """Return whether this process has said that it leaves."""
        return is_same_process(self._by_id.get(searcher.searcher_id), searcher)

    def add(self, searcher: Searcher) -> bool:
        """Add a process; False if it had been added before."""
        if searcher in self:
            return False
        self._by_id[searcher.searcher_id] = searcher
        self._by_id.move_to_end(searcher.searcher_id)
        if len(self._by_id) > MAX_PROCESSES:
            self._by_id.popitem(last=False)
        return True
