"""The platform's messages as typed values: each is decoded once and encoded once, here, without I/O.

The protocol's own header, path and field names appear in this module alone; everywhere else the values carry
the field's terms. What is not as the protocol says raises `MalformedError`.
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
MAX_COST_US = 3_600_000_000  # an hour; sums of absurd guesses must stay sums

REQUEST_ID = "X-Request-ID"
CLASS = "X-Priority-Class"
TIMEOUT = "X-Timeout"
RETRIED = "X-Retried"
TENANT = "X-Tenant-Id"
COST = "X-Cost"
KEY = "Idempotency-Key"
NOT_PROCESSED = "X-Not-Processed"
# Headers of a request that go on to its endpoint as they came.
PASSED_ON = (REQUEST_ID, CLASS, RETRIED, KEY, "X-Route-Key", "X-Attrs", "Content-Type", "Content-Encoding")
ONCE = (REQUEST_ID, CLASS, TIMEOUT, TENANT, COST, KEY)

_TIMEOUT_FORM = re.compile(r"(\d{1,12}(?:\.\d{1,6})?)([mu])", re.ASCII)
_UNITS_US = {"m": 1000, "u": 1}
_COST_FORM = re.compile(r"\d{1,15}(?:\.\d{1,6})?", re.ASCII)
_LENGTH_FORM = re.compile(r"\d{1,18}", re.ASCII)
_TARGET_FORM = re.compile(r"/[!\"$-~]*", re.ASCII)
_INSTANCE_FORM = re.compile(r"[!-~]{1,256}", re.ASCII)
_JSON_TOKEN = re.compile(rb'[][{}]|"(?:[^"\\]|\\.)*"')
_ID_FORM = re.compile(r"[!-~]{1,128}", re.ASCII)


class MalformedError(Exception):
    """A peer's message is not what the protocol says."""


@dataclass(slots=True, frozen=True)
class JobRequest:
    """A client's request as received; ``target`` is path and query, ``cost_us`` an estimate (0: none)."""

    id: str
    job_class: int
    time_left_us: int
    client_repeat: bool
    target: str
    body: bytes
    headers: tuple[tuple[str, str], ...]
    tenant: str = ""
    cost_us: int = 0
    key: str = ""  # the idempotency key; empty where the client gives none


def check_framing(headers: MultiMapping[str]) -> None:
    """Reject a request whose end two parsers may see at different places (request smuggling)."""
    lengths, codings = headers.getall("Content-Length", []), headers.getall("Transfer-Encoding", [])
    if len(lengths) + len(codings) > 1:
        raise MalformedError("Content-Length or Transfer-Encoding, once")
    plain = all(_LENGTH_FORM.fullmatch(x) for x in lengths) and all(x.lower() == "chunked" for x in codings)
    if not plain:
        raise MalformedError("Content-Length must be digits, Transfer-Encoding chunked")


def decode_request(
    target: str,
    headers: MultiMapping[str],
    body: bytes,
    classes: tuple[str, ...],
    deadlines_us: tuple[int, ...],
) -> JobRequest:
    """Decode a client's request; without a time-out it gets the deadline of its class."""
    for key in ONCE:
        if len(headers.getall(key, [])) > 1:
            raise MalformedError(f"{key} must stand once")
    wire_id = headers.get(REQUEST_ID, "")
    if not _ID_FORM.fullmatch(wire_id):
        raise MalformedError(f"{REQUEST_ID} must be 1 to 128 printable characters")
    if not _TARGET_FORM.fullmatch(target):
        raise MalformedError("the target must be a path of printable characters")
    first = target[1:].partition("?")[0].partition("/")[0]
    name = headers.get(CLASS, first)
    if name not in classes or name != first:
        raise MalformedError(f"{CLASS} and path must name one class of this deployment: {name[:64]!r}")
    job_class = classes.index(name)
    left = parse_timeout(headers[TIMEOUT]) if TIMEOUT in headers else deadlines_us[job_class]
    # The decision module compares each request with the longest time-out seen: one absurd value would make
    # all later ones look late.
    left = min(left, deadlines_us[job_class])
    passed = tuple((key, headers[key]) for key in PASSED_ON if key in headers)
    if not all(value.isprintable() for _, value in passed):
        # Bytes that are not UTF-8: the client library would silently drop them and forward the rest.
        raise MalformedError("a header holds what is not printable text")
    return JobRequest(
        wire_id, job_class, left, headers.get(RETRIED) == "1", target, body, passed,
        headers.get(TENANT, ""), parse_cost(headers.get(COST, "")), headers.get(KEY, ""),
    )  # fmt: skip


def parse_cost(text: str) -> int:
    """An estimate of the work in microseconds; 0 where the text is no number."""
    return min(int(float(text)), MAX_COST_US) if _COST_FORM.fullmatch(text) else 0


def parse_timeout(text: str) -> int:
    """``480m`` (milliseconds) or ``480000u`` (microseconds) as microseconds."""
    if not (form := _TIMEOUT_FORM.fullmatch(text.strip())):
        raise MalformedError(f"{TIMEOUT} must be a number and m or u, is {text[:32]!r}")
    if not (left_us := int(float(form[1]) * _UNITS_US[form[2]])):
        raise MalformedError(f"{TIMEOUT} leaves no time")
    return left_us


def encode_handed_over_request(request: JobRequest) -> dict[str, object]:
    """Encode a request for another process of this scheduler; the body may hold any bytes."""
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
    """Decode a request that another process has handed over."""
    headers = tuple((key, value) for key, value in data["headers"])
    return JobRequest(**(data | {"body": data["body"].encode("latin-1"), "headers": headers}))


def cancellation_target(wire_id: str) -> str:
    """The path that cancels a job at a worker."""
    return f"/jobs/{quote(wire_id, safe='')}"


def format_timeout(left_us: int) -> str:
    """Microseconds as the value of a time-out header, at least 1."""
    return f"{max(1, left_us)}u"


@dataclass(slots=True, frozen=True)
class Answer:
    """The one final answer to a request."""

    status: int
    body: bytes
    retry_after_us: int = 0
    close: bool = False  # its connection closes after it

    def headers(self) -> dict[str, str]:
        """The headers beside those of every response."""
        return {"Retry-After": f"{self.retry_after_us / 1e6:.3f}"} if self.retry_after_us else {}


def served(result: str) -> Answer:
    """A worker's result for the client."""
    return Answer(200, result.encode())


def fail_fast(retry_after_us: int = 0) -> Answer:
    """Rejected without effect: a retry is safe."""
    return Answer(503, b"refused, safe to try again\n", retry_after_us)


def quota_exceeded(retry_after_us: int = 0) -> Answer:
    """Rejected since its tenant's quota is used up; a retry is safe."""
    return Answer(429, b"refused, your share is used up; safe to try again later\n", retry_after_us)


def metrics(values: dict[str, Any]) -> Answer:
    """Metrics for operators as a JSON object."""
    return Answer(200, orjson.dumps(values, option=orjson.OPT_INDENT_2 | orjson.OPT_APPEND_NEWLINE))


DONE = Answer(200, b"yes\n")
CONFLICT = Answer(409, b"a request of this id is held already\n", close=True)
FAILED = Answer(502, b"failed, may have run\n")


class JobState(Enum):
    """What a worker reports of a job."""

    STARTED = "started"
    RUNNING = "running"
    DONE = "done"
    FAILED = "failed"
    RETURNED = "returned"
    LOST = "lost"


@dataclass(slots=True, frozen=True)
class JobEvent:
    """A worker's callback about a job; ``source`` is the worker's id, ``share`` the part done (0 to 1)."""

    id: str
    source: str
    state: JobState
    share: float = 0.0
    result: str = ""


def decode_job_event(body: bytes) -> JobEvent:
    """Decode the body of a call to /v1/job-events."""
    return decode_job_event_object(_load(body))


def decode_job_event_object(data: dict[str, object]) -> JobEvent:
    """Decode such a callback from its JSON object."""
    wire_id, source, result = data.get("id"), data.get("from"), data.get("result", "")
    if not (isinstance(wire_id, str) and isinstance(source, str)):
        raise MalformedError("id and from must be text")
    try:
        state = JobState(data.get("state"))
    except ValueError:
        raise MalformedError(f"unknown state {str(data.get('state'))[:32]!r}") from None
    if state is JobState.DONE and not isinstance(data.get("result"), str):
        raise MalformedError("done needs a result")
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
    """The state of a worker on discovery's endpoint list."""

    ACTIVE = "active"
    DRAINING = "leaving"
    REMOVED = "left"


@dataclass(slots=True, frozen=True)
class ListedEndpoint:
    """One entry of the endpoint list; ``instance_id`` is its identity, ``host_port`` may change."""

    instance_id: str
    host_port: str
    zone: str
    machine_type: str
    cell: int
    lifecycle: Lifecycle
    weight: float
    started_us: int


def decode_instance_id(body: bytes) -> str:
    """Decode the body of an operator's call: a worker's id, perhaps with white space round it."""
    text = body.decode(errors="replace").strip()
    if not _INSTANCE_FORM.fullmatch(text):
        raise MalformedError("the body must be a worker's id")
    return text


@dataclass(slots=True, frozen=True)
class EndpointList:
    """The endpoint list at a version: complete with ``reset``, else changes to the version before."""

    generation: int
    reset: bool
    destinations: tuple[ListedEndpoint, ...]


class WatchEventReader:
    """Splits the stream of a watch into watch events: lists, which may span many lines, and empty lines.

    Reads may end anywhere: an event is complete with the line that closes its outermost bracket. ``limit``:
    the largest event in bytes; a larger one raises MalformedError.
    """

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self._line = bytearray()  # since the last line break
        self._value = bytearray()  # complete lines of an incomplete event
        self._depth = 0

    def feed(self, data: bytes) -> Iterator[EndpointList | None]:
        """The lists that are complete now, in order; None for each empty line between them."""
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
            raise MalformedError(f"a list of more than {self.limit} bytes")

    def _add(self, line: bytes) -> None:
        self._value += line + b"\n"
        # Brackets inside strings don't count, and no string spans a line break.
        for token in _JSON_TOKEN.findall(line):
            self._depth += (token in b"{[") - (token in b"}]")


def decode_endpoint_list(data: object) -> EndpointList:
    """Decode discovery's endpoint list."""
    if not isinstance(data, dict):
        raise MalformedError("must be an object")
    generation, reset, instances = data.get("generation"), data.get("reset", False), data.get("instances", [])
    if type(generation) is not int or type(reset) is not bool or not isinstance(instances, list):
        raise MalformedError("generation must be a whole number, reset true or false, instances a list")
    return EndpointList(generation, reset, tuple(decode_listed_endpoint(x) for x in instances))


def encode_listed_endpoint(d: ListedEndpoint) -> dict[str, object]:
    """Encode an entry in discovery's form, for another process of this scheduler."""
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
    """Decode one entry of the endpoint list."""
    if not isinstance(data, dict):
        raise MalformedError("instances must hold objects")
    texts = [data.get(key) for key in ("instanceId", "hostPort", "zone", "machineType")]
    if not all(isinstance(x, str) for x in texts):
        raise MalformedError("instanceId, hostPort, zone and machineType must be text")
    instance_id, host_port, zone, machine_type = map(str, texts)
    if not instance_id or not _is_host_port(host_port):
        raise MalformedError(f"needs an instanceId and host:port, has {host_port[:64]!r}")
    try:
        lifecycle = Lifecycle(data.get("lifecycle"))
    except ValueError:
        raise MalformedError(f"unknown lifecycle {str(data.get('lifecycle'))[:32]!r}") from None
    started_us = int(_number(data.get("startedAtMs", 0), "startedAtMs") * 1000)
    cell, weight = int(_number(data.get("cell", 0), "cell")), _number(data.get("weight", 1.0), "weight")
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
        raise MalformedError(f"not JSON: {e}") from e
    if not isinstance(value, dict):
        raise MalformedError("must be an object")
    return value


def _number(value: object, name: str) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float) or not math.isfinite(value):
        raise MalformedError(f"{name} must be a number")
    return value
