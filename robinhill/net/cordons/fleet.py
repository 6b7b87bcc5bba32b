"""The configured schedulers and mesh options, shared by the parts of this process that handle cordons."""

from collections.abc import Iterable
from dataclasses import dataclass

from robinhill.mesh.options import MeshOptions


@dataclass(slots=True)
class Fleet:
    """The configured schedulers and options; both change when the configuration is reloaded.

    ``names`` are all configured schedulers, ascending, including ``own_name``.
    """

    own_name: str
    names: tuple[str, ...]
    options: MeshOptions

    @property
    def bound_us(self) -> int:
        """The bound (upper limit of the propagation time), in microseconds.

        This scheduler holds the lease while its knowledge of a majority's state is at most this old.
        """
        return self.options.bound_ms * 1000

    @property
    def sends_without_lease(self) -> bool:
        """Whether this scheduler continues to send attempts while it holds no lease (``serve`` mode)."""
        return self.options.on_lost == "serve"

    def reconfigure(self, options: MeshOptions, names: Iterable[str]) -> None:
        """Replace the options and the names of the configured schedulers."""
        self.options, self.names = options, tuple(sorted(names))
