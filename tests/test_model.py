"""The model against formulas, against itself, and on the hard cases that it is there to show."""

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
from robinhill.model.compare import Comparison, Failed, Version, compare, play
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


def station(cores: int, slots: int, rate: float, seed: int, count: int = 30_000) -> tuple[float, float]:
    """Mean stay at one worker with Poisson arrivals and exponential work of mean 1, and its standard
    error.
    """
    rng, engine = np.random.default_rng(seed), Engine()
    machine = Machine("m", 1, cores=cores, slots=slots, memory=1e9, queue=10**5)
    worker = Worker("w", 0, 0, machine, 1.0, Fleet((machine,)), engine, Journal())
    stays: list[float] = []
    at = 0.0
    for number in range(count):
        at += rng.exponential(1 / rate)

        def tell(what: str, job: Job, since: float = at) -> None:
            if what == "done":
                stays.append(engine.now / S - since)

        job = Job(str(number), "k", rng.exponential(1.0) * S, 1, 0.0, tell)
        engine.at(int(at * S), worker.take, job)
    engine.run(int((at + 1_000) * S))
    assert len(stays) == count
    batches = np.array(stays).reshape(30, -1).mean(axis=1)  # neighbours are alike: batches are hardly
    return float(np.mean(stays)), float(batches.std(ddof=1) / math.sqrt(30))


def erlang_c(servers: int, load: float) -> float:
    """The chance of waiting in M/M/c."""
    top = load**servers / math.factorial(servers) * servers / (servers - load)
    return top / (sum(load**k / math.factorial(k) for k in range(servers)) + top)


@pytest.mark.parametrize(
    "cores, slots, rate, wanted",
    [
        (1, 1, 0.7, 1 / (1 - 0.7)),  # M/M/1, first come first served
        (4, 4, 3.0, 1 + erlang_c(4, 3.0) / (4 - 3.0)),  # M/M/4
        (1, 10_000, 0.6, 1 / (1 - 0.6)),  # processor sharing: as M/M/1 in the mean
    ],
)
def test_a_worker_keeps_to_the_formulas(cores: int, slots: int, rate: float, wanted: float) -> None:
    mean, error = station(cores, slots, rate, seed=11)
    assert abs(mean - wanted) < 4 * error + 0.01, (mean, wanted, error)


@pytest.mark.parametrize("name", ["clubs", "clubs-all"])
def test_littles_law_holds_and_no_rule_is_broken(name: str) -> None:
    description = sites.site(name)
    result = World(description, draw(description, 3), Side(), 3).play()
    assert result.mean_present == pytest.approx(result.arrival_rate * result.mean_stay_s, rel=1e-6)
    assert not result.broken and 0.5 < result.share <= 1.0


@pytest.mark.parametrize("name", sorted(sites.FAULTS))
def test_every_situation_ends_with_one_answer_for_each_request(name: str) -> None:
    description = replace(
        SMALL, troubles=tuple(replace(t, at_s=t.at_s / 4, for_s=t.for_s / 4) for t in sites.FAULTS[name])
    )
    for side in (Side(), Side(admission=AdmissionOptions(enabled=True))):
        result = World(description, draw(description, 5), side, 5).play()
        assert not [b for b in result.broken if "answer" in b or "sent again" in b or "while at" in b]


@pytest.mark.parametrize("kind", ["drain", "crash", "partition", "errors", "discovery"])
def test_the_other_troubles_play_and_keep_the_rules(kind: Any) -> None:
    trouble = Fault(kind, 4.0, 3.0, part=0.5, size=0.3 if kind == "errors" else 2.0)
    description = replace(SMALL, troubles=(trouble,))
    result = World(description, draw(description, 6), Side(), 6).play()
    assert not result.broken and result.served < result.wanted * 1.0001
    if kind not in ("crash", "errors", "partition"):
        return
    # On one small day the draw of who sends where weighs as much as the trouble: all twelve together.
    rough = [World(description, draw(description, seed), Side(), seed).play() for seed in range(1, 13)]
    calm = [World(SMALL, draw(SMALL, seed), Side(), seed).play() for seed in range(1, 13)]
    share, tries = sum(r.share for r in rough), sum(r.tries for r in rough)
    assert share < sum(r.share for r in calm) or tries > sum(r.tries for r in calm)


def test_the_same_seed_gives_the_same_result_whatever_the_processes() -> None:
    a, b = Version("a"), Version("b", settings={"max_attempts": 1})
    one = compare(SMALL, a, b, seed=5, most=6, processes=1)
    three = compare(SMALL, a, b, seed=5, most=6, processes=3)
    assert report.as_json(one) == report.as_json(three)
    again = play(SMALL, a, 5)
    assert not isinstance(again, Failed) and asdict(again) == asdict(one.results_a[0])


def test_arrivals_workers_and_troubles_are_common_to_both_sides() -> None:
    worlds = [World(SMALL, draw(SMALL, 9), side, 9) for side in (Side(), Side(settings={"probes": False}))]
    first, second = ([(w.name, w.speed) for w in world.workers.values()] for world in worlds)
    assert first == second and worlds[0].trace.asked == worlds[1].trace.asked


def test_equal_sides_show_no_difference_in_95_of_100_comparisons() -> None:
    """Independent noise that both sides draw alike, skewed as served worth is, at all planned looks."""
    rng = np.random.default_rng(17)
    wrong = 0
    for trial in range(100):
        values = list(rng.exponential(0.02, LOOKS[-2]) - rng.exponential(0.02, LOOKS[-2]))
        for look in LOOKS[:-1]:
            if may_stop(values[:look], 0.001, trial).why == "the difference is sure":
                wrong += 1
                break
    assert wrong <= 5


def test_a_known_difference_of_two_points_is_found() -> None:
    rng = np.random.default_rng(18)
    found = 0
    for trial in range(20):
        values = list(0.02 + rng.normal(0, 0.03, LOOKS[-1]))
        looks = [may_stop(values[:look], 0.002, trial) for look in LOOKS]
        found += any(stop.why == "the difference is sure" for stop in looks)
    assert found >= 19


def test_a_against_a_is_exactly_nothing_and_stops_at_the_first_look() -> None:
    same = compare(SMALL, Version("a"), Version("b"), processes=4)
    assert len(same.results_a) == LOOKS[0] and same.differences["served worth"].mean == 0.0
    assert "no difference" in same.verdict


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
        assert isinstance(outcome, Failed) and reason in outcome.why, outcome
    comparison = Comparison("small", "a", "b", failed=[Failed("b", 3, "reason")])
    comparison.summarize(1)
    assert comparison.verdict == "b failed on seed 3: reason" and not comparison.differences


def test_another_revisions_module_plays_over_the_wire_as_the_same_module_here() -> None:
    """The tree itself as another revision: the wire must change nothing, bit for bit."""
    here, there = play(SMALL, Version("here"), 4), play(SMALL, Version("there", root=str(ROOT)), 4)
    assert not isinstance(here, Failed) and not isinstance(there, Failed), there
    assert asdict(here) == asdict(there)


def test_a_module_that_ends_over_the_wire_is_a_failure_with_its_last_words(tmp_path: Path) -> None:
    (tmp_path / "robinhill").mkdir()
    (tmp_path / "robinhill" / "__init__.py").write_text("")
    (tmp_path / "robinhill" / "adapter.py").write_text("raise SystemExit('no module here')")
    outcome = play(SMALL, Version("old", root=str(tmp_path)), 4)
    assert isinstance(outcome, Failed) and "no module here" in outcome.why


def metastable(retries: int) -> Description:
    """Slow work and impatient clients: what is late is asked for again, and again."""
    kind = JobKind("lookup", 1.0, 400, 600, 1_500, 0.3, 1.0)
    return Description(
        "metastable",
        50.0,
        Traffic(36.0, (kind,)),
        Fleet((Machine("std", 5, cores=4, slots=4),), schedulers=2, max_retry_after_s=0.0),
        Clients(retries=retries, back_off_ms=20, back_off_factor=1.0, heed=0.0),
        (Fault("surge", 10, 6, size=3.0),),
    )


def test_retries_without_limit_keep_a_fleet_down_after_the_surge_and_limited_ones_do_not() -> None:
    """The load of the retries outlives the surge that began it; what differs is the clients' limit alone."""
    ends = {}
    for retries in (1, 100):
        description = metastable(retries)
        result = World(description, draw(description, 2), Side(), 2).play()
        ends[retries] = (result.windows[-1], result.tries / result.firsts, sum(result.statuses.values()))
    assert ends[1][0] > 0.9, ends
    assert ends[100][2] > 3 * ends[1][2], ends


def test_a_change_that_helps_one_class_and_hurts_another_is_told_as_that() -> None:
    done = Comparison("x", "a", "b")
    done.differences = {"served worth": interval([0.001, -0.001] * 10, 1)}
    done.by_kind = {"lookup": interval([0.03, 0.04] * 10, 1), "report": interval([-0.05, -0.04] * 10, 1)}
    assert "helps lookup and hurts report" in done.verdict


@pytest.mark.parametrize(
    "text, says",
    [
        ('{"name": 1}', "name"),
        ('{"name": "x", "secs": 1}', "secs"),
        ("{", "truncated"),
        ('{"name":"x","seconds":9,"traffic":{"rate_per_s":1,"kinds":[]},"fleet":{"machines":[]}}', "kinds"),
    ],
)
def test_a_faulty_description_names_its_key(text: str, says: str, tmp_path: Path) -> None:
    path = tmp_path / "d.json"
    path.write_text(text)
    with pytest.raises(DescriptionError, match=says):
        read(path)
    done = CliRunner().invoke(cli, ["model", "run", str(path)], standalone_mode=False)
    assert done.return_value == 2


def test_a_class_that_the_description_does_not_know_is_an_error() -> None:
    other = replace(SMALL, traffic=replace(SMALL.traffic, kinds=(JobKind("other", 1, 1, 1, 1),)))
    with pytest.raises(DescriptionError, match=r"not among traffic\.kinds"):
        World(other, draw(SMALL, 1), Side(), 1)


def test_the_command_writes_table_json_and_a_page_without_network(tmp_path: Path) -> None:
    (tmp_path / "d.json").write_bytes(write(SMALL))
    (tmp_path / "b.json").write_text('{"settings": {"max_attempts": 1}}')
    words = ["model", "compare", "this", str(tmp_path / "b.json"), "--on", str(tmp_path / "d.json")]
    words += ["--until", "20%", "--processes", "2", "--json", str(tmp_path / "r.json")]
    done = CliRunner().invoke(cli, [*words, "--html", str(tmp_path / "r.html")], standalone_mode=False)
    assert done.return_value == 0, done.output
    assert "served worth" in done.output and '"verdict"' in (tmp_path / "r.json").read_text()
    page = (tmp_path / "r.html").read_text()
    assert page.count("data:image/png;base64,") == 3 and "http" not in page.replace("http-equiv", "")
