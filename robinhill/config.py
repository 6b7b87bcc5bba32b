"""Reads the configuration from environment and files, validates it and applies defaults.

The environment variable ``GW_CONFIG`` names a JSON file, which the platform that starts the program provides.
``GW_NAME``, ``GW_LISTEN``, ``GW_DISCOVERY`` and ``GW_OPS`` override the file's ``name``, ``listen``,
``discovery`` and ``ops``. On a reload, though, the file's ``discovery`` overrides ``GW_DISCOVERY``, because
the environment of a running program cannot change. ``GW_OPERATOR`` names the operators' own file, with
options that the platform does not set. Any fault raises a ConfigError that names the key.
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
RENAMED_KEYS = {"door": "admission"}  # deprecated keys of the operators' file and their current names
DEFAULT_MEMORY_MB = 192  # limit of the memory of all processes if the configuration sets none
# The part of the memory limit that may be held for clients: what the library makes of it takes as much again,
# and there may be two processes, each of which also needs memory for itself.
CLIENT_MEMORY_DIVISOR = 6
MIN_CLIENT_MEMORY_BYTES = 4 << 20
DEFAULT_SOCKETS = 1024  # limit of open file descriptors if the configuration sets none
# File descriptors reserved for the log, the event loop, the listener, two watches on the endpoint list of
# discovery, and the configuration file while a reload reads it. They are fewer than 16; the rest is a margin.
RESERVED_SOCKETS = 16
OPS_SOCKETS = 32  # maximum number of descriptors reserved for operators' connections
MIN_CLIENT_SOCKETS = 8
# The numeric keys of the settings, as dotted paths: the required and the optional keys of the settings
# themselves, then those of each job class and each tenant.
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
# Keys whose numbers are rounded to the nearest integer, like those of all times (keys that end in ``-us``).
INTEGERS = ("fleet-size", "zone", "most-tries")
MAX_INTEGER = 2**53  # larger integers may lose precision as JSON numbers; as microseconds it is 285 years
FLAGS = (
    "policy-limits.parallel-tries", "policy-limits.cancelling", "policy-limits.probes",
    "policy-limits.retry-after", "specifics.tells-start", "guarantees.late-shedding",
)  # fmt: skip


class OperatorFile(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The operators' own file, with the options that the platform does not set; each section has defaults."""

    log: LogOptions = LogOptions()
    admission: AdmissionOptions = AdmissionOptions()
    record: RecordOptions = RecordOptions()
    mesh: MeshOptions = MeshOptions()


@dataclass(slots=True, frozen=True)
class Config:
    """A scheduler's configuration.

    ``classes``, ``zones`` and ``machine_types`` contain names; ``settings`` refers to each name by its index.
    """

    name: str
    listen: Address
    discovery: Address
    socket_fd: int | None  # the clients' listening socket if inherited from the platform, else None
    ops: Address | None  # the address to listen on for operators' calls; None: no such listener
    seed: int
    sockets: int  # the maximum number of open file descriptors
    folder: Path | None  # $TMPDIR, for state that outlives the process; None: no such folder
    known: protocol.EndpointList  # the endpoint list given in the configuration file
    settings: api.Settings
    classes: tuple[str, ...]
    zones: tuple[str, ...]
    machine_types: tuple[str, ...]
    tenants: tuple[str, ...] = ()
    operator: OperatorFile | None = None  # None: no operators' file is configured
    memory_mb: int = DEFAULT_MEMORY_MB  # the limit of the memory of all processes of this scheduler
    clock_offset_us: int = 0  # a simulated error of the host's clock, for tests

    def client_sockets(self, processes: int = 1) -> int:
        """The maximum number of connections that clients, and workers for their callbacks, may open.

        It is half of the file descriptors that are not reserved. The other half is for connections to
        workers: each client's request has one attempt at a time, which uses one connection. ``processes`` is
        2 during a hand-over, when each of the two processes gets half of all descriptors.
        """
        return max(MIN_CLIENT_SOCKETS, (self.sockets // processes - RESERVED_SOCKETS - self.ops_sockets) // 2)

    def client_memory_bytes(self, processes: int = 1) -> int:
        """The maximum number of bytes held for clients and for requests whose clients have left.

        ``processes`` is 2 during a hand-over, when each of the two processes gets half.
        """
        return max(MIN_CLIENT_MEMORY_BYTES, (self.memory_mb << 20) // CLIENT_MEMORY_DIVISOR // processes)

    @property
    def ops_sockets(self) -> int:
        """The number of descriptors reserved for operators' connections and their listener."""
        return min(OPS_SOCKETS, self.sockets // 8) if self.ops else 0


@dataclass(slots=True, frozen=True)
class VoterConfig:
    """The configuration of one voter, a process that takes part in majority decisions on changes."""

    name: str
    ops: Address | None  # the address to listen on for operators' calls; None: no such listener
    folder: Path | None  # $TMPDIR, for state that outlives the process; None: no such folder
    operator: OperatorFile
    clock_offset_us: int = 0  # a simulated error of the host's clock, for tests


def load_voter(env: Mapping[str, str] = os.environ) -> VoterConfig:
    """Read a voter's configuration from the environment and the operators' file. Raises ConfigError."""
    ops = env.get("GW_OPS")
    operator = read_operator(_text(env.get("GW_OPERATOR"), "GW_OPERATOR"))
    if not operator.mesh.voters:
        raise ConfigError("mesh.voters", "is empty; it must list this voter and all others")
    return VoterConfig(
        name=_text(env.get("GW_NAME"), "GW_NAME"),
        ops=_address(ops, "GW_OPS") if ops else None,
        folder=_state_folder(env.get("TMPDIR")),
        operator=operator,
        clock_offset_us=_clock_offset_us(env.get("ROBINHILL_CLOCK_OFFSET_US")),
    )


def load(env: Mapping[str, str] = os.environ, *, reloading: bool = False) -> Config:
    """Read the configuration from the environment and the files that it names; raises ConfigError.

    ``reloading``: a running program reloads its configuration, and the address of discovery in the file
    overrides the one in the environment.
    """
    document = _document(env)
    discovery = document.get("discovery")
    if not (reloading and discovery is not None):
        discovery = env.get("GW_DISCOVERY") or discovery
    ops = env.get("GW_OPS") or document.get("ops")
    options = _without_nulls(document.get("settings"))
    if not isinstance(options, dict):
        raise ConfigError("settings", "must be an object")
    settings = _settings(options)
    return Config(
        name=_text(env.get("GW_NAME") or document.get("name"), "GW_NAME"),
        listen=_address(env.get("GW_LISTEN") or document.get("listen"), "GW_LISTEN"),
        discovery=_address(discovery, "discovery" if reloading else "GW_DISCOVERY"),
        socket_fd=_socket_fd(env.get("GW_SOCKET_FD")),
        ops=_address(ops, "GW_OPS" if env.get("GW_OPS") else "ops") if ops is not None else None,
        seed=_seed(document.get("seed", "0")),
        sockets=_socket_limit(document.get("limits", {})),
        memory_mb=_memory_limit(document.get("limits", {})),
        folder=_state_folder(env.get("TMPDIR")),
        known=_known_endpoints(document.get("known")),
        settings=settings,
        classes=tuple(c["name"] for c in options["classes"]),
        zones=_names(options.get("areas", []), "settings.areas"),
        machine_types=_names(options.get("shapes", []), "settings.shapes"),
        tenants=tuple(_text(t.get("name"), "settings.tenants") for t in options.get("tenants", [])),
        operator=_operator_options(env),
        clock_offset_us=_clock_offset_us(env.get("ROBINHILL_CLOCK_OFFSET_US")),
    )


def _operator_options(env: Mapping[str, str]) -> OperatorFile | None:
    """Read the operators' file, if one is configured.

    ``GW_RECORD`` overrides the folder for recordings, even without such a file.
    """
    operator = read_operator(env["GW_OPERATOR"]) if env.get("GW_OPERATOR") else None
    if folder := env.get("GW_RECORD"):
        options = operator or OperatorFile()
        return msgspec.structs.replace(options, record=msgspec.structs.replace(options.record, folder=folder))
    return operator


def read_operator(path: str) -> OperatorFile:
    """Read and validate the operators' file; a ConfigError names the file and the path of the faulty key.

    Deprecated keys are accepted and logged as warnings.
    """
    try:
        document = msgspec.json.decode(Path(path).read_bytes(), type=dict[str, msgspec.Raw])
        renamed = with_current_keys(document, path)
        operator = msgspec.json.decode(msgspec.json.encode(renamed), type=OperatorFile)
    except OSError as e:
        raise ConfigError("GW_OPERATOR", f"cannot read {path}: {e.strerror}") from e
    except msgspec.ValidationError as e:
        what, _, key = str(e).partition(" - at `$.")
        written = _path_as_written(key.rstrip("`"), document) if key else "(whole file)"
        raise ConfigError(f"{path}: {written}", what) from e
    except (msgspec.DecodeError, UnicodeDecodeError) as e:
        raise ConfigError("GW_OPERATOR", f"{path} is not valid JSON: {e}") from e
    if operator.mesh.voters:
        from robinhill.control.operator_options import check_voters  # imported only if voters are configured

        check_voters(operator.mesh)
    return operator


def with_current_keys(document: Mapping[str, T], path: str) -> dict[str, T]:
    """Rename the deprecated keys of a document to their current names; log a warning for each.

    Raises ConfigError if a key is present under both names.
    """
    for old, current in RENAMED_KEYS.items():
        if old not in document:
            continue
        if current in document:
            what = f"is the deprecated name of {current}, which is present too; remove {old}"
            raise ConfigError(f"{path}: {old}", what)
        log.warning("deprecated_key", extra={"file": path, "key": old, "write": current})
    return {RENAMED_KEYS.get(key, key): value for key, value in document.items()}


def _path_as_written(key: str, document: Mapping[str, object]) -> str:
    """Convert the path of a key, with current names, to its path in the file.

    The file may use the deprecated name of a key.
    """
    for old, current in RENAMED_KEYS.items():
        if old in document and (key == current or key.startswith(f"{current}.")):
            return old + key.removeprefix(current)
    return key


def _document(env: Mapping[str, str]) -> dict[str, Any]:
    path = env.get("GW_CONFIG")
    if not path:
        raise ConfigError("GW_CONFIG", "is not set; it must name the configuration file")
    try:
        document = orjson.loads(Path(path).read_bytes())
    except OSError as e:
        raise ConfigError("GW_CONFIG", f"cannot read {path}: {e.strerror}") from e
    except orjson.JSONDecodeError as e:
        raise ConfigError("GW_CONFIG", f"{path} is not valid JSON: {e}") from e
    if not isinstance(document, dict):
        raise ConfigError("GW_CONFIG", "the configuration file must contain a JSON object")
    return document


def _text(value: object, key: str) -> str:
    if not isinstance(value, str) or not value:
        raise ConfigError(key, "must be a non-empty string")
    return value


def _address(value: object, key: str) -> Address:
    host, colon, port = _text(value, key).rpartition(":")
    if not (host and colon and port.isascii() and port.isdigit() and 0 < int(port) < 65536):
        raise ConfigError(key, f"must be host:port with a port from 1 to 65535, got {value!r}")
    return Address(host.strip("[]"), int(port))


def _clock_offset_us(text: str | None) -> int:
    try:
        return int(text or "0")
    except ValueError:
        raise ConfigError("ROBINHILL_CLOCK_OFFSET_US", f"must be an integer, got {text!r}") from None


def _socket_fd(text: str | None) -> int | None:
    """Parse the number of an inherited descriptor and check that it is a listening socket."""
    if not text:
        return None
    key = "GW_SOCKET_FD"
    if not (text.isascii() and text.isdigit()):
        raise ConfigError(key, f"must be the number of a file descriptor, got {text!r}")
    try:
        with socket.socket(fileno=os.dup(int(text))) as sock:
            listening = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN)
    except (OSError, OverflowError) as e:
        raise ConfigError(key, f"descriptor {text} is not an open socket of this process: {e}") from e
    if not listening:
        raise ConfigError(key, f"descriptor {text} is a socket that is not listening")
    return int(text)


def _seed(value: object) -> int:
    """Parse a seed: a string of hexadecimal digits, as the platform writes it, or a number."""
    try:
        return int(value, 16) if isinstance(value, str) else int(_number(value, "seed"))
    except ValueError:
        raise ConfigError("seed", f"must be a number or a hexadecimal string, got {value!r}") from None


def _socket_limit(limits: object) -> int:
    if not isinstance(limits, dict):
        raise ConfigError("limits", "must be a JSON object")
    sockets = int(_number(limits.get("sockets", DEFAULT_SOCKETS), "limits.sockets"))
    if sockets < 64:
        raise ConfigError("limits.sockets", f"must be 64 or more, got {sockets}")
    return sockets


def _memory_limit(limits: dict[str, object]) -> int:
    memory_mb = limits.get("memory_mb")
    return DEFAULT_MEMORY_MB if memory_mb is None else int(_number(memory_mb, "limits.memory_mb"))


def _state_folder(path: str | None) -> Path | None:
    if path and not os.access(path, os.W_OK | os.X_OK):
        raise ConfigError("TMPDIR", f"{path} must be an existing, writable directory")
    return Path(path) if path else None


def _known_endpoints(value: object) -> protocol.EndpointList:
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
        raise ConfigError(key, f"must be a finite number, got {value!r}")
    return value


@dataclass(slots=True, frozen=True)
class _Location:
    """The location of a key in the settings."""

    section: dict[str, Any]  # the object that may contain the key
    key: str  # the key in this object
    name: str  # the full dotted path, for error messages


def _locate(options: object, root: str, path: str) -> _Location:
    """Resolve a dotted path in ``options``, whose own path is ``root``; missing sections count as empty.

    Raises ConfigError if a section of the path is not an object.
    """
    *sections, last = path.split(".")
    value, key = options, root
    for part in sections:
        if not isinstance(value, dict):
            raise ConfigError(key, "must be a JSON object")
        value, key = value.get(part, {}), f"{key}.{part}"
    if not isinstance(value, dict):
        raise ConfigError(key, "must be a JSON object")
    return _Location(value, last, f"{key}.{last}")


def _check_numbers(options: object, root: str, required: tuple[str, ...], optional: tuple[str, ...]) -> None:
    for path in (*required, *optional):
        location = _locate(options, root, path)
        if location.key not in location.section and path in optional:
            continue
        number = _number(location.section.get(location.key), location.name)
        if location.key in INTEGERS or location.key.endswith("-us"):
            if abs(number) > MAX_INTEGER:
                raise ConfigError(location.name, f"magnitude must be at most {MAX_INTEGER}, got {number!r}")
            location.section[location.key] = round(number)


def _check_flags(options: object, root: str, flags: tuple[str, ...]) -> None:
    for path in flags:
        location = _locate(options, root, path)
        if not isinstance(location.section.get(location.key, False), bool):
            raise ConfigError(location.name, f"must be true or false, got {location.section[location.key]!r}")


def _check_class(job_class: object, key: str) -> None:
    _check_numbers(job_class, key, REQUIRED_CLASS_NUMBERS, OPTIONAL_CLASS_NUMBERS)
    _check_flags(job_class, key, ("stream",))
    assert isinstance(job_class, dict)
    _text(job_class.get("name"), f"{key}.name")
    for name, allowed, default in (("repeat", REPEATS, None), ("dedup-scope", SCOPES, "cell")):
        if (value := job_class.get(name, default)) not in list(allowed):
            raise ConfigError(f"{key}.{name}", f"must be one of {', '.join(allowed)}, got {value!r}")


def _without_nulls(value: object) -> object:
    """Copy a JSON value without the keys whose value is null: such keys count as missing."""
    if isinstance(value, dict):
        return {k: _without_nulls(v) for k, v in value.items() if v is not None}
    return [_without_nulls(v) for v in value] if isinstance(value, list) else value


def _settings(options: dict[str, Any]) -> api.Settings:
    """Validate the options and translate them to the settings of the decision module.

    Raises ConfigError. A value that this function accepts and ``read_settings`` rejects is reported under the
    key ``settings``, and the message names the value's own key or field.
    """
    classes = options.get("classes")
    if not isinstance(classes, list) or not classes:
        raise ConfigError("settings.classes", "must be a list with at least one class")
    _check_numbers(options, "settings", REQUIRED_NUMBERS, OPTIONAL_NUMBERS)
    _check_flags(options, "settings", FLAGS)
    _check_classes(classes)
    if options.get("policy-limits", {}).get("connect-timeout-us", 1) <= 0:
        # The HTTP client library treats a timeout of 0 as unlimited.
        raise ConfigError("settings.policy-limits.connect-timeout-us", "must be above 0")
    stretches = options.get("specifics", {}).get("class-stretch", [])
    for number, stretch in enumerate(_list(stretches, "settings.specifics.class-stretch")):
        _number(stretch, f"settings.specifics.class-stretch[{number}]")
    for number, tenant in enumerate(_list(options.get("tenants", []), "settings.tenants")):
        _check_numbers(tenant, f"settings.tenants[{number}]", (), OPTIONAL_TENANT_NUMBERS)
    try:
        return read_settings(options)
    except KeyError as e:
        raise ConfigError("settings", f"{e.args[0]} is a missing key or an unknown value") from e
    except (ValueError, TypeError, AttributeError, IndexError, OverflowError) as e:
        raise ConfigError("settings", str(e)) from e


def _check_classes(classes: list[Any]) -> None:
    names: set[str] = set()
    for number, job_class in enumerate(classes):
        key = f"settings.classes[{number}]"
        _check_class(job_class, key)
        if job_class["name"] in names:
            raise ConfigError(f"{key}.name", f"duplicate class name {job_class['name']!r}")
        names.add(job_class["name"])


def _list(value: object, key: str) -> list[Any]:
    if not isinstance(value, list):
        raise ConfigError(key, "must be a list")
    return value
