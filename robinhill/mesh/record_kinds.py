"""Record kinds with simple merge rules: drains of schedulers, evidence on workers, keyed requests.

*Evidence* on a worker is a list of symptoms that schedulers observed. A *keyed request* is a client's request
with an idempotency key.

Each value is a struct whose fields define a total order, or an ordered tuple of such structs. Choosing the
larger of two values is therefore a commutative, associative and idempotent merge, and equal values have equal
bytes. Times inside values only order the writes of one scheduler, or concurrent writes of several schedulers:
a writer uses a time later than the time in the value that it replaces (``next_time_us``), so the values of a
host whose clock is ahead do not win for good. Decoding raises an error for numbers and texts that exceed
their limits.
"""

from collections.abc import Iterable
from typing import Annotated, Any

import msgspec

from robinhill.mesh.clocks import MAX_TIME_US
from robinhill.mesh.records import Kind, Record, Stamp

Text = Annotated[str, msgspec.Meta(max_length=512)]
ShortText = Annotated[str, msgspec.Meta(max_length=128)]
Time = Annotated[int, msgspec.Meta(ge=0, le=MAX_TIME_US)]
Number = Annotated[int, msgspec.Meta(ge=0, le=MAX_TIME_US)]
Hash = Annotated[bytes, msgspec.Meta(max_length=64)]

HOUR_US = 3_600_000_000
MAX_RETRY_WINDOW_US = 600_000_000  # default time within which a client may retry a keyed request
MAX_OBSERVATIONS = 600  # maximum stored for one worker: three by each of 200 schedulers
MAX_DRAIN_RECORDS = 1_024  # one for each scheduler, including schedulers that are no longer configured
DRAIN_LIFETIME_US = 7 * 24 * HOUR_US
MAX_EVIDENCE_RECORDS = 8_192  # one for each worker; those written longest ago are evicted first
EVIDENCE_LIFETIME_US = HOUR_US
MIN_LIFETIME_US = 60_000_000  # shortest lifetime of the record of a keyed request
MAX_REQUEST_RECORDS = 16_384  # one for each idempotency key; those written longest ago are evicted first
SILENT, FAILING, SLOW = "silent", "failing", "slow"
PLACED, FAILED, ENDED = 1, 2, 3


def next_time_us(now_us: int, than_us: int | None) -> int:
    """Return the time to write into a value that replaces a value with the time ``than_us``.

    This is ``now_us``, or one microsecond after ``than_us`` if that is later. ``than_us`` is None if no value
    is replaced.
    """
    return now_us if than_us is None else min(max(now_us, than_us + 1), MAX_TIME_US)


class Drain(msgspec.Struct, frozen=True, array_like=True, order=True):
    """An operator's decision to drain a scheduler, or to end its drain; the latest decision applies.

    ``at_us``: the time of the decision, as returned by ``next_time_us``. ``by``: the scheduler that received
    the operator's request.
    """

    at_us: Time
    by: ShortText
    draining: bool
    reason: Text


class Observation(msgspec.Struct, frozen=True, array_like=True, order=True):
    """A symptom of a worker that one scheduler observed.

    For each ``observer``, ``what`` and ``about`` only the latest observation is retained. ``observer``: the
    name of the scheduler. ``what``: the symptom, ``silent``, ``failing``, ``slow`` or a value of a newer
    version. ``at_us``: the time of the observation. ``about``: the class or kind of jobs concerned, or empty.
    ``amount``: microseconds without a response (silent), number of consecutive failures (failing), or the
    time taken in thousandths of the expected time (slow); 0 withdraws the observation.
    """

    observer: ShortText
    what: ShortText
    at_us: Time
    about: ShortText
    amount: Number


Evidence = tuple[Observation, ...]


class Outcome(msgspec.Struct, frozen=True, array_like=True):
    """State of a request with an idempotency key, by which a retry is sent to the zone of the request.

    ``attempt``: number of the placement, from 1. ``state``: ``PLACED`` in ``zone``, ``FAILED`` permanently in
    ``zone``, or ``ENDED`` with a result. ``at_us``: the time of the state. ``window_us``: how long after
    ``at_us`` the workers of the zone deduplicate retries. ``by``: the scheduler that wrote the state.
    ``result``: hash of the result; empty unless the state is ``ENDED``.
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
    """Merge rule of drains: the later decision wins."""
    return max(a, b)


def merge_evidence(a: Evidence, b: Evidence) -> Evidence:
    """Merge rule of evidence: the latest observation for each observer, ``what`` and ``about``.

    If there are more than ``MAX_OBSERVATIONS``, only the latest ``MAX_OBSERVATIONS`` of them are retained.
    """
    newest: dict[tuple[str, str, str], Observation] = {}
    for observation in (*a, *b):
        key = observation.observer, observation.what, observation.about
        newest[key] = max(observation, newest.get(key, observation))
    observations: Iterable[Observation] = newest.values()
    if len(newest) > MAX_OBSERVATIONS:
        observations = sorted(observations, key=lambda o: (o.at_us, o), reverse=True)[:MAX_OBSERVATIONS]
    return tuple(sorted(observations))


def current_observations(evidence: Evidence, now_us: int, within_us: int) -> list[Observation]:
    """Return the observations of the last ``within_us`` microseconds that were not withdrawn.

    Observations with a time in the future are included.
    """
    return [o for o in evidence if o.amount and o.at_us > now_us - within_us]


def merge_outcomes(a: Outcome, b: Outcome) -> Outcome:
    """Merge rule of keyed requests: a result wins, then the later attempt, then the failure of that attempt.

    Of two values with the same attempt and state, the one with the earlier time wins, so that a retry is sent
    to the zone of the first placement.
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
    """Return the kind of keyed requests. ``max_retry_window_us``: the longest retry window of any class."""
    decode = msgspec.msgpack.Decoder(Outcome).decode
    lifetime_us = max(max_retry_window_us, MIN_LIFETIME_US)
    return Kind("request", _encode, decode, merge_outcomes, lifetime_us, bound, evict=_written)
