"""A worker whose members lag in several gangs becomes evidence, as one observer's word."""

from collections import OrderedDict, deque
from itertools import islice
from statistics import median

from robinhill.gang.messages import Evidence

WHAT = "slow"
WINDOW_US = 600_000_000  # what a worker did more than ten minutes ago counts no more
# One gang may be unlucky with a long job; two that are at the same worker hardly.
GANGS = 2
# At least this share of its members judged of late must have lagged: hints that are wrong blame nobody.
SHARE = 0.5
JUDGED = 32  # members kept of each worker
WORKERS = 4_096  # kept; the least recently judged is forgotten
AVOIDED = 64  # workers named to be avoided: more would be most of a small fleet
AGAIN_US = 60_000_000  # evidence is renewed no more often while it holds


class Ledger:
    """What became of members at each worker, bounded."""

    def __init__(self, observer: str) -> None:
        self.observer = observer
        # Of each member judged: when, in which gang, its index, and how far behind (0: it went as its peers).
        self._judged: OrderedDict[str, deque[tuple[int, str, int, float]]] = OrderedDict()
        self._told: dict[str, int] = {}

    def judged(self, now_us: int, worker: str, gang: str, index: int, behind: float) -> None:
        """One member's stay at a worker is judged, once: it lagged ``behind`` times, or (0) did not."""
        entries = self._judged.setdefault(worker, deque(maxlen=JUDGED))
        self._judged.move_to_end(worker)
        entries.append((now_us, gang, index, behind))
        if len(self._judged) > WORKERS:
            forgotten, _ = self._judged.popitem(last=False)
            self._told.pop(forgotten, None)

    def retract(self, worker: str, gang: str, index: int) -> None:
        """The member lagged at another worker too: it was the job."""
        if entries := self._judged.get(worker):
            kept = [x for x in entries if (x[1], x[2]) != (gang, index)]
            entries.clear()
            entries.extend(kept)

    def _lags(self, now_us: int, worker: str) -> list[tuple[int, str, int, float]]:
        """Its members that lagged of late, if they are a large enough share of those judged."""
        entries = [x for x in self._judged.get(worker, ()) if x[0] > now_us - WINDOW_US]
        lagged = [x for x in entries if x[3]]
        return lagged if len(lagged) >= SHARE * len(entries) else []

    def slow(self, now_us: int) -> tuple[str, ...]:
        """Workers that seem slow, be it from one gang: too little to tell others, enough to choose among
        equals. Those judged last come first, AVOIDED at most."""
        found = (worker for worker in reversed(self._judged) if self._lags(now_us, worker))
        return tuple(islice(found, AVOIDED))

    def evidence(self, now_us: int, workers: list[str]) -> list[Evidence]:
        """What there is against these workers and was not told of late."""
        found = []
        for worker in sorted(set(workers)):
            lagged = self._lags(now_us, worker)
            gangs = tuple(sorted({x[1] for x in lagged}))
            if len(gangs) < GANGS:
                continue
            if now_us < self._told.get(worker, -AGAIN_US) + AGAIN_US:
                continue
            self._told[worker] = now_us
            how_much = median(x[3] for x in lagged)
            found.append(Evidence(worker, self.observer, WHAT, how_much, now_us, gangs))
        return found
