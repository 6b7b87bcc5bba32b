"""Record kinds without rules of their own: drains of schedulers, evidence on workers, keyed requests.

Each value is a struct whose fields are its total order, or an ordered tuple of such structs. The larger of
two is therefore a commutative, associative and idempotent merge, and equal values have equal bytes. Times
inside values only order the writes of one scheduler, or concurrent writes of several: a writer uses a time
later than that of the value it replaces (``later``), so no host's clock wins for good. Numbers and texts are
bounded when they are decoded; a value beyond its bounds raises.
"""

from collections.abc import Iterable
from typing import Annotated, Any

import msgspec

from robinhill.mesh.clocks import LAST_US
from robinhill.mesh.records import Kind, Record, Stamp

Text = Annotated[str, msgspec.Meta(max_length=512)]
ShortText = Annotated[str, msgspec.Meta(max_length=128)]
Time = Annotated[int, msgspec.Meta(ge=0, le=LAST_US)]
Number = Annotated[int, msgspec.Meta(ge=0, le=LAST_US)]
Hash = Annotated[bytes, msgspec.Meta(max_length=64)]

HOUR_US = 3_600_000_000
MAX_RETRY_WINDOW_US = 600_000_000  # in which a client repeats a keyed request, unless configured otherwise
MAX_OBSERVATIONS = 600  # of one worker: three of each of 200 schedulers
MAX_DRAIN_RECORDS = 1_024  # schedulers, with those that they replaced
DRAIN_LIFETIME_US = 7 * 24 * HOUR_US
MAX_EVIDENCE_RECORDS = 8_192  # workers; those written longest ago are evicted first
EVIDENCE_LIFETIME_US = HOUR_US
MIN_LIFETIME_US = 60_000_000
MAX_REQUEST_RECORDS = 16_384  # idempotency keys; the oldest are evicted first
SILENT, FAILING, SLOW = "silent", "failing", "slow"
PLACED, FAILED, ENDED = 1, 2, 3


def later(now_us: int, than_us: int | None) -> int:
    """The time to write over a value of ``than_us``: now, or one microsecond after it."""
    return now_us if than_us is None else min(max(now_us, than_us + 1), LAST_US)


class Drain(msgspec.Struct, frozen=True, array_like=True, order=True):
    """An operator's decision to drain a scheduler, or to end its drain. The latest one counts.

    ``at_us``: when it was made, by ``later``. ``by``: the scheduler that received the operator's request.
    """

    at_us: Time
    by: ShortText
    draining: bool
    reason: Text


class Observation(msgspec.Struct, frozen=True, array_like=True, order=True):
    """What one scheduler observed of a worker; the latest for each ``what`` and ``about`` counts.

    ``observer``: the scheduler's name. ``what``: ``silent``, ``failing``, ``slow``, or a value of a newer
    version. ``about``: the class or kind of jobs concerned, or empty. ``amount``: microseconds without an
    answer, consecutive failures, or thousandths of the expected time; 0 withdraws the observation.
    """

    observer: ShortText
    what: ShortText
    at_us: Time
    about: ShortText
    amount: Number


Evidence = tuple[Observation, ...]


class Outcome(msgspec.Struct, frozen=True, array_like=True):
    """State of a request with an idempotency key: where a retry of it should go.

    ``attempt`` counts from 1, and each new placement adds one. ``state``: ``PLACED`` in ``zone``, ``FAILED``
    for good there, or ``ENDED`` with a result of the hash ``result``. ``window_us``: how long after ``at_us``
    the workers of the zone deduplicate a retry. ``by``: the scheduler that wrote it.
    """

    state: Annotated[int, msgspec.Meta(ge=PLACED, le=ENDED)]
    attempt: Number
    at_us: Time
    window_us: Number
    zone: Text
    by: ShortText
    result: Hash = b""

    def counts(self, now_us: int) -> bool:
        """Whether workers still deduplicate a retry at ``now_us`` (Unix time)."""
        return now_us < self.at_us + self.window_us


def latest_drain(a: Drain, b: Drain) -> Drain:
    """Merge rule of drains: the later decision."""
    return max(a, b)


def merge_evidence(a: Evidence, b: Evidence) -> Evidence:
    """Merge rule of evidence: the latest by observer and subject, ``MAX_OBSERVATIONS`` at most."""
    newest: dict[tuple[str, str, str], Observation] = {}
    for observation in (*a, *b):
        name = observation.observer, observation.what, observation.about
        newest[name] = max(observation, newest.get(name, observation))
    observations: Iterable[Observation] = newest.values()
    if len(newest) > MAX_OBSERVATIONS:
        observations = sorted(observations, key=lambda s: (s.at_us, s), reverse=True)[:MAX_OBSERVATIONS]
    return tuple(sorted(observations))


def current_observations(evidence: Evidence, now_us: int, within_us: int) -> list[Observation]:
    """Observations of the last ``within_us`` that were not withdrawn; future times count as now."""
    return [s for s in evidence if s.amount and s.at_us > now_us - within_us]


def merge_outcomes(a: Outcome, b: Outcome) -> Outcome:
    """Merge rule of keyed requests: a result wins, then the later attempt, then its failure.

    Between equals the earlier one wins, so that a retry goes where the request went first.
    """
    return max(a, b, key=_rank)


def _rank(o: Outcome) -> tuple[Any, ...]:
    return o.state == ENDED, o.attempt, o.state, -o.at_us, o.zone, o.by, o.result, o.window_us


def _written(record: Record) -> Stamp:
    return record.stamp


_encode = msgspec.msgpack.Encoder().encode

DRAIN_KIND: Kind[Drain] = Kind(
    "drain",
    _encode,
    msgspec.msgpack.Decoder(Drain).decode,
    latest_drain,
    lifetime_us=DRAIN_LIFETIME_US,
    bound=MAX_DRAIN_RECORDS,
)  # fmt: skip
EVIDENCE_KIND: Kind[Evidence] = Kind(
    "evidence", _encode, msgspec.msgpack.Decoder(tuple[Observation, ...]).decode, merge_evidence,
    lifetime_us=EVIDENCE_LIFETIME_US, bound=MAX_EVIDENCE_RECORDS, evict=_written,
)  # fmt: skip


def request_kind(max_retry_window_us: int, bound: int = MAX_REQUEST_RECORDS) -> Kind[Outcome]:
    """The kind of keyed requests, for the longest retry window of any class."""
    decode = msgspec.msgpack.Decoder(Outcome).decode
    lifetime_us = max(max_retry_window_us, MIN_LIFETIME_US)
    return Kind("request", _encode, decode, merge_outcomes, lifetime_us, bound, evict=_written)
