"""Decodes messages of the platform to typed values, and encodes typed values as messages, without I/O.

The platform is the set of clients, workers and discovery services that a scheduler exchanges messages with.
Its header, path and field names appear only in this module; the rest of the program uses the general terms of
job scheduling. A message that violates the protocol raises `MalformedError`.
"""

import math
import re
from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum
from typing import Any
from urllib.parse import quote

import orjson
from multidict import MultiMapping
from yarl import URL

MAX_BODY_BYTES = 64 * 1024
MAX_JSON_INTEGER = 2**53  # JSON readers round larger ones; above 64 bits, no process can be sent one
MAX_COST_US = 3_600_000_000  # one hour; limits the effect of a client's absurd estimate on sums of estimates

REQUEST_ID = "X-Request-ID"
CLASS = "X-Priority-Class"
TIMEOUT = "X-Timeout"
RETRIED = "X-Retried"
TENANT = "X-Tenant-Id"
COST = "X-Cost"
KEY = "Idempotency-Key"
NOT_PROCESSED = "X-Not-Processed"
# Request headers that are forwarded to the endpoint unchanged.
FORWARDED = (REQUEST_ID, CLASS, RETRIED, KEY, "X-Route-Key", "X-Attrs", "Content-Type", "Content-Encoding")
SINGLE_VALUE_HEADERS = (REQUEST_ID, CLASS, TIMEOUT, TENANT, COST, KEY)

_TIMEOUT_PATTERN = re.compile(r"(\d{1,12}(?:\.\d{1,6})?)([mu])", re.ASCII)
_UNITS_US = {"m": 1000, "u": 1}
_COST_PATTERN = re.compile(r"\d{1,15}(?:\.\d{1,6})?", re.ASCII)
_TARGET_PATTERN = re.compile(r"/[!\"$-~]*", re.ASCII)
_INSTANCE_PATTERN = re.compile(r"[!-~]{1,256}", re.ASCII)
_JSON_TOKEN = re.compile(rb'[][{}]|"(?:[^"\\]|\\.)*"')
_ID_PATTERN = re.compile(r"[!-~]{1,128}", re.ASCII)


class MalformedError(Exception):
    """A peer's message violates the protocol."""


@dataclass(slots=True, frozen=True)
class JobRequest:
    """A client's request as received."""

    id: str
    job_class: int  # the index of the class
    time_left_us: int  # from the arrival until the client's deadline
    client_repeat: bool  # whether the client marks the request as a retry
    target: str  # the path with its query
    body: bytes
    headers: tuple[tuple[str, str], ...]  # the headers of the request that are in ``FORWARDED``
    tenant: str = ""  # empty if the client sends none
    cost_us: int = 0  # the client's estimate of the work; 0: no estimate
    key: str = ""  # the idempotency key; empty if the client sends none


def decode_request(
    target: str,
    headers: MultiMapping[str],
    body: bytes,
    classes: tuple[str, ...],
    deadlines_us: tuple[int, ...],
) -> JobRequest:
    """Decode a client's request; one without a timeout header gets the deadline of its class.

    Raises MalformedError.
    """
    for key in SINGLE_VALUE_HEADERS:
        if len(headers.getall(key, [])) > 1:
            raise MalformedError(f"header {key} is repeated; at most one is allowed")
    wire_id = headers.get(REQUEST_ID, "")
    if not _ID_PATTERN.fullmatch(wire_id):
        raise MalformedError(
            f"header {REQUEST_ID} must be 1 to 128 printable ASCII characters without spaces"
        )
    if not _TARGET_PATTERN.fullmatch(target):
        raise MalformedError("the request target must be a path of printable ASCII characters without '#'")
    first = target[1:].partition("?")[0].partition("/")[0]
    name = headers.get(CLASS, first)
    if name not in classes or name != first:
        raise MalformedError(
            f"header {CLASS} and the first path segment must name the same known job class, got {name[:64]!r}"
        )
    job_class = classes.index(name)
    left = parse_timeout(headers[TIMEOUT]) if TIMEOUT in headers else deadlines_us[job_class]
    # The decision module (robinhill.logic) assumes that the client of a retry has already spent the
    # difference between the retry's timeout and the longest timeout received for the class. One absurdly long
    # timeout would make all later retries look late, so timeouts are limited to the deadline of the class.
    left = min(left, deadlines_us[job_class])
    passed = tuple((key, headers[key]) for key in FORWARDED if key in headers)
    if not all(value.isprintable() for _, value in passed):
        # When the request is forwarded, the HTTP client library would silently drop bytes that are not valid
        # UTF-8.
        raise MalformedError("a forwarded header contains characters that are not printable")
    tenant = headers.get(TENANT, "")
    if not is_valid_text(tenant):
        raise MalformedError(f"header {TENANT} is not valid UTF-8")
    return JobRequest(
        wire_id, job_class, left, headers.get(RETRIED) == "1", target, body, passed,
        tenant, parse_cost(headers.get(COST, "")), headers.get(KEY, ""),
    )  # fmt: skip


def is_valid_text(text: str) -> bool:
    """Whether a decoded header can be encoded again, so that it can be sent to another process or logged.

    aiohttp decodes each byte that is not valid UTF-8 to a lone surrogate, which no encoder accepts.
    """
    try:
        text.encode()
    except UnicodeEncodeError:
        return False
    return True


def parse_cost(text: str) -> int:
    """Parse an estimate of the work in microseconds; 0 if the text is not a number."""
    return min(int(float(text)), MAX_COST_US) if _COST_PATTERN.fullmatch(text) else 0


def parse_timeout(text: str) -> int:
    """Convert ``480m`` (milliseconds) or ``480000u`` (microseconds) to microseconds.

    Raises MalformedError for any other form and for a timeout of less than a microsecond.
    """
    if not (match := _TIMEOUT_PATTERN.fullmatch(text.strip())):
        raise MalformedError(f"header {TIMEOUT} must be a number followed by m or u, got {text[:32]!r}")
    if not (left_us := int(float(match[1]) * _UNITS_US[match[2]])):
        raise MalformedError(f"header {TIMEOUT} must be at least one microsecond")
    return left_us


def encode_handed_over_request(request: JobRequest) -> dict[str, object]:
    """Encode a request as a JSON object for another process of this scheduler.

    The body is decoded as latin-1, which maps each possible byte to one character.
    """
    return {
        "id": request.id,
        "job_class": request.job_class,
        "time_left_us": request.time_left_us,
        "client_repeat": request.client_repeat,
        "target": request.target,
        "body": request.body.decode("latin-1"),
        "headers": request.headers,
        "tenant": request.tenant,
        "cost_us": request.cost_us,
        "key": request.key,
    }


def decode_handed_over_request(data: dict[str, Any]) -> JobRequest:
    """Decode a request that another process of this scheduler has handed over."""
    headers = tuple((key, value) for key, value in data["headers"])
    return JobRequest(**(data | {"body": data["body"].encode("latin-1"), "headers": headers}))


def cancellation_target(wire_id: str) -> str:
    """The path of the HTTP request to a worker that cancels a job; ``wire_id`` is the client's request id."""
    return f"/jobs/{quote(wire_id, safe='')}"


def format_timeout(left_us: int) -> str:
    """Format microseconds as the value of a timeout header; a time below 1 us becomes 1 us."""
    return f"{max(1, left_us)}u"


@dataclass(slots=True, frozen=True)
class Answer:
    """The final answer to a request."""

    status: int
    body: bytes
    retry_after_us: int = 0  # the delay that the client is asked for before a retry; 0: no such header
    close: bool = False  # whether to close the connection after this answer

    def headers(self) -> dict[str, str]:
        """The headers of this answer, in addition to those that every response carries."""
        return {"Retry-After": f"{self.retry_after_us / 1e6:.3f}"} if self.retry_after_us else {}


def result_answer(result: str) -> Answer:
    """The answer that carries a worker's result to the client."""
    return Answer(200, result.encode())


def fail_fast(retry_after_us: int = 0) -> Answer:
    """The answer to a request that is rejected without having run; the client may safely retry."""
    return Answer(503, b"refused, safe to try again\n", retry_after_us)


def quota_exceeded(retry_after_us: int = 0) -> Answer:
    """The answer to a request rejected because its tenant's quota is used up; the client may safely retry."""
    return Answer(429, b"refused, your share is used up; safe to try again later\n", retry_after_us)


def metrics(values: dict[str, Any]) -> Answer:
    """The answer that contains metrics for operators as a JSON object."""
    return Answer(200, orjson.dumps(values, option=orjson.OPT_INDENT_2 | orjson.OPT_APPEND_NEWLINE))


DONE = Answer(200, b"yes\n")
CONFLICT = Answer(409, b"a request of this id is held already\n", close=True)
FAILED = Answer(502, b"failed, may have run\n")


class JobState(Enum):
    """A job's state as its worker reports it."""

    STARTED = "started"
    RUNNING = "running"
    DONE = "done"
    FAILED = "failed"
    RETURNED = "returned"
    LOST = "lost"


@dataclass(slots=True, frozen=True)
class JobEvent:
    """A worker's callback about a job.

    ``id`` is the request id, ``source`` the worker's id, ``share`` the completed fraction of the job (0 to 1)
    and ``result`` the result of a completed job.
    """

    id: str
    source: str
    state: JobState
    share: float = 0.0
    result: str = ""


def decode_job_event(body: bytes) -> JobEvent:
    """Decode the body of a call to /v1/job-events; raises MalformedError."""
    return decode_job_event_object(_load(body))


def decode_job_event_object(data: dict[str, object]) -> JobEvent:
    """Decode a worker's callback from its JSON object; raises MalformedError."""
    wire_id, source, result = data.get("id"), data.get("from"), data.get("result", "")
    if not (isinstance(wire_id, str) and isinstance(source, str)):
        raise MalformedError("fields id and from of a job event must be strings")
    try:
        state = JobState(data.get("state"))
    except ValueError:
        raise MalformedError(f"unknown job state {str(data.get('state'))[:32]!r}") from None
    if state is JobState.DONE and not isinstance(data.get("result"), str):
        raise MalformedError("a job event of state done must have a string in field result")
    share = _number(data.get("share", 0.0), "share")
    return JobEvent(wire_id, source, state, share, result if isinstance(result, str) else "")


def encode_job_event(event: JobEvent) -> dict[str, Any]:
    """Encode a callback for another process of this scheduler, as a JSON object."""
    return {
        "id": event.id,
        "from": event.source,
        "state": event.state.value,
        "share": event.share,
        "result": event.result,
    }


class Lifecycle(Enum):
    """A worker's state on the endpoint list of discovery."""

    ACTIVE = "active"
    DRAINING = "leaving"
    REMOVED = "left"


@dataclass(slots=True, frozen=True)
class ListedEndpoint:
    """One entry of the endpoint list.

    ``instance_id`` identifies the worker, whose ``host_port`` may change. ``weight`` is the worker's speed
    relative to other workers.
    """

    instance_id: str
    host_port: str
    zone: str
    machine_type: str
    cell: int
    lifecycle: Lifecycle
    weight: float
    started_us: int


def decode_instance_id(body: bytes) -> str:
    """Decode a worker's id from the body of an operator's request; surrounding white space is ignored.

    Raises MalformedError.
    """
    text = body.decode(errors="replace").strip()
    if not _INSTANCE_PATTERN.fullmatch(text):
        raise MalformedError(
            "the body must be a worker's id: 1 to 256 printable ASCII characters without spaces"
        )
    return text


@dataclass(slots=True, frozen=True)
class EndpointList:
    """A message of discovery: the complete endpoint list if ``reset``, else changes to the previous version.

    ``generation`` is the version of the list that results from this message.
    """

    generation: int
    reset: bool
    endpoints: tuple[ListedEndpoint, ...]


class WatchEventReader:
    """Splits the response to a watch on the endpoint list into events: lists, and empty lines between them.

    A list may span several lines, and the received chunks may end anywhere. A list is complete with the line
    that closes its outermost bracket. ``limit`` is the maximum number of bytes that are kept of an incomplete
    list; more raise MalformedError.
    """

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self._line = bytearray()  # bytes since the last line break
        self._value = bytearray()  # complete lines of a list that is not complete yet
        self._depth = 0  # number of brackets that ``_value`` opens and does not close

    def feed(self, data: bytes) -> Iterator[EndpointList | None]:
        """Add a chunk of the response; yield the lists that the chunk completes, in order.

        Yields None for each empty line between lists. Raises MalformedError for a malformed list and for an
        incomplete one that exceeds the limit.
        """
        *lines, rest = data.split(b"\n")
        for line in lines:
            self._line += line
            complete, self._line = bytes(self._line), bytearray()
            if not self._value and not complete.strip():
                yield None
                continue
            self._add(complete)
            if self._depth <= 0:
                value, self._value, self._depth = bytes(self._value), bytearray(), 0
                yield decode_endpoint_list(_load(value))
        self._line += rest
        if len(self._line) + len(self._value) > self.limit:
            raise MalformedError(f"an event of the watch exceeds the limit of {self.limit} bytes")

    def _add(self, line: bytes) -> None:
        self._value += line + b"\n"
        # Brackets inside strings do not count. A JSON string cannot contain a raw line break, so each string
        # is within one line and the pattern can be matched line by line.
        for token in _JSON_TOKEN.findall(line):
            self._depth += (token in b"{[") - (token in b"}]")


def decode_endpoint_list(data: object) -> EndpointList:
    """Decode a message of discovery with the endpoint list or its changes; raises MalformedError."""
    if not isinstance(data, dict):
        raise MalformedError("the endpoint list must be a JSON object")
    generation, reset, instances = data.get("generation"), data.get("reset", False), data.get("instances", [])
    if type(generation) is not int or type(reset) is not bool or not isinstance(instances, list):
        raise MalformedError(
            "in the endpoint list, generation must be an integer, reset a boolean and instances a list"
        )
    return EndpointList(generation, reset, tuple(decode_listed_endpoint(x) for x in instances))


def encode_listed_endpoint(d: ListedEndpoint) -> dict[str, object]:
    """Encode a list entry for another process of this scheduler, in the format that discovery uses."""
    return {
        "instanceId": d.instance_id,
        "hostPort": d.host_port,
        "zone": d.zone,
        "machineType": d.machine_type,
        "cell": d.cell,
        "lifecycle": d.lifecycle.value,
        "weight": d.weight,
        "startedAtMs": d.started_us / 1000,
    }


def decode_listed_endpoint(data: object) -> ListedEndpoint:
    """Decode one entry of the endpoint list; raises MalformedError."""
    if not isinstance(data, dict):
        raise MalformedError("each entry of instances must be a JSON object")
    texts = [data.get(key) for key in ("instanceId", "hostPort", "zone", "machineType")]
    if not all(isinstance(x, str) for x in texts):
        raise MalformedError(
            "fields instanceId, hostPort, zone and machineType of an instance must be strings"
        )
    instance_id, host_port, zone, machine_type = map(str, texts)
    if not instance_id or not _is_host_port(host_port):
        raise MalformedError(
            f"instanceId is empty, or hostPort is not host:port, got hostPort {host_port[:64]!r}"
        )
    try:
        lifecycle = Lifecycle(data.get("lifecycle"))
    except ValueError:
        raise MalformedError(f"unknown lifecycle state {str(data.get('lifecycle'))[:32]!r}") from None
    started_us = int(_bounded_number(data.get("startedAtMs", 0), "startedAtMs") * 1000)
    cell = int(_bounded_number(data.get("cell", 0), "cell"))
    weight = _number(data.get("weight", 1.0), "weight")
    return ListedEndpoint(instance_id, host_port, zone, machine_type, cell, lifecycle, weight, started_us)


def _is_host_port(text: str) -> bool:
    try:
        url = URL(f"http://{text}")
        return bool(url.raw_host and url.explicit_port and url.authority == text)
    except ValueError:
        return False


def _load(data: bytes) -> dict[str, object]:
    try:
        value = orjson.loads(data)
    except orjson.JSONDecodeError as e:
        raise MalformedError(f"invalid JSON: {e}") from e
    if not isinstance(value, dict):
        raise MalformedError("the message must be a JSON object")
    return value


def _bounded_number(value: object, name: str) -> float:
    number = _number(value, name)
    if abs(number) > MAX_JSON_INTEGER:
        raise MalformedError(f"field {name} must be between -2**53 and 2**53, got {number:.3g}")
    return number


def _number(value: object, name: str) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float) or not math.isfinite(value):
        raise MalformedError(f"field {name} must be a finite number")
    return value
