"""Carries out operators' calls at a scheduler that shares state with peers.

This module writes and tracks the requested changes, answers the calls, and owns the calls that wait. The
actor handles all other effects of a change, in the function that it passes as ``on_written``.
"""

import asyncio
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass

from msgspec import UNSET

from robinhill.cordon import value, views
from robinhill.cordon.index import CordonIndex
from robinhill.cordon.propagation import PropagationStage
from robinhill.cordon.propagation_tracker import PropagationTracker, TrackedChange
from robinhill.mesh.records import Record
from robinhill.net.clock import Clock
from robinhill.net.cordons.cordon_records import CordonRecords
from robinhill.net.cordons.fleet import Fleet
from robinhill.net.cordons.operator_calls import CordonCall, change_warnings, handle_call, select_cordons
from robinhill.net.cordons.replies import (
    ChangeReply,
    ErrorReply,
    ListingReply,
    make_answer,
    make_cordon_reply,
)
from robinhill.net.cordons.status_report import StatusReport
from robinhill.protocol import Answer


@dataclass(slots=True, eq=False)
class CallWait:
    """A call that waits until its change has reached ``stage``, or until ``deadline_us`` (monotonic)."""

    change: TrackedChange
    stage: PropagationStage
    deadline_us: int
    reply: asyncio.Future[Answer]


class MeshCalls:
    """Carries out operators' calls about cordons.

    ``mono_us`` reads the monotonic clock; ``on_written`` is called with the records that a change wrote.
    """

    def __init__(
        self,
        fleet: Fleet,
        records: CordonRecords,
        tracker: PropagationTracker,
        index: CordonIndex,
        report: StatusReport,
        mono_us: Callable[[], int],
        on_written: Callable[[Sequence[Record]], None],
    ) -> None:
        self.fleet = fleet
        self.records = records
        self.tracker = tracker
        self.index = index
        self.report = report
        self.mono_us = mono_us
        self.on_written = on_written
        self._waits: list[CallWait] = []

    @property
    def clock(self) -> Clock:
        """The clock from which the times in records are read; they are Unix times."""
        return self.records.clock

    def handle(self, call: CordonCall) -> None:
        """Carry out a call. A call that changes cordons is answered later, by `answer_due`."""
        handle_call(call, self, views.HTTP_STATUS)

    def show(self, cordon_id: str) -> ListingReply:
        """Return the cordon with an ID, or all cordons for '', and the status of each scheduler.

        Raises CordonUnknown if no active cordon has the ID.
        """
        now_us = self.mono_us()
        listing = views.list_cordons(now_us, self.index, self.tracker.propagations)
        cordons = tuple(
            make_cordon_reply(view, self.tracker.lagging_peers(view.target))
            for view in select_cordons(listing.cordons, cordon_id)
        )
        return ListingReply(cordons, listing.cordoned_workers, self.report.schedulers(now_us))

    def change(self, call: CordonCall) -> None:
        """Write the change that a call requests, and track its propagation to the other schedulers."""
        requested = self.records.prepare_change(call)
        key = str(requested.cordon.dot) if requested.cordon else f"lift {self.records.next_counter()}"
        wait_us = call.wait_us
        now_us = self.mono_us()
        self.tracker.propagations.reserve()  # raises if the call must be rejected, so it precedes the write
        replica, unix_us = self.records.replica, self.clock.now_us()
        written = [
            replica.write(unix_us, value.NAME, target, new) for target, new in requested.values.items()
        ]
        change = self.tracker.track(
            now_us,
            key,
            call.cordon_id,
            written,
            is_lift=requested.is_lift,
            deadline_us=None if wait_us is None else now_us + wait_us,
            stored=self.fleet.sends_without_lease or self.report.freshness.caught_up,
        )
        self._wait(call, change, now_us, wait_us)
        self.on_written(written)
        requested.write_log()

    def answer_due(self, now_us: int) -> None:
        """Answer the calls whose change has reached its stage, or whose deadline has passed."""
        for wait in list(self._waits):
            reached = wait.change.propagation.advance(now_us) >= wait.stage
            if wait.reply.done():
                self._waits.remove(wait)
            elif reached or now_us >= wait.deadline_us:
                self._waits.remove(wait)
                self._answer(wait, now_us, reached=reached)

    def deadlines_us(self) -> Iterable[int]:
        """Yield the times on the monotonic clock at which `answer_due` must be called again."""
        yield from (wait.deadline_us for wait in self._waits)
        next_us = self.tracker.propagations.next_deadline_us()
        if next_us is not None:
            yield next_us

    def stop(self) -> None:
        """Answer all waiting calls with status 503, because this process ends."""
        for wait in self._waits:
            if not wait.reply.done():
                wait.reply.set_result(make_answer(503, ErrorReply("this scheduler is shutting down")))

    def _wait(self, call: CordonCall, change: TrackedChange, now_us: int, wait_us: int | None) -> None:
        if wait_us is None:
            stage, timeout_us = PropagationStage.ACCEPTED, self.fleet.bound_us
        else:
            stage, timeout_us = PropagationStage.IN_FORCE, wait_us
        self._waits.append(CallWait(change, stage, now_us + timeout_us, call.reply))

    def _answer(self, wait: CallWait, now_us: int, *, reached: bool) -> None:
        body = self._describe(wait.change, now_us)
        if reached:
            status = 200
        else:
            status = 504 if wait.stage is PropagationStage.IN_FORCE else 202
            missing = self.tracker.missing_holders(wait.change)
            if error := wait.change.propagation.failure(now_us, missing):
                body = body.with_error(error)
        wait.reply.set_result(make_answer(status, body))

    def _describe(self, change: TrackedChange, now_us: int) -> ChangeReply:
        propagation = change.propagation
        stage = propagation.advance(now_us)
        targets = tuple(sorted(change.stamps))
        return ChangeReply(
            id=change.cordon_id,
            targets=targets,
            state=views.STAGE_NAMES[stage],
            accepted=stage >= PropagationStage.ACCEPTED,
            in_force=stage is PropagationStage.IN_FORCE,
            ms=(now_us - change.began_us) / 1000,
            unconfirmed=views.view_unconfirmed(now_us, propagation),
            warnings=UNSET if propagation.is_lift else change_warnings(self.index, targets),
        )
