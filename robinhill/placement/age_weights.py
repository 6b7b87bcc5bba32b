"""Weights of the age-priced rotation, which chooses the worker with the lowest cost for each job.

The cost of a worker is its age times its age weight. The age is the number of own sends since the last own
send to that worker. The age weight is ln(q), where q is the probability that the last own job sent to the
worker still runs when the next own job arrives. If at least as many own jobs are in flight as there are
usable workers, the weight is ln(q) divided by the worker's expected job time. Weights change slowly, and
recomputing them for each job would take most of the time of a decision, so they are cached.

"Own" jobs and sends are those of this scheduler. A bound class is a job class that is restricted to workers
of some machine types or zones; the jobs of all other classes are unbound work.
"""

from math import log1p

from robinhill.placement.decision_state import DecisionState
from robinhill.placement.estimates import US_PER_S
from robinhill.placement.records import WorkerRecord

# All weights are recomputed if the rate of own jobs has changed by more than this share since their last
# recomputation.
RATE_CHANGE_SHARE = 1 / 5
SENDS_PER_UPDATE = 8  # own sends between updates of the cost factors of zones and of unbound work
CONNECTION_COST_EXPONENT = 8
ZONE_COST_EXPONENT = 8
# A scheduler to which few jobs arrive learns only after a delay that a zone is full. With a higher exponent,
# all schedulers would then move their jobs to the next zone at the same time.
ZONE_COST_EXPONENT_FEW_ARRIVALS = 2


class AgeWeights:
    """Computes the age weights of workers and the cost factors of zones and of unbound work."""

    def __init__(self, state: DecisionState) -> None:
        self.state = state
        self.weighted_rate = 0.0  # own jobs a second at the last recomputation of all weights
        self.unbound_factor = 1.0  # cost factor of unbound work at workers that serve bound classes
        self._has_bound_classes = any(klass.restricted for klass in state.settings.classes)

    def update_for_choice(self, now: int) -> None:
        """Recompute the weights and factors that are out of date. Called before each choice of a worker."""
        state, estimates = self.state, self.state.estimates
        state.few_arrivals = estimates.fewer_arrivals_than_workers(now)
        were_few = state.few_in_flight
        state.few_in_flight = estimates.fewer_jobs_in_flight_than_workers(now)
        rate_changed = abs(estimates.rate - self.weighted_rate) > self.weighted_rate * RATE_CHANGE_SHARE
        if rate_changed or state.few_in_flight != were_few:
            self.weighted_rate = estimates.rate
            for worker in state.workers.values():
                self.update_worker(worker)
        if not state.sends % SENDS_PER_UPDATE:
            self.update_factors()

    def update_worker(self, worker: WorkerRecord) -> None:
        """Recompute the age weight of one worker from its expected job time and the rate of own jobs."""
        estimates = self.state.estimates
        estimates.update_times(worker)
        worker.age_weight = -log1p(US_PER_S / (worker.job_time_us * estimates.rate))
        if not self.state.few_in_flight:
            # A slow worker uses up more of a job's latency objective. The division therefore gives it less
            # load than its share of the total speed. With few jobs in flight, the division would make the
            # load oscillate between the kinds of machine.
            worker.age_weight /= worker.job_time_us

    def update_factors(self) -> None:
        """Recompute the cost factors of zones and of unbound work."""
        self._update_zones()
        self._update_unbound()

    def _update_zones(self) -> None:
        # The cost factor of a zone follows from the waits of own jobs, which are longer in a zone that is
        # full or distant. The prices of crossing zones and of handshakes are converted to waiting time, at
        # ``unit_us`` microseconds for a price of 1.
        state, zones = self.state, self.state.estimates.zones
        settings, tick_us = state.settings, state.derived.tick_us
        price = settings.cross_zone_price * (len(zones) > 1)
        unit_us = 4 * tick_us + state.job_times.mean_us
        waits = state.estimates.zone_waits(tick_us, price * unit_us)
        handshake_us = settings.handshake_price * unit_us
        exponent = ZONE_COST_EXPONENT_FEW_ARRIVALS if state.few_arrivals else ZONE_COST_EXPONENT
        for wait, zone in zip(waits, zones.values(), strict=True):
            zone.cost_factor = (min(waits) / wait) ** exponent if price else 1.0
            connected_share = wait / (wait + handshake_us)
            zone.new_connection_factor = zone.cost_factor * connected_share**CONNECTION_COST_EXPONENT

    def _update_unbound(self) -> None:
        """Compute the cost factor that moves unbound work away from workers that serve bound classes.

        The aim is that these workers have the same load as the others, relative to their speed.
        """
        if not self._has_bound_classes:
            return
        estimates = self.state.estimates
        bound_share = estimates.bound_speed_share(self.state.workers.values())
        if not 0 < bound_share < 1:
            self.unbound_factor = 1.0
            return
        unbound_share = max(0.0, 1 - (1 - bound_share) * estimates.requested_us / estimates.unbound_us)
        self.unbound_factor = unbound_share * (1 - bound_share) / (bound_share * (1 - unbound_share))
