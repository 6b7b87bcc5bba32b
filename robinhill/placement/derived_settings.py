"""Times and limits that the decision module computes once from its settings."""

from dataclasses import dataclass
from math import inf

from robinhill import api


@dataclass(slots=True, frozen=True)
class DerivedSettings:
    """Values computed from the settings alone; times in microseconds."""

    list_spread_us: int  # window over which the schedulers' first polls for the endpoint list are spread
    # Longest time between checks of the queue. It is also a tolerance in the detection of retries: a client's
    # retry leaves less time until the client's deadline than its first request, but a request that leaves
    # less time by no more than this tolerance counts as a first request.
    tick_us: int
    min_concurrency_limit: float  # lower bound of a worker's concurrency limit
    # An attempt without progress for this long counts as lost; 0: workers do not report progress.
    progress_timeout_us: int
    # A worker may close a connection that is idle for longer; inf: idle time does not matter, because the
    # settings set no price for a new connection.
    max_idle_us: float
    can_cancel_unstarted: bool  # True if workers report starts, and attempts can be cancelled
    can_check_health: bool  # True if workers answer health checks, and attempts can be cancelled

    @classmethod
    def from_settings(
        cls, settings: api.Settings, list_poll_us: int, max_fleet_jobs_waiting: float
    ) -> "DerivedSettings":
        """Derive the values from ``settings``.

        ``list_poll_us``: time that discovery spends on a poll; ``max_fleet_jobs_waiting``: jobs of all
        schedulers together that may wait at one worker.
        """
        tick_us = min(c.latency_objective_us for c in settings.classes) // 4 + 1000
        return cls(
            list_spread_us=min(settings.poll_interval_us // 2, list_poll_us * settings.fleet_size),
            tick_us=tick_us,
            min_concurrency_limit=min(1.0, max(0.2, max_fleet_jobs_waiting / settings.fleet_size)),
            progress_timeout_us=settings.progress_us * 3 // 2,
            max_idle_us=settings.keepalive_us - tick_us if settings.handshake_price else inf,
            can_cancel_unstarted=settings.reports_start and settings.cancelling,
            can_check_health=settings.probes and settings.cancelling,
        )
