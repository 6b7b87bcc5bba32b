"""Two sides on the same situations: paired runs over many seeds on all cores, until the difference is
known.
"""

import multiprocessing
import os
import traceback
from collections.abc import Callable, Iterator
from concurrent.futures import FIRST_COMPLETED, Future, ProcessPoolExecutor, wait
from dataclasses import dataclass, field
from functools import partial
from pathlib import Path
from typing import Any

import msgspec

from robinhill import api
from robinhill.admission.options import AdmissionOptions
from robinhill.model.describe import Description, DescriptionError
from robinhill.model.statistics import LOOK_LEVEL, LOOKS, Interval, interval, may_stop
from robinhill.model.trace import Trace, draw
from robinhill.model.wire import ModuleFailedError, WireModule
from robinhill.model.world import Result, Side, World

METRICS: dict[str, Callable[[Result], float]] = {
    "served worth": lambda r: r.share,
    "worst 10 s": lambda r: r.worst_window,
    "tries a request": lambda r: r.tries / max(1, r.firsts),
    "refusals a request": lambda r: sum(r.refused.values()) / max(1, r.firsts),
    "crossings a request": lambda r: r.crossings / max(1, r.firsts),
    "work wasted": lambda r: r.wasted_s / max(1e-9, r.busy_s),
}


class Version(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A side as a file or a command line names it: what differs from this tree as it stands."""

    name: str
    settings: dict[str, Any] = {}  # of api.Settings, by field
    clients: dict[str, Any] = {}
    admission: AdmissionOptions | None = None
    root: str | None = None  # a checked-out tree of another revision, whose module plays

    def side(self) -> Side:
        """For one run of this tree's module; `play` gives it another one where a root is named."""
        return Side(self.name, dict(self.settings), self.admission, dict(self.clients))


@dataclass(slots=True, frozen=True)
class Failed:
    """A run that came to no result: a crash, a hang, or a broken rule. It is the comparison's result then."""

    side: str
    seed: int
    why: str


Outcome = Result | Failed


def play(description: Description, version: Version, seed: int, trace: Trace | None = None) -> Outcome:
    """One run of one side; the trace is drawn from the seed unless one is given."""
    opened: list[WireModule] = []
    side = version.side()
    if version.root:

        def module(settings: api.Settings, number: int) -> WireModule:
            opened.append(WireModule(Path(version.root or ""), settings, number))
            return opened[-1]

        side.module = module
    try:
        result = World(description, trace or draw(description, seed), side, seed).play()
    except DescriptionError:
        raise
    except ModuleFailedError as e:
        return Failed(version.name, seed, str(e))
    except Exception:  # a fault of the module's is a result, and must not end the other side's runs
        return Failed(version.name, seed, traceback.format_exc(limit=-3).strip().splitlines()[-1])
    finally:
        for module_ in opened:
            module_.close()
    if result.broken:
        return Failed(version.name, seed, f"broke a rule {len(result.broken)} times: {result.broken[0]}")
    return result


def _pair(
    description: Description, a: Version, b: Version, trace: Trace | None, seed: int
) -> tuple[Any, Any]:
    return play(description, a, seed, trace), play(description, b, seed, trace)


@dataclass(slots=True)
class Comparison:
    """All pairs of a comparison, in the order of their seeds, and what they show. Differences are B less
    A.
    """

    description: str
    a: str
    b: str
    results_a: list[Result] = field(default_factory=list)
    results_b: list[Result] = field(default_factory=list)
    failed: list[Failed] = field(default_factory=list)
    why: str = ""
    differences: dict[str, Interval] = field(default_factory=dict)
    means: dict[str, tuple[float, float]] = field(default_factory=dict)
    by_kind: dict[str, Interval] = field(default_factory=dict)
    by_tenant: dict[str, Interval] = field(default_factory=dict)

    @property
    def verdict(self) -> str:
        """What it says, in words; no single number hides a class that loses."""
        if self.failed:
            first = self.failed[0]
            return f"{first.side} failed on seed {first.seed}: {first.why}"
        found = self.differences["served worth"]
        if not found.sure:
            words = f"no difference in served worth was found: {found}"
        else:
            better = self.b if found.mean > 0 else self.a
            words = f"{better} serves more worth: {self.b} less {self.a} is {found}"
        gains = [k for k, i in self.by_kind.items() if i.low > 0]
        losses = [k for k, i in self.by_kind.items() if i.high < 0]
        if gains and losses:
            words += f"; it helps {', '.join(gains)} and hurts {', '.join(losses)}"
        return words

    def sum_up(self, seed: int) -> None:
        """Fill in the differences from the pairs there are."""
        pairs = list(zip(self.results_a, self.results_b, strict=True))
        if not pairs:
            return
        for name, metric in METRICS.items():
            ours = [(metric(a), metric(b)) for a, b in pairs]
            self.means[name] = (sum(x for x, _ in ours) / len(ours), sum(y for _, y in ours) / len(ours))
            self.differences[name] = interval([y - x for x, y in ours], seed, LOOK_LEVEL)
        for kind in pairs[0][0].by_kind:
            self.by_kind[kind] = interval(
                [_share(b.by_kind, kind) - _share(a.by_kind, kind) for a, b in pairs], seed, LOOK_LEVEL
            )
        tenants = sorted({t for a, _ in pairs for t in a.by_tenant})[:20]
        for tenant in tenants if len(tenants) > 1 else []:
            self.by_tenant[str(tenant)] = interval(
                [_share(b.by_tenant, tenant) - _share(a.by_tenant, tenant) for a, b in pairs],
                seed,
                LOOK_LEVEL,
            )


def _share(table: dict[Any, tuple[float, float]], key: Any) -> float:
    wanted, served = table.get(key, (0.0, 0.0))
    return served / wanted if wanted else 1.0


def compare(
    description: Description,
    a: Version,
    b: Version,
    *,
    until: float = 0.02,
    seed: int = 1,
    trace: Trace | None = None,
    processes: int | None = None,
    most: int = LOOKS[-1],
    progress: Callable[[int, str], None] = lambda pairs, words: None,
) -> Comparison:
    """Play pairs until the difference in served worth is known. The same seed gives the same result, bit for
    bit, whatever the number of processes: pairs count in the order of their seeds."""
    comparison = Comparison(description.name, a.name, b.name)
    work = partial(_pair, description, a, b, trace)
    for first, second in _in_order(work, range(seed, seed + most), processes):
        comparison.failed += [x for x in (first, second) if isinstance(x, Failed)]
        if comparison.failed:
            comparison.why = "a side failed"
            break
        comparison.results_a.append(first)
        comparison.results_b.append(second)
        pairs = len(comparison.results_a)
        differences = [
            y.share - x.share for x, y in zip(comparison.results_a, comparison.results_b, strict=True)
        ]
        progress(pairs, f"{sum(differences) / pairs:+.4f}")
        stop = may_stop(differences, until, seed)
        if stop.yes:
            comparison.why = stop.why
            break
    else:
        comparison.why = f"{most} pairs were asked for"
    comparison.sum_up(seed)
    return comparison


def _in_order(
    work: Callable[[int], tuple[Any, Any]], seeds: range, processes: int | None
) -> Iterator[tuple[Any, Any]]:
    """Results in the order of the seeds, worked on by as many processes as there are cores."""
    count = processes or os.cpu_count() or 1
    if count == 1:
        yield from map(work, seeds)
        return
    # Started afresh: a copy of this process might hold locks of threads that it does not have.
    context = multiprocessing.get_context("forkserver")
    with ProcessPoolExecutor(count, mp_context=context) as pool:
        done: dict[int, tuple[Any, Any]] = {}
        running: dict[Future[tuple[Any, Any]], int] = {}
        left, wanted = iter(seeds), iter(seeds)
        turn = next(wanted, None)
        try:
            while turn is not None:
                while len(running) < count and (seed := next(left, None)) is not None:
                    running[pool.submit(work, seed)] = seed
                while turn is not None and turn in done:
                    yield done.pop(turn)
                    turn = next(wanted, None)
                if running:
                    for future in wait(running, return_when=FIRST_COMPLETED).done:
                        done[running.pop(future)] = future.result()
        finally:
            for future in running:
                future.cancel()
