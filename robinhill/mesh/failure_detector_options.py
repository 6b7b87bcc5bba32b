"""Settings of the failure detector, with the reasons for their defaults. Times are in microseconds."""

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class FailureDetectorOptions:
    """Settings that trade the speed of failure detection against false suspicions and traffic."""

    period_us: int = 1_000_000
    """Interval between two pings by one member. The first member to detect a crash does so within some 1.6
    periods, independent of the number of members."""

    ack_timeout_us: int = 400_000
    """Timeout of a direct ack: network delays of 100 ms in each direction, and another 200 ms for a busy
    process."""

    indirect_ack_timeout_us: int = 600_000
    """Timeout of an indirect ack, counted from the end of ``ack_timeout_us``: 400 ms for four messages with a
    delay of 100 ms each, and half as much again."""

    indirect_pings: int = 3
    """Number of members that are asked for an indirect ping."""

    attempts: int = 3
    """Number of consecutive failed attempts after which a member is suspect. An attempt consists of a direct
    ping and the indirect pings. If one message in five is lost, one attempt in 14 fails, and three
    consecutive attempts fail one time in 2,500."""

    suspicion_periods: float = 5.0
    """A suspect with a single reporter has this many periods to refute the suspicion, multiplied by the
    logarithm to base 10 of the number of members (at least 10)."""

    min_suspicion_factor: float = 0.5
    """Fraction of the time for a refutation that remains once ``max_reporters`` members in addition to the
    first one have reported the suspect independently."""

    max_reporters: int = 3
    """Number of independent reporters, in addition to the first one, from which ``min_suspicion_factor``
    applies in full."""

    gossip_factor: float = 1.5
    """Each update is sent this many times, multiplied by the logarithm to base 2 of the number of members,
    and at least `member_table.MIN_GOSSIP_SENDS` times."""

    max_updates: int = 24
    """Maximum number of updates in one message: less than 1 KB, so that a message fits into one packet."""

    dead_ping_interval: int = 5
    """Number of periods from one ping of a dead member to the next; the pings detect the end of a
    partition."""

    recent_us: int = 1_000_000
    """A member is not pinged if a message was received from it directly within this time."""

    pause_us: int = 2_000_000
    """The process counts as paused if the detector was not called for this time; its owner calls it ten times
    a second."""
