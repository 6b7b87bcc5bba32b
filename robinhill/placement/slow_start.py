"""Slow start: how often a worker that is warming up gets a job of this scheduler.

All schedulers together may send it no more than its budget, so each earns credit towards its next job as time
goes by, at a pace that follows what workers bear.
"""

from robinhill.placement.decision_state import DecisionState
from robinhill.placement.records import WorkerRecord

BUDGET_SHARE = 2  # of its budget a worker is to get one half, as chance adds to it
UNUSED_TURNS = 1000  # age of a worker that was never used, in turns of the rotation


class SlowStart:
    """Credits of the workers that are warming up."""

    def __init__(self, state: DecisionState) -> None:
        self.state = state
        self.settings, self.estimates = state.settings, state.estimates

    def begin(self, now: int, worker: WorkerRecord, turn: int) -> None:
        """Begin a worker's rotation; ``turn``: sends after which each worker has had one.

        One in slow start, or in a zone with a price, begins at a random phase of a turn; others come next.
        """
        state, settings = self.state, self.settings
        started_us = min(worker.entry.started_us, now)  # one ahead of our clock is the clock's error
        worker.slow_start_until_us = started_us + settings.slow_start_us if started_us else 0
        worker.slow_start_credit, worker.slow_start_credit_us = state.random.random(), now
        worker.error_share = 0.0
        crosses_zones = worker.entry.zone != settings.zone and settings.cross_zone_price
        phased = now < worker.slow_start_until_us or settings.handshake_price or crosses_zones
        age = int(worker.tie_breaker * turn) if phased else UNUSED_TURNS * (turn + 1)
        worker.last_send = state.sends - 1 - age

    def pace(self, now: int) -> float:
        """Credit per microsecond of a worker at full speed."""
        estimates = self.estimates
        budget = self.settings.fall_multiple / BUDGET_SHARE
        return budget * estimates.worker_throughput(now) / estimates.counted_gap_share(now)

    def allows(self, now: int, worker: WorkerRecord, pace: float) -> bool:
        """Add the credit earned since the last call; whether it is enough for a job."""
        # Uncut, the gap of a lull would let all schedulers send at the first burst after it.
        gap = min(now - worker.slow_start_credit_us, self.settings.tip_after_us)
        credit = worker.slow_start_credit + gap * pace * self.estimates.slow_start_share(now, worker)
        if worker.slow_start_credit < 1.0 <= credit:
            phase = int(len(self.state.workers) / self.settings.slow_start_floor)
            worker.last_send = min(worker.last_send, self.state.sends - phase)
        worker.slow_start_credit, worker.slow_start_credit_us = min(1.0, credit), now
        return credit >= 1.0

    @staticmethod
    def use(worker: WorkerRecord) -> None:
        """A job goes to the worker: its credit is spent."""
        worker.slow_start_credit = 0.0
