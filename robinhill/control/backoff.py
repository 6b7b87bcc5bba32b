"""Schedules connection attempts to voters: exponential backoff with jitter, and a timeout for each
attempt."""

from dataclasses import dataclass
from random import Random

MIN_BACKOFF_US = 100_000
MAX_BACKOFF_US = 1_000_000
"""Maximum wait between two attempts to connect to a voter. It is a quarter of the 4 s within which the
replicas in a region must be synchronized again after a network partition heals."""

CONNECT_TIMEOUT_US = 1_000_000
"""A connection attempt without a result for longer than this counts as failed."""


@dataclass(slots=True)
class _VoterState:
    backoff_us: int = 0
    due_us: int = 0
    connecting_since_us: int | None = None


class Backoff:
    """The connection attempt in flight and the backoff of each voter. Times are monotonic microseconds."""

    def __init__(self, rng: Random) -> None:
        self._rng = rng
        self._states: dict[str, _VoterState] = {}

    @property
    def connecting(self) -> frozenset[str]:
        """Voters to which a connection attempt is in flight."""
        return frozenset(name for name, one in self._states.items() if one.connecting_since_us is not None)

    def due_us(self, voter: str) -> int:
        """Time at which the next attempt to this voter may start; 0 if the voter has no backoff."""
        state = self._states.get(voter)
        return state.due_us if state is not None else 0

    def connect(self, mono_us: int, voter: str) -> None:
        """Record that a connection attempt to a voter starts at ``mono_us``."""
        self._state(voter).connecting_since_us = mono_us

    def connected(self, voter: str) -> None:
        """Record that the attempt succeeded; the voter's next backoff starts from `MIN_BACKOFF_US`."""
        self._states.pop(voter, None)

    def failed(self, mono_us: int, voter: str) -> None:
        """Record that the attempt failed or the connection ended.

        The backoff starts at `MIN_BACKOFF_US` and doubles with each further failure, up to `MAX_BACKOFF_US`.
        The wait before the next attempt is a random time between half of the backoff and the whole backoff.
        """
        state = self._state(voter)
        state.connecting_since_us = None
        state.backoff_us = min(MAX_BACKOFF_US, 2 * state.backoff_us or MIN_BACKOFF_US)
        state.due_us = mono_us + self._rng.randint(state.backoff_us // 2, state.backoff_us)

    def expire(self, mono_us: int) -> None:
        """Record attempts that are in flight for longer than `CONNECT_TIMEOUT_US` as failed."""
        for name, state in self._states.items():
            since_us = state.connecting_since_us
            if since_us is not None and mono_us - since_us > CONNECT_TIMEOUT_US:
                self.failed(mono_us, name)

    def expires_us(self) -> int | None:
        """Time at which the oldest attempt in flight times out; None if no attempt is in flight."""
        since_us = [at for state in self._states.values() if (at := state.connecting_since_us) is not None]
        return min(since_us) + CONNECT_TIMEOUT_US + 1 if since_us else None

    def _state(self, voter: str) -> _VoterState:
        return self._states.setdefault(voter, _VoterState())
