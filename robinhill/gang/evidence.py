"""Evidence that a worker is slow, as members of several gangs lag at it; each scheduler reports its own."""

from collections import OrderedDict, deque
from itertools import islice
from statistics import median

from robinhill.gang.messages import Evidence

EVIDENCE_KIND = "slow"
WINDOW_US = 600_000_000  # observations older than ten minutes are ignored
# One gang may lag by chance, with a long job; that two gangs lag by chance at the same worker is unlikely.
MIN_GANGS = 2
# At least this share of a worker's recent observations must be lags, so that wrong cost hints of some jobs
# don't count against the worker.
MIN_LAGGING_SHARE = 0.5
MAX_OBSERVATIONS_PER_WORKER = 32
MAX_WORKERS = 4_096  # beyond this number, the least recently observed worker is removed
MAX_AVOIDED_WORKERS = 64  # to avoid more would exclude most of a small fleet
RENEWAL_INTERVAL_US = 60_000_000  # evidence on the same worker is reported at most once in this time


class SlownessLedger:
    """Records for each worker which members lagged there; bounded in workers and in entries for each."""

    def __init__(self, observer: str) -> None:
        self.observer = observer
        # For each worker: time, gang, member index and slowdown against the member's peers (0: not slower).
        self._observations: OrderedDict[str, deque[tuple[int, str, int, float]]] = OrderedDict()
        self._reported_us: dict[str, int] = {}

    def record(self, now_us: int, worker: str, gang: str, index: int, slowdown: float) -> None:
        """Record one member's run at a worker; called once for each run.

        ``slowdown``: how many times slower than its peers the member was; 0 if it did not lag.
        """
        entries = self._observations.setdefault(worker, deque(maxlen=MAX_OBSERVATIONS_PER_WORKER))
        self._observations.move_to_end(worker)
        entries.append((now_us, gang, index, slowdown))
        if len(self._observations) > MAX_WORKERS:
            forgotten, _ = self._observations.popitem(last=False)
            self._reported_us.pop(forgotten, None)

    def retract(self, worker: str, gang: str, index: int) -> None:
        """Remove a member's observation at a worker: the member lagged elsewhere too, so its job is long."""
        if entries := self._observations.get(worker):
            kept = [x for x in entries if (x[1], x[2]) != (gang, index)]
            entries.clear()
            entries.extend(kept)

    def _recent_lags(self, now_us: int, worker: str) -> list[tuple[int, str, int, float]]:
        """The lags observed at a worker within WINDOW_US; empty if they are below MIN_LAGGING_SHARE of the
        observations in that time."""
        entries = [x for x in self._observations.get(worker, ()) if x[0] > now_us - WINDOW_US]
        lagged = [x for x in entries if x[3]]
        return lagged if len(lagged) >= MIN_LAGGING_SHARE * len(entries) else []

    def slow_workers(self, now_us: int) -> tuple[str, ...]:
        """Workers at which members lagged, even if only those of one gang: that is too little to report as
        evidence, but enough to prefer other workers.

        The most recently observed workers come first; at most MAX_AVOIDED_WORKERS are returned.
        """
        found = (worker for worker in reversed(self._observations) if self._recent_lags(now_us, worker))
        return tuple(islice(found, MAX_AVOIDED_WORKERS))

    def due_evidence(self, now_us: int, workers: list[str]) -> list[Evidence]:
        """Evidence against these workers, without those reported within RENEWAL_INTERVAL_US."""
        found = []
        for worker in sorted(set(workers)):
            lagged = self._recent_lags(now_us, worker)
            gangs = tuple(sorted({x[1] for x in lagged}))
            if len(gangs) < MIN_GANGS:
                continue
            if now_us < self._reported_us.get(worker, -RENEWAL_INTERVAL_US) + RENEWAL_INTERVAL_US:
                continue
            self._reported_us[worker] = now_us
            median_slowdown = median(x[3] for x in lagged)
            found.append(Evidence(worker, self.observer, EVIDENCE_KIND, median_slowdown, now_us, gangs))
        return found
