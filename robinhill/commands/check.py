"""`robinhill check-config` and `admission explain`: check a file and show its effect before deployment."""

import sys
from pathlib import Path

import click
import msgspec
import orjson

from robinhill import config, logs
from robinhill.admission.callers import BadNameError, Directory
from robinhill.commands.exit_codes import FAULTY, OK
from robinhill.config_types import ConfigError

PLACEHOLDER_SECRET = bytes(16)  # key for hashes of callers; any value serves, as no hash is printed


def check(files: tuple[str, ...]) -> int:
    """Print a summary of each file, or its error on standard error; the exit code is 2 if one is faulty."""
    logs.configure()
    faulty = False
    for path in files:
        try:
            click.echo(_summary(path))
        except ConfigError as e:
            print(f"{path}: {e}", file=sys.stderr)
            faulty = True
    return FAULTY if faulty else OK


def _summary(path: str) -> str:
    """Return the summary of a file.

    A file with the key ``settings`` is a platform's file, any other file is an operators' file. Raises
    ConfigError if the file is faulty.
    """
    try:
        document = orjson.loads(Path(path).read_bytes())
    except (OSError, orjson.JSONDecodeError) as e:
        raise ConfigError("(whole file)", f"is not JSON: {e}") from e
    if not isinstance(document, dict) or "settings" not in document:
        operator = config.read_operator(path)
        text = msgspec.json.format(msgspec.json.encode(operator), indent=2).decode()
        return f"{path}: operators' file\n{text}"
    read = config.load({"GW_CONFIG": path})
    classes = ", ".join(
        f"{name} (aim {c.latency_objective_us // 1000} ms, {c.repeat.value})"
        for name, c in zip(read.classes, read.settings.classes, strict=True)
    )
    lines = [
        f"{path}: platform's file",
        f"  scheduler {read.name}, one of {read.settings.fleet_size}",
        f"  listens at {read.listen}, operators at {read.ops or 'no address'}",
        f"  discovery at {read.discovery}, {len(read.known.endpoints)} workers known",
        f"  descriptors {read.sockets}, of them {read.client_sockets()} for clients",
        f"  classes {classes}",
    ]
    return "\n".join(lines)


def explain_caller(path: str, address: str, tenant: str | None) -> int:
    """Print the tenant, weight and limits of a caller; the exit code is 2 if the file or name is invalid."""
    logs.configure()
    try:
        options = config.read_operator(path).admission
        caller = Directory(options, PLACEHOLDER_SECRET).find(tenant, address)
    except (ConfigError, BadNameError) as e:
        print(f"robinhill: {e}", file=sys.stderr)
        return FAULTY
    named = options.tenants.get(caller.name)
    by = f"header {options.tenant_header}" if tenant is not None else f"address {address}"
    network = options.networks[caller.network] if caller.network >= 0 else None
    click.echo(f"admission {'on' if options.enabled else 'off'}")
    click.echo(f"tenant    {caller.name} (by {by})")
    click.echo(f"weight    {named.weight if named else 1.0:g}{'' if named else ' (not named in the file)'}")
    click.echo(f"limits    {_limits(options.limits_of(caller.name))}")
    click.echo(f"network   {network.network if network else 'none listed'}")
    if network:
        click.echo(f"          {_limits(network.limits)}")
    return 0


def _limits(limits: msgspec.Struct) -> str:
    given = {k: v for k, v in msgspec.structs.asdict(limits).items() if v is not None}
    return ", ".join(f"{key} {value:g}" for key, value in given.items()) or "none"
