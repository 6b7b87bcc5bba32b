"""`robinhill cordon set | lift | list | wait`: set, lift, list and await cordons through one scheduler.

A cordon set at one scheduler applies at all schedulers.
Each command returns its exit code. The scheduler validates a call; this module sends it and prints the reply.
"""

import getpass
import http.client
import json
import sys
import time
from collections.abc import Callable, Sequence
from typing import Any
from urllib.parse import quote

import click

Json = dict[str, Any]
CORDONS_PATH = "/ops/cordons"
RESPONSE_MARGIN_S = 10.0  # a call's timeout is this plus the time for which the scheduler may wait
POLL_INTERVAL_S = 0.1
EXIT_FAILED = 1  # the call failed or was rejected, or the cordon was not in force in time


class CallFailed(Exception):
    """A call was rejected or not answered. The message is printed to the operator."""


def call_scheduler(
    ops: str, method: str, path: str, body: Json | None = None, wait_s: float | None = None
) -> Json:
    """Call the operators' API at ``ops`` (host:port) and return the JSON reply.

    With ``wait_s`` the scheduler replies once the change is in force, at the latest after that time. Raises
    CallFailed if the call is rejected or not answered, or if ``ops`` is malformed.
    """
    host, _, port = ops.rpartition(":")
    if not (host and port.isdigit()):
        raise CallFailed(f"--ops is {ops!r}, expected host:port of a scheduler's operators' address")
    query = f"?wait={wait_s:g}" if wait_s is not None else ""
    timeout_s = (wait_s or 0) + RESPONSE_MARGIN_S
    connection = http.client.HTTPConnection(host.strip("[]"), int(port), timeout=timeout_s)
    try:
        connection.request(method, path + query, json.dumps(body) if body is not None else None)
        response = connection.getresponse()
        text = response.read().decode(errors="replace")
    except OSError as e:
        raise CallFailed(f"no answer from {ops}: {e}") from e
    finally:
        connection.close()
    return _read_reply(ops, response.status, text)


def run_command(command: Callable[..., int], *arguments: Any) -> int:
    """Run a command and return its exit code; a failure is printed to standard error."""
    try:
        return command(*arguments)
    except CallFailed as e:
        print(f"robinhill: {e}", file=sys.stderr)
        return EXIT_FAILED


def set_cordon(
    ops: str,
    cordon_id: str,
    target: str,
    reason: str,
    by: str | None,
    for_s: float | None,
    wait_s: float | None,
) -> int:
    """Set a cordon, for ``for_s`` seconds where given, and wait up to ``wait_s`` until it is in force."""
    body: Json = {"target": target, "reason": reason, "by": by or _user_name()}
    if for_s is not None:
        body["for_s"] = for_s
    return _print_change(call_scheduler(ops, "PUT", _path_of(cordon_id), body, wait_s))


def lift_cordon(ops: str, cordon_id: str, wait_s: float | None) -> int:
    """Lift a cordon, and wait up to ``wait_s`` until the lift is in force."""
    return _print_change(call_scheduler(ops, "DELETE", _path_of(cordon_id), None, wait_s))


def list_cordons(ops: str, as_json: bool) -> int:
    """Print all cordons, and the schedulers that are not alive or whose list of peers differs.

    A scheduler's list of peers is compared with that of the called scheduler.
    """
    listing = call_scheduler(ops, "GET", CORDONS_PATH)
    if as_json:
        click.echo(json.dumps(listing, indent=2))
        return 0
    for cordon in listing["cordons"]:
        _print_cordon(cordon)
    if not listing["cordons"]:
        click.echo("nothing is cordoned")
    _print_faulty_schedulers(listing["schedulers"])
    return 0


def wait_until_in_force(ops: str, cordon_id: str, wait_s: float) -> int:
    """Wait until all schedulers apply an existing cordon.

    Raises CallFailed if the cordon is not in force within ``wait_s``.
    """
    deadline_s = time.monotonic() + wait_s
    while True:
        (cordon,) = call_scheduler(ops, "GET", _path_of(cordon_id))["cordons"][:1]
        if cordon["state"] == "in force" or not cordon["behind"]:
            click.echo(f"{cordon_id} is in force")
            return 0
        if time.monotonic() >= deadline_s:
            raise CallFailed(f"{cordon_id} is not in force; not confirmed by {', '.join(cordon['behind'])}")
        time.sleep(POLL_INTERVAL_S)


def _path_of(cordon_id: str) -> str:
    return f"{CORDONS_PATH}/{quote(cordon_id, safe='')}"


def _read_reply(ops: str, status: int, text: str) -> Json:
    try:
        reply = json.loads(text)
    except ValueError:
        reply = {"error": text.strip() or f"the scheduler answered {status} without a text"}
    if status == 404 and not reply.get("type"):
        raise CallFailed(f"the scheduler at {ops} shares no cordons: its operators' file configures no peers")
    if status >= 400:
        raise CallFailed("; ".join(str(reply[key]) for key in ("error", "advice") if reply.get(key)))
    assert isinstance(reply, dict)
    return reply


def _print_change(reply: Json) -> int:
    click.echo(f"{reply['id']} ({', '.join(reply['targets'])}): {reply['state']} after {reply['ms']:.1f} ms")
    for warning in reply.get("warnings", ()):
        click.echo(f"    warning: {warning}")
    for unconfirmed in reply["unconfirmed"]:
        click.echo(f"    not confirmed by {unconfirmed['scheduler']}: {unconfirmed['why']}")
    return 0


def _print_cordon(cordon: Json) -> None:
    until = f", until {cordon['until']}" if cordon["until"] else ""
    click.echo(f"{cordon['id']}  {cordon['target']} ({cordon['workers']} workers)  {cordon['state']}")
    by = cordon["by"] or "unknown"
    click.echo(f"    {cordon['reason']} (by {by} since {cordon['since']}{until})")
    if cordon["behind"]:
        click.echo(f"    not confirmed by {', '.join(cordon['behind'])}")


def _print_faulty_schedulers(schedulers: Sequence[Json]) -> None:
    for scheduler in schedulers:
        if scheduler["state"] == "alive" and scheduler["same_list"]:
            continue
        other_list = "" if scheduler["same_list"] else ", has another list of peers"
        click.echo(f"scheduler {scheduler['name']}: {scheduler['state']}{other_list}")


def _user_name() -> str:
    try:
        return getpass.getuser()
    except (KeyError, OSError):
        return ""
