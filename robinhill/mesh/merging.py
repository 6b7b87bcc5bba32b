"""The one rule by which two versions of a record merge, and which records are malformed.

**The rule** is `merged`. Value, stamp and end merge each by itself: the value by the rule of its kind, the
stamp and the end by the larger. Each is commutative, associative and idempotent, so all three together are.
The stamp decides nothing about a value of a known kind: it names the last writer, ranks records for eviction,
and is the rule for kinds that this process does not know.
"""

from typing import Any

from robinhill.mesh.clocks import LAST_US, MAX_COUNT
from robinhill.mesh.errors import ForeignState
from robinhill.mesh.record_table import NOT_DECODED
from robinhill.mesh.records import Kind, Record

MAX_MERGED_VALUE_BYTES = 256 << 10  # a cordon has some 100, evidence of 200 schedulers 10,000
MAX_NAME_CHARACTERS = 512  # of a key or an origin
MAX_KIND_CHARACTERS = 64
MAX_INCARNATION = 2**63


def merged(kind: Kind[Any] | None, a: Record, b: Record) -> Record:
    """The record that both copies store once each has seen ``a`` and ``b``, of the same name.

    Of an unknown kind: the value with the larger stamp; of equal stamps the longer, then the larger, as
    another version has merged it. Raises ForeignState for values that the kind can't decode.
    """
    return merge_with_value(kind, a, b)[0]


def merge_with_value(
    kind: Kind[Any] | None, a: Record, b: Record, value_of_a: object = NOT_DECODED
) -> tuple[Record, object]:
    """As `merged`, with the decoded value where it is known. ``value_of_a``: if it was decoded before."""
    value: object = NOT_DECODED
    if kind is None:
        encoded = max(a, b, key=lambda r: (r.stamp, len(r.value), r.value)).value
    elif a.value == b.value:
        encoded, value = a.value, value_of_a
    else:
        if value_of_a is NOT_DECODED:
            value_of_a = decode_value(kind, a)
        encoded, value = merge_values(kind, value_of_a, decode_value(kind, b))
    return Record(a.kind, a.key, max(a.stamp, b.stamp), max(a.until_us, b.until_us), encoded), value


def decode_value(kind: Kind[Any], record: Record) -> object:
    """The value of a record; raises ForeignState whatever is wrong with it."""
    try:
        return kind.decode(record.value)
    except Exception as e:  # the bytes are a peer's: no error of a decoder may end the program
        raise ForeignState(f"a record of {kind.name} from {record.stamp.origin} can't be read: {e}") from e


def merge_values(kind: Kind[Any], a: object, b: object) -> tuple[bytes, object]:
    """The merged value, encoded and decoded; raises ForeignState if the kind can't merge them."""
    try:
        value = kind.merge(a, b)
        return kind.encode(value), value
    except Exception as e:  # as above
        raise ForeignState(f"records of {kind.name} can't be merged: {e}") from e


def malformed(record: Record) -> str:
    """What is wrong with a record whatever its kind; empty if nothing is."""
    stamp = record.stamp
    if (
        not 0 < len(record.kind) <= MAX_KIND_CHARACTERS
        or "\0" in record.kind
        or len(record.key) > MAX_NAME_CHARACTERS
    ):
        return "its name is none"
    if len(record.value) > MAX_MERGED_VALUE_BYTES:
        return f"its value has {len(record.value)} bytes"
    times = stamp.wall_us, record.until_us
    if not (min(times) >= 0 and max(times) <= LAST_US and 0 <= stamp.count <= MAX_COUNT):
        return "its times are none"
    if len(stamp.origin) > MAX_NAME_CHARACTERS or not 0 <= stamp.incarnation < MAX_INCARNATION:
        return "its origin is none"
    return ""
