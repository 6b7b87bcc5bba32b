"""Times and bounds that the decision module computes once from its settings."""

from dataclasses import dataclass
from math import inf

from robinhill import api


@dataclass(slots=True, frozen=True)
class DerivedSettings:
    """What follows from the settings alone; times in microseconds."""

    list_spread_us: int  # window over which first polls for the endpoint list are spread
    tick_us: int  # longest time between checks of the queue; shorter differences of time are ignored
    min_concurrency_limit: float  # of a worker
    progress_timeout_us: int  # an attempt without progress for so long is lost; 0: progress is not reported
    max_idle_us: float  # a connection idle for longer may be closed; infinite: new ones cost nothing
    can_cancel_unstarted: bool  # attempts that have not started are known and can be cancelled
    can_check_health: bool  # workers answer health checks, and their jobs can be cancelled

    @classmethod
    def from_settings(
        cls, settings: api.Settings, list_poll_us: int, fleet_jobs_in_line: float
    ) -> "DerivedSettings":
        """``list_poll_us``: cost of a poll at discovery; ``fleet_jobs_in_line``: jobs of all schedulers that
        may wait at one worker.
        """
        tick_us = min(c.latency_objective_us for c in settings.classes) // 4 + 1000
        return cls(
            list_spread_us=min(settings.poll_interval_us // 2, list_poll_us * settings.fleet_size),
            tick_us=tick_us,
            min_concurrency_limit=min(1.0, max(0.2, fleet_jobs_in_line / settings.fleet_size)),
            progress_timeout_us=settings.progress_us * 3 // 2,
            max_idle_us=settings.keepalive_us - tick_us if settings.handshake_price else inf,
            can_cancel_unstarted=settings.reports_start and settings.cancelling,
            can_check_health=settings.probes and settings.cancelling,
        )
