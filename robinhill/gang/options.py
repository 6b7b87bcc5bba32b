"""The gangs' part of the operators' file, as a checked struct; each key has a default."""

from typing import Annotated

from msgspec import Meta, Struct

from robinhill.gang.membership import HEADER

Millis = Annotated[int, Meta(ge=1, le=3_600_000)]
HEADER_FORM = r"^[A-Za-z0-9-]{1,64}$"


class GangOptions(Struct, frozen=True, forbid_unknown_fields=True):
    """All settings of gangs; times are in the units that the keys name.

    ``header`` names a member's gang. ``look_ms``: how often members are compared. ``peers``: the fewest that
    one is compared with. ``looks``: so many in a row must find it behind. ``ratio``: how many times slower
    than its peers it must be at least. ``margin``: by which share the time that it still needs must exceed a
    fresh run's before it is moved. ``moves_of_gang`` and ``moves_of_all``: the share of members, of one gang
    and of all that were placed lately, that may be moved. ``copies``: whether a second attempt may run beside
    the first (only where the platform allows it). ``tells_start``: workers say when a job starts; without
    it, a keyed job counts as started once it is sent. ``gangs`` and ``members``: how many are held at most.
    """

    header: Annotated[str, Meta(pattern=HEADER_FORM)] = HEADER
    look_ms: Millis = 250
    peers: Annotated[int, Meta(ge=3, le=64)] = 3
    looks: Annotated[int, Meta(ge=2, le=16)] = 2
    ratio: Annotated[float, Meta(ge=1.1, le=100)] = 1.5
    margin: Annotated[float, Meta(ge=0, le=100)] = 0.25
    moves_of_gang: Annotated[float, Meta(ge=0, le=1)] = 0.25
    moves_of_all: Annotated[float, Meta(ge=0, le=1)] = 0.15
    copies: bool = False
    tells_start: bool = True
    gangs: Annotated[int, Meta(ge=1, le=65_536)] = 1_024
    members: Annotated[int, Meta(ge=3, le=262_144)] = 16_384  # some 1 kB each

    @property
    def look_us(self) -> int:
        return self.look_ms * 1_000
