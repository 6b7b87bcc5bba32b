"""The one rule by which two copies of a record become one, and what is no record at all.

**The rule for copies that differ** is `merged`. Value, stamp and end merge each by itself: the value by the
rule of its kind, the stamp and the end by the larger. Each is commutative, associative and idempotent, so the
whole is. The stamp decides nothing about a value of a known kind: it tells who wrote last, ranks records
where a kind is full, and is the rule for kinds that this process does not know.
"""

from typing import Any

from robinhill.mesh.clocks import LAST_US, MOST_COUNT
from robinhill.mesh.errors import ForeignState
from robinhill.mesh.record_table import UNREAD
from robinhill.mesh.records import Kind, Record

LARGEST_TAKE = 256 << 10  # bytes of a value: a cordon has some 100, a worker seen by 200 schedulers 10,000
LONGEST_NAME = 512  # characters of a key or an origin; addresses and clients' keys are shorter
LONGEST_KIND = 64


def merged(kind: Kind[Any] | None, a: Record, b: Record) -> Record:
    """The one record that two copies with ``a`` and ``b`` of the same name both come to hold.

    A kind that is not known here: the value with the larger stamp; of equal stamps the longer, then the
    larger, as another version has merged it. Raises ForeignState for values that the kind can't read.
    """
    return merged_with_value(kind, a, b)[0]


def merged_with_value(
    kind: Kind[Any] | None, a: Record, b: Record, seen: object = UNREAD
) -> tuple[Record, object]:
    """With its value, where it had to be decoded; ``seen`` is that of ``a``, where it was before."""
    known: object = UNREAD
    if kind is None:
        value = max(a, b, key=lambda r: (r.stamp, len(r.value), r.value)).value
    elif a.value == b.value:
        value, known = a.value, seen
    else:
        value, known = joined(kind, decoded(kind, a) if seen is UNREAD else seen, decoded(kind, b))
    return Record(a.kind, a.key, max(a.stamp, b.stamp), max(a.until_us, b.until_us), value), known


def decoded(kind: Kind[Any], record: Record) -> object:
    try:
        return kind.decode(record.value)
    except Exception as e:  # a peer's bytes: whatever a kind's decoder says of them must not end the program
        raise ForeignState(f"a record of {kind.name} from {record.stamp.origin} can't be read: {e}") from e


def joined(kind: Kind[Any], a: object, b: object) -> tuple[bytes, object]:
    try:
        value = kind.merge(a, b)
        return kind.encode(value), value
    except Exception as e:  # as above
        raise ForeignState(f"records of {kind.name} can't be merged: {e}") from e


def malformed(record: Record) -> str:
    """What is wrong with a record whatever its kind, or nothing."""
    stamp = record.stamp
    if not 0 < len(record.kind) <= LONGEST_KIND or "\0" in record.kind or len(record.key) > LONGEST_NAME:
        return "its name is none"
    if len(record.value) > LARGEST_TAKE:
        return f"its value has {len(record.value)} bytes"
    times = stamp.wall_us, record.until_us
    if not (0 <= min(times) and max(times) <= LAST_US and 0 <= stamp.count <= MOST_COUNT):
        return "its times are none"
    if len(stamp.origin) > LONGEST_NAME or not 0 <= stamp.incarnation < 2**63:
        return "its origin is none"
    return ""
