"""Reads the cordons in a process's replica, and prepares the changes that operators' calls request.

This module never writes to the replica. The caller writes the values of a change, because a scheduler with
peers and a member of the control group write in different ways. A *dot* identifies the write of a reason, see
`cordon.value`.
"""

import logging
from collections.abc import Callable
from dataclasses import dataclass
from typing import cast

from robinhill.cordon import value, views
from robinhill.cordon.value import CordonSet, Dot, Reason
from robinhill.mesh.replica import Replica
from robinhill.net.clock import Clock
from robinhill.net.cordons.operator_calls import CordonCall

log = logging.getLogger(__name__)


@dataclass(slots=True, frozen=True)
class CordonChange:
    """A change that a call requests.

    ``values`` are the new values by target. ``cordon`` is the reason that the change sets, with the dot of
    the write; None for a lift.
    """

    cordon_id: str
    values: dict[str, CordonSet]
    cordon: "NewCordon | None" = None

    @property
    def is_lift(self) -> bool:
        """Whether the change lifts a cordon; otherwise it sets one."""
        return self.cordon is None

    @property
    def targets(self) -> tuple[str, ...]:
        """The targets whose values the change replaces."""
        return tuple(self.values)

    def write_log(self) -> None:
        """Log the change; call this after its values are written."""
        if self.cordon is None:
            log.info("cordon_lifted", extra={"id": self.cordon_id, "targets": ",".join(self.targets)})
            return
        (target,), reason = self.targets, self.cordon.reason
        extra = {"id": reason.id, "target": target, "by": reason.by, "why": reason.text}
        log.info("cordon_set", extra=extra)


@dataclass(slots=True, frozen=True)
class NewCordon:
    """A reason that a change sets, and the dot of the write."""

    reason: Reason
    dot: Dot


class CordonRecords:
    """The cordons in a replica.

    ``origin`` (this scheduler's name) and ``incarnation`` identify this process in the `Dot` of each write.
    """

    def __init__(self, replica: Replica, clock: Clock, origin: str, incarnation: Callable[[], int]) -> None:
        self.replica = replica
        self.clock = clock
        self.origin = origin
        self.incarnation = incarnation
        self._counter = 0

    def items(self) -> list[tuple[str, CordonSet]]:
        """Return the cordons of all targets, as pairs of target and value."""
        return cast(list[tuple[str, CordonSet]], self.replica.items(value.NAME))

    def get(self, target: str) -> CordonSet | None:
        """Return the cordons of a target; None if the replica has no record of the target."""
        return cast(CordonSet | None, self.replica.value(value.NAME, target))

    def next_counter(self) -> int:
        """Increment this process's counter and return it; no value is returned twice within the process."""
        self._counter += 1
        return self._counter

    def prepare_change(self, call: CordonCall) -> CordonChange:
        """Return the change that a PUT or DELETE requests, without writing it. Raises CordonError."""
        return self._prepare_set(call) if call.method == "PUT" else self._prepare_lift(call)

    def needs_renewal(self, target: str, present: CordonSet, now_us: int) -> bool:
        """Return whether a target's record must be rewritten at ``now_us``, as a cordon would outlast it."""
        record = self.replica.record(value.NAME, target)
        if record is None:
            return False
        is_last_writer = record.stamp.origin == self.origin
        return value.needs_renewal(present, record.until_us, now_us, is_last_writer=is_last_writer)

    def _prepare_set(self, call: CordonCall) -> CordonChange:
        now_us = self.clock.now_us()
        target, reason = views.read_put(call.cordon_id, call.body, now_us)
        value.check_id_is_free(self.items(), reason.id, target, now_us)
        dot = Dot(self.origin, self.incarnation(), self.next_counter())
        new = value.set_cordon(self.get(target), reason, dot, now_us)
        return CordonChange(reason.id, {target: new}, NewCordon(reason, dot))

    def _prepare_lift(self, call: CordonCall) -> CordonChange:
        now_us = self.clock.now_us()
        targets = value.find_targets(self.items(), call.cordon_id, now_us)
        new = {target: value.lift_cordon(self.get(target), call.cordon_id, now_us) for target in targets}
        return CordonChange(call.cordon_id, new)
