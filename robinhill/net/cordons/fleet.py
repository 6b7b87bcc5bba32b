"""The configured schedulers, as the parts of this process share them."""

from collections.abc import Iterable
from dataclasses import dataclass

from robinhill.mesh.options import MeshOptions


@dataclass(slots=True)
class Fleet:
    """``names`` are all configured schedulers, ascending, ``own_name`` included; it changes with a reload."""

    own_name: str
    names: tuple[str, ...]
    options: MeshOptions

    @property
    def bound_us(self) -> int:
        """How old knowledge of a majority may be for the lease."""
        return self.options.bound_ms * 1000

    @property
    def sends_without_lease(self) -> bool:
        """Whether this scheduler goes on sending without a lease."""
        return self.options.on_lost == "serve"

    def reconfigure(self, options: MeshOptions, names: Iterable[str]) -> None:
        """Take over new options."""
        self.options, self.names = options, tuple(sorted(names))
