"""What the program is told at its start: the one place that reads it, checks it and gives defaults.

``GW_CONFIG`` names a JSON file; ``GW_NAME``, ``GW_LISTEN``, ``GW_DISCOVERY`` and ``GW_OPS`` go before its
``name``, ``listen``, ``discovery`` and ``ops``, but on a reload the discovery of the file wins: the
environment cannot change under a running program. ``GW_OPERATOR`` names the operators' own file, which the
platform knows nothing of. Whatever is wrong ends in a ConfigError that names the faulty key.
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
OWN_SOCKETS = 16  # log, event loop, listener, two watches of discovery, the file on a reload; a few spare
OPS_SOCKETS = 32
MIN_CLIENTS = 8
# Numbers of the settings: those that must be there, and those that may. Of classes, for each.
NEEDED = (
    "fleet-size", "policy-limits.most-tries", "guarantees.drain-grace-us", "guarantees.cold-from",
    "guarantees.cold-us", "guarantees.fall-multiple", "guarantees.tip-after-us",
)  # fmt: skip
OPTIONAL = (
    "zone", "over-share-worth", "guarantees.ask-every-us", "guarantees.let-go-in-us",
    "policy-limits.connect-timeout-us",
    "policy-limits.keepalive-us", "policy-limits.max-retry-after-us", "prices.cross-zone", "prices.waste",
    "prices.handshake", "specifics.progress-us",
)  # fmt: skip
CLASS_NEEDED = ("aim-us", "hard-limit-us")
CLASS_OPTIONAL = ("worth", "late-worth", "aim-stretch", "memory-span-us")
TENANT_OPTIONAL = ("quota-per-s",)
# Whole ones, beside all times (``-us``): what is written as a float becomes the nearest whole number.
WHOLE = ("fleet-size", "zone", "most-tries")
MOST = 2**53  # of them, as JSON holds no more exactly; 285 years as microseconds
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
    """All that one scheduler is told; names of classes, zones and machine types in the settings' order."""

    name: str
    listen: Address
    discovery: Address
    socket_fd: int | None  # the clients' listening socket, where the platform holds it
    ops: Address | None  # the operators' address; without one they have no side
    seed: int
    sockets: int
    folder: Path | None  # $TMPDIR, for what outlives the process
    known: protocol.EndpointList
    settings: api.Settings
    classes: tuple[str, ...]
    zones: tuple[str, ...]
    machine_types: tuple[str, ...]
    tenants: tuple[str, ...] = ()
    operator: OperatorFile | None = None  # None: no such file is named
    clock_offset_us: int = 0  # the host's clock is taken to be wrong by so much, in tests

    def client_sockets(self, processes: int = 1) -> int:
        """Connections that clients and call-backs may have: half of the descriptors that are not our own.

        While two processes live, each has half of all.

        Each attempt has a connection and belongs to a client's request, so endpoints need no more than these.
        """
        return max(MIN_CLIENTS, (self.sockets // processes - OWN_SOCKETS - self.ops_sockets) // 2)

    @property
    def ops_sockets(self) -> int:
        """Connections that operators may have, with the listener: clients must not be able to take these."""
        return min(OPS_SOCKETS, self.sockets // 8) if self.ops else 0


@dataclass(slots=True, frozen=True)
class VoterConfig:
    """All that one voter of the control group is told."""

    name: str
    ops: Address | None  # the operators' address; without one they have no side
    folder: Path | None  # $TMPDIR, for what outlives the process
    operator: OperatorFile
    clock_offset_us: int = 0  # the host's clock is taken to be wrong by so much, in tests


def load_voter(env: Mapping[str, str] = os.environ) -> VoterConfig:
    """Read what a voter is told: the operators' file, and its own name. Raises ConfigError."""
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
    """Read the configuration that the environment names; ``again`` in a program that runs already."""
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
    """The operators' file, with the folder that the command line names for a recording."""
    operator = read_operator(env["GW_OPERATOR"]) if env.get("GW_OPERATOR") else None
    if folder := env.get("GW_RECORD"):
        given = operator or OperatorFile()
        return msgspec.structs.replace(given, record=msgspec.structs.replace(given.record, folder=folder))
    return operator


def read_operator(path: str) -> OperatorFile:
    """The operators' file, checked; a ConfigError names the file and the path of the faulty key.

    Keys that were renamed are read under their old name too, with a warning in the log.
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
    """The document with renamed keys under their current name; each old one is warned of in the log.

    Raises ConfigError where a key is there under both names.
    """
    for old, current in RENAMED_KEYS.items():
        if old not in document:
            continue
        if current in document:
            raise ConfigError(
                f"{path}: {old}", f"is the old name of {current}, which is there too; remove {old}"
            )
        log.warning("deprecated_key", extra={"file": path, "key": old, "write": current})
    return {RENAMED_KEYS.get(key, key): value for key, value in document.items()}


def _as_written(key: str, document: Mapping[str, object]) -> str:
    """A key's path as the operator wrote it, who may have used an old name."""
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
    """A descriptor that we have inherited, if it is a listening socket."""
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
    if not isinstance(values, list):
        raise ConfigError(key, "must be a list")
    return tuple(_text(v, key) for v in values)


def _number(value: object, key: str) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float) or not math.isfinite(value):
        raise ConfigError(key, f"must be a number, is {value!r}")
    return value


def _find(options: object, start: str, path: str) -> tuple[dict[str, Any], str, str]:
    """The object that holds what ``path`` names, its key there, and its name as the operator knows it."""
    *sections, last = path.split(".")
    value, key = options, start
    for part in sections:
        if not isinstance(value, dict):
            raise ConfigError(key, "must be an object")
        value, key = value.get(part, {}), f"{key}.{part}"
    if not isinstance(value, dict):
        raise ConfigError(key, "must be an object")
    return value, last, f"{key}.{last}"


def _check_numbers(options: object, start: str, needed: tuple[str, ...], optional: tuple[str, ...]) -> None:
    for path in (*needed, *optional):
        holder, last, key = _find(options, start, path)
        if last not in holder and path in optional:
            continue
        number = _number(holder.get(last), key)
        if last in WHOLE or last.endswith("-us"):
            if abs(number) > MOST:
                raise ConfigError(key, f"must be at most {MOST}, is {number!r}")
            holder[last] = round(number)


def _check_flags(options: object, start: str, flags: tuple[str, ...]) -> None:
    for path in flags:
        holder, last, key = _find(options, start, path)
        if not isinstance(holder.get(last, False), bool):
            raise ConfigError(key, f"must be true or false, is {holder[last]!r}")


def _check_class(job_class: object, key: str) -> None:
    _check_numbers(job_class, key, CLASS_NEEDED, CLASS_OPTIONAL)
    _check_flags(job_class, key, ("stream",))
    assert isinstance(job_class, dict)
    _text(job_class.get("name"), f"{key}.name")
    for name, words, default in (("repeat", REPEATS, None), ("dedup-scope", SCOPES, "cell")):
        if (word := job_class.get(name, default)) not in list(words):
            raise ConfigError(f"{key}.{name}", f"must be one of {', '.join(words)}, is {word!r}")


def _without_nulls(value: object) -> object:
    """A key whose value is null counts as missing: the module would take it for a value."""
    if isinstance(value, dict):
        return {k: _without_nulls(v) for k, v in value.items() if v is not None}
    return [_without_nulls(v) for v in value] if isinstance(value, list) else value


def _settings(options: dict[str, Any]) -> api.Settings:
    """The module's settings; its own words for what is out of range name the key."""
    classes = options.get("classes")
    if not isinstance(classes, list) or not classes:
        raise ConfigError("settings.classes", "must be a list of at least one class")
    _check_numbers(options, "settings", NEEDED, OPTIONAL)
    _check_flags(options, "settings", FLAGS)
    names: set[str] = set()
    for number, job_class in enumerate(classes):
        key = f"settings.classes[{number}]"
        _check_class(job_class, key)
        if job_class["name"] in names:
            raise ConfigError(f"{key}.name", f"two classes are called {job_class['name']!r}")
        names.add(job_class["name"])
    if options.get("policy-limits", {}).get("connect-timeout-us", 1) <= 0:
        # The client library takes 0 for no limit at all.
        raise ConfigError("settings.policy-limits.connect-timeout-us", "must be above 0")
    stretches, key = options.get("specifics", {}).get("class-stretch", []), "settings.specifics.class-stretch"
    if not isinstance(stretches, list):
        raise ConfigError(key, "must be a list")
    for number, stretch in enumerate(stretches):
        _number(stretch, f"{key}[{number}]")
    tenants = options.get("tenants", [])
    if not isinstance(tenants, list):
        raise ConfigError("settings.tenants", "must be a list")
    for number, tenant in enumerate(tenants):
        _check_numbers(tenant, f"settings.tenants[{number}]", (), TENANT_OPTIONAL)
    try:
        return read_settings(options)
    except KeyError as e:
        raise ConfigError("settings", f"{e.args[0]} is missing or has no such value") from e
    except (ValueError, TypeError, AttributeError, IndexError, OverflowError) as e:
        raise ConfigError("settings", str(e)) from e
