"""Comparison of two sides, which are settings or revisions of the scheduler, by paired runs on all cores.

Both runs of a pair use the same seed and thus get the same arrivals, workers and faults. Pairs with further
seeds are run until the confidence interval of the difference decides the comparison or is narrow enough.
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
    """A side of a comparison as specified by a file or a command line: its changes to this source tree."""

    name: str
    settings: dict[str, Any] = {}  # values for fields of api.Settings, by the field's name
    clients: dict[str, Any] = {}  # values for keys of the description's clients
    admission: AdmissionOptions | None = None
    root: str | None = None  # checked-out tree of another revision, whose decision module is used

    def side(self) -> Side:
        """Return the side for one run, with the decision module of this source tree.

        If ``root`` is set, `play` replaces the module by that of the other tree.
        """
        return Side(self.name, dict(self.settings), self.admission, dict(self.clients))


@dataclass(slots=True, frozen=True)
class FailedRun:
    """A run without a valid result: its module crashed, hung, or violated a rule of the checker.

    A comparison ends at the first failed run and reports it in place of a difference.
    """

    side: str
    seed: int
    why: str


Outcome = Result | FailedRun


def play(description: Description, version: Version, seed: int, trace: Trace | None = None) -> Outcome:
    """Simulate the description once with one side. Without a trace, one is drawn from the seed.

    Raises DescriptionError for a faulty description, trace or setting; every other error is returned as a
    FailedRun.
    """
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
        return FailedRun(version.name, seed, str(e))
    except Exception:  # an error of the decision module is a result and must not end the other side's runs
        return FailedRun(version.name, seed, traceback.format_exc(limit=-3).strip().splitlines()[-1])
    finally:
        for module_ in opened:
            module_.close()
    if result.broken:
        return FailedRun(
            version.name, seed, f"violated the checker's rules {len(result.broken)} times: {result.broken[0]}"
        )
    return result


def _play_pair(
    description: Description, a: Version, b: Version, trace: Trace | None, seed: int
) -> tuple[Any, Any]:
    return play(description, a, seed, trace), play(description, b, seed, trace)


@dataclass(slots=True)
class Comparison:
    """All pairs of a comparison, in the order of their seeds, and their statistics.

    A difference is the value of side B minus that of side A.
    """

    description: str
    a: str
    b: str
    results_a: list[Result] = field(default_factory=list)
    results_b: list[Result] = field(default_factory=list)
    failed: list[FailedRun] = field(default_factory=list)
    why: str = ""
    differences: dict[str, Interval] = field(default_factory=dict)
    means: dict[str, tuple[float, float]] = field(default_factory=dict)
    by_kind: dict[str, Interval] = field(default_factory=dict)
    by_tenant: dict[str, Interval] = field(default_factory=dict)

    @property
    def verdict(self) -> str:
        """The result in one sentence. It names the job classes that gain and lose, as the overall difference
        alone would hide a loss.
        """
        if self.failed:
            first = self.failed[0]
            return f"{first.side} failed on seed {first.seed}: {first.why}"
        found = self.differences["served worth"]
        if not found.excludes_zero:
            text = f"no difference in served worth was found: {found}"
        else:
            better = self.b if found.mean > 0 else self.a
            text = f"{better} serves more worth: {self.b} minus {self.a} is {found}"
        gains = [k for k, i in self.by_kind.items() if i.low > 0]
        losses = [k for k, i in self.by_kind.items() if i.high < 0]
        if gains and losses:
            text += f"; it helps {', '.join(gains)} and hurts {', '.join(losses)}"
        return text

    def summarize(self, seed: int) -> None:
        """Compute means and differences from the pairs run so far; the seed is that of the bootstrap."""
        pairs = list(zip(self.results_a, self.results_b, strict=True))
        if not pairs:
            return
        for name, metric in METRICS.items():
            values = [(metric(a), metric(b)) for a, b in pairs]
            self.means[name] = (
                sum(x for x, _ in values) / len(values),
                sum(y for _, y in values) / len(values),
            )
            self.differences[name] = interval([y - x for x, y in values], seed, LOOK_LEVEL)
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
    max_pairs: int = LOOKS[-1],
    progress: Callable[[int, str], None] = lambda pairs, difference: None,
) -> Comparison:
    """Run pairs until `may_stop` ends the comparison on the basis of their differences in `Result.share`.

    ``until`` is the half-width of the interval at which the difference counts as known; ``max_pairs`` is the
    maximum number of pairs. The same seed gives the same result, bit for bit, for any number of processes, as
    pairs are evaluated in the order of their seeds.
    """
    comparison = Comparison(description.name, a.name, b.name)
    run_pair = partial(_play_pair, description, a, b, trace)
    for first, second in _results_in_seed_order(run_pair, range(seed, seed + max_pairs), processes):
        comparison.failed += [x for x in (first, second) if isinstance(x, FailedRun)]
        if comparison.failed:
            comparison.why = "a run of a side failed"
            break
        comparison.results_a.append(first)
        comparison.results_b.append(second)
        pairs = len(comparison.results_a)
        differences = [
            y.share - x.share for x, y in zip(comparison.results_a, comparison.results_b, strict=True)
        ]
        progress(pairs, f"{sum(differences) / pairs:+.4f}")
        decision = may_stop(differences, until, seed)
        if decision.stops:
            comparison.why = decision.why
            break
    else:
        comparison.why = f"the requested maximum of {max_pairs} pairs is reached"
    comparison.summarize(seed)
    return comparison


def _results_in_seed_order(
    run_pair: Callable[[int], tuple[Any, Any]], seeds: range, processes: int | None
) -> Iterator[tuple[Any, Any]]:
    """Run the pairs in parallel and yield their results in the order of the seeds.

    ``processes`` defaults to the number of cores.
    """
    count = processes or os.cpu_count() or 1
    if count == 1:
        yield from map(run_pair, seeds)
        return
    # Not "fork": the copied process could hold locks whose owning threads do not exist in it.
    context = multiprocessing.get_context("forkserver")
    with ProcessPoolExecutor(count, mp_context=context) as pool:
        done: dict[int, tuple[Any, Any]] = {}
        running: dict[Future[tuple[Any, Any]], int] = {}
        unstarted, unreported = iter(seeds), iter(seeds)
        next_seed = next(unreported, None)
        try:
            while next_seed is not None:
                while len(running) < count and (seed := next(unstarted, None)) is not None:
                    running[pool.submit(run_pair, seed)] = seed
                while next_seed is not None and next_seed in done:
                    yield done.pop(next_seed)
                    next_seed = next(unreported, None)
                if running:
                    for future in wait(running, return_when=FIRST_COMPLETED).done:
                        done[running.pop(future)] = future.result()
        finally:
            for future in running:
                future.cancel()
