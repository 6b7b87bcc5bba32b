"""Settings of the failure detector, with the reasons for their defaults. Times are in microseconds."""

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class FailureDetectorOptions:
    """How fast a failure is detected, and how sure the detector must be."""

    period_us: int = 1_000_000
    """Between two pings of ours. The first member notices a crash within some 1.6 periods, whatever their
    number."""

    ack_timeout_us: int = 400_000
    """For a direct ack: twice 100 ms of delay, and as much again for a busy process."""

    indirect_ack_timeout_us: int = 600_000
    """For an indirect ack after that: four ways of 100 ms, and half as much again."""

    indirect_pings: int = 3
    """Members that are asked for an indirect ping."""

    attempts: int = 3
    """Failed attempts, direct and indirect, before a member is suspect: where one message in five is lost,
    one attempt in 14 fails, three in a row one time in 2,500."""

    suspicion_periods: float = 5.0
    """Time for a suspect to refute, in periods, multiplied by the logarithm to base 10 of the members; counts
    for a single reporter."""

    min_suspicion_factor: float = 0.5
    """What remains of that time once ``max_reporters`` others have reported the suspect independently."""

    max_reporters: int = 3
    """Independent reporters that shorten the suspicion as far as it goes."""

    gossip_factor: float = 1.5
    """How often each update is sent, multiplied by the logarithm to base 2 of the members."""

    max_updates: int = 24
    """Updates in one message: below 1 KB, so that a message fits one packet."""

    dead_ping_interval: int = 5
    """Every so many periods a dead member is pinged too, so that a healed partition is noticed."""

    recent_us: int = 1_000_000
    """A member from which something was received within this time is not pinged."""

    pause_us: int = 2_000_000
    """Without a tick for so long, this process was paused. Ticks come ten times a second."""
