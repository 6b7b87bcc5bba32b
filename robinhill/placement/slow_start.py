"""Slow start: how often this scheduler may send a job to a worker that has started recently.

A worker in slow start fails if, within ``Settings.tip_after_us``, all schedulers together send it more than
``Settings.fall_multiple`` times the work that it can do at its current speed. Each scheduler therefore
accumulates credit for its next job to such a worker over time, at a pace that is proportional to the number
of own jobs that a worker at full speed completes per microsecond. "Own" jobs are those of this scheduler.
"""

from robinhill.placement.decision_state import DecisionState
from robinhill.placement.records import WorkerRecord

BUDGET_DIVISOR = 2  # the pace uses half of ``fall_multiple``, as random peaks of the load exceed the mean
# Initial age of a worker that must be chosen next, in turns of the rotation (one job for each worker).
UNUSED_TURNS = 1000


class SlowStart:
    """Tracks the credits of the workers in slow start."""

    def __init__(self, state: DecisionState) -> None:
        self.state = state
        self.settings, self.estimates = state.settings, state.estimates

    def begin(self, now: int, worker: WorkerRecord, turn: int) -> None:
        """Add a worker that is new or has restarted to the rotation.

        ``turn``: number of sends in one turn of the rotation, in which each worker gets one job. The worker
        enters at a random point of a turn if it is in slow start, if the settings set a price for handshakes,
        or if it is in another zone and the settings set a price for crossing zones. Otherwise it is chosen
        next.
        """
        state, settings = self.state, self.settings
        started_us = min(worker.entry.started_us, now)  # a start time in the future is a clock error
        worker.slow_start_until_us = started_us + settings.slow_start_us if started_us else 0
        worker.slow_start_credit, worker.slow_start_credit_us = state.random.random(), now
        worker.error_share = 0.0
        crosses_zones = worker.entry.zone != settings.zone and settings.cross_zone_price
        phased = now < worker.slow_start_until_us or settings.handshake_price or crosses_zones
        age = int(worker.tie_breaker * turn) if phased else UNUSED_TURNS * (turn + 1)
        worker.last_send = state.sends - 1 - age

    def pace(self, now: int) -> float:
        """Credit per microsecond for a worker at full speed; a credit of 1 allows one job."""
        estimates = self.estimates
        budget = self.settings.fall_multiple / BUDGET_DIVISOR
        return budget * estimates.worker_throughput(now) / estimates.counted_gap_share(now)

    def allows(self, now: int, worker: WorkerRecord, pace: float) -> bool:
        """Add the credit earned since the last call for this worker; return whether it allows a job."""
        # At most ``tip_after_us`` of the time since the last call earns credit. Otherwise all schedulers
        # would have full credit after a time without jobs, and would send to the worker at the same moment.
        gap = min(now - worker.slow_start_credit_us, self.settings.tip_after_us)
        credit = worker.slow_start_credit + gap * pace * self.estimates.slow_start_share(now, worker)
        if worker.slow_start_credit < 1.0 <= credit:
            phase = int(len(self.state.workers) / self.settings.slow_start_floor)
            worker.last_send = min(worker.last_send, self.state.sends - phase)
        worker.slow_start_credit, worker.slow_start_credit_us = min(1.0, credit), now
        return credit >= 1.0

    @staticmethod
    def spend_credit(worker: WorkerRecord) -> None:
        """Reset the worker's credit because a job is sent to it."""
        worker.slow_start_credit = 0.0
