"""Export and import of the decision module's state: a successor decides as its predecessor would."""

import json
from typing import Any

from robinhill import api
from robinhill.placement import exported_state

from .conftest import MS, Node, of_type, sent_to


def successor(old: Node, **changes: Any) -> Node:
    """A node that has imported the state of ``old`` through JSON."""
    new = Node(len(old.balancer.workers), seed=8, **changes)
    new.now = old.now
    exported_state.import_state(
        new.balancer, json.loads(json.dumps(exported_state.export_state(old.balancer)))
    )
    return new


def test_successor_keeps_the_rotation_and_the_job_times() -> None:
    old = Node(3)
    for _ in range(30):
        worker = sent_to(old.submit(after_us=10 * MS))
        old.end_attempt(old.jobs, took_us=400 * MS if worker == "w0" else 40 * MS, after_us=5 * MS)
    new = successor(old)
    new.jobs = old.jobs
    for _ in range(6):
        assert sent_to(new.submit(after_us=10 * MS)) == sent_to(old.submit(after_us=10 * MS))
        for node in (new, old):
            node.end_attempt(node.jobs, after_us=5 * MS)


def test_successor_recomputes_age_weights_of_another_version() -> None:
    """If weights of two versions were mixed, the workers weighted by one of them would get all jobs."""
    old = Node(3)
    for _ in range(400):
        old.submit(after_us=100 * MS)
        old.end_attempt(old.jobs, took_us=50 * MS, after_us=5 * MS)
    weights = [worker.age_weight for worker in old.balancer.workers.values()]
    for worker in old.balancer.workers.values():
        worker.age_weight *= 1e6
    new = successor(old)
    new.submit(after_us=100 * MS)
    for worker, weight in zip(new.balancer.workers.values(), weights, strict=True):
        assert 0.5 < worker.age_weight / weight < 2.0


def test_successor_keeps_a_worker_ejected() -> None:
    old = Node(3)
    worker = sent_to(old.submit(after_us=10 * MS))
    old.end_attempt(old.jobs, api.Outcome.CONNECT_FAILED, 1 * MS)
    assert worker in old.balancer.avoided_workers(old.now)
    assert successor(old).balancer.avoided_workers(old.now) == {worker}


def test_exported_job_ends_in_the_successor_and_frees_its_capacity() -> None:
    """If both processes counted the jobs in flight, no capacity would be left after an upgrade."""
    changes: dict[str, Any] = {"reports_start": True}
    old = Node(1, **changes)
    for _ in range(3):  # each job that starts without a wait raises the concurrency limit by one
        old.submit(after_us=10 * MS)
        old.handle(api.JobStarted(old.jobs, 0), after_us=5 * MS)
    new = successor(old, **changes)
    for job in range(1, 4):
        exported = json.loads(json.dumps(exported_state.export_job(old.balancer, job)))
        assert not exported_state.import_job(new.balancer, new.now, exported)
    assert not old.balancer.attempts and not old.balancer.jobs and not old.balancer.workers["w0"].in_flight
    new.jobs = 3
    assert sent_to(new.submit()) == "w0"
    new.handle(api.JobStarted(4, 0), after_us=5 * MS)
    retries = of_type(new.handle(api.AttemptEnded(1, 0, api.Outcome.ERROR, 50 * MS, False)), api.Send)
    assert [send.job for send in retries] == [1]  # the job is safe to repeat, so it gets a second attempt


def test_queued_job_is_placed_by_the_successor() -> None:
    old = Node(1, reports_start=True)
    old.submit()  # this job has not started, so the worker has no capacity left
    assert not of_type(old.submit(), api.Send)
    new = successor(Node(2, reports_start=True), reports_start=True)
    exported = exported_state.export_job(old.balancer, 2)
    assert exported and sent_to(exported_state.import_job(new.balancer, new.now, exported)) in ("w0", "w1")
    assert exported_state.export_job(old.balancer, 2) is None


def test_exported_keys_match_older_versions() -> None:
    """A value exported under a new key would be lost silently at an upgrade."""
    node = Node(1, reports_start=True)
    node.submit()
    state = exported_state.export_state(node.balancer)
    assert set(state) == {"own", "unit", "kinds", "zones", "quick", "served", "seats"}
    own = (
        "sends rate_us began_us rate priced_rate mean_us class_us usual_us hint_us full_us given_up budget "
        "shed worth asked_us free_us spare"
    )
    assert set(state["own"]) == set(own.split())
    seat = state["seats"]["w0"]
    assert set(seat) == {"values", "own", "full", "out"}
    values = (
        "rank last time_us lnq cold_us shut_us limit base_us quick unit errors failed faults wanted heard_us "
        "done_us doubt_us asked_us unanswered rest_us back_us credit credit_us idle_us"
    )
    assert set(seat["values"]) == set(values.split())
    job = exported_state.export_job(node.balancer, 1)
    assert job and set(job) == {"request", "values", "flights"}
    values = "until_us end_us aim_us tries pending ran group group_until_us order late_us"
    assert set(job["values"]) == set(values.split())
    (flight,) = job["flights"]
    assert set(flight) == {"address", "attempt", "waiting", "values"}
    assert set(flight["values"]) == {"sent_us", "others", "group", "dropped", "heard_us"}
