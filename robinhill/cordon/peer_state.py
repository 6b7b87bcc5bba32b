"""A scheduler's knowledge of one of its peers: the last acknowledgement, the link and the incarnation."""

from dataclasses import dataclass

from robinhill.cordon.propagation import ProcessStatus
from robinhill.mesh.acknowledgements import Acknowledgement

GONE_AFTER_US = 5_000_000  # a peer whose link was lost is "suspect" for this time, and "gone" afterwards


@dataclass(slots=True)
class PeerState:
    """The state of another scheduler (the peer) as known to this scheduler.

    ``linked``: whether there is a link to the peer. ``link_changed_us``: when the link last came up or went
    down, on this process's monotonic clock; 0 before the first link. ``incarnation``: the latest incarnation
    of the peer that is known; 0 if none is.
    """

    acknowledgement: Acknowledgement | None = None
    linked: bool = False
    link_changed_us: int = 0
    incarnation: int = 0

    @property
    def current_acknowledgement(self) -> Acknowledgement | None:
        """The last acknowledgement; None if there is none, or if an earlier process of the peer wrote it."""
        last = self.acknowledgement
        return last if last and last.incarnation >= self.incarnation else None

    def status(self, mono_us: int) -> ProcessStatus:
        """Return the status of the peer's process at ``mono_us``."""
        current = self.current_acknowledgement
        if current and current.left:
            return ProcessStatus.LEFT
        if self.linked:
            return ProcessStatus.ALIVE
        if not self.link_changed_us:
            return ProcessStatus.UNKNOWN if self.acknowledgement is None else ProcessStatus.SUSPECT
        gone = mono_us - self.link_changed_us > GONE_AFTER_US
        return ProcessStatus.GONE if gone else ProcessStatus.SUSPECT

    def is_lagging(self, target: str, digest: bytes | None, combined_digest: bytes) -> bool:
        """Return whether the peer is not known to have applied this scheduler's value of a target's cordons.

        ``digest`` is the digest of that value, None if this scheduler has no value of the target;
        ``combined_digest`` is this scheduler's digest of all cordons. A peer that has left does not lag,
        whatever it had applied, because it sends no more attempts.
        """
        current = self.current_acknowledgement
        if current is None:
            return True
        if current.left or current.applied_digest == combined_digest:
            return False
        return digest is None or dict(current.recent_digests).get(target) != digest
