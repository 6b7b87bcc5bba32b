"""Times and bounds worked out once from the settings, for the decision module."""

from dataclasses import dataclass
from math import inf

from robinhill import api


@dataclass(slots=True, frozen=True)
class Derived:
    """What follows from the settings alone; times in microseconds."""

    list_spread_us: int  # first calls for the list are spread over so long
    tick_us: int  # held jobs are looked at at least so often; shorter differences of time count for nothing
    least_limit: float  # the lowest limit of a worker
    silence_us: int  # an attempt not heard of for so long after its start is lost; 0: progress is not told
    idle_limit_us: float  # a connection idle for longer may be closed; without end: new ones cost nothing
    checks_attempts: bool  # attempts that do not start can be seen and cancelled
    probes_workers: bool  # workers may be probed, and their jobs moved

    @classmethod
    def of(cls, settings: api.Settings, call_us: int, in_line: float) -> "Derived":
        """``call_us``: a call's time at the directory; ``in_line``: own jobs of all nodes that may wait."""
        tick_us = min(c.aim_us for c in settings.classes) // 4 + 1000
        return cls(
            list_spread_us=min(settings.ask_every_us // 2, call_us * settings.fleet_size),
            tick_us=tick_us,
            least_limit=min(1.0, max(0.2, in_line / settings.fleet_size)),
            silence_us=settings.progress_us * 3 // 2,
            idle_limit_us=settings.keepalive_us - tick_us if settings.handshake_price else inf,
            checks_attempts=settings.tells_start and settings.cancelling,
            probes_workers=settings.probes and settings.cancelling,
        )
