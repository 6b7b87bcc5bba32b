"""The records of a recording: no bodies; ids and tenants are keyed hashes. Times are Unix microseconds."""

import msgspec
from msgspec import Struct


class Arrived(Struct, frozen=True, tag="a", array_like=True):
    """A request was accepted."""

    at_us: int
    id: int
    kind: str
    tenant: int
    size: int  # length of the request body in bytes
    time_left_us: int
    is_client_retry: bool


class Attempted(Struct, frozen=True, tag="t", array_like=True):
    """An attempt ended: ``took_us`` after it was sent, of which the job ran for ``ran_us`` (-1: unknown)."""

    at_us: int
    id: int
    worker: str
    outcome: str
    took_us: int
    ran_us: int


class Answered(Struct, frozen=True, tag="f", array_like=True):
    """The final answer to a request was sent."""

    at_us: int
    id: int
    status: int


class Listed(Struct, frozen=True, tag="l", array_like=True):
    """An entry of the endpoint list has changed."""

    at_us: int
    worker: str
    zone: str
    machine: str
    lifecycle: str
    started_us: int


class Dropped(Struct, frozen=True, tag="d", array_like=True):
    """``count`` records were dropped since the previous record of this kind, as the disk or the writer thread
    was too slow or the disk failed."""

    at_us: int
    count: int


Record = Arrived | Attempted | Answered | Listed | Dropped

encode = msgspec.msgpack.Encoder().encode
decode = msgspec.msgpack.Decoder(list[Record]).decode
