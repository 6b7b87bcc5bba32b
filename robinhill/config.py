"""The configuration: the one place that reads environment and files, checks them and gives defaults.

``GW_CONFIG`` names a JSON file; ``GW_NAME``, ``GW_LISTEN``, ``GW_DISCOVERY`` and ``GW_OPS`` go before its
``name``, ``listen``, ``discovery`` and ``ops``, but on a reload the discovery of the file wins: the
environment cannot change under a running program. ``GW_OPERATOR`` names the operators' own file, which the
platform knows nothing of. Whatever is wrong raises a ConfigError that names the faulty key.
"""

import logging
import math
import os
import socket
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any, TypeVar

import msgspec
import orjson

from robinhill import api, protocol
from robinhill.admission.options import AdmissionOptions
from robinhill.config_types import Address, ConfigError
from robinhill.logs import LogOptions
from robinhill.mesh.options import MeshOptions
from robinhill.record.options import RecordOptions
from robinhill.settings import REPEATS, SCOPES, read_settings

log = logging.getLogger(__name__)

T = TypeVar("T")
RENAMED_KEYS = {"door": "admission"}  # keys of the operators' file as they were, and as they are
DEFAULT_SOCKETS = 1024
OWN_SOCKETS = 16  # log, event loop, listener, two watches of discovery, the file of a reload, some spare
OPS_SOCKETS = 32
MIN_CLIENTS = 8
# Keys of the settings that hold numbers, as dotted paths: required and optional; then those of each class.
REQUIRED_NUMBERS = (
    "fleet-size", "policy-limits.most-tries", "guarantees.drain-grace-us", "guarantees.cold-from",
    "guarantees.cold-us", "guarantees.fall-multiple", "guarantees.tip-after-us",
)  # fmt: skip
OPTIONAL_NUMBERS = (
    "zone", "over-share-worth", "guarantees.ask-every-us", "guarantees.let-go-in-us",
    "policy-limits.connect-timeout-us",
    "policy-limits.keepalive-us", "policy-limits.max-retry-after-us", "prices.cross-zone", "prices.waste",
    "prices.handshake", "specifics.progress-us",
)  # fmt: skip
REQUIRED_CLASS_NUMBERS = ("aim-us", "hard-limit-us")
OPTIONAL_CLASS_NUMBERS = ("worth", "late-worth", "aim-stretch", "memory-span-us")
OPTIONAL_TENANT_NUMBERS = ("quota-per-s",)
# Integers, beside all times (``-us``): a float becomes the nearest integer.
INTEGERS = ("fleet-size", "zone", "most-tries")
MAX_INTEGER = 2**53  # JSON holds no larger one exactly; 285 years in microseconds
FLAGS = (
    "policy-limits.parallel-tries", "policy-limits.cancelling", "policy-limits.probes",
    "policy-limits.retry-after", "specifics.tells-start", "guarantees.late-shedding",
)  # fmt: skip


class OperatorFile(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The operators' own file: what the platform does not set. All of it has defaults."""

    log: LogOptions = LogOptions()
    admission: AdmissionOptions = AdmissionOptions()
    record: RecordOptions = RecordOptions()
    mesh: MeshOptions = MeshOptions()


@dataclass(slots=True, frozen=True)
class Config:
    """A scheduler's configuration; names of classes, zones and machine types in the settings' order."""

    name: str
    listen: Address
    discovery: Address
    socket_fd: int | None  # the clients' listening socket, where the platform holds it
    ops: Address | None  # the operators' address; None: no listener for them
    seed: int
    sockets: int
    folder: Path | None  # $TMPDIR, for state that outlives the process
    known: protocol.EndpointList
    settings: api.Settings
    classes: tuple[str, ...]
    zones: tuple[str, ...]
    machine_types: tuple[str, ...]
    tenants: tuple[str, ...] = ()
    operator: OperatorFile | None = None  # None: no file is named
    clock_offset_us: int = 0  # an error of the host's clock, for tests

    def client_sockets(self, processes: int = 1) -> int:
        """Connections for clients and callbacks: half of the descriptors beyond the program's own.

        During a hand-over each of the two ``processes`` has half of all. The other half is for workers: each
        attempt has one connection and belongs to one client's request.
        """
        return max(MIN_CLIENTS, (self.sockets // processes - OWN_SOCKETS - self.ops_sockets) // 2)

    @property
    def ops_sockets(self) -> int:
        """Descriptors reserved for operators' connections and their listener."""
        return min(OPS_SOCKETS, self.sockets // 8) if self.ops else 0


@dataclass(slots=True, frozen=True)
class VoterConfig:
    """The configuration of one voter of the control group."""

    name: str
    ops: Address | None  # the operators' address; None: no listener for them
    folder: Path | None  # $TMPDIR, for state that outlives the process
    operator: OperatorFile
    clock_offset_us: int = 0  # an error of the host's clock, for tests


def load_voter(env: Mapping[str, str] = os.environ) -> VoterConfig:
    """Read a voter's configuration: the operators' file and its own name. Raises ConfigError."""
    ops = env.get("GW_OPS")
    operator = read_operator(_text(env.get("GW_OPERATOR"), "GW_OPERATOR"))
    if not operator.mesh.voters:
        raise ConfigError("mesh.voters", "names none; name this voter and the others there")
    return VoterConfig(
        name=_text(env.get("GW_NAME"), "GW_NAME"),
        ops=_address(ops, "GW_OPS") if ops else None,
        folder=_folder(env.get("TMPDIR")),
        operator=operator,
        clock_offset_us=_offset(env.get("ROBINHILL_CLOCK_OFFSET_US")),
    )


def load(env: Mapping[str, str] = os.environ, *, again: bool = False) -> Config:
    """Read the configuration that the environment names; raises ConfigError.

    With ``again``, in a running program, the file's address of discovery goes before the environment's.
    """
    document = _document(env)
    discovery = document.get("discovery")
    if not (again and discovery is not None):
        discovery = env.get("GW_DISCOVERY") or discovery
    ops = env.get("GW_OPS") or document.get("ops")
    options = _without_nulls(document.get("settings"))
    if not isinstance(options, dict):
        raise ConfigError("settings", "must be an object")
    settings = _settings(options)
    return Config(
        name=_text(env.get("GW_NAME") or document.get("name"), "GW_NAME"),
        listen=_address(env.get("GW_LISTEN") or document.get("listen"), "GW_LISTEN"),
        discovery=_address(discovery, "discovery" if again else "GW_DISCOVERY"),
        socket_fd=_socket_fd(env.get("GW_SOCKET_FD")),
        ops=_address(ops, "GW_OPS" if env.get("GW_OPS") else "ops") if ops is not None else None,
        seed=_seed(document.get("seed", "0")),
        sockets=_sockets(document.get("limits", {})),
        folder=_folder(env.get("TMPDIR")),
        known=_known(document.get("known")),
        settings=settings,
        classes=tuple(c["name"] for c in options["classes"]),
        zones=_names(options.get("areas", []), "settings.areas"),
        machine_types=_names(options.get("shapes", []), "settings.shapes"),
        tenants=tuple(_text(t.get("name"), "settings.tenants") for t in options.get("tenants", [])),
        operator=_operator(env),
        clock_offset_us=_offset(env.get("ROBINHILL_CLOCK_OFFSET_US")),
    )


def _operator(env: Mapping[str, str]) -> OperatorFile | None:
    """The operators' file, with the recording folder of the command line."""
    operator = read_operator(env["GW_OPERATOR"]) if env.get("GW_OPERATOR") else None
    if folder := env.get("GW_RECORD"):
        given = operator or OperatorFile()
        return msgspec.structs.replace(given, record=msgspec.structs.replace(given.record, folder=folder))
    return operator


def read_operator(path: str) -> OperatorFile:
    """The operators' file, checked; a ConfigError names the file and the path of the faulty key.

    Deprecated keys are read too, with a warning in the log.
    """
    try:
        document = msgspec.json.decode(Path(path).read_bytes(), type=dict[str, msgspec.Raw])
        renamed = with_current_keys(document, path)
        operator = msgspec.json.decode(msgspec.json.encode(renamed), type=OperatorFile)
    except OSError as e:
        raise ConfigError("GW_OPERATOR", f"can't read {path}: {e.strerror}") from e
    except msgspec.ValidationError as e:
        what, _, key = str(e).partition(" - at `$.")
        written = _as_written(key.rstrip("`"), document) if key else "(whole file)"
        raise ConfigError(f"{path}: {written}", what) from e
    except (msgspec.DecodeError, UnicodeDecodeError) as e:
        raise ConfigError("GW_OPERATOR", f"{path} is not JSON: {e}") from e
    if operator.mesh.voters:
        from robinhill.control.operator_options import check_voters  # not loaded where none are named

        check_voters(operator.mesh)
    return operator


def with_current_keys(document: Mapping[str, T], path: str) -> dict[str, T]:
    """The document with deprecated keys under their current names; each is logged as a warning.

    Raises ConfigError where a key is there under both names.
    """
    for old, current in RENAMED_KEYS.items():
        if old not in document:
            continue
        if current in document:
            what = f"is the old name of {current}, which is there too; remove {old}"
            raise ConfigError(f"{path}: {old}", what)
        log.warning("deprecated_key", extra={"file": path, "key": old, "write": current})
    return {RENAMED_KEYS.get(key, key): value for key, value in document.items()}


def _as_written(key: str, document: Mapping[str, object]) -> str:
    """A key's path as written in the file, which may have a deprecated name."""
    for old, current in RENAMED_KEYS.items():
        if old in document and (key == current or key.startswith(f"{current}.")):
            return old + key.removeprefix(current)
    return key


def _document(env: Mapping[str, str]) -> dict[str, Any]:
    path = env.get("GW_CONFIG")
    if not path:
        raise ConfigError("GW_CONFIG", "is not set")
    try:
        document = orjson.loads(Path(path).read_bytes())
    except OSError as e:
        raise ConfigError("GW_CONFIG", f"can't read {path}: {e.strerror}") from e
    except orjson.JSONDecodeError as e:
        raise ConfigError("GW_CONFIG", f"{path} is not JSON: {e}") from e
    if not isinstance(document, dict):
        raise ConfigError("GW_CONFIG", "must hold an object")
    return document


def _text(value: object, key: str) -> str:
    if not isinstance(value, str) or not value:
        raise ConfigError(key, "must be text")
    return value


def _address(value: object, key: str) -> Address:
    host, colon, port = _text(value, key).rpartition(":")
    if not (host and colon and port.isascii() and port.isdigit() and 0 < int(port) < 65536):
        raise ConfigError(key, f"must be host:port, is {value!r}")
    return Address(host.strip("[]"), int(port))


def _offset(text: str | None) -> int:
    try:
        return int(text or "0")
    except ValueError:
        raise ConfigError("ROBINHILL_CLOCK_OFFSET_US", f"must be microseconds, is {text!r}") from None


def _socket_fd(text: str | None) -> int | None:
    """The inherited descriptor, checked to be a listening socket."""
    if not text:
        return None
    key = "GW_SOCKET_FD"
    if not (text.isascii() and text.isdigit()):
        raise ConfigError(key, f"must be a descriptor's number, is {text!r}")
    try:
        with socket.socket(fileno=os.dup(int(text))) as sock:
            listening = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN)
    except (OSError, OverflowError) as e:
        raise ConfigError(key, f"{text} is no socket of ours: {e}") from e
    if not listening:
        raise ConfigError(key, f"{text} is a socket that does not listen")
    return int(text)


def _seed(value: object) -> int:
    """A seed in hexadecimal, as the platform gives it, or a whole number."""
    try:
        return int(value, 16) if isinstance(value, str) else int(_number(value, "seed"))
    except ValueError:
        raise ConfigError("seed", f"must be a hexadecimal number, is {value!r}") from None


def _sockets(limits: object) -> int:
    if not isinstance(limits, dict):
        raise ConfigError("limits", "must be an object")
    sockets = int(_number(limits.get("sockets", DEFAULT_SOCKETS), "limits.sockets"))
    if sockets < 64:
        raise ConfigError("limits.sockets", f"must be 64 or more, is {sockets}")
    return sockets


def _folder(path: str | None) -> Path | None:
    if path and not os.access(path, os.W_OK | os.X_OK):
        raise ConfigError("TMPDIR", f"can't write in {path}")
    return Path(path) if path else None


def _known(value: object) -> protocol.EndpointList:
    if value is None:
        return protocol.EndpointList(0, True, ())
    try:
        return protocol.decode_endpoint_list(value)
    except (protocol.MalformedError, OverflowError) as e:
        raise ConfigError("known", str(e)) from e


def _names(values: object, key: str) -> tuple[str, ...]:
    return tuple(_text(value, key) for value in _list(values, key))


def _number(value: object, key: str) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float) or not math.isfinite(value):
        raise ConfigError(key, f"must be a number, is {value!r}")
    return value


@dataclass(slots=True, frozen=True)
class _Location:
    """A key in its section of the settings, and its full name for errors."""

    section: dict[str, Any]
    key: str
    name: str


def _find(options: object, start: str, path: str) -> _Location:
    """Where a dotted path leads, for checks that name the full key."""
    *sections, last = path.split(".")
    value, key = options, start
    for part in sections:
        if not isinstance(value, dict):
            raise ConfigError(key, "must be an object")
        value, key = value.get(part, {}), f"{key}.{part}"
    if not isinstance(value, dict):
        raise ConfigError(key, "must be an object")
    return _Location(value, last, f"{key}.{last}")


def _check_numbers(options: object, start: str, needed: tuple[str, ...], optional: tuple[str, ...]) -> None:
    for path in (*needed, *optional):
        found = _find(options, start, path)
        if found.key not in found.section and path in optional:
            continue
        number = _number(found.section.get(found.key), found.name)
        if found.key in INTEGERS or found.key.endswith("-us"):
            if abs(number) > MAX_INTEGER:
                raise ConfigError(found.name, f"must be at most {MAX_INTEGER}, is {number!r}")
            found.section[found.key] = round(number)


def _check_flags(options: object, start: str, flags: tuple[str, ...]) -> None:
    for path in flags:
        found = _find(options, start, path)
        if not isinstance(found.section.get(found.key, False), bool):
            raise ConfigError(found.name, f"must be true or false, is {found.section[found.key]!r}")


def _check_class(job_class: object, key: str) -> None:
    _check_numbers(job_class, key, REQUIRED_CLASS_NUMBERS, OPTIONAL_CLASS_NUMBERS)
    _check_flags(job_class, key, ("stream",))
    assert isinstance(job_class, dict)
    _text(job_class.get("name"), f"{key}.name")
    for name, allowed, default in (("repeat", REPEATS, None), ("dedup-scope", SCOPES, "cell")):
        if (value := job_class.get(name, default)) not in list(allowed):
            raise ConfigError(f"{key}.{name}", f"must be one of {', '.join(allowed)}, is {value!r}")


def _without_nulls(value: object) -> object:
    """Drop keys whose value is null: they count as missing."""
    if isinstance(value, dict):
        return {k: _without_nulls(v) for k, v in value.items() if v is not None}
    return [_without_nulls(v) for v in value] if isinstance(value, list) else value


def _settings(options: dict[str, Any]) -> api.Settings:
    """The decision module's settings; its own error for a value out of range names the key."""
    classes = options.get("classes")
    if not isinstance(classes, list) or not classes:
        raise ConfigError("settings.classes", "must be a list of at least one class")
    _check_numbers(options, "settings", REQUIRED_NUMBERS, OPTIONAL_NUMBERS)
    _check_flags(options, "settings", FLAGS)
    _check_classes(classes)
    if options.get("policy-limits", {}).get("connect-timeout-us", 1) <= 0:
        # The client library takes 0 for no limit at all.
        raise ConfigError("settings.policy-limits.connect-timeout-us", "must be above 0")
    stretches = options.get("specifics", {}).get("class-stretch", [])
    for number, stretch in enumerate(_list(stretches, "settings.specifics.class-stretch")):
        _number(stretch, f"settings.specifics.class-stretch[{number}]")
    for number, tenant in enumerate(_list(options.get("tenants", []), "settings.tenants")):
        _check_numbers(tenant, f"settings.tenants[{number}]", (), OPTIONAL_TENANT_NUMBERS)
    try:
        return read_settings(options)
    except KeyError as e:
        raise ConfigError("settings", f"{e.args[0]} is missing or has no such value") from e
    except (ValueError, TypeError, AttributeError, IndexError, OverflowError) as e:
        raise ConfigError("settings", str(e)) from e


def _check_classes(classes: list[Any]) -> None:
    names: set[str] = set()
    for number, job_class in enumerate(classes):
        key = f"settings.classes[{number}]"
        _check_class(job_class, key)
        if job_class["name"] in names:
            raise ConfigError(f"{key}.name", f"two classes are called {job_class['name']!r}")
        names.add(job_class["name"])


def _list(value: object, key: str) -> list[Any]:
    if not isinstance(value, list):
        raise ConfigError(key, "must be a list")
    return value
