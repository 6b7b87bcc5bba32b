"""`robinhill cordon set | lift | list | wait`: calls at one scheduler about workers at all schedulers."""

import getpass
import http.client
import json
import sys
import time
from typing import Any
from urllib.parse import quote

import click

Json = dict[str, Any]
SPARE_S = 10.0  # past what a call itself waits for
POLL_S = 0.1
NOT_DONE = 1  # exit code: refused, or not in force in time


class Failed(Exception):
    """A call was answered with a no, or not at all."""


def call(ops: str, method: str, path: str, body: Json | None = None, wait_s: float | None = None) -> Json:
    """One call's JSON. Raises Failed with the scheduler's words and its advice."""
    host, _, port = ops.rpartition(":")
    if not (host and port.isdigit()):
        raise Failed(f"--ops must be host:port of a scheduler's operators' side, is {ops!r}")
    query = f"?wait={wait_s:g}" if wait_s is not None else ""
    connection = http.client.HTTPConnection(host.strip("[]"), int(port), timeout=(wait_s or 0) + SPARE_S)
    try:
        connection.request(method, path + query, json.dumps(body) if body is not None else None)
        answer = connection.getresponse()
        text = answer.read().decode(errors="replace")
    except OSError as e:
        raise Failed(f"no answer from {ops}: {e}") from e
    finally:
        connection.close()
    try:
        told = json.loads(text)
    except ValueError:
        told = {"error": text.strip() or f"answered {answer.status}"}
    if answer.status == 404 and not told.get("type"):
        raise Failed(f"the scheduler at {ops} shares nothing: its operators' file names no peers")
    if answer.status >= 400:
        raise Failed("; ".join(str(told[key]) for key in ("error", "advice") if told.get(key)))
    assert isinstance(told, dict)
    return told


def guarded(what: Any, *arguments: Any) -> int:
    """The exit code; what failed goes to standard error."""
    try:
        done: int = what(*arguments)
        return done
    except Failed as e:
        print(f"robinhill: {e}", file=sys.stderr)
        return NOT_DONE


def set_(
    ops: str,
    cordon_id: str,
    target: str,
    reason: str,
    by: str | None,
    for_s: float | None,
    wait_s: float | None,
) -> int:
    body: Json = {"target": target, "reason": reason, "by": by or _user()}
    if for_s is not None:
        body["for_s"] = for_s
    return _show_change(call(ops, "PUT", f"/ops/cordons/{quote(cordon_id, safe='')}", body, wait_s))


def lift(ops: str, cordon_id: str, wait_s: float | None) -> int:
    return _show_change(call(ops, "DELETE", f"/ops/cordons/{quote(cordon_id, safe='')}", None, wait_s))


def list_(ops: str, as_json: bool) -> int:
    told = call(ops, "GET", "/ops/cordons")
    if as_json:
        click.echo(json.dumps(told, indent=2))
        return 0
    for c in told["cordons"]:
        until = f", until {c['until']}" if c["until"] else ""
        click.echo(f"{c['id']}  {c['target']} ({c['workers']} workers)  {c['state']}")
        click.echo(f"    {c['reason']} (by {c['by'] or 'nobody named'} since {c['since']}{until})")
        if c["behind"]:
            click.echo(f"    not confirmed by {', '.join(c['behind'])}")
    if not told["cordons"]:
        click.echo("nothing is cordoned")
    bad = [s for s in told["schedulers"] if s["state"] != "alive" or not s["same_list"]]
    for s in bad:
        click.echo(
            f"scheduler {s['name']}: {s['state']}{'' if s['same_list'] else ', has another list of peers'}"
        )
    return 0


def wait(ops: str, cordon_id: str, wait_s: float) -> int:
    """Until all schedulers go by a cordon that is there already."""
    deadline = time.monotonic() + wait_s
    while True:
        (cordon,) = call(ops, "GET", f"/ops/cordons/{quote(cordon_id, safe='')}")["cordons"][:1]
        if cordon["state"] == "in force" or not cordon["behind"]:
            click.echo(f"{cordon_id} is in force")
            return 0
        if time.monotonic() >= deadline:
            raise Failed(f"{cordon_id} is not in force; not confirmed by {', '.join(cordon['behind'])}")
        time.sleep(POLL_S)


def _show_change(told: Json) -> int:
    click.echo(f"{told['id']} ({', '.join(told['targets'])}): {told['state']} after {told['ms']:.1f} ms")
    for warning in told.get("warnings", ()):
        click.echo(f"    mind: {warning}")
    for u in told["unconfirmed"]:
        click.echo(f"    not confirmed by {u['scheduler']}: {u['why']}")
    return 0


def _user() -> str:
    try:
        return getpass.getuser()
    except (KeyError, OSError):
        return ""
