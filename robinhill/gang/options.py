"""The options of gangs in the operators' file, as a validated struct with a default for each key."""

from typing import Annotated

from msgspec import Meta, Struct

from robinhill.gang.membership import HEADER

Millis = Annotated[int, Meta(ge=1, le=3_600_000)]
HEADER_FORM = r"^[A-Za-z0-9-]{1,64}$"


class GangOptions(Struct, frozen=True, forbid_unknown_fields=True):
    """All options of gangs; a suffix of a key names its unit.

    ``header``: the request header that states a job's gang. ``look_ms``: the interval at which members are
    compared with their peers. ``peers``: the minimum number of peers for a comparison. ``looks``: the number
    of consecutive evaluations that must find a member slow before it counts as a straggler. ``ratio``: the
    minimum slowdown against its peers at which an evaluation finds a member slow. ``margin``: the share by
    which the remaining time of a straggler must exceed the time of a run from the start elsewhere before it
    is moved. ``moves_of_gang``: the share of a gang's members that may be moved. ``moves_of_all``: the share
    of all recently placed members that may be moved. ``copies``: whether a second attempt may run beside the
    first (only where the platform allows it). ``tells_start``: whether workers report when a job starts; if
    not, a keyed job counts as started once it is sent. ``gangs`` and ``members``: the maximum numbers of
    gangs and members in memory.
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
    members: Annotated[int, Meta(ge=3, le=262_144)] = 16_384  # about 1 kB of memory each

    @property
    def look_us(self) -> int:
        return self.look_ms * 1_000
