"""The command line. Each flag stands for a variable of the environment, and goes before it.

What a sub-command needs is imported when it is called: `run` must start quickly and stay small.
"""

import os
from collections.abc import Sequence
from typing import Any

import click

# Flags of `run`, with the variable of the same meaning; robinhill/config.py reads and checks them all.
FLAGS = {
    "--config": ("GW_CONFIG", "JSON file of the platform"),
    "--operator": ("GW_OPERATOR", "JSON file of the operators"),
    "--name": ("GW_NAME", "name of this scheduler"),
    "--listen": ("GW_LISTEN", "host:port for clients and call-backs"),
    "--discovery": ("GW_DISCOVERY", "host:port of discovery"),
    "--ops": ("GW_OPS", "host:port for operators"),
    "--socket-fd": ("GW_SOCKET_FD", "descriptor of an inherited listening socket"),
}
FAULTY = 2  # exit code for a faulty configuration or command line


def _run_options(command: Any) -> Any:
    for flag, (variable, text) in reversed(FLAGS.items()):
        command = click.option(flag, variable, envvar=variable, help=f"{text} [{variable}]")(command)
    return command


@click.group(invoke_without_command=True)
@click.pass_context
def cli(context: click.Context) -> None:
    """Push jobs to workers. Without a command: run one scheduler, configured by the environment."""
    if context.invoked_subcommand is None:
        context.exit(_serve({}))


@cli.command()
@_run_options
@click.pass_context
def run(context: click.Context, /, **flags: str | None) -> None:
    """Run one scheduler until SIGTERM."""
    context.exit(_serve({k.upper(): v for k, v in flags.items() if v is not None}))


def _serve(flags: dict[str, str]) -> int:
    from robinhill.commands.run import serve

    return serve({**os.environ, **flags})


@cli.command("check-config")
@click.argument("files", nargs=-1, required=True, type=click.Path(exists=True, dir_okay=False))
@click.pass_context
def check_config(context: click.Context, files: tuple[str, ...]) -> None:
    """Check configuration files of the platform or of operators, and print what would run."""
    from robinhill.commands.check import check

    context.exit(check(files))


@cli.group()
def door() -> None:
    """Fair queues at the door."""


@door.command()
@click.argument("file", type=click.Path(exists=True, dir_okay=False))
@click.option("--address", default="127.0.0.1", show_default=True, help="the caller's address")
@click.option("--tenant", default=None, help="the tenant header's value, if the caller sends one")
@click.pass_context
def explain(context: click.Context, file: str, address: str, tenant: str | None) -> None:
    """Tell which tenant, weight and limits a caller would get by an operators' FILE."""
    from robinhill.commands.check import explain_caller

    context.exit(explain_caller(file, address, tenant))


@cli.command()
@click.option("--seconds", default=30.0, show_default=True, type=click.FloatRange(min=1))
@click.option("--workers", default=6, show_default=True, type=click.IntRange(1, 64))
@click.option("--operator", default=None, type=click.Path(exists=True, dir_okay=False))
@click.pass_context
def demo(context: click.Context, seconds: float, workers: int, operator: str | None) -> None:
    """Run a scheduler, workers, discovery and clients on loopback, and show who gets what."""
    from robinhill.commands.demo import show

    context.exit(show(seconds, workers, operator))


def main(arguments: Sequence[str] | None = None) -> int:
    """The exit code: 0 after a drain, 1 after an actor's death, 2 for a faulty configuration or command."""
    try:
        result = cli.main(arguments, prog_name="robinhill", standalone_mode=False)
    except click.ClickException as e:
        e.show()
        return FAULTY
    except click.Abort:
        return 130
    return result if isinstance(result, int) else 0


