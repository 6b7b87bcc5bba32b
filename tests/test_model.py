"""The simulation: queueing formulas, reproducibility, comparisons, faults and its command-line interface."""

import math
from dataclasses import asdict
from pathlib import Path
from typing import Any

import numpy as np
import pytest
from click.testing import CliRunner
from msgspec.structs import replace

from robinhill import api
from robinhill.admission.options import AdmissionOptions
from robinhill.checker.journal import Journal
from robinhill.commands import cli
from robinhill.logic import Balancer
from robinhill.model import report, sites
from robinhill.model.compare import Comparison, FailedRun, Version, compare, play
from robinhill.model.describe import (
    Clients,
    Description,
    DescriptionError,
    Fault,
    Fleet,
    JobKind,
    Machine,
    Traffic,
    read,
    write,
)
from robinhill.model.engine import Engine
from robinhill.model.statistics import LOOKS, interval, may_stop
from robinhill.model.trace import draw
from robinhill.model.workers import Job, Worker
from robinhill.model.world import Side, World

S = 1_000_000
ROOT = Path(__file__).parent.parent
SMALL = replace(
    sites.CLUBS,
    name="small",
    seconds=14.0,
    warm_s=2.0,
    traffic=replace(sites.CLUBS.traffic, rate_per_s=10.0, tenants=4),
    fleet=replace(sites.CLUBS.fleet, machines=(Machine("std", 4, cores=4, slots=4),)),
)


def mean_response_time(
    cores: int, slots: int, rate: float, seed: int, count: int = 30_000
) -> tuple[float, float]:
    """Return the mean response time of one worker and its standard error, in seconds. Arrivals are Poisson,
    work is exponential with mean 1 s.
    """
    rng, engine = np.random.default_rng(seed), Engine()
    machine = Machine("m", 1, cores=cores, slots=slots, memory=1e9, queue=10**5)
    worker = Worker("w", 0, 0, machine, 1.0, Fleet((machine,)), engine, Journal())
    times: list[float] = []
    at = 0.0
    for number in range(count):
        at += rng.exponential(1 / rate)

        def report(state: str, job: Job, arrived: float = at) -> None:
            if state == "done":
                times.append(engine.now / S - arrived)

        job = Job(str(number), "k", rng.exponential(1.0) * S, 1, 0.0, report)
        engine.at(int(at * S), worker.take, job)
    engine.run(int((at + 1_000) * S))
    assert len(times) == count
    # Successive response times are correlated, so the error is estimated by batch means.
    batches = np.array(times).reshape(30, -1).mean(axis=1)
    return float(np.mean(times)), float(batches.std(ddof=1) / math.sqrt(30))


def erlang_c(servers: int, load: float) -> float:
    """Return the probability that a job has to wait in an M/M/c queue."""
    top = load**servers / math.factorial(servers) * servers / (servers - load)
    return top / (sum(load**k / math.factorial(k) for k in range(servers)) + top)


@pytest.mark.parametrize(
    "cores, slots, rate, expected",
    [
        (1, 1, 0.7, 1 / (1 - 0.7)),  # M/M/1 with a FIFO queue
        (4, 4, 3.0, 1 + erlang_c(4, 3.0) / (4 - 3.0)),  # M/M/4 with a FIFO queue
        (1, 10_000, 0.6, 1 / (1 - 0.6)),  # M/M/1 with processor sharing has the same mean as with FIFO
    ],
)
def test_worker_mean_response_time_matches_formulas(
    cores: int, slots: int, rate: float, expected: float
) -> None:
    mean, error = mean_response_time(cores, slots, rate, seed=11)
    assert abs(mean - expected) < 4 * error + 0.01, (mean, expected, error)


@pytest.mark.parametrize("name", ["clubs", "clubs-all"])
def test_run_satisfies_littles_law_and_the_checkers_rules(name: str) -> None:
    description = sites.site(name)
    result = World(description, draw(description, 3), Side(), 3).play()
    assert result.mean_present == pytest.approx(result.arrival_rate * result.mean_stay_s, rel=1e-6)
    assert not result.broken and 0.5 < result.share <= 1.0


@pytest.mark.parametrize("name", sorted(sites.FAULTS))
def test_each_request_gets_one_answer_under_each_shipped_fault(name: str) -> None:
    description = replace(
        SMALL, troubles=tuple(replace(t, at_s=t.at_s / 4, for_s=t.for_s / 4) for t in sites.FAULTS[name])
    )
    for side in (Side(), Side(admission=AdmissionOptions(enabled=True))):
        result = World(description, draw(description, 5), side, 5).play()
        assert not [b for b in result.broken if "answer" in b or "sent again" in b or "while at" in b]


@pytest.mark.parametrize("kind", ["drain", "crash", "partition", "errors", "discovery"])
def test_faults_outside_shipped_situations_have_an_effect_and_keep_the_rules(kind: Any) -> None:
    fault = Fault(kind, 4.0, 3.0, part=0.5, size=0.3 if kind == "errors" else 2.0)
    description = replace(SMALL, troubles=(fault,))
    result = World(description, draw(description, 6), Side(), 6).play()
    assert not result.broken and result.served < result.wanted * 1.0001
    if kind not in ("crash", "errors", "partition"):
        return
    # In one small run the random choices of workers matter as much as the fault, so 12 runs are summed.
    with_fault = [World(description, draw(description, seed), Side(), seed).play() for seed in range(1, 13)]
    without = [World(SMALL, draw(SMALL, seed), Side(), seed).play() for seed in range(1, 13)]
    share, tries = sum(r.share for r in with_fault), sum(r.tries for r in with_fault)
    assert share < sum(r.share for r in without) or tries > sum(r.tries for r in without)


def test_same_seed_gives_the_same_result_for_any_number_of_processes() -> None:
    a, b = Version("a"), Version("b", settings={"max_attempts": 1})
    serial = compare(SMALL, a, b, seed=5, max_pairs=6, processes=1)
    parallel = compare(SMALL, a, b, seed=5, max_pairs=6, processes=3)
    assert report.as_json(serial) == report.as_json(parallel)
    repeated = play(SMALL, a, 5)
    assert not isinstance(repeated, FailedRun) and asdict(repeated) == asdict(serial.results_a[0])


def test_both_sides_get_the_same_arrivals_and_workers() -> None:
    worlds = [World(SMALL, draw(SMALL, 9), side, 9) for side in (Side(), Side(settings={"probes": False}))]
    first, second = ([(w.name, w.speed) for w in world.workers.values()] for world in worlds)
    assert first == second and worlds[0].trace.requests == worlds[1].trace.requests


def test_at_most_5_of_100_comparisons_of_equal_sides_report_a_difference() -> None:
    """Both sides draw independent values from one distribution, skewed like that of served worth. The rule is
    evaluated at all planned looks but the last.
    """
    rng = np.random.default_rng(17)
    false_positives = 0
    for trial in range(100):
        values = list(rng.exponential(0.02, LOOKS[-2]) - rng.exponential(0.02, LOOKS[-2]))
        for look in LOOKS[:-1]:
            if may_stop(values[:look], 0.001, trial).why == "the difference is significant":
                false_positives += 1
                break
    assert false_positives <= 5


def test_difference_of_two_percentage_points_is_detected() -> None:
    rng = np.random.default_rng(18)
    detected = 0
    for trial in range(20):
        values = list(0.02 + rng.normal(0, 0.03, LOOKS[-1]))
        decisions = [may_stop(values[:look], 0.002, trial) for look in LOOKS]
        detected += any(decision.why == "the difference is significant" for decision in decisions)
    assert detected >= 19


def test_comparison_of_equal_sides_stops_at_the_first_look_without_a_difference() -> None:
    comparison = compare(SMALL, Version("a"), Version("b"), processes=4)
    assert len(comparison.results_a) == LOOKS[0] and comparison.differences["served worth"].mean == 0.0
    assert "no difference" in comparison.verdict


def test_a_failed_side_is_reported_and_no_differences_are_computed() -> None:
    class Crashing(Balancer):
        def handle(self, now: int, event: api.Event) -> list[api.Action]:
            if self.state.sends > 40:
                raise RuntimeError("injected crash")
            return super().handle(now, event)

    class DuplicateSending(Balancer):
        """Sends a job twice at once whenever the number of its sends is a multiple of 50."""

        def handle(self, now: int, event: api.Event) -> list[api.Action]:
            actions = super().handle(now, event)
            return actions + [a for a in actions if isinstance(a, api.Send) and self.state.sends % 50 == 0]

    class FailingVersion(Version, frozen=True):
        def side(self) -> Side:
            side = super().side()
            side.module = Crashing if self.name == "crash" else DuplicateSending
            return side

    for name, reason in (("crash", "injected crash"), ("rules", "violated the checker's rules")):
        outcome = play(SMALL, FailingVersion(name), 2)
        assert isinstance(outcome, FailedRun) and reason in outcome.why, outcome
    comparison = Comparison("small", "a", "b", failed=[FailedRun("b", 3, "reason")])
    comparison.summarize(1)
    assert comparison.verdict == "b failed on seed 3: reason" and not comparison.differences


def test_module_in_another_process_gives_the_same_result_as_in_this_one() -> None:
    """The other revision is this source tree itself, so any loss in the protocol would change the result."""
    local, remote = play(SMALL, Version("here"), 4), play(SMALL, Version("there", root=str(ROOT)), 4)
    assert not isinstance(local, FailedRun) and not isinstance(remote, FailedRun), remote
    assert asdict(local) == asdict(remote)


def test_exit_of_the_other_modules_process_is_a_failure_with_its_last_error_line(tmp_path: Path) -> None:
    (tmp_path / "robinhill").mkdir()
    (tmp_path / "robinhill" / "__init__.py").write_text("")
    (tmp_path / "robinhill" / "adapter.py").write_text("raise SystemExit('no module here')")
    outcome = play(SMALL, Version("old", root=str(tmp_path)), 4)
    assert isinstance(outcome, FailedRun) and "no module here" in outcome.why


def metastable(retries: int) -> Description:
    """A fleet prone to metastable failure: jobs are slow, and clients retry late ones after 10 to 30 ms."""
    kind = JobKind("lookup", 1.0, 400, 600, 1_500, 0.3, 1.0)
    return Description(
        "metastable",
        50.0,
        Traffic(36.0, (kind,)),
        Fleet((Machine("std", 5, cores=4, slots=4),), schedulers=2, max_retry_after_s=0.0),
        Clients(retries=retries, back_off_ms=20, back_off_factor=1.0, heed=0.0),
        (Fault("surge", 10, 6, size=3.0),),
    )


def test_unlimited_retries_prolong_an_overload_and_limited_ones_do_not() -> None:
    """With unlimited retries, their load continues after the surge that caused it; with a limit the fleet
    recovers.
    """
    ends = {}
    for retries in (1, 100):
        description = metastable(retries)
        result = World(description, draw(description, 2), Side(), 2).play()
        ends[retries] = (result.windows[-1], result.tries / result.firsts, sum(result.statuses.values()))
    assert ends[1][0] > 0.9, ends
    assert ends[100][2] > 3 * ends[1][2], ends


def test_verdict_names_the_classes_that_gain_and_lose() -> None:
    comparison = Comparison("x", "a", "b")
    comparison.differences = {"served worth": interval([0.001, -0.001] * 10, 1)}
    comparison.by_kind = {
        "lookup": interval([0.03, 0.04] * 10, 1),
        "report": interval([-0.05, -0.04] * 10, 1),
    }
    assert "helps lookup and hurts report" in comparison.verdict


@pytest.mark.parametrize(
    "text, message",
    [
        ('{"name": 1}', "name"),
        ('{"name": "x", "secs": 1}', "secs"),
        ("{", "truncated"),
        ('{"name":"x","seconds":9,"traffic":{"rate_per_s":1,"kinds":[]},"fleet":{"machines":[]}}', "kinds"),
    ],
)
def test_error_of_a_faulty_description_names_the_key(text: str, message: str, tmp_path: Path) -> None:
    path = tmp_path / "d.json"
    path.write_text(text)
    with pytest.raises(DescriptionError, match=message):
        read(path)
    result = CliRunner().invoke(cli, ["model", "run", str(path)], standalone_mode=False)
    assert result.return_value == 2


def test_trace_with_a_class_outside_the_description_is_an_error() -> None:
    other = replace(SMALL, traffic=replace(SMALL.traffic, kinds=(JobKind("other", 1, 1, 1, 1),)))
    with pytest.raises(DescriptionError, match=r"not among traffic\.kinds"):
        World(other, draw(SMALL, 1), Side(), 1)


def test_cli_compare_writes_table_json_and_self_contained_html(tmp_path: Path) -> None:
    (tmp_path / "d.json").write_bytes(write(SMALL))
    (tmp_path / "b.json").write_text('{"settings": {"max_attempts": 1}}')
    arguments = ["model", "compare", "this", str(tmp_path / "b.json"), "--on", str(tmp_path / "d.json")]
    arguments += ["--until", "20%", "--processes", "2", "--json", str(tmp_path / "r.json")]
    result = CliRunner().invoke(cli, [*arguments, "--html", str(tmp_path / "r.html")], standalone_mode=False)
    assert result.return_value == 0, result.output
    assert "served worth" in result.output and '"verdict"' in (tmp_path / "r.json").read_text()
    page = (tmp_path / "r.html").read_text()
    assert page.count("data:image/png;base64,") == 3 and "http" not in page.replace("http-equiv", "")
