"""Unix time corrected by the clocks of the other schedulers, for a host whose own clock is set wrong."""

import logging
from collections.abc import Collection

from robinhill.mesh.clocks import agreed_offset_us
from robinhill.net.clock import Clock

log = logging.getLogger(__name__)

# A larger difference from a peer's clock is logged, as cordons would end noticeably late or early.
MAX_CLOCK_DIFFERENCE_US = 2_000_000


class AgreedClock(Clock):
    """This host's Unix time, corrected to the median of this host's clock and the clocks of all known peers.

    ``offset_us``: the correction, added to this host's time; 0 while the difference from the median is small
    or too few clocks are known.
    """

    def __init__(self, own: Clock) -> None:
        self.own = own
        self.offset_us = 0
        self._peer_offsets_us: dict[str, int] = {}
        self._last_us = 0

    def now_us(self) -> int:
        """Corrected Unix time. It may stand still when the correction changes, but never steps back."""
        self._last_us = max(self._last_us, self.own.now_us() + self.offset_us)
        return self._last_us

    def observe(self, peer: str, peer_us: int) -> None:
        """Update the correction from ``peer_us``, the Unix time that a peer has sent on opening a link."""
        offset_us = peer_us - self.own.now_us()
        self._peer_offsets_us[peer] = offset_us
        if abs(offset_us) > MAX_CLOCK_DIFFERENCE_US:
            log.warning("clocks_differ", extra={"peer": peer, "ahead_s": offset_us / 1e6})
        agreed_us = agreed_offset_us(self._peer_offsets_us[name] for name in sorted(self._peer_offsets_us))
        if agreed_us != self.offset_us:
            self.offset_us = agreed_us
            log.warning("clock_corrected", extra={"by_s": agreed_us / 1e6})

    def retain(self, names: Collection[str]) -> None:
        """Discard the clock offsets of all peers that are not in ``names``."""
        self._peer_offsets_us = {n: us for n, us in self._peer_offsets_us.items() if n in names}
