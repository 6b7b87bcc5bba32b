"""The schedule of pings on a link: when the next ping is due, which are unanswered, and their round trip.

Pongs answer pings. A ping also requests the confirmation of pushes (numbered messages with records), which
the pong contains. Times are monotonic microseconds of this process. ``session`` builds the frames.
"""

PING_GAP_US = 50_000  # minimum time between pings, and from a push to the ping that requests its confirmation
FIRST_TIMEOUT_US = 250_000  # timeout of an answer while the round-trip time is unknown
MIN_TIMEOUT_US = 50_000
MAX_PINGS_IN_FLIGHT = 8  # unanswered pings remembered; the answers to older pings are ignored


class PingSchedule:
    """The pings of one side of a link: one per ``interval_us``, more while a ping or push is unanswered.

    ``due_us``: when the next regular ping is due; pings after lost frames may be due earlier.
    """

    def __init__(self, interval_us: int) -> None:
        self.interval_us = interval_us
        self.round_trip_us: int | None = None  # smoothed; None before the first answer
        self.due_us = 0
        self._last_us = -PING_GAP_US  # the time at which the last ping was written
        self._number = 0
        self._in_flight: dict[int, int] = {}  # by the number of an unanswered ping: the time it was written

    @property
    def timeout_us(self) -> int:
        """How long the answer to a ping or push may take before that frame is considered lost."""
        if self.round_trip_us is None:
            return FIRST_TIMEOUT_US
        return max(MIN_TIMEOUT_US, self.round_trip_us + self.round_trip_us // 2)

    def next_us(self, unconfirmed_pushes: bool) -> int:
        """Return when the next ping is due.

        A ping is due before ``interval_us`` has passed if the last ping or a push may be lost.
        """
        if self._in_flight or unconfirmed_pushes:
            return min(self.due_us, self._last_us + max(PING_GAP_US, self.timeout_us))
        return self.due_us

    def ping_soon(self) -> None:
        """Make the next ping due as soon as ``PING_GAP_US`` allows."""
        self.due_us = min(self.due_us, self._last_us + PING_GAP_US)

    def push_written(self, mono_us: int) -> None:
        """Make a ping due at most ``PING_GAP_US`` after a push; the pong then confirms the push."""
        self.due_us = min(self.due_us, max(mono_us, self._last_us) + PING_GAP_US)

    def pong_written(self, mono_us: int) -> None:
        """If a ping is due within half an interval, make it due at once, to share a message with the pong."""
        if self.due_us - mono_us < self.interval_us // 2:
            self.due_us = mono_us

    def ping_written(self, mono_us: int) -> int:
        """Record a new ping and return its number."""
        self._number += 1
        self._in_flight[self._number] = mono_us
        if len(self._in_flight) > MAX_PINGS_IN_FLIGHT:
            del self._in_flight[next(iter(self._in_flight))]
        self._last_us = mono_us
        self.due_us = mono_us + self.interval_us
        return self._number

    def answered(self, mono_us: int, number: int) -> int | None:
        """Record the answer to ping ``number`` and return its round-trip time.

        Earlier pings count as answered too. None if no ping of this number is unanswered.
        """
        if (written_us := self._in_flight.get(number)) is None:
            return None
        for earlier in [n for n in self._in_flight if n <= number]:
            del self._in_flight[earlier]
        took_us = mono_us - written_us
        mean_us = took_us if self.round_trip_us is None else self.round_trip_us
        self.round_trip_us = mean_us + (took_us - mean_us) // 4
        return took_us
