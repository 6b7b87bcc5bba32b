"""The records of a recording: no bodies; ids and tenants as keyed hashes. Times are Unix microseconds."""

import msgspec
from msgspec import Struct


class Arrived(Struct, frozen=True, tag="a", array_like=True):
    """A request was accepted."""

    at_us: int
    id: int
    kind: str
    tenant: int
    size: int  # of its body, in bytes
    time_left_us: int
    is_client_retry: bool


class Attempted(Struct, frozen=True, tag="t", array_like=True):
    """An attempt has ended: where, how, after how long, and how long it had run of that (-1: not known)."""

    at_us: int
    id: int
    worker: str
    outcome: str
    took_us: int
    ran_us: int


class Answered(Struct, frozen=True, tag="f", array_like=True):
    """A request got its final answer."""

    at_us: int
    id: int
    status: int


class Listed(Struct, frozen=True, tag="l", array_like=True):
    """An entry of the list has changed."""

    at_us: int
    worker: str
    zone: str
    machine: str
    lifecycle: str
    started_us: int


class Dropped(Struct, frozen=True, tag="d", array_like=True):
    """So many records could not be kept since the last of this kind: the disk or the writer was too slow."""

    at_us: int
    count: int


Record = Arrived | Attempted | Answered | Listed | Dropped

encode = msgspec.msgpack.Encoder().encode
decode = msgspec.msgpack.Decoder(list[Record]).decode
