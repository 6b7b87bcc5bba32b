"""The cordons of one target as a replicated value: its reasons, each with the dot of the write that made it.

Copies merge as an observed-remove set without tombstones (Bieniusa et al., "An optimized conflict-free
replicated set", 2012). Every write of a reason gets a *dot* that is never used again. A value holds the
entries that are active, by dot, and the dots that it has *seen*: those of its entries and of all that were
removed. An entry is in the merge of two copies if both hold it, or if one holds it and the other has not seen
its dot. So a lift removes what its copy has seen and nothing else: a cordon that is set elsewhere at the same
time stays.

Targets are 'worker/ID', 'zone/NAME', 'kind/NAME' and 'cell/NUMBER'. Times are Unix microseconds. Values are
immutable: `set_cordon`, `lift_cordon` and `merge` return new ones. No input or output.
"""

import re
from collections.abc import Iterable, Sequence

import msgspec

from robinhill.cordon import limits
from robinhill.cordon.errors import CordonElsewhere, CordonMalformed, CordonsFull, CordonUnknown

NAME = "cordon"
VERSION = 1
AUTOMATIC_ID_PREFIX = "auto-"  # reserved: no ID of an operator's begins with it
_LINE = re.compile("[^\x00-\x1f\x7f-\x9f\u2028\u2029]*")  # isprintable() differs by Python's version
_ID = re.compile(rf"[A-Za-z0-9][A-Za-z0-9._:@-]{{0,{limits.MAX_ID_CHARS - 1}}}")
_TARGET = re.compile(r"(worker|zone|kind)/\S(.*\S)?|cell/(0|-?[1-9][0-9]{0,17})")

CounterRange = tuple[int, int]  # first and last counter, both included


class Dot(msgspec.Struct, frozen=True, array_like=True, order=True):
    """The identity of one write; ``counter`` grows with each write of a process, whatever the target."""

    origin: str
    incarnation: int
    counter: int

    @property
    def writer(self) -> tuple[str, int]:
        """The process: its scheduler's name and its incarnation."""
        return self.origin, self.incarnation

    def __str__(self) -> str:
        return f"{self.origin}/{self.incarnation}/{self.counter}"


class Reason(msgspec.Struct, frozen=True, array_like=True, order=True):
    """Why a target is cordoned. ``until_us`` 0: until it is lifted.

    ``by`` is the operator who set it, or the scheduler that proposed it. Of automatic ones: ``cause`` (what
    was observed), ``observers`` (by whom) and ``times`` (how often in a row the worker was cordoned).
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
        """Return whether its end has passed."""
        return 0 < self.until_us <= now_us


class Entry(msgspec.Struct, frozen=True, array_like=True, order=True):
    """A reason and the dot that wrote it."""

    dot: Dot
    reason: Reason


class SeenDots(msgspec.Struct, frozen=True, array_like=True, order=True):
    """The dots of one process that a value has seen, as disjoint ranges, ascending."""

    origin: str
    incarnation: int
    ranges: tuple[CounterRange, ...]

    @property
    def writer(self) -> tuple[str, int]:
        """The process: its scheduler's name and its incarnation."""
        return self.origin, self.incarnation


class CordonSet(msgspec.Struct, frozen=True, array_like=True):
    """The cordons of one target; entries and writers ascend.

    ``lifted_us``: when an operator last lifted an automatic reason, or 0; evidence of before then is used up.
    """

    version: int = VERSION
    entries: tuple[Entry, ...] = ()
    seen: tuple[SeenDots, ...] = ()
    lifted_us: int = 0


CordonItems = Iterable[tuple[str, CordonSet]]  # by target


def active_entries(value: CordonSet, now_us: int) -> tuple[Entry, ...]:
    """Return the active entries, one for each ID, by ascending ID.

    Where an ID was written twice concurrently, both are active and the one with the later end is returned.
    """
    active = [e for e in value.entries if not e.reason.has_ended(now_us)]
    if len(active) < 2:
        return tuple(active)
    by_id: dict[str, Entry] = {}
    for entry in active:
        other = by_id.get(entry.reason.id)
        if other is None or _end_order(entry) > _end_order(other):
            by_id[entry.reason.id] = entry
    return tuple(by_id[key] for key in sorted(by_id))


def find_targets(items: CordonItems, cordon_id: str, now_us: int) -> tuple[str, ...]:
    """Return the targets with an active ID, ascending. Raises CordonUnknown, which names the other IDs."""
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
    """Raise CordonElsewhere if an ID is active at other targets but not at this one."""
    try:
        present = find_targets(items, cordon_id, now_us)
    except CordonUnknown:
        return
    if target not in present:
        raise CordonElsewhere(cordon_id, target, present)


def set_cordon(present: CordonSet | None, reason: Reason, dot: Dot, now_us: int) -> CordonSet:
    """Return the value with a reason, which replaces those of the same ID that were seen here.

    Setting a reason again is a write of its own, so that it survives a concurrent lift; the reason then keeps
    its first ``since_us``. ``dot`` must be larger than all that this process wrote. Raises CordonMalformed or
    CordonsFull.
    """
    check_reason(reason, now_us)
    value = _without_expired(present or CordonSet(), now_us)
    before = [e for e in value.entries if e.reason.id == reason.id]
    if len({e.reason.id for e in value.entries} | {reason.id}) > limits.MAX_REASONS:
        raise CordonsFull(f"the target has {limits.MAX_REASONS} reasons already")
    active_since = [e.reason.since_us for e in before if not e.reason.has_ended(now_us)]
    reason = msgspec.structs.replace(reason, since_us=min([reason.since_us, *active_since]))
    entries = [e for e in value.entries if e.reason.id != reason.id]
    return CordonSet(
        entries=tuple(sorted([*entries, Entry(dot, reason)])),
        seen=_with_dot(value.seen, dot),
        lifted_us=value.lifted_us,
    )


def lift_cordon(present: CordonSet | None, cordon_id: str, now_us: int) -> CordonSet:
    """Return the value without an ID: its dots that were seen here are removed. Raises CordonUnknown."""
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
    """Return the merge of two copies: commutative, associative, idempotent; see the module's docstring."""
    if one == other:
        return one
    own_entries, other_entries = _by_dot(one), _by_dot(other)
    own_seen, other_seen = by_writer(one.seen), by_writer(other.seen)
    entries = []
    for dot in own_entries.keys() | other_entries.keys():
        a, b = own_entries.get(dot), other_entries.get(dot)
        if a is not None and b is not None:
            entries.append(max(a, b))  # equal, unless a writer is faulty
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
    """Return whether a record must be written anew with the same value, as a reason outlasts the record.

    ``expires_us`` is when the record expires. Its last writer renews it with half of its lifetime to go, any
    other scheduler with a quarter, in case the last writer no longer runs.
    """
    outlasts = any(e.reason.until_us == 0 or e.reason.until_us > expires_us for e in value.entries)
    return outlasts and expires_us < now_us + limits.RECORD_LIFETIME_US // (2 if is_last_writer else 4)


def check_target(target: str) -> str:
    """Return the target. Raises CordonMalformed."""
    if len(target) > limits.MAX_TARGET_CHARS or not _LINE.fullmatch(target) or not _TARGET.fullmatch(target):
        raise CordonMalformed(f"{target[:80]!r} is no target")
    return target


def check_id(cordon_id: str, *, automatic: bool = False) -> str:
    """Return the ID. Raises CordonMalformed, also where only automatic reasons may have it."""
    if not is_cordon_id(cordon_id):
        raise CordonMalformed(
            f"{cordon_id[:80]!r} is no ID of at most {limits.MAX_ID_CHARS} from a-z, 0-9, ._:@-"
        )
    if cordon_id.startswith(AUTOMATIC_ID_PREFIX) is not automatic:
        raise CordonMalformed(f"IDs of automatic cordons, and no others, begin with {AUTOMATIC_ID_PREFIX!r}")
    return cordon_id


def is_line(text: str, max_chars: int) -> bool:
    """Return whether a text is one line of at most so many characters."""
    return len(text) <= max_chars and _LINE.fullmatch(text) is not None


def is_cordon_id(text: str) -> bool:
    """Return whether a text has the form of a cordon's ID."""
    return _ID.fullmatch(text) is not None


def check_reason(reason: Reason, now_us: int) -> None:
    """Raise CordonMalformed if a reason can't be written now; `codec.decode` accepts more from peers."""
    check_id(reason.id, automatic=reason.automatic)
    if not reason.text.strip() or not is_line(reason.text, limits.MAX_TEXT_CHARS):
        raise CordonMalformed(f"the reason must be one line of 1 to {limits.MAX_TEXT_CHARS} characters")
    if not is_line(reason.by, limits.MAX_NAME_CHARS):
        raise CordonMalformed(
            f"who asks must be named in one line of at most {limits.MAX_NAME_CHARS} characters"
        )
    if reason.until_us < 0 or reason.has_ended(now_us):
        raise CordonMalformed("the end is over already")
    if reason.until_us > now_us + limits.MAX_DURATION_US:
        raise CordonMalformed("the end is more than a year ahead; leave it out for none")
    if reason.automatic and not reason.until_us:
        raise CordonMalformed("an automatic cordon must have an end")
    if len(reason.observers) > limits.MAX_OBSERVERS or not 1 <= reason.times <= limits.MAX_INTEGER:
        raise CordonMalformed("the automatic part of the reason is out of bounds")


def _end_order(entry: Entry) -> tuple[bool, int, Entry]:
    """Return the order by which one entry represents an ID: the latest end, and no end above all."""
    return entry.reason.until_us == 0, entry.reason.until_us, entry


def _without_expired(value: CordonSet, now_us: int) -> CordonSet:
    """Return the value without reasons that ended so long ago that no clock finds them active."""
    remaining = tuple(e for e in value.entries if not e.reason.has_ended(now_us - limits.ENDED_RETENTION_US))
    if len(remaining) == len(value.entries):
        return value
    return msgspec.structs.replace(value, entries=remaining)


def _by_dot(value: CordonSet) -> dict[Dot, Entry]:
    return {e.dot: e for e in value.entries}


def by_writer(seen: Sequence[SeenDots]) -> dict[tuple[str, int], tuple[CounterRange, ...]]:
    """Return the ranges of the dots that were seen, by writer."""
    return {s.writer: s.ranges for s in seen}


def has_seen(seen: dict[tuple[str, int], tuple[CounterRange, ...]], dot: Dot) -> bool:
    """Return whether a dot is among those that were seen, given by writer."""
    return any(low <= dot.counter <= high for low, high in seen.get(dot.writer, ()))


def join_ranges(ranges: Iterable[CounterRange]) -> tuple[CounterRange, ...]:
    """Return the same counters in as few ranges as possible."""
    joined: list[CounterRange] = []
    for low, high in sorted(ranges):
        if joined and low <= joined[-1][1] + 1:
            joined[-1] = joined[-1][0], max(joined[-1][1], high)
        else:
            joined.append((low, high))
    return tuple(joined)


def _with_dot(seen: Sequence[SeenDots], dot: Dot) -> tuple[SeenDots, ...]:
    """Return the dots that were seen, with one that this process writes now.

    A process knows all its own writes, so it wrote nothing to this target between its last dot and this one:
    the counters between them count as seen, and one range per writer is enough.
    """
    ranges_by_writer = by_writer(seen)
    ranges = ranges_by_writer.get(dot.writer, ())
    last = ranges[-1][1] if ranges else dot.counter - 1
    if dot.counter <= last:
        raise ValueError(f"{dot} is not new: its writer is at {last}")
    ranges_by_writer[dot.writer] = join_ranges((*ranges, (last + 1, dot.counter)))
    return tuple(SeenDots(*writer, ranges_by_writer[writer]) for writer in sorted(ranges_by_writer))
