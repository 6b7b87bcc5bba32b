"""Changes of cordons that were requested at a member of the control group, and the progress of each.

A change is *accepted* once a majority of the control group's voters stores it, so that it can no longer be
lost (in ``serve`` mode, in which schedulers send without a lease, one voter is enough). It is *in force* once
no scheduler can act without it. A change is written as one record for each of its targets. A progress report
(`Progressed`) refers to a record by the number that the write of the record returned. This module performs no
I/O.
"""

from collections.abc import Collection, Iterable
from dataclasses import dataclass, field

from robinhill.control.actions import Progressed

MAX_PENDING_RECORDS = 512
"""The maximum number of tracked records. Beyond it the oldest records without a waiting caller are no longer
tracked; their changes take effect nevertheless."""

STORED, ACCEPTED, IN_FORCE = "stored", "accepted", "in force"


@dataclass(slots=True, eq=False)
class PendingChange:
    """A change that one call has written.

    ``began_us``: the time of the call, monotonic. ``dots``: the dots (identities of writes, see
    `cordon.value`) of the reasons that the change set; empty for a lift. ``waiters``: the number of callers
    that wait for the change. ``progress``: the last report of each record, by the record's number; None
    before the first report.
    """

    cordon_id: str
    targets: tuple[str, ...]
    is_lift: bool
    began_us: int
    dots: tuple[str, ...] = ()
    waiters: int = 0
    progress: dict[int, Progressed | None] = field(default_factory=dict)

    @property
    def accepted(self) -> bool:
        """Whether all records of the change are accepted."""
        return all(last is not None and (last.accepted or last.in_force) for last in self.progress.values())

    @property
    def in_force(self) -> bool:
        """Whether all records of the change are in force."""
        return all(last is not None and last.in_force for last in self.progress.values())

    @property
    def state(self) -> str:
        """The state of the change, as it is written in answers to operators."""
        if self.in_force:
            return IN_FORCE
        return ACCEPTED if self.accepted else STORED

    @property
    def lagging_count(self) -> int:
        """The number of voters and schedulers not known to have applied the change; 0 before any report."""
        return max((last.lagging.count for last in self._reports()), default=0)

    @property
    def lagging_names(self) -> tuple[str, ...]:
        """Names of some voters and schedulers not known to have applied the change, ascending."""
        return tuple(sorted({name for last in self._reports() for name in last.lagging.names}))

    def _reports(self) -> Iterable[Progressed]:
        return (last for last in self.progress.values() if last is not None)


class PendingChanges:
    """The changes of this process with a tracked record, and those that set a cordon which is still active.

    A record is tracked until it is in force, or is abandoned (`abandon_excess`).
    """

    def __init__(self) -> None:
        self._by_number: dict[int, PendingChange] = {}
        self._by_dot: dict[str, PendingChange] = {}

    def track(self, change: PendingChange, number: int) -> None:
        """Track the record ``number`` of a change."""
        change.progress[number] = None
        self._by_number[number] = change
        for dot in change.dots:
            self._by_dot[dot] = change

    def record_progress(self, report: Progressed) -> PendingChange | None:
        """Record a progress report. Returns the change concerned; None if the record is not tracked."""
        change = self._by_number.get(report.number)
        if change is None:
            return None
        change.progress[report.number] = report
        if report.in_force:
            del self._by_number[report.number]
        return change

    def find_by_dot(self, dot: str) -> PendingChange | None:
        """Return the change that set the reason with this dot; None if it is not among these changes."""
        return self._by_dot.get(dot)

    def pending_count(self) -> int:
        """Return the number of changes with at least one tracked record, which is not in force yet."""
        return len({id(change) for change in self._by_number.values()})

    def abandon_excess(self) -> list[int]:
        """Stop tracking the oldest records beyond MAX_PENDING_RECORDS that no caller waits for.

        Returns the numbers of these records.
        """
        excess = len(self._by_number) - MAX_PENDING_RECORDS
        if excess <= 0:
            return []
        idle = [number for number, change in self._by_number.items() if not change.waiters][:excess]
        for number in idle:
            del self._by_number[number]
        return idle

    def forget_ended(self, active_dots: Collection[str]) -> None:
        """Remove the changes that are in force and whose reason is no longer active."""
        for dot, change in list(self._by_dot.items()):
            if dot not in active_dots and change.in_force:
                del self._by_dot[dot]
