"""Settings of the failure detector, with the reasons for their defaults. Times are in microseconds."""

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class FailureDetectorOptions:
    """Settings that trade the speed of failure detection against false suspicions and traffic."""

    period_us: int = 1_000_000
    """Interval between two pings by one member. The first member to notice a crash does so within some 1.6
    periods, independent of the number of members."""

    ack_timeout_us: int = 400_000
    """Timeout of a direct ack: a delay of 100 ms each way, and as much again for a busy process."""

    indirect_ack_timeout_us: int = 600_000
    """Timeout of an indirect ack, counted from the end of ``ack_timeout_us``: four messages of 100 ms each,
    and half as much again."""

    indirect_pings: int = 3
    """Number of members that are asked for an indirect ping."""

    attempts: int = 3
    """Number of failed attempts before a member is suspect; an attempt includes the direct and the indirect
    pings. If one message in five is lost, one attempt in 14 fails, and three in a row one time in 2,500."""

    suspicion_periods: float = 5.0
    """Time for a suspect to refute if there is a single reporter, in periods; multiplied by the logarithm to
    base 10 of the number of members."""

    min_suspicion_factor: float = 0.5
    """Fraction of the time for a refutation that remains once ``max_reporters`` further members have reported
    the suspect independently."""

    max_reporters: int = 3
    """Number of further independent reporters from which ``min_suspicion_factor`` applies."""

    gossip_factor: float = 1.5
    """Each update is sent this many times, multiplied by the logarithm to base 2 of the number of members."""

    max_updates: int = 24
    """Maximum number of updates in one message: less than 1 KB, so that a message fits into one packet."""

    dead_ping_interval: int = 5
    """Number of periods between two pings of dead members, so that the end of a partition is noticed."""

    recent_us: int = 1_000_000
    """A member is not pinged if something was received from it directly within this time."""

    pause_us: int = 2_000_000
    """The process counts as paused if the detector was not called for this time; it is called ten times a
    second."""
