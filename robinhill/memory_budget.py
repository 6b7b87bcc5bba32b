"""The budget of all bytes that this process holds for its peers, over all connections and requests.

Each holder registers its bytes here and nowhere else, and returns them when it no longer has them. The budget
decides nothing: who exceeds it sheds what it can. No I/O.
"""


class MemoryBudget:
    """Counts the bytes held for peers against a limit."""

    def __init__(self, limit_bytes: int) -> None:
        self.limit_bytes = limit_bytes
        self.held_bytes = 0
        self.peak_bytes = 0  # the most that was held since the last `reset_peak`

    @property
    def exceeded(self) -> bool:
        """Whether more bytes are held than the limit allows."""
        return self.held_bytes > self.limit_bytes

    def resize(self, old_bytes: int, new_bytes: int) -> None:
        """Record that a holder has ``new_bytes`` in place of ``old_bytes``."""
        self.held_bytes += new_bytes - old_bytes
        self.peak_bytes = max(self.peak_bytes, self.held_bytes)

    def reset_peak(self) -> None:
        """Begin to record a new peak."""
        self.peak_bytes = self.held_bytes
