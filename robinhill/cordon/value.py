"""The cordons of one target as a replicated value: its reasons, each with the dot of the write that set it.

Copies merge as an observed-remove set without tombstones (Bieniusa et al., "An optimized conflict-free
replicated set", 2012). Every write of a reason gets a unique *dot*, which is never reused. An *entry* is a
reason with its dot. A value contains its entries, and the dots that it has *seen*: the dots of its entries
and of all removed entries. The merge of two copies has an entry if both copies have it, or if one copy has it
and the other has not seen its dot. So a lift removes only entries that the lifting scheduler's copy contains:
a cordon that another scheduler sets at the same time remains.

Targets are 'worker/ID', 'zone/NAME', 'kind/NAME' (a machine type) and 'cell/NUMBER'. Times are Unix
microseconds. Values are immutable: `set_cordon`, `lift_cordon` and `merge` return new ones. This module
performs no I/O.
"""

import re
from collections.abc import Iterable, Sequence

import msgspec

from robinhill.cordon import limits
from robinhill.cordon.errors import CordonElsewhere, CordonMalformed, CordonsFull, CordonUnknown

NAME = "cordon"  # the kind of the replica's records of cordons
VERSION = 1  # the version of the encoding of a `CordonSet`
AUTOMATIC_ID_PREFIX = "auto-"  # reserved: operators can't set a cordon whose ID begins with it
# Matches text without control characters and line separators. Used instead of str.isprintable(), whose result
# differs by Python version.
_LINE = re.compile("[^\x00-\x1f\x7f-\x9f\u2028\u2029]*")
_ID = re.compile(rf"[A-Za-z0-9][A-Za-z0-9._:@-]{{0,{limits.MAX_ID_CHARS - 1}}}")
_TARGET = re.compile(r"(worker|zone|kind)/\S(.*\S)?|cell/(0|-?[1-9][0-9]{0,17})")

CounterRange = tuple[int, int]  # first and last counter, both inclusive


class Dot(msgspec.Struct, frozen=True, array_like=True, order=True):
    """The identity of one write.

    ``counter`` increases with each write of a process, whatever the target of the write.
    """

    origin: str
    incarnation: int
    counter: int

    @property
    def writer(self) -> tuple[str, int]:
        """The process that made this write: the name of its scheduler, and its incarnation."""
        return self.origin, self.incarnation

    def __str__(self) -> str:
        return f"{self.origin}/{self.incarnation}/{self.counter}"


class Reason(msgspec.Struct, frozen=True, array_like=True, order=True):
    """One cordon of a target, and why it was set. ``id`` is the ID of the cordon.

    ``since_us`` is when the cordon was set; ``until_us`` is its end, 0 if it lasts until it is lifted. ``by``
    is the operator who set the cordon, or the scheduler that proposed it. Automatic reasons also have
    ``cause`` (the observed fault), ``observers`` (the schedulers that observed the fault) and ``times`` (the
    number of automatic cordons of the worker, up to this one, of which each began within REPEAT_WINDOW_US
    after the end of the one before).
    """

    id: str
    text: str
    by: str
    since_us: int
    until_us: int = 0
    automatic: bool = False
    cause: str = ""
    observers: tuple[str, ...] = ()
    times: int = 1

    def has_ended(self, now_us: int) -> bool:
        """Return whether the reason has an end that has passed."""
        return 0 < self.until_us <= now_us


class Entry(msgspec.Struct, frozen=True, array_like=True, order=True):
    """A reason and the dot of the write that set it."""

    dot: Dot
    reason: Reason


class SeenDots(msgspec.Struct, frozen=True, array_like=True, order=True):
    """The dots of one writer that a value has seen, as disjoint ascending ranges of counters."""

    origin: str
    incarnation: int
    ranges: tuple[CounterRange, ...]

    @property
    def writer(self) -> tuple[str, int]:
        """The process that made the writes: the name of its scheduler, and its incarnation."""
        return self.origin, self.incarnation


class CordonSet(msgspec.Struct, frozen=True, array_like=True):
    """The cordons of one target; entries and writers are in ascending order.

    ``lifted_us``: when an operator last lifted an automatic reason; 0 if never. Observations of the worker
    from before that time, or up to LIFT_COOLDOWN_US after it, are no evidence for a new automatic cordon.
    """

    version: int = VERSION
    entries: tuple[Entry, ...] = ()
    seen: tuple[SeenDots, ...] = ()
    lifted_us: int = 0


CordonItems = Iterable[tuple[str, CordonSet]]  # pairs of a target and its cordons


def active_entries(value: CordonSet, now_us: int) -> tuple[Entry, ...]:
    """Return the active entries, one for each ID, by ascending ID.

    If an ID was written twice concurrently, both entries may be active. Then the entry without an end is
    returned, or if both have an end, the entry with the later end.
    """
    active = [e for e in value.entries if not e.reason.has_ended(now_us)]
    if len(active) < 2:
        return tuple(active)
    by_id: dict[str, Entry] = {}
    for entry in active:
        other = by_id.get(entry.reason.id)
        if other is None or _end_sort_key(entry) > _end_sort_key(other):
            by_id[entry.reason.id] = entry
    return tuple(by_id[key] for key in sorted(by_id))


def find_targets(items: CordonItems, cordon_id: str, now_us: int) -> tuple[str, ...]:
    """Return the targets at which an ID is active, ascending.

    Raises CordonUnknown, which names the active IDs, if the ID is active at no target.
    """
    found, known = set(), set()
    for target, value in items:
        for entry in active_entries(value, now_us):
            known.add(entry.reason.id)
            if entry.reason.id == cordon_id:
                found.add(target)
    if not found:
        raise CordonUnknown(cordon_id, sorted(known))
    return tuple(sorted(found))


def check_id_is_free(items: CordonItems, cordon_id: str, target: str, now_us: int) -> None:
    """Raise CordonElsewhere if an ID is active at other targets but not at ``target``."""
    try:
        present = find_targets(items, cordon_id, now_us)
    except CordonUnknown:
        return
    if target not in present:
        raise CordonElsewhere(cordon_id, target, present)


def set_cordon(present: CordonSet | None, reason: Reason, dot: Dot, now_us: int) -> CordonSet:
    """Return the value with a reason added, which replaces the reasons with the same ID in ``present``.

    A reason that is set again gets a new dot, so that it survives a concurrent lift of the earlier write; it
    keeps the earliest ``since_us`` of the active reasons with its ID. ``dot`` must be larger than all earlier
    dots of this process. Raises CordonMalformed if the reason is invalid, and CordonsFull if the target
    already has MAX_REASONS reasons with other IDs.
    """
    check_reason(reason, now_us)
    value = _without_expired(present or CordonSet(), now_us)
    before = [e for e in value.entries if e.reason.id == reason.id]
    if len({e.reason.id for e in value.entries} | {reason.id}) > limits.MAX_REASONS:
        raise CordonsFull(f"the target already has {limits.MAX_REASONS} reasons, the maximum")
    active_since = [e.reason.since_us for e in before if not e.reason.has_ended(now_us)]
    reason = msgspec.structs.replace(reason, since_us=min([reason.since_us, *active_since]))
    entries = [e for e in value.entries if e.reason.id != reason.id]
    return CordonSet(
        entries=tuple(sorted([*entries, Entry(dot, reason)])),
        seen=_with_dot(value.seen, dot),
        lifted_us=value.lifted_us,
    )


def lift_cordon(present: CordonSet | None, cordon_id: str, now_us: int) -> CordonSet:
    """Return the value without the reasons whose ID is ``cordon_id``.

    A reason with this ID in another copy survives the merge with that copy if ``present`` has not seen it.
    Raises CordonUnknown if the ID is not active in ``present``.
    """
    value = _without_expired(present or CordonSet(), now_us)
    active = active_entries(value, now_us)
    removed = [e for e in active if e.reason.id == cordon_id]
    if not removed:
        raise CordonUnknown(cordon_id, [e.reason.id for e in active])
    lifted_us = now_us if removed[0].reason.automatic else 0
    return msgspec.structs.replace(
        value,
        entries=tuple(e for e in value.entries if e.reason.id != cordon_id),
        lifted_us=max(value.lifted_us, lifted_us),
    )


def merge(one: CordonSet, other: CordonSet) -> CordonSet:
    """Return the merge of two copies by the rule in the module's docstring.

    The operation is commutative, associative and idempotent.
    """
    if one == other:
        return one
    own_entries, other_entries = _by_dot(one), _by_dot(other)
    own_seen, other_seen = by_writer(one.seen), by_writer(other.seen)
    entries = []
    for dot in own_entries.keys() | other_entries.keys():
        a, b = own_entries.get(dot), other_entries.get(dot)
        if a is not None and b is not None:
            entries.append(max(a, b))  # a and b are equal unless their writer is faulty
        elif a is not None and not has_seen(other_seen, dot):
            entries.append(a)
        elif b is not None and not has_seen(own_seen, dot):
            entries.append(b)
    seen = (
        SeenDots(*writer, join_ranges((*own_seen.get(writer, ()), *other_seen.get(writer, ()))))
        for writer in sorted(own_seen.keys() | other_seen.keys())
    )
    return CordonSet(
        entries=tuple(sorted(entries)), seen=tuple(seen), lifted_us=max(one.lifted_us, other.lifted_us)
    )


def needs_renewal(value: CordonSet, expires_us: int, now_us: int, *, is_last_writer: bool) -> bool:
    """Return whether a record must be rewritten with the same value, because a cordon would outlast it.

    ``expires_us`` is when the record expires. The last writer of the record renews it when less than half of
    the record's lifetime remains. Any other scheduler renews it when less than a quarter remains, in case the
    last writer no longer runs.
    """
    outlasts = any(e.reason.until_us == 0 or e.reason.until_us > expires_us for e in value.entries)
    return outlasts and expires_us < now_us + limits.RECORD_LIFETIME_US // (2 if is_last_writer else 4)


def check_target(target: str) -> str:
    """Return the target unchanged. Raises CordonMalformed if it is not a valid target."""
    if len(target) > limits.MAX_TARGET_CHARS or not _LINE.fullmatch(target) or not _TARGET.fullmatch(target):
        raise CordonMalformed(f"{target[:80]!r} is not a valid target")
    return target


def check_id(cordon_id: str, *, automatic: bool = False) -> str:
    """Return the ID unchanged.

    Raises CordonMalformed if the ID is invalid, if it has the prefix AUTOMATIC_ID_PREFIX while ``automatic``
    is false, or if it lacks the prefix while ``automatic`` is true.
    """
    if not is_cordon_id(cordon_id):
        raise CordonMalformed(
            f"{cordon_id[:80]!r} is not a valid ID; expected at most {limits.MAX_ID_CHARS} characters from"
            " A-Z, a-z, 0-9 and ._:@-, beginning with a letter or digit"
        )
    if cordon_id.startswith(AUTOMATIC_ID_PREFIX) is not automatic:
        raise CordonMalformed(
            f"the ID prefix {AUTOMATIC_ID_PREFIX!r} is for automatic cordons only, which must have it"
        )
    return cordon_id


def is_line(text: str, max_chars: int) -> bool:
    """Return whether a text is a single line of at most ``max_chars`` characters."""
    return len(text) <= max_chars and _LINE.fullmatch(text) is not None


def is_cordon_id(text: str) -> bool:
    """Return whether a text has the form of a cordon's ID."""
    return _ID.fullmatch(text) is not None


def check_reason(reason: Reason, now_us: int) -> None:
    """Raise CordonMalformed if a reason is invalid in a new write.

    The rules of `codec.decode` for values from peers are looser: for example, it accepts ended reasons.
    """
    check_id(reason.id, automatic=reason.automatic)
    if not reason.text.strip() or not is_line(reason.text, limits.MAX_TEXT_CHARS):
        raise CordonMalformed(f"the reason must be one line of 1 to {limits.MAX_TEXT_CHARS} characters")
    if not is_line(reason.by, limits.MAX_NAME_CHARS):
        raise CordonMalformed(
            f"the operator's name (by) must be one line of at most {limits.MAX_NAME_CHARS} characters"
        )
    if reason.until_us < 0 or reason.has_ended(now_us):
        raise CordonMalformed("the end of the cordon is in the past")
    if reason.until_us > now_us + limits.MAX_DURATION_US:
        raise CordonMalformed("the end is more than a year ahead; for a cordon without an end, give none")
    if reason.automatic and not reason.until_us:
        raise CordonMalformed("an automatic cordon must have an end")
    if len(reason.observers) > limits.MAX_OBSERVERS or not 1 <= reason.times <= limits.MAX_INTEGER:
        raise CordonMalformed(
            f"an automatic cordon must name at most {limits.MAX_OBSERVERS} observers, and its repeat count"
            f" must be 1 to {limits.MAX_INTEGER}"
        )


def _end_sort_key(entry: Entry) -> tuple[bool, int, Entry]:
    """Return the sort key of entries with the same ID, of which the highest is selected.

    An entry without an end ranks above all entries with an end.
    """
    return entry.reason.until_us == 0, entry.reason.until_us, entry


def _without_expired(value: CordonSet, now_us: int) -> CordonSet:
    """Return the value without reasons that ended more than ENDED_RETENTION_US ago.

    ENDED_RETENTION_US exceeds the clock skew between hosts, so no scheduler regards these reasons as active.
    """
    remaining = tuple(e for e in value.entries if not e.reason.has_ended(now_us - limits.ENDED_RETENTION_US))
    if len(remaining) == len(value.entries):
        return value
    return msgspec.structs.replace(value, entries=remaining)


def _by_dot(value: CordonSet) -> dict[Dot, Entry]:
    return {e.dot: e for e in value.entries}


def by_writer(seen: Sequence[SeenDots]) -> dict[tuple[str, int], tuple[CounterRange, ...]]:
    """Return the counter ranges of the seen dots, by writer (`Dot.writer`)."""
    return {s.writer: s.ranges for s in seen}


def has_seen(seen: dict[tuple[str, int], tuple[CounterRange, ...]], dot: Dot) -> bool:
    """Return whether a dot is among the seen dots, which are given as counter ranges by writer."""
    return any(low <= dot.counter <= high for low, high in seen.get(dot.writer, ()))


def join_ranges(ranges: Iterable[CounterRange]) -> tuple[CounterRange, ...]:
    """Return the fewest ascending ranges that contain the same counters as ``ranges``."""
    joined: list[CounterRange] = []
    for low, high in sorted(ranges):
        if joined and low <= joined[-1][1] + 1:
            joined[-1] = joined[-1][0], max(joined[-1][1], high)
        else:
            joined.append((low, high))
    return tuple(joined)


def _with_dot(seen: Sequence[SeenDots], dot: Dot) -> tuple[SeenDots, ...]:
    """Return the seen dots with a new dot of this process added.

    A process knows all its own writes, so it wrote nothing to this target between its last seen dot and
    ``dot``. The counters between the two are therefore also added as seen, so that one range per writer is
    enough.
    """
    ranges_by_writer = by_writer(seen)
    ranges = ranges_by_writer.get(dot.writer, ())
    last = ranges[-1][1] if ranges else dot.counter - 1
    if dot.counter <= last:
        raise ValueError(f"the dot {dot} is not new: the last counter of its writer is {last}")
    ranges_by_writer[dot.writer] = join_ranges((*ranges, (last + 1, dot.counter)))
    return tuple(SeenDots(*writer, ranges_by_writer[writer]) for writer in sorted(ranges_by_writer))
