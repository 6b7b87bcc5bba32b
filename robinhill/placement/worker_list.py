"""The endpoint list in the decision module: the records of listed workers, and the times of polls.

This module creates and removes the records of workers, and updates the attributes that come from the list.
"""

from math import inf

from robinhill import api
from robinhill.placement import timers
from robinhill.placement.age_weights import AgeWeights
from robinhill.placement.decision_state import UNKNOWN_JOB_US, DecisionState
from robinhill.placement.records import WorkerRecord
from robinhill.placement.slow_start import SlowStart

MAX_POLL_BACKOFF_DOUBLINGS = 6


class WorkerList:
    """Applies the endpoint list to the records of workers, and schedules polls for it."""

    def __init__(self, state: DecisionState, weights: AgeWeights, slow_start: SlowStart) -> None:
        self.state = state
        self.weights = weights
        self.slow_start = slow_start
        self._subscribed = False
        self._failed_polls = 0  # number of consecutive failed polls

    def schedule_first_poll(self) -> None:
        """Set a timer for the first poll, if the settings require a subscription.

        The delay is random: schedulers that start at the same time would overload discovery if they also
        polled at the same time.
        """
        state = self.state
        wait_us = int(state.random.random() * state.derived.list_spread_us)
        if state.settings.must_subscribe:
            state.actions.append(api.SetTimer(wait_us, timers.LIST_POLL))

    def poll(self) -> None:
        """Subscribe to the endpoint list unless this scheduler is subscribed already."""
        if not self._subscribed:
            self.state.actions.append(api.Subscribe())

    def schedule_retry(self) -> None:
        """Set a timer for the next poll, with exponential backoff of at most half the poll interval.

        The other half of the interval is left for the poll itself, so that this scheduler receives a change
        of the list before discovery assumes that every scheduler has received it.
        """
        state = self.state
        spread_us = state.derived.list_spread_us << min(self._failed_polls, MAX_POLL_BACKOFF_DOUBLINGS)
        wait_us = min(state.settings.poll_interval_us // 2, spread_us)
        self._subscribed, self._failed_polls = False, self._failed_polls + 1
        wait_us = int(wait_us * (0.5 + state.random.random() / 2))
        state.actions.append(api.SetTimer(wait_us, timers.LIST_POLL))

    def apply(self, now: int, event: api.WorkersListed) -> None:
        """Update the records of workers from a full list, a cached list or changes to the list."""
        state = self.state
        self._subscribed = self._subscribed or event.kind is not api.ListKind.CACHED
        self._failed_polls = 0
        listed = {entry.address for entry in event.workers}
        for entry in event.workers:
            self._update_worker(now, entry, len(listed))
        self.weights.update_factors()
        for address, worker in list(state.workers.items()):
            unlisted = event.kind is not api.ListKind.CHANGES and address not in listed
            if unlisted or worker.entry.state is api.WorkerState.REMOVED:
                self.stop_using(state.workers.pop(address))
        state.estimates.update_usable_workers(state.workers.values())

    def _update_worker(self, now: int, entry: api.Worker, listed: int) -> None:
        state = self.state
        worker = state.workers.get(entry.address)
        if worker and (worker.entry.kind, worker.entry.zone) != (entry.kind, entry.zone):
            self.stop_using(worker)  # another machine now has this address
            worker = None
        restarted = worker is None or entry.started_us > worker.entry.started_us
        if worker is None:
            zone = state.estimates.zone(entry.zone)
            worker = WorkerRecord(entry, state.random.random(), zone, UNKNOWN_JOB_US)
            state.workers[entry.address] = worker
        worker.entry = entry
        turn = max(listed, len(state.workers))
        if restarted:
            self.slow_start.begin(now, worker, turn)
        if entry.state is not api.WorkerState.READY:
            self.stop_using(worker)
        elif worker.ejected_until_us == inf:
            worker.readmit(now)
            worker.last_send = state.sends - 1 - int(worker.tie_breaker * turn)
        elif restarted:
            worker.ejected_until_us = 0
        worker.serves_bound_classes = any(
            klass.restricted and klass.allows_worker(entry) for klass in state.settings.classes
        )
        self.weights.update_worker(worker)

    def stop_using(self, worker: WorkerRecord) -> None:
        """Stop sending to a worker that is draining or was removed.

        Its idle connections are closed if the settings limit the time for which they may stay open.
        """
        worker.ejected_until_us = inf
        if worker.connection_used_us and self.state.settings.close_within_us is not None:
            worker.connection_used_us = 0
            self.state.actions.append(api.CloseIdle(worker.entry.address))

    def on_connection_idle(self, now: int, worker: WorkerRecord) -> None:
        """Record that an attempt has left a connection to the worker idle.

        If the worker is draining or was removed, its idle connections are closed as in `stop_using`.
        """
        listed = self.state.workers.get(worker.entry.address, worker)
        listed.connection_used_us = now
        if listed.ejected_until_us == inf:
            self.stop_using(listed)
