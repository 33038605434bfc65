"""Model of the gossip between VMs: what they know of searchers' limits."""

from collections.abc import Sequence
from functools import partial

from basilwall.simulation.deployment import ModelVm
from basilwall.simulation.virtual_time import VirtualTime

#: Time between two exchanges of a VM.
INTERVAL_SECONDS = 1.0


def schedule_gossip(
    vms: Sequence[ModelVm], time: VirtualTime, seconds: float
) -> None:
    """Schedule the exchanges of all VMs, each with the others in turn.

    Args:
        vms: All VMs.
        time: Virtual time.
        seconds: When the exchanges end.
    """
    for position, vm in enumerate(vms):
        starts_at = INTERVAL_SECONDS * position / len(vms)
        for round_number in range(int(seconds / INTERVAL_SECONDS)):
            distance = 1 + (round_number + position) % (len(vms) - 1)
            other = vms[(position + distance) % len(vms)]
            time.call_at(
                starts_at + round_number * INTERVAL_SECONDS,
                partial(_exchange, vm, other),
            )


def _exchange(vm: ModelVm, other: ModelVm) -> None:
    for sender, receiver in ((vm, other), (other, vm)):
        for notice in sender.selector.rate_limit_notices():
            receiver.selector.apply_rate_limit(notice)
