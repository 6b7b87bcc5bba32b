"""The age-priced rotation: the choice of workers without failures."""

from collections import Counter

from robinhill import api

from .conftest import MS, Node, sent_to


def test_workers_of_equal_speed_get_jobs_in_round_robin_order() -> None:
    node = Node(5)
    picks = []
    for _ in range(25):
        picks.append(sent_to(node.submit(10 * MS)))
        node.end_attempt(node.jobs, after_us=10 * MS)
    assert len(set(picks[:5])) == 5
    assert picks[:5] * 5 == picks


def test_fast_worker_gets_more_jobs_without_starving_others() -> None:
    node = Node(3)
    picks: Counter[str] = Counter()
    for i in range(600):
        address = sent_to(node.submit(10 * MS))
        if i >= 100:
            picks[address] += 1
        node.end_attempt(node.jobs, took_us=30 * MS if address == "w0" else 90 * MS, after_us=5 * MS)
    # w0 is three times as fast as the others, and the job time enters the age weight twice: in ln(q), and as
    # a divisor of it.
    assert 3.0 < picks["w0"] / picks["w1"] < 10
    assert picks["w1"] > 30 and picks["w2"] > 30


def test_age_weight_with_few_jobs_in_flight_is_not_divided_by_job_time() -> None:
    """Guards against load that oscillates between kinds of machine.

    With the weights divided by job time, kinds that differed by half got loads that differed by more than a
    factor of 2.
    """
    workers = [api.Worker(f"w{i}", kind=i % 2) for i in range(60)]
    node = Node(workers, fleet_size=200, reports_start=True)
    for _ in range(300):
        address = sent_to(node.submit(200 * MS))
        node.handle(api.JobStarted(node.jobs, 0), MS)
        node.end_attempt(node.jobs, took_us=(300 if int(address[1:]) % 2 else 900) * MS, after_us=5 * MS)
    assert node.balancer.state.few_in_flight
    fast, slow = (
        [w for w in node.balancer.workers.values() if w.entry.kind == kind and w.own_time.count > 1]
        for kind in (1, 0)
    )
    ratio = max(w.age_weight for w in fast) / min(w.age_weight for w in slow)
    assert fast and slow
    assert 1.0 < ratio <= 3.0


def test_initial_order_of_workers_depends_on_the_seed() -> None:
    orders = {
        tuple(sent_to(node.submit(MS)) for _ in range(4)) for node in (Node(4, seed=i) for i in range(6))
    }
    assert len(orders) > 1


def test_worker_without_completions_uses_the_endpoint_list_weight_as_prior() -> None:
    node = Node([api.Worker("a", weight=1.0), api.Worker("b", weight=4.0), api.Worker("c", weight=1.0)])
    for _ in range(3):
        address = sent_to(node.submit(10 * MS))
        if address == "a":
            node.end_attempt(node.jobs)
    workers = node.balancer.workers
    assert workers["b"].age_weight < workers["a"].age_weight == workers["c"].age_weight
