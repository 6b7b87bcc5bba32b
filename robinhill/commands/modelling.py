"""`robinhill model`: describe traffic, simulate a situation, and compare two sides on a situation.

A situation is a description of a fleet, its traffic, its clients and its faults. A side is a version of the
scheduler with its settings.
"""

import subprocess
import sys
import tempfile
import time
from collections.abc import Iterator
from contextlib import ExitStack, contextmanager
from dataclasses import dataclass
from pathlib import Path

import click
import msgspec
import orjson

from robinhill import config, logs
from robinhill.commands.exit_codes import FAULTY
from robinhill.config_types import ConfigError
from robinhill.model import report, sites
from robinhill.model.compare import Comparison, FailedRun, Version, compare, play
from robinhill.model.describe import Description, DescriptionError, read, write
from robinhill.model.recorded import load
from robinhill.model.trace import Trace, fit
from robinhill.record.frames import RecordingError

EXIT_DISAGREES = 3  # a side failed, or results on loopback disagree with the model's
ROOT = Path(__file__).parent.parent.parent


def situation(name: str) -> Description:
    """Return the description of a situation. ``name``: the path of its file, or a shipped situation's name.

    Raises DescriptionError if neither exists or the file is faulty.
    """
    if Path(name).exists():
        return read(Path(name))
    try:
        return sites.site(name)
    except KeyError:
        names = ", ".join(sites.names())
        raise DescriptionError(f"{name}: is no file and no shipped situation ({names})") from None


@contextmanager
def version(name: str) -> Iterator[Version]:
    """A side of a comparison: `this` (the running version), a file, a git revision, or several joined by `+`.

    A file is an operators' file or an object with "settings", "clients" and "admission". A revision is
    checked out to a temporary git worktree until the end of the context. Raises DescriptionError.
    """
    merged: dict[str, object] = {"name": name}
    with ExitStack() as stack:
        for part in name.split("+"):
            if part == "this":
                continue
            if Path(part).exists():
                merged |= _from_file(Path(part))
            else:
                merged["root"] = stack.enter_context(_checked_out(part))
        yield msgspec.convert(merged, Version)


def _from_file(path: Path) -> dict[str, object]:
    try:
        document = orjson.loads(path.read_bytes())
    except orjson.JSONDecodeError as e:
        raise DescriptionError(f"{path}: is not JSON: {e}") from e
    if _is_operators_file(document):
        return {"admission": config.read_operator(str(path)).admission}
    if isinstance(document, dict):
        document = config.with_current_keys(document, str(path))
    try:
        found = msgspec.convert({"name": str(path), **document}, Version)
    except (msgspec.ValidationError, TypeError) as e:
        raise DescriptionError(f"{path}: {e}") from e
    return {k: v for k, v in msgspec.structs.asdict(found).items() if k != "name" and v}


def _is_operators_file(document: object) -> bool:
    """Whether the document is an operators' file rather than a side's own file, which has no key "log".

    A document that contains only admission has the same meaning as either.
    """
    if not isinstance(document, dict):
        return False
    admission = {"admission", *config.RENAMED_KEYS}
    return bool(admission & set(document)) and set(document) <= {"log", *admission}


@contextmanager
def _checked_out(revision: str) -> Iterator[str]:
    with tempfile.TemporaryDirectory(prefix="robinhill-model-") as folder:
        tree = str(Path(folder) / "tree")
        added = subprocess.run(
            ["git", "worktree", "add", "--detach", tree, revision],
            cwd=ROOT,
            capture_output=True,
            text=True,
            check=False,
        )
        if added.returncode:
            raise DescriptionError(
                f"{revision}: is no file and no git revision: {added.stderr.strip().splitlines()[-1]}"
            )
        try:
            yield tree
        finally:
            subprocess.run(
                ["git", "worktree", "remove", "--force", tree], cwd=ROOT, capture_output=True, check=False
            )


def describe(source: str, kinds_of: str) -> int:
    """Print the description of a situation, or fit a description to a recording and print the description.

    ``source``: a recording, or the name or JSON file of a situation. ``kinds_of``: for a recording, the
    situation from which the description takes the job classes, the fleet and the clients.
    """
    if Path(source).exists() and not source.endswith(".json"):
        base = situation(kinds_of)
        trace = load(Path(source), base.traffic.kinds)
        _print_repairs(trace)
        traffic = fit(trace, base.traffic.kinds)
        description = msgspec.structs.replace(
            base, name=Path(source).name, traffic=traffic, seconds=trace.seconds + 1, troubles=(), warm_s=0.0
        )
    else:
        description = situation(source)
    click.echo(write(description).decode(), nl=False)
    return 0


def run(name: str, side_name: str, seed: int) -> int:
    """Simulate a side on a situation once and print the result; the exit code is 3 if the side failed."""
    description = situation(name)
    with version(side_name) as side:
        started_s = time.perf_counter()
        result = play(description, side, seed)
    if isinstance(result, FailedRun):
        click.echo(f"{result.side} failed on seed {result.seed}: {result.why}")
        return EXIT_DISAGREES
    elapsed_s = time.perf_counter() - started_s
    click.echo(f"{description.name}, seed {seed}: {result.share:.3f} of the worth served in time")
    for kind, (wanted, served) in result.by_kind.items():
        click.echo(f"  {kind:18} {served / wanted if wanted else 1.0:.3f}")
    click.echo(f"  worst 10 s         {result.worst_window:.3f}")
    click.echo(f"  requests {result.firsts}, tries {result.tries}, crossings {result.crossings}")
    rejections = ", ".join(f"{k} {v}" for k, v in result.refused.items()) or "none"
    click.echo(f"  rejections: {rejections}")
    speed, rate = description.seconds / elapsed_s, result.steps / elapsed_s
    click.echo(f"  {speed:.0f} simulated seconds per second, {rate:,.0f} events per second")
    return 0


@dataclass(slots=True, frozen=True)
class ComparisonOptions:
    """Options of `model compare`.

    ``a``, ``b``: the sides, as for `version`; ``on``: the situation; ``trace``: a recording whose requests
    replace the generated traffic. ``until``: the precision of the difference, as a share, at which the
    comparison stops. ``processes``: None for one per core.
    """

    a: str
    b: str
    on: str
    trace: str | None
    until: float
    seed: int
    processes: int | None
    json_path: str | None
    html_path: str | None


def compare_sides(options: ComparisonOptions) -> int:
    """Compare two sides, print the table and write the files; the exit code is 3 if a side failed."""
    description = situation(options.on)
    trace: Trace | None = None
    if options.trace:
        trace = load(Path(options.trace), description.traffic.kinds)
        _print_repairs(trace)
        description = msgspec.structs.replace(description, seconds=trace.seconds + 1)
    with version(options.a) as first, version(options.b) as second:
        comparison: Comparison = compare(
            description,
            first,
            second,
            until=options.until,
            seed=options.seed,
            trace=trace,
            processes=options.processes,
            progress=_print_progress,
        )
    if sys.stderr.isatty():
        click.echo("", err=True)
    click.echo(report.table(comparison))
    if options.json_path:
        Path(options.json_path).write_bytes(report.as_json(comparison))
    if options.html_path:
        Path(options.html_path).write_text(report.as_html(comparison))
    return EXIT_DISAGREES if comparison.failed else 0


def _print_progress(pairs: int, difference: str) -> None:
    if sys.stderr.isatty():
        click.echo(f"\r{pairs} pairs, difference so far {difference} ", nl=False, err=True)


def _print_repairs(trace: Trace) -> None:
    for note in trace.repairs:
        click.echo(f"repaired: {note}", err=True)


def run_and_report_errors(call: object, *arguments: object) -> int:
    """Run a command and return its exit code: 2, with the error printed, for a faulty description or file."""
    assert callable(call)
    logs.configure()
    try:
        code: int = call(*arguments)
    except (DescriptionError, RecordingError, ConfigError) as e:
        click.echo(f"robinhill: {e}", err=True)
        return FAULTY
    return code
