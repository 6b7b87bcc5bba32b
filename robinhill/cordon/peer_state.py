"""What a scheduler knows of one of its peers: its last acknowledgement, its link and its incarnation."""

from dataclasses import dataclass

from robinhill.cordon.propagation import ProcessStatus
from robinhill.mesh.acknowledgements import Acknowledgement

GONE_AFTER_US = 5_000_000  # without a link for longer, a scheduler is gone and no longer suspect


@dataclass(slots=True)
class PeerState:
    """What is known of another scheduler.

    ``link_changed_us`` is when its link last came up or went down, 0 before the first time.
    """

    acknowledgement: Acknowledgement | None = None
    linked: bool = False
    link_changed_us: int = 0
    incarnation: int = 0

    @property
    def current_acknowledgement(self) -> Acknowledgement | None:
        """Its last acknowledgement, if its present process wrote it."""
        last = self.acknowledgement
        return last if last and last.incarnation >= self.incarnation else None

    def status(self, mono_us: int) -> ProcessStatus:
        """Return what is known of its process."""
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
        """Return whether it is not known to have applied a target's cordons as they are in this copy.

        ``digest`` is this copy's of the target, ``combined_digest`` that of all its cordons. A peer that has
        left sends nothing more, whatever it had applied, and does not lag.
        """
        current = self.current_acknowledgement
        if current is None:
            return True
        if current.left or current.applied_digest == combined_digest:
            return False
        return digest is None or dict(current.recent_digests).get(target) != digest
