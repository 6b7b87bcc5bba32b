"""The command line. Each flag of `run` and `control` has an environment variable, which it overrides.

A sub-command imports its modules when it is invoked, so that `run` starts quickly and uses little memory.
"""

import gc
import os
import sys
from collections.abc import Callable, Sequence
from typing import Any, TypeVar

import click

from robinhill.commands.exit_codes import FAULTY

Command = TypeVar("Command", bound=Callable[..., Any])

# Flags of `run` with their environment variables and help texts. robinhill/config.py checks the values.
FLAGS = {
    "--config": ("GW_CONFIG", "JSON file of the platform"),
    "--operator": ("GW_OPERATOR", "JSON file of the operators"),
    "--name": ("GW_NAME", "name of this scheduler"),
    "--listen": ("GW_LISTEN", "host:port for clients and call-backs"),
    "--discovery": ("GW_DISCOVERY", "host:port of discovery"),
    "--ops": ("GW_OPS", "host:port for operators"),
    "--record": ("GW_RECORD", "folder for a recording of requests and attempts"),
    "--socket-fd": ("GW_SOCKET_FD", "descriptor of an inherited listening socket"),
}
# Flags of `control` with their environment variables and help texts.
VOTER_FLAGS = {
    "--operator": ("GW_OPERATOR", "JSON file of the operators, which names all voters"),
    "--name": ("GW_NAME", "name of this voter in that file"),
    "--ops": ("GW_OPS", "host:port for operators"),
    "--folder": ("TMPDIR", "folder for the voter's state"),
}


def _options(flags: dict[str, tuple[str, str]]) -> Callable[[Command], Command]:
    """A decorator that adds options whose defaults are environment variables."""

    def decorate(command: Command) -> Command:
        for flag, (variable, text) in reversed(flags.items()):
            command = click.option(flag, variable, envvar=variable, help=f"{text} [{variable}]")(command)
        return command

    return decorate


@click.group(invoke_without_command=True)
@click.pass_context
def cli(context: click.Context) -> None:
    """Push jobs to workers. Without a command: run one scheduler, configured by the environment."""
    if context.invoked_subcommand is None:
        context.exit(_serve({}))


@cli.command()
@_options(FLAGS)
@click.pass_context
def run(context: click.Context, /, **flags: str | None) -> None:
    """Run one scheduler until SIGTERM."""
    context.exit(_serve({k.upper(): v for k, v in flags.items() if v is not None}))


def _serve(flags: dict[str, str]) -> int:
    # The scheduler uses plain TCP only. asyncio and aiohttp work without ssl; with it, aiohttp loads every
    # certificate authority of the host at import, which takes a fifth of the time to start.
    sys.modules.setdefault("ssl", None)  # type: ignore[arg-type]
    gc.disable()  # imported modules are never freed, so that garbage collection during the import is wasted
    from robinhill.commands.run import serve

    gc.enable()
    return serve({**os.environ, **flags})


@cli.command()
@_options(VOTER_FLAGS)
@click.pass_context
def control(context: click.Context, /, **flags: str | None) -> None:
    """Run one voter of the control group until SIGTERM."""
    sys.modules.setdefault("ssl", None)  # type: ignore[arg-type]
    from robinhill.commands.control import vote

    context.exit(vote({**os.environ, **{k.upper(): v for k, v in flags.items() if v is not None}}))


@cli.command("check-config")
@click.argument("files", nargs=-1, required=True, type=click.Path(exists=True, dir_okay=False))
@click.pass_context
def check_config(context: click.Context, files: tuple[str, ...]) -> None:
    """Check configuration files of the platform or of operators, and print what would run."""
    from robinhill.commands.check import check

    context.exit(check(files))


@cli.group()
def admission() -> None:
    """Fair queues at admission."""


@admission.command()
@click.argument("file", type=click.Path(exists=True, dir_okay=False))
@click.option("--address", default="127.0.0.1", show_default=True, help="the caller's address")
@click.option("--tenant", default=None, help="the tenant header's value, if the caller sends one")
@click.pass_context
def explain(context: click.Context, file: str, address: str, tenant: str | None) -> None:
    """Print the tenant, weight and limits that an operators' FILE gives to a caller."""
    from robinhill.commands.check import explain_caller

    context.exit(explain_caller(file, address, tenant))


@cli.group(hidden=True, deprecated="Write `robinhill admission explain`.")
def door() -> None:
    """Fair queues at admission, under the command's deprecated name."""


door.add_command(explain)


@cli.command()
@click.option("--seconds", default=30.0, show_default=True, type=click.FloatRange(min=1))
@click.option("--workers", default=6, show_default=True, type=click.IntRange(1, 64))
@click.option("--operator", default=None, type=click.Path(exists=True, dir_okay=False))
@click.pass_context
def demo(context: click.Context, seconds: float, workers: int, operator: str | None) -> None:
    """Run a scheduler, workers, discovery and clients on loopback, and show how each tenant is served."""
    from robinhill.commands.demo import show

    context.exit(show(seconds, workers, operator))


@cli.group()
def model() -> None:
    """Simulate a fleet, to compare settings and versions."""


@model.command()
@click.argument("source")
@click.option("--kinds", default="clubs", show_default=True, help="situation with the recording's classes")
@click.pass_context
def describe(context: click.Context, source: str, kinds: str) -> None:
    """Print a situation, or fit a description to a recording (a folder or file)."""
    from robinhill.commands import modelling as commands

    context.exit(commands.run_and_report_errors(commands.describe, source, kinds))


@model.command("run")
@click.argument("situation")
@click.option("--side", default="this", show_default=True, help="settings file, operators' file or revision")
@click.option("--seed", default=1, show_default=True)
@click.pass_context
def run_model(context: click.Context, situation: str, side: str, seed: int) -> None:
    """Play one run on a SITUATION: a shipped one (clubs, clubs-silent, ...) or a description's file."""
    from robinhill.commands import modelling as commands

    context.exit(commands.run_and_report_errors(commands.run, situation, side, seed))


def _percent(_: click.Context, __: click.Parameter, text: str) -> float:
    try:
        value = float(text.removesuffix("%")) / (100 if text.endswith("%") else 1)
    except ValueError:
        raise click.BadParameter("expected a share, such as 0.02 or 2%") from None
    if not 0 < value < 1:
        raise click.BadParameter("expected a share between 0 and 1, both excluded")
    return value


@model.command()
@click.argument("a")
@click.argument("b")
@click.option("--on", default="clubs-all", show_default=True, help="situation: a shipped one or a file")
@click.option("--trace", type=click.Path(exists=True), help="recording to use instead of generated traffic")
@click.option(
    "--until",
    default="2%",
    show_default=True,
    callback=_percent,
    help="precision of the difference at which to stop",
)
@click.option("--seed", default=1, show_default=True)
@click.option("--processes", type=click.IntRange(1, 256), help="default: one per core")
@click.option("--json", "json_path", type=click.Path(dir_okay=False), help="write the result to this file")
@click.option(
    "--html", "html_path", type=click.Path(dir_okay=False), help="write a report with plots to this file"
)
@click.pass_context
def compare(context: click.Context, /, **options: Any) -> None:
    """Compare side B with side A: `this`, settings files, operators' files, git revisions, joined by `+`."""
    from robinhill.commands import modelling as commands

    comparison = commands.ComparisonOptions(**options)
    context.exit(commands.run_and_report_errors(commands.compare_sides, comparison))


@cli.group()
def cordon() -> None:
    """Cordon workers, so that no scheduler sends them new jobs."""


_ops = click.option("--ops", envvar="GW_OPS", required=True, help="host:port for operators [GW_OPS]")
_wait = click.option(
    "--wait",
    "wait_s",
    default=None,
    type=click.FloatRange(0, 600),
    help="seconds to wait until the change is in force",
)


@cordon.command("set")
@click.argument("cordon_id", metavar="ID")
@click.argument("target")
@click.option("--reason", required=True)
@click.option("--by", default=None, help="the operator; default: the user's name")
@click.option(
    "--for", "for_s", default=None, type=click.FloatRange(min=0, min_open=True), help="lifetime in seconds"
)
@_wait
@_ops
@click.pass_context
def set_cordon(context: click.Context, /, **options: Any) -> None:
    """Cordon a TARGET (worker/ID, zone/NAME, kind/NAME or cell/NUMBER) under an ID of your choice."""
    from robinhill.commands import cordons

    names = ("ops", "cordon_id", "target", "reason", "by", "for_s", "wait_s")
    context.exit(cordons.run_command(cordons.set_cordon, *(options[name] for name in names)))


@cordon.command("lift")
@click.argument("cordon_id", metavar="ID")
@_wait
@_ops
@click.pass_context
def lift_cordon(context: click.Context, cordon_id: str, wait_s: float | None, ops: str) -> None:
    """Lift a cordon; other cordons of the same workers stay in force."""
    from robinhill.commands import cordons

    context.exit(cordons.run_command(cordons.lift_cordon, ops, cordon_id, wait_s))


@cordon.command("list")
@click.option("--json", "as_json", is_flag=True)
@_ops
@click.pass_context
def list_cordons(context: click.Context, as_json: bool, ops: str) -> None:
    """List the cordons, their reasons, and the schedulers that have not confirmed them."""
    from robinhill.commands import cordons

    context.exit(cordons.run_command(cordons.list_cordons, ops, as_json))


@cordon.command("wait")
@click.argument("cordon_id", metavar="ID")
@click.option("--for", "wait_s", default=10.0, show_default=True, type=click.FloatRange(0, 600))
@_ops
@click.pass_context
def wait_cordon(context: click.Context, cordon_id: str, wait_s: float, ops: str) -> None:
    """Wait until every scheduler applies a cordon."""
    from robinhill.commands import cordons

    context.exit(cordons.run_command(cordons.wait_until_in_force, ops, cordon_id, wait_s))


def main(arguments: Sequence[str] | None = None) -> int:
    """Run the command line and return the exit code.

    0: success, or the scheduler drained; 1: an actor died, or the command failed; 2: the configuration or the
    command line is faulty; 130: interrupted. Sub-commands may return further codes.
    """
    try:
        result = cli.main(arguments, prog_name="robinhill", standalone_mode=False)
    except click.ClickException as e:
        e.show()
        return FAULTY
    except click.Abort:
        return 130
    return result if isinstance(result, int) else 0
