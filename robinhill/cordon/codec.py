"""The encoding of a target's cordons for peers and files, and the validation of values from peers and files.

The encoding is canonical: each value has exactly one encoding. `decode` rejects any other encoding, and
values that break a rule which all writers follow. A *dot* identifies one write of a process, see `value`.
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
    """Return the canonical encoding. Equal values have equal bytes, as all parts of a value are sorted."""
    return _encoder.encode(value)


def decode(data: bytes) -> CordonSet:
    """Decode a value from a peer or a file.

    Raises ForeignState if the encoding is not canonical, exceeds a limit or is of another version.
    """
    try:
        if (version := _head.decode(data).version) != VERSION:
            raise ForeignState(f"the cordons of a target have version {version}, expected {VERSION}")
        value = _decoder.decode(data)
    except (msgspec.DecodeError, ValueError) as e:
        raise ForeignState(f"the cordons of a target can't be decoded: {e}") from e
    if (violation := _find_violation(value)) or encode(value) != data:
        raise ForeignState(f"the cordons of a target are invalid: {violation or 'not in canonical form'}")
    return value


def cordon_kind() -> Kind[CordonSet]:
    """Return the replica's record kind for cordons, keyed by target.

    At the limit MAX_TARGETS no record is evicted; records of new targets are rejected.
    """
    return Kind(NAME, encode, decode, merge, lifetime_us=limits.RECORD_LIFETIME_US, bound=limits.MAX_TARGETS)


class _Head(msgspec.Struct, array_like=True):
    """The first field of the encoding, which is the same in all versions of the encoding."""

    version: int


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(CordonSet)
_head = msgspec.msgpack.Decoder(_Head)


def _find_violation(value: CordonSet) -> str:
    """Return which rule a value from a peer or file violates; '' if none."""
    return (
        _find_size_violation(value)
        or _find_order_violation(value)
        or next((violation for seen in value.seen if (violation := _find_seen_violation(seen))), "")
        or _find_entries_violation(value)
        or ("" if 0 <= value.lifted_us <= limits.MAX_INTEGER else "lifted_us is negative or too large")
    )


def _find_size_violation(value: CordonSet) -> str:
    if len(value.entries) > limits.MAX_ENTRIES or len(value.seen) > limits.MAX_WRITERS:
        return f"more than {limits.MAX_ENTRIES} entries or {limits.MAX_WRITERS} writers"
    if sum(len(s.ranges) for s in value.seen) > limits.MAX_RANGES:
        return f"the seen dots have more than {limits.MAX_RANGES} ranges of counters"
    return ""


def _find_order_violation(value: CordonSet) -> str:
    writers = [s.writer for s in value.seen]
    if writers != sorted(set(writers)):
        return "writers are not in ascending order"
    dots = [e.dot for e in value.entries]
    if dots != sorted(set(dots)):
        return "entries are not in ascending order"
    return ""


def _find_seen_violation(seen: SeenDots) -> str:
    ranges = seen.ranges
    if not is_line(seen.origin, limits.MAX_NAME_CHARS):
        return f"a writer's name is longer than {limits.MAX_NAME_CHARS} characters or not one line"
    if not ranges or ranges != join_ranges(ranges) or any(low > high for low, high in ranges):
        return "the counter ranges of a writer's seen dots are missing, overlap or are not in ascending order"
    if not (ranges[0][0] >= 1 and ranges[-1][1] <= limits.MAX_INTEGER):
        return f"the counter of a seen dot is not in the range 1 to {limits.MAX_INTEGER}"
    return ""


def _find_entries_violation(value: CordonSet) -> str:
    seen = by_writer(value.seen)
    for entry in value.entries:
        if not has_seen(seen, entry.dot):
            return "the dot of an entry (its writer and counter) is not among the seen dots"
        if violation := _find_reason_violation(entry.reason):
            return violation
    return ""


def _find_reason_violation(reason: Reason) -> str:
    if not is_cordon_id(reason.id) or not is_line(reason.text, limits.MAX_TEXT_CHARS):
        return "the ID or text of a reason is invalid"
    if not all(is_line(name, limits.MAX_NAME_CHARS) for name in (reason.by, reason.cause, *reason.observers)):
        return f"a name or cause in a reason exceeds {limits.MAX_NAME_CHARS} characters or is not one line"
    if not (0 <= reason.since_us <= limits.MAX_INTEGER and 0 <= reason.until_us <= limits.MAX_INTEGER):
        return f"since_us or until_us of a reason is not in the range 0 to {limits.MAX_INTEGER}"
    if len(reason.observers) > limits.MAX_OBSERVERS or (reason.automatic and not reason.until_us):
        return f"a reason has more than {limits.MAX_OBSERVERS} observers, or is automatic and has no end"
    return ""
