"""When to connect to a voter again: pauses that double, with jitter so that a heal causes no storm."""

from dataclasses import dataclass
from random import Random

MIN_BACKOFF_US = 100_000
MAX_BACKOFF_US = 1_000_000
"""A region that was cut off must be in step within 4 s after the heal; this is a quarter of it."""

CONNECT_TIMEOUT_US = 1_000_000
"""A connection of which nothing is heard for so long may be asked for again."""


@dataclass(slots=True)
class _State:
    backoff_us: int = 0
    due_us: int = 0
    connecting_us: int | None = None


class Backoff:
    """The pauses of each voter. Times: monotonic microseconds."""

    def __init__(self, rng: Random) -> None:
        self._rng = rng
        self._states: dict[str, _State] = {}

    @property
    def connecting(self) -> frozenset[str]:
        """Voters to which a connection is being opened."""
        return frozenset(name for name, one in self._states.items() if one.connecting_us is not None)

    def due_us(self, voter: str) -> int:
        """When it may be tried (again)."""
        state = self._states.get(voter)
        return state.due_us if state is not None else 0

    def connect(self, mono_us: int, voter: str) -> None:
        """A connection is asked for now."""
        self._state(voter).connecting_us = mono_us

    def connected(self, voter: str) -> None:
        """A connection is open."""
        self._states.pop(voter, None)

    def failed(self, mono_us: int, voter: str) -> None:
        """None could be opened, or it was refused: wait between half of the pause and all of it."""
        state = self._state(voter)
        state.connecting_us = None
        state.backoff_us = min(MAX_BACKOFF_US, 2 * state.backoff_us or MIN_BACKOFF_US)
        state.due_us = mono_us + self._rng.randint(state.backoff_us // 2, state.backoff_us)

    def expire(self, mono_us: int) -> None:
        """Attempts of which nothing was heard have failed."""
        for name, state in self._states.items():
            if state.connecting_us is not None and mono_us - state.connecting_us > CONNECT_TIMEOUT_US:
                self.failed(mono_us, name)

    def expires_us(self) -> int | None:
        """When the first attempt that is on counts as failed."""
        since = [one.connecting_us for one in self._states.values() if one.connecting_us is not None]
        return min(since) + CONNECT_TIMEOUT_US + 1 if since else None

    def _state(self, voter: str) -> _State:
        return self._states.setdefault(voter, _State())
