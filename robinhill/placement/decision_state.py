"""The state that the parts of the decision module share: settings, records, estimates and actions.

The actions are those to be returned for the event that is being handled. This module makes no decisions.
Times are whole microseconds of the caller's clock. "Own" jobs and sends are those of this scheduler.
"""

import random

from robinhill import api
from robinhill.placement import timers
from robinhill.placement.derived_settings import DerivedSettings
from robinhill.placement.estimates import Estimates, JobTimes
from robinhill.placement.records import Attempt, AttemptKey, JobRecord, WorkerRecord

UNKNOWN_JOB_US = 1_000_000.0  # assumed time of a job before any own job has completed
# Time that discovery spends on a poll. The first polls of all schedulers are spread over this time multiplied
# by the number of schedulers, but at most over half the poll interval.
LIST_POLL_US = 50_000
MAX_FLEET_JOBS_WAITING = 3.0  # jobs of all schedulers together that may wait at one worker


class DecisionState:
    """State of one ``Balancer`` that more than one of its parts reads or changes."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        self.settings = settings
        self.derived = DerivedSettings.from_settings(settings, LIST_POLL_US, MAX_FLEET_JOBS_WAITING)
        self.random = random.Random(seed)
        self.workers: dict[str, WorkerRecord] = {}
        self.jobs: dict[int, JobRecord] = {}
        self.attempts: dict[AttemptKey, Attempt] = {}
        self.job_times = JobTimes(len(settings.classes))
        self.estimates = Estimates(settings, self.job_times, UNKNOWN_JOB_US)
        self.actions: list[api.Action] = []
        self.sends = 0  # number of own sends, including those of predecessor processes
        self.list_leased = True  # while the endpoint list has no valid lease, jobs stay in the queue
        # Whether, at the last choice of a worker, fewer own jobs arrived in a slow-start window than there
        # were usable workers.
        self.few_arrivals = False
        # Whether, at the last choice of a worker, fewer own jobs were in flight than there were usable
        # workers.
        self.few_in_flight = False

    def set_attempt_timer(self, wait_us: int, check: timers.AttemptCheck, attempt: Attempt) -> None:
        """Set a timer that performs ``check`` on this attempt after ``wait_us``."""
        self.actions.append(api.SetTimer(wait_us, timers.AttemptTimer(check, *attempt.key).tag))

    def cancel(self, attempt: Attempt) -> None:
        """Request the cancellation of an attempt; an ``AttemptEnded`` event reports its end later."""
        attempt.cancel_requested = True
        self.actions.append(api.Cancel(*attempt.key))
