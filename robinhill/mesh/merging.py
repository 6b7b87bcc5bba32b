"""The rule by which two versions of a record merge, and the check for malformed records.

**The merge rule** is `merged`. Value, stamp and expiry time merge independently: the value by the rule of its
kind, the stamp and the expiry time to the larger of the two. Each of these merges is commutative, associative
and idempotent, and therefore the merge of records is too. For a known kind the stamp does not decide which
value wins: the stamp names the last writer and ranks records for eviction. For an *unknown* kind, one that is
not registered in this process, the value with the larger stamp wins.
"""

from typing import Any

from robinhill.mesh.clocks import MAX_COUNT, MAX_TIME_US
from robinhill.mesh.errors import ForeignState
from robinhill.mesh.record_table import NOT_DECODED
from robinhill.mesh.records import Kind, Record

MAX_MERGED_VALUE_BYTES = 256 << 10  # a cordon takes some 100 bytes, evidence of 200 schedulers some 10,000
MAX_NAME_CHARACTERS = 512  # maximum length of a record's key, and of its origin
MAX_KIND_CHARACTERS = 64
MAX_INCARNATION = 2**63


def merged(kind: Kind[Any] | None, a: Record, b: Record) -> Record:
    """Merge two versions of a record to the version that every copy stores once it has received both.

    For an unknown kind (None), the value with the larger stamp wins. If the stamps are equal but the values
    differ, one of the values is the result of a merge by a process that knows the kind; the longer value
    wins, or the larger one if both have the same length. Raises ForeignState if the kind can't decode a
    value.
    """
    return merge_with_value(kind, a, b)[0]


def merge_with_value(
    kind: Kind[Any] | None, a: Record, b: Record, value_of_a: object = NOT_DECODED
) -> tuple[Record, object]:
    """Merge two versions as `merged` does, and return the result and its decoded value.

    ``value_of_a``: the decoded value of ``a``, or `NOT_DECODED`. The value returned is `NOT_DECODED` if the
    merge did not need to decode it.
    """
    value: object = NOT_DECODED
    if kind is None:
        encoded = max(a, b, key=lambda record: (record.stamp, len(record.value), record.value)).value
    elif a.value == b.value:
        encoded, value = a.value, value_of_a
    else:
        if value_of_a is NOT_DECODED:
            value_of_a = decode_value(kind, a)
        encoded, value = merge_values(kind, value_of_a, decode_value(kind, b))
    return Record(a.kind, a.key, max(a.stamp, b.stamp), max(a.until_us, b.until_us), encoded), value


def decode_value(kind: Kind[Any], record: Record) -> object:
    """Decode the value of a record. Raises ForeignState for any error of the decoder."""
    try:
        return kind.decode(record.value)
    except Exception as e:  # the bytes are from a peer, so no error of a decoder may end the process
        raise ForeignState(f"a {kind.name} record from {record.stamp.origin} can't be decoded: {e}") from e


def merge_values(kind: Kind[Any], a: object, b: object) -> tuple[bytes, object]:
    """Merge two values. Returns the result encoded and decoded.

    Raises ForeignState for any error of the kind's merge or encode function.
    """
    try:
        value = kind.merge(a, b)
        return kind.encode(value), value
    except Exception as e:  # a value may be from a peer, as in `decode_value`
        raise ForeignState(f"two values of {kind.name} records can't be merged: {e}") from e


def malformed_reason(record: Record) -> str:
    """Return the reason why a record of any kind is malformed; an empty string if it is well-formed."""
    stamp = record.stamp
    if (
        not 0 < len(record.kind) <= MAX_KIND_CHARACTERS
        or "\0" in record.kind
        or len(record.key) > MAX_NAME_CHARACTERS
    ):
        return "its kind is empty, too long or contains a null character, or its key is too long"
    if len(record.value) > MAX_MERGED_VALUE_BYTES:
        return f"its value has {len(record.value)} bytes, which is too long"
    times = stamp.wall_us, record.until_us
    if not (min(times) >= 0 and max(times) <= MAX_TIME_US and 0 <= stamp.count <= MAX_COUNT):
        return "a time or the count of its stamp, or its expiry time, is out of range"
    if len(stamp.origin) > MAX_NAME_CHARACTERS or not 0 <= stamp.incarnation < MAX_INCARNATION:
        return "its origin is too long or its incarnation is out of range"
    return ""
