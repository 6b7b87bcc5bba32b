"""Times and bounds worked out once from the settings, for the decision module."""

from dataclasses import dataclass
from math import inf

from robinhill import api


@dataclass(slots=True, frozen=True)
class DerivedSettings:
    """What follows from the settings alone; times in microseconds."""

    list_spread_us: int  # first calls for the list are spread over so long
    tick_us: int  # held jobs are looked at at least so often; shorter differences of time count for nothing
    min_concurrency_limit: float  # the lowest limit of a worker
    progress_timeout_us: (
        int  # an attempt not heard of for so long after its start is lost; 0: progress is not told
    )
    max_idle_us: float  # a connection idle for longer may be closed; without end: new ones cost nothing
    can_cancel_unstarted: bool  # attempts that do not start can be seen and cancelled
    can_check_health: bool  # workers may be probed, and their jobs moved

    @classmethod
    def from_settings(cls, settings: api.Settings, call_us: int, in_line: float) -> "DerivedSettings":
        """``call_us``: a call's time at the directory; ``in_line``: own jobs of all nodes that may wait."""
        tick_us = min(c.aim_us for c in settings.classes) // 4 + 1000
        return cls(
            list_spread_us=min(settings.ask_every_us // 2, call_us * settings.fleet_size),
            tick_us=tick_us,
            min_concurrency_limit=min(1.0, max(0.2, in_line / settings.fleet_size)),
            progress_timeout_us=settings.progress_us * 3 // 2,
            max_idle_us=settings.keepalive_us - tick_us if settings.handshake_price else inf,
            can_cancel_unstarted=settings.tells_start and settings.cancelling,
            can_check_health=settings.probes and settings.cancelling,
        )
