"""The encoding of a target's cordons for peers and files, and the rules for values from elsewhere.

The encoding is canonical: a value has one form. `decode` rejects any other, and what no writer that keeps to
the limits could have written.
"""

import msgspec

from robinhill.cordon import limits
from robinhill.cordon.value import (
    NAME,
    VERSION,
    CordonSet,
    Reason,
    SeenDots,
    by_writer,
    has_seen,
    is_cordon_id,
    is_line,
    join_ranges,
    merge,
)
from robinhill.mesh.errors import ForeignState
from robinhill.mesh.records import Kind


def encode(value: CordonSet) -> bytes:
    """Return the canonical encoding: equal values have equal bytes, as all their parts are ordered."""
    return _encoder.encode(value)


def decode(data: bytes) -> CordonSet:
    """Return a value of a peer or a file. Raises ForeignState if it is not canonical, too large or newer."""
    try:
        if (version := _head.decode(data).version) != VERSION:
            raise ForeignState(f"a cordon of version {version}, not {VERSION}")
        value = _decoder.decode(data)
    except (msgspec.DecodeError, ValueError) as e:
        raise ForeignState(f"a cordon can't be read: {e}") from e
    if (violation := _find_violation(value)) or encode(value) != data:
        raise ForeignState(f"a cordon is damaged: {violation or 'not in canonical form'}")
    return value


def cordon_kind() -> Kind[CordonSet]:
    """Return the kind of the replica's records, by target. None is evicted; new targets are rejected."""
    return Kind(NAME, encode, decode, merge, lifetime_us=limits.RECORD_LIFETIME_US, bound=limits.MAX_TARGETS)


class _Head(msgspec.Struct, array_like=True):
    """The part that all versions share."""

    version: int


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(CordonSet)
_head = msgspec.msgpack.Decoder(_Head)


def _find_violation(value: CordonSet) -> str:
    """Return which rule a value from elsewhere breaks, '' if none."""
    return (
        _find_size_violation(value)
        or _find_order_violation(value)
        or next((found for seen in value.seen if (found := _find_seen_violation(seen))), "")
        or _find_entries_violation(value)
        or ("" if 0 <= value.lifted_us <= limits.MAX_INTEGER else "times out of bounds")
    )


def _find_size_violation(value: CordonSet) -> str:
    if len(value.entries) > limits.MAX_ENTRIES or len(value.seen) > limits.MAX_WRITERS:
        return "too many entries"
    if sum(len(s.ranges) for s in value.seen) > limits.MAX_RANGES:
        return "too many ranges"
    return ""


def _find_order_violation(value: CordonSet) -> str:
    writers = [s.writer for s in value.seen]
    if writers != sorted(set(writers)):
        return "writers out of order"
    dots = [e.dot for e in value.entries]
    if dots != sorted(set(dots)):
        return "entries out of order"
    return ""


def _find_seen_violation(seen: SeenDots) -> str:
    ranges = seen.ranges
    if not is_line(seen.origin, limits.MAX_NAME_CHARS):
        return "a name out of bounds"
    if not ranges or ranges != join_ranges(ranges) or any(low > high for low, high in ranges):
        return "ranges out of order"
    if not (ranges[0][0] >= 1 and ranges[-1][1] <= limits.MAX_INTEGER):
        return "counters out of bounds"
    return ""


def _find_entries_violation(value: CordonSet) -> str:
    seen = by_writer(value.seen)
    for entry in value.entries:
        if not has_seen(seen, entry.dot):
            return "an entry that was not seen"
        if violation := _find_reason_violation(entry.reason):
            return violation
    return ""


def _find_reason_violation(reason: Reason) -> str:
    if not is_cordon_id(reason.id) or not is_line(reason.text, limits.MAX_TEXT_CHARS):
        return "an ID or text out of bounds"
    if not all(is_line(name, limits.MAX_NAME_CHARS) for name in (reason.by, reason.cause, *reason.observers)):
        return "a name out of bounds"
    if not (0 <= reason.since_us <= limits.MAX_INTEGER and 0 <= reason.until_us <= limits.MAX_INTEGER):
        return "times out of bounds"
    if len(reason.observers) > limits.MAX_OBSERVERS or (reason.automatic and not reason.until_us):
        return "an automatic reason out of bounds"
    return ""
