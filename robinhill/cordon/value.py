"""The cordons of one target as a replicated value: reasons side by side, each under the dots that wrote it.

The rule for copies that differ is that of an observed-remove set without tombstones (Bieniusa et al., "An
optimized conflict-free replicated set", 2012). Every write of a reason gets a *dot* that is never used again.
A value holds the reasons that stand, by dot, and the dots that it has *seen*, which are all that it holds and
all that were removed. A dot stands in the merge of two copies if both hold it, or one holds it and the other
has not seen it. So a lift removes what it has seen and nothing else; a cordon that is set at the same moment
elsewhere stays.

Targets are 'worker/ID', 'zone/NAME', 'kind/NAME' and 'cell/NUMBER'. Times are Unix microseconds.
"""

import re
from collections.abc import Iterable, Sequence

import msgspec

from robinhill.cordon import limits
from robinhill.cordon.errors import CordonElsewhere, CordonMalformed, CordonsFull, CordonUnknown
from robinhill.mesh.errors import ForeignState
from robinhill.mesh.records import Kind

NAME = "cordon"
VERSION = 1
AUTOMATIC = "auto-"  # how the IDs of automatic reasons begin, and no operator's
_LINE = re.compile("[^\x00-\x1f\x7f-\x9f\u2028\u2029]*")  # isprintable() differs by Python's version
_ID = re.compile(rf"[A-Za-z0-9][A-Za-z0-9._:@-]{{0,{limits.MAX_ID - 1}}}")
_TARGET = re.compile(r"(worker|zone|kind)/\S(.*\S)?|cell/(0|-?[1-9][0-9]{0,17})")

Range = tuple[int, int]  # of counters, both ends in it


class Dot(msgspec.Struct, frozen=True, array_like=True, order=True):
    """One write, never repeated: ``counter`` only grows in a process, whatever the target."""

    origin: str
    incarnation: int
    counter: int

    @property
    def writer(self) -> tuple[str, int]:
        return self.origin, self.incarnation

    def __str__(self) -> str:
        return f"{self.origin}/{self.incarnation}/{self.counter}"


class Reason(msgspec.Struct, frozen=True, array_like=True, order=True):
    """Why a target gets nothing new. ``until_us`` 0: until it is lifted.

    ``by`` is who asked for it, or the scheduler that proposed it. Of automatic ones: ``cause`` (what was
    seen), ``observers`` (who saw it) and ``times`` (how often in a row it was needed).
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

    def ended(self, now_us: int) -> bool:
        return 0 < self.until_us <= now_us


class Entry(msgspec.Struct, frozen=True, array_like=True, order=True):
    """A reason and the dot that wrote it."""

    dot: Dot
    reason: Reason


class Seen(msgspec.Struct, frozen=True, array_like=True, order=True):
    """The dots of one process that a value has seen, as ranges apart from each other, ascending."""

    origin: str
    incarnation: int
    ranges: tuple[Range, ...]

    @property
    def writer(self) -> tuple[str, int]:
        return self.origin, self.incarnation


class Cordons(msgspec.Struct, frozen=True, array_like=True):
    """All that is known of one target, entries and writers ascending.

    ``lifted_us``: when an operator last lifted an automatic reason, or 0; evidence of before it is spent.
    """

    version: int = VERSION
    entries: tuple[Entry, ...] = ()
    seen: tuple[Seen, ...] = ()
    lifted_us: int = 0


Items = Iterable[tuple[str, Cordons]]  # by target


def reasons(value: Cordons, now_us: int) -> tuple[Entry, ...]:
    """What stands now, one entry for each ID, by ascending ID.

    Where an ID was written twice at once, both stand and the one that lasts longest speaks for both.
    """
    standing = [e for e in value.entries if not e.reason.ended(now_us)]
    if len(standing) < 2:
        return tuple(standing)
    longest: dict[str, Entry] = {}
    for entry in standing:
        other = longest.get(entry.reason.id)
        if other is None or _lasts(entry) > _lasts(other):
            longest[entry.reason.id] = entry
    return tuple(longest[key] for key in sorted(longest))


def find(items: Items, cordon_id: str, now_us: int) -> tuple[str, ...]:
    """The targets at which an ID stands, ascending; CordonUnknown, which names the others, if at none."""
    found, known = set(), set()
    for target, value in items:
        for entry in reasons(value, now_us):
            known.add(entry.reason.id)
            if entry.reason.id == cordon_id:
                found.add(target)
    if not found:
        raise CordonUnknown(cordon_id, sorted(known))
    return tuple(sorted(found))


def check_elsewhere(items: Items, cordon_id: str, target: str, now_us: int) -> None:
    """CordonElsewhere if an ID stands at a target but not at this one: it would mean two things."""
    try:
        present = find(items, cordon_id, now_us)
    except CordonUnknown:
        return
    if target not in present:
        raise CordonElsewhere(cordon_id, target, present)


def set_(present: Cordons | None, reason: Reason, dot: Dot, now_us: int) -> Cordons:
    """The value with a reason in place of what was seen of the same ID; saying it again changes no fact.

    It is a write of its own even then, so that it stands against a lift that goes on at the same time. The
    reason counts since it was first given. ``dot`` must be new and larger than all that this process wrote.
    CordonMalformed, CordonsFull.
    """
    check_reason(reason, now_us)
    value = _pruned(present or Cordons(), now_us)
    before = [e for e in value.entries if e.reason.id == reason.id]
    if len({e.reason.id for e in value.entries} | {reason.id}) > limits.REASONS:
        raise CordonsFull(f"the target has {limits.REASONS} reasons already")
    standing = [e.reason.since_us for e in before if not e.reason.ended(now_us)]
    reason = msgspec.structs.replace(reason, since_us=min([reason.since_us, *standing]))
    entries = [e for e in value.entries if e.reason.id != reason.id]
    return Cordons(
        entries=tuple(sorted([*entries, Entry(dot, reason)])),
        seen=_with_dot(value.seen, dot),
        lifted_us=value.lifted_us,
    )


def lift(present: Cordons | None, cordon_id: str, now_us: int) -> Cordons:
    """The value without an ID: its dots that were seen here are removed. CordonUnknown if none stands."""
    value = _pruned(present or Cordons(), now_us)
    standing = reasons(value, now_us)
    gone = [e for e in standing if e.reason.id == cordon_id]
    if not gone:
        raise CordonUnknown(cordon_id, [e.reason.id for e in standing])
    quiet = now_us if gone[0].reason.automatic else 0
    return msgspec.structs.replace(
        value,
        entries=tuple(e for e in value.entries if e.reason.id != cordon_id),
        lifted_us=max(value.lifted_us, quiet),
    )


def merge(one: Cordons, other: Cordons) -> Cordons:
    """What two copies know together. Commutative, associative, idempotent; see the module's head."""
    if one == other:
        return one
    mine, theirs = _by_dot(one), _by_dot(other)
    saw, they_saw = _by_writer(one.seen), _by_writer(other.seen)
    entries = []
    for dot in mine.keys() | theirs.keys():
        a, b = mine.get(dot), theirs.get(dot)
        if a is not None and b is not None:
            entries.append(max(a, b))  # the same but for a hostile writer
        elif a is not None and not _covers(they_saw, dot):
            entries.append(a)
        elif b is not None and not _covers(saw, dot):
            entries.append(b)
    seen = (
        Seen(*writer, _joined((*saw.get(writer, ()), *they_saw.get(writer, ()))))
        for writer in sorted(saw.keys() | they_saw.keys())
    )
    return Cordons(
        entries=tuple(sorted(entries)), seen=tuple(seen), lifted_us=max(one.lifted_us, other.lifted_us)
    )


def fades(value: Cordons, kept_until_us: int, now_us: int, *, mine: bool) -> bool:
    """Whether a record must be written once more, with the same value, so that what lasts longer is kept.

    ``kept_until_us`` is the record's. Who wrote it last (``mine``) does so with half of its time to go,
    anyone else with a quarter, should that one be no more.
    """
    lasts = any(e.reason.until_us == 0 or e.reason.until_us > kept_until_us for e in value.entries)
    return lasts and kept_until_us < now_us + limits.KEEP_US // (2 if mine else 4)


def check_target(target: str) -> str:
    """The target, or CordonMalformed."""
    if len(target) > limits.MAX_TARGET or not _LINE.fullmatch(target) or not _TARGET.fullmatch(target):
        raise CordonMalformed(f"{target[:80]!r} is no target")
    return target


def check_id(cordon_id: str, *, automatic: bool = False) -> str:
    """The ID, or CordonMalformed; those of automatic reasons are theirs alone."""
    if not is_id(cordon_id):
        raise CordonMalformed(f"{cordon_id[:80]!r} is no ID of at most {limits.MAX_ID} from a-z, 0-9, ._:@-")
    if cordon_id.startswith(AUTOMATIC) is not automatic:
        raise CordonMalformed(f"IDs of automatic cordons, and no others, begin with {AUTOMATIC!r}")
    return cordon_id


def _is_line(text: str, most: int) -> bool:
    return len(text) <= most and _LINE.fullmatch(text) is not None


def is_id(text: str) -> bool:
    return _ID.fullmatch(text) is not None


def check_reason(reason: Reason, now_us: int) -> None:
    """CordonMalformed unless the reason can be written now; a peer's is held to less, see ``decode``."""
    check_id(reason.id, automatic=reason.automatic)
    if not reason.text.strip() or not _is_line(reason.text, limits.MAX_TEXT):
        raise CordonMalformed(f"the reason must be one line of 1 to {limits.MAX_TEXT} characters")
    if not _is_line(reason.by, limits.MAX_NAME):
        raise CordonMalformed(f"who asks must be named in one line of at most {limits.MAX_NAME} characters")
    if reason.until_us < 0 or reason.ended(now_us):
        raise CordonMalformed("the end is over already")
    if reason.until_us > now_us + limits.MAX_END_US:
        raise CordonMalformed("the end is more than a year ahead; leave it out for none")
    if reason.automatic and not reason.until_us:
        raise CordonMalformed("an automatic cordon must have an end")
    if len(reason.observers) > limits.MAX_OBSERVERS or not 1 <= reason.times <= limits.MAX_NUMBER:
        raise CordonMalformed("the automatic part of the reason is out of bounds")


def encode(value: Cordons) -> bytes:
    """Canonical: a value has one form, as all in it is ordered."""
    return _encoder.encode(value)


def decode(data: bytes) -> Cordons:
    """The value of a peer or a file; ForeignState if not canonical, too large or newer."""
    try:
        if (version := _head.decode(data).version) != VERSION:
            raise ForeignState(f"a cordon of version {version}, not {VERSION}")
        value = _decoder.decode(data)
    except (msgspec.DecodeError, ValueError) as e:
        raise ForeignState(f"words on a cordon can't be read: {e}") from e
    if (why := _fault(value)) or encode(value) != data:
        raise ForeignState(f"words on a cordon are damaged: {why or 'not in canonical form'}")
    return value


def cordon_kind() -> Kind[Cordons]:
    """Cordons as the replica keeps them: by target. None is evicted: at the bound new targets are refused."""
    return Kind(NAME, encode, decode, merge, lifetime_us=limits.KEEP_US, bound=limits.TARGETS)


class _Head(msgspec.Struct, array_like=True):
    """The part that all versions share."""

    version: int


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Cordons)
_head = msgspec.msgpack.Decoder(_Head)


def _lasts(entry: Entry) -> tuple[bool, int, Entry]:
    """By which one speaks for an ID: no end before any end, then the later one."""
    return entry.reason.until_us == 0, entry.reason.until_us, entry


def _pruned(value: Cordons, now_us: int) -> Cordons:
    """Without what ended so long ago that no clock can think it stands."""
    kept = tuple(e for e in value.entries if not e.reason.ended(now_us - limits.FORGET_ENDED_US))
    return value if len(kept) == len(value.entries) else msgspec.structs.replace(value, entries=kept)


def _by_dot(value: Cordons) -> dict[Dot, Entry]:
    return {e.dot: e for e in value.entries}


def _by_writer(seen: Sequence[Seen]) -> dict[tuple[str, int], tuple[Range, ...]]:
    return {s.writer: s.ranges for s in seen}


def _covers(seen: dict[tuple[str, int], tuple[Range, ...]], dot: Dot) -> bool:
    return any(low <= dot.counter <= high for low, high in seen.get(dot.writer, ()))


def _joined(ranges: Iterable[Range]) -> tuple[Range, ...]:
    """The same numbers in as few ranges as can be."""
    joined: list[Range] = []
    for low, high in sorted(ranges):
        if joined and low <= joined[-1][1] + 1:
            joined[-1] = joined[-1][0], max(joined[-1][1], high)
        else:
            joined.append((low, high))
    return tuple(joined)


def _with_dot(seen: Sequence[Seen], dot: Dot) -> tuple[Seen, ...]:
    """What was seen, with a dot that this process writes now.

    The writer knows that it wrote nothing to this target between its last dot and this one, as a process
    forgets none of its own writes: so those in between count as seen, and a writer needs one range, not many.
    """
    by_writer = _by_writer(seen)
    ranges = by_writer.get(dot.writer, ())
    last = ranges[-1][1] if ranges else dot.counter - 1
    if dot.counter <= last:
        raise ValueError(f"{dot} is not new: its writer is at {last}")
    by_writer[dot.writer] = _joined((*ranges, (last + 1, dot.counter)))
    return tuple(Seen(*writer, by_writer[writer]) for writer in sorted(by_writer))


def _fault(value: Cordons) -> str:
    """What is wrong with a value from elsewhere, '' if nothing is."""
    seen = _by_writer(value.seen)
    if len(value.entries) > limits.MAX_ENTRIES or len(value.seen) > limits.MAX_WRITERS:
        return "too many entries"
    if sum(len(s.ranges) for s in value.seen) > limits.MAX_RANGES:
        return "too many ranges"
    if list(seen) != sorted(seen) or len(seen) != len(value.seen):
        return "writers out of order"
    dots = [e.dot for e in value.entries]
    if dots != sorted(set(dots)):
        return "entries out of order"
    for s in value.seen:
        if not _is_line(s.origin, limits.MAX_NAME):
            return "a name out of bounds"
        if not s.ranges or s.ranges != _joined(s.ranges) or any(low > high for low, high in s.ranges):
            return "ranges out of order"
        if not (1 <= s.ranges[0][0] and s.ranges[-1][1] <= limits.MAX_NUMBER):
            return "counters out of bounds"
    for e in value.entries:
        if not _covers(seen, e.dot):
            return "an entry that was not seen"
        r = e.reason
        if not is_id(r.id) or not _is_line(r.text, limits.MAX_TEXT):
            return "an ID or text out of bounds"
        if not all(_is_line(name, limits.MAX_NAME) for name in (r.by, r.cause, *r.observers)):
            return "a name out of bounds"
        if not (0 <= r.since_us <= limits.MAX_NUMBER and 0 <= r.until_us <= limits.MAX_NUMBER):
            return "times out of bounds"
        if len(r.observers) > limits.MAX_OBSERVERS or (r.automatic and not r.until_us):
            return "an automatic reason out of bounds"
    return "" if 0 <= value.lifted_us <= limits.MAX_NUMBER else "times out of bounds"
