"""Weights of the age-priced rotation: what each own send since the last one to a worker adds to its cost.

The cost of a worker is ln(q) times its age, the number of own sends since it last got one; q is the chance
that its last own job still runs when the next job arrives. Weights change slowly: recomputing them for each
job would dominate the cost of a decision.
"""

from math import log1p

from robinhill.placement.decision_state import DecisionState
from robinhill.placement.estimates import US_PER_S
from robinhill.placement.records import WorkerRecord

RATE_CHANGE_SHARE = 1 / 5  # of the rate, after which all workers are weighted anew
SENDS_PER_UPDATE = 8  # own sends between updates of the factors of zones and unbound work
CONNECTION_COST_POWER = 8
ZONE_POWER = 8
ZONE_POWER_FEW_ARRIVALS = 2  # sharper, schedulers that learn late would all leave a full zone for the next


class AgeWeights:
    """Computes the weights of workers and the factors of zones and of unbound work."""

    def __init__(self, state: DecisionState) -> None:
        self.state = state
        self.weighted_rate = 0.0  # rate of own jobs for which all workers were last weighted
        self.unbound_factor = 1.0  # cost factor of unbound work at workers that serve bound classes
        self._has_bound_classes = any(klass.bound for klass in state.settings.classes)

    def update_for_choice(self, now: int) -> None:
        """Update what is due before a worker is chosen."""
        state, estimates = self.state, self.state.estimates
        state.few_arrivals = estimates.fewer_jobs_than_workers(now)
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
        """Weight one worker by its expected job time and the rate of own jobs."""
        estimates = self.state.estimates
        estimates.update_times(worker)
        worker.age_weight = -log1p(US_PER_S / (worker.job_time_us * estimates.rate))
        if not self.state.few_in_flight:
            # Slow workers leave less of the latency objective. With few jobs this would swing between kinds.
            worker.age_weight /= worker.job_time_us

    def update_factors(self) -> None:
        """Update the factors of zones and of unbound work."""
        self._update_zones()
        self._update_unbound()

    def _update_zones(self) -> None:
        # Own jobs wait longer in a zone that is full or far; a price counts like so much waiting.
        state, zones = self.state, self.state.estimates.zones
        settings, tick_us = state.settings, state.derived.tick_us
        price = settings.cross_zone_price * (len(zones) > 1)
        unit_us = 4 * tick_us + state.job_times.mean_us
        waits = state.estimates.zone_waits(tick_us, price * unit_us)
        handshake_us = settings.handshake_price * unit_us
        power = ZONE_POWER_FEW_ARRIVALS if state.few_arrivals else ZONE_POWER
        for wait, zone in zip(waits, zones.values(), strict=True):
            zone.cost_factor = (min(waits) / wait) ** power if price else 1.0
            connected_share = wait / (wait + handshake_us)
            zone.new_connection_factor = zone.cost_factor * connected_share**CONNECTION_COST_POWER

    def _update_unbound(self) -> None:
        """Leave workers of bound classes to these, as far as that loads all workers alike."""
        if not self._has_bound_classes:
            return
        estimates = self.state.estimates
        bound_share = estimates.bound_speed_share(self.state.workers.values())
        if not 0 < bound_share < 1:
            self.unbound_factor = 1.0
            return
        unbound_share = max(0.0, 1 - (1 - bound_share) * estimates.requested_us / estimates.unbound_us)
        self.unbound_factor = unbound_share * (1 - bound_share) / (bound_share * (1 - unbound_share))
