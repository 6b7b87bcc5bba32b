"""Kinds of state that need no rules of their own: drains of schedulers, evidence on workers, keyed requests.

Each value is a struct whose fields are its total order, or a tuple of such structs in order; so the larger of
two is commutative, associative and idempotent, and equal values have equal bytes. Times in values only tell
apart what one writer said earlier and later, or what several said without knowing of each other: who writes
takes a time later than the one that it replaces (``later``), whatever the clocks say, so no clock wins for
ever. Numbers and texts are bounded when they are decoded; a value beyond that raises.
"""

from collections.abc import Iterable
from typing import Annotated, Any

import msgspec

from robinhill.mesh.clocks import LAST_US
from robinhill.mesh.records import Kind, Record, Stamp

LONGEST_WINDOW_US = 600_000_000
"""In which a client repeats a keyed request, where nothing says otherwise."""

Text = Annotated[str, msgspec.Meta(max_length=512)]
Word = Annotated[str, msgspec.Meta(max_length=128)]
Time = Annotated[int, msgspec.Meta(ge=0, le=LAST_US)]
Number = Annotated[int, msgspec.Meta(ge=0, le=LAST_US)]
Hash = Annotated[bytes, msgspec.Meta(max_length=64)]

HOUR_US = 3_600_000_000
MOST_SIGHTINGS = 600  # of one worker: 200 schedulers that see three things each
DRAINS = 1_024  # schedulers and those that they replaced
DRAIN_US = 7 * 24 * HOUR_US  # a drain that is a week old was forgotten
EVIDENCE = 8_192  # workers; beyond it the ones of which nothing was heard for longest go first
EVIDENCE_US = HOUR_US  # after it a worker deserves a new trial; readers may stop believing it earlier
SHORTEST_US = 60_000_000  # that anything is worth sharing
REQUESTS = 16_384  # keys within the longest window; beyond it the oldest go first
SILENT, FAILING, SLOW = "silent", "failing", "slow"
PLACED, FAILED, ENDED = 1, 2, 3


def later(now_us: int, than_us: int | None) -> int:
    """The time to write where ``than_us`` is held already: now, or just after it."""
    return now_us if than_us is None else min(max(now_us, than_us + 1), LAST_US)


class Drain(msgspec.Struct, frozen=True, array_like=True, order=True):
    """An operator's word on a scheduler: take it out, or no longer. The latest one counts.

    ``at_us``: when it was said, by ``later``. ``by``: the scheduler that was told.
    """

    at_us: Time
    by: Word
    draining: bool
    reason: Text


class Sighting(msgspec.Struct, frozen=True, array_like=True, order=True):
    """What one scheduler saw of a worker; its latest one of each ``what`` and ``about`` counts.

    ``observer``: the scheduler's name. ``what``: ``silent``, ``failing``, ``slow``, or what newer versions
    see. ``about``: the class of jobs or kind it was seen with, or empty. ``amount``: microseconds without an
    answer, failures in a row, or thousandths of the expected time; 0 takes it back.
    """

    observer: Word
    what: Word
    at_us: Time
    about: Word
    amount: Number


Evidence = tuple[Sighting, ...]


class Outcome(msgspec.Struct, frozen=True, array_like=True):
    """What became of a request that has a key: where a repeat of it should go.

    ``attempt`` counts from 1; who places the request anew adds one. ``state``: ``PLACED`` in ``zone``,
    ``FAILED`` for good there, ``ENDED`` with a result of that hash. ``window_us``: how long after ``at_us``
    the workers of the zone drop a repeat. ``by``: the scheduler that says so.
    """

    state: Annotated[int, msgspec.Meta(ge=PLACED, le=ENDED)]
    attempt: Number
    at_us: Time
    window_us: Number
    zone: Text
    by: Word
    result: Hash = b""

    def counts(self, now_us: int) -> bool:
        return now_us < self.at_us + self.window_us


def latest(a: Drain, b: Drain) -> Drain:
    return max(a, b)


def together(a: Evidence, b: Evidence) -> Evidence:
    """Of each observer and thing the latest sighting; of more than ``MOST_SIGHTINGS`` the latest ones."""
    found: dict[tuple[str, str, str], Sighting] = {}
    for sighting in (*a, *b):
        name = sighting.observer, sighting.what, sighting.about
        found[name] = max(sighting, found.get(name, sighting))
    kept: Iterable[Sighting] = found.values()
    if len(found) > MOST_SIGHTINGS:
        kept = sorted(kept, key=lambda s: (s.at_us, s), reverse=True)[:MOST_SIGHTINGS]
    return tuple(sorted(kept))


def current(evidence: Evidence, now_us: int, within_us: int) -> list[Sighting]:
    """What was seen within that time and not taken back; a time in the future counts as now."""
    return [s for s in evidence if s.amount and s.at_us > now_us - within_us]


def furthest(a: Outcome, b: Outcome) -> Outcome:
    """A result beats all, then the later attempt, then its failure; of equals the earlier one: a repeat goes
    where the request went first.
    """
    return max(a, b, key=_rank)


def _rank(o: Outcome) -> tuple[Any, ...]:
    return o.state == ENDED, o.attempt, o.state, -o.at_us, o.zone, o.by, o.result, o.window_us


def _written(record: Record) -> Stamp:
    return record.stamp


_encode = msgspec.msgpack.Encoder().encode

DRAIN: Kind[Drain] = Kind(
    "drain", _encode, msgspec.msgpack.Decoder(Drain).decode, latest, lifetime_us=DRAIN_US, bound=DRAINS
)
SEEN: Kind[Evidence] = Kind(
    "evidence", _encode, msgspec.msgpack.Decoder(tuple[Sighting, ...]).decode, together,
    lifetime_us=EVIDENCE_US, bound=EVIDENCE, evict=_written,
)  # fmt: skip


def requests(longest_window_us: int, bound: int = REQUESTS) -> Kind[Outcome]:
    """The kind of keyed requests, for the longest window that any class names."""
    decode = msgspec.msgpack.Decoder(Outcome).decode
    lifetime_us = max(longest_window_us, SHORTEST_US)
    return Kind("request", _encode, decode, furthest, lifetime_us, bound, evict=_written)
