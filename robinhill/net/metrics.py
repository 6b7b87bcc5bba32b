"""The figures that operators read: counted in one object, and rendered from it alone."""

from collections import Counter
from collections.abc import Callable
from typing import TYPE_CHECKING

from robinhill.placement.list_lease import ListLease, ListOrigin
from robinhill.protocol import Answer

if TYPE_CHECKING:
    from robinhill.record.recorder import Recorder

PREFIX = "app"
OUTCOMES = ("ok", "shed", "errors")


def _outcome(answer: Answer) -> str:
    if answer.status == 200:
        return "ok"
    return "shed" if answer.status in (429, 503) else "errors"


class Metrics:
    """Counts since the start of the process, and gauges as they were last set."""

    def __init__(self, classes: tuple[str, ...]) -> None:
        self.classes = classes
        self.ended: Counter[tuple[str, str]] = Counter()
        self.tries = 0  # attempts written whole to endpoints
        self.sends: Counter[ListOrigin] = Counter()  # attempts begun on a connection, by the list's origin
        self.refusals: Counter[str] = Counter()  # by reason
        self.retries: Counter[str] = Counter()  # further attempts, by what became of the one before
        self.closes: Counter[str] = Counter()  # connections that this process ended, by side and reason
        self.list_lease: ListLease | None = None  # of the list in use
        self.active = 0  # requests taken and not yet ended; where the client has left, by the attempt's end
        self.pool_size = 0
        self.pool_ejected = 0
        self.recorder: Recorder | None = None  # where what passes is recorded
        self.admission_queued: Callable[[], int] | None = None  # requests that wait there; None: no admission

    def answered(self, job_class: int, answer: Answer) -> None:
        """A request has got its final answer, whoever worded it."""
        self.ended[self.classes[job_class], _outcome(answer)] += 1

    def text(self, now_us: int = 0) -> str:
        """One ``name:value|type`` a line: c for counts, g for gauges; ``now_us``: for the age of the list."""
        lines = [
            f"{PREFIX}.responses.{name}.{outcome}:{self.ended[name, outcome]}|c"
            for name in self.classes
            for outcome in OUTCOMES
        ]
        lines.append(f"{PREFIX}.tries:{self.tries}|c")
        lines.append(f"{PREFIX}.active:{self.active}|g")
        lines.append(f"{PREFIX}.pool_size:{self.pool_size}|g")
        lines.append(f"{PREFIX}.pool_ejected:{self.pool_ejected}|g")
        lines += [f"{PREFIX}.sends.{origin.value}:{self.sends[origin]}|c" for origin in ListOrigin]
        for name, counts in (
            ("refusals", self.refusals),
            ("retries", self.retries),
            ("closes", self.closes),
        ):
            lines += [f"{PREFIX}.{name}.{why}:{count}|c" for why, count in sorted(counts.items())]
        if self.list_lease:
            lines.append(f"{PREFIX}.list.version:{self.list_lease.version}|g")
            lines.append(f"{PREFIX}.list.age_ms:{self.list_lease.age_ms(now_us)}|g")
        if self.admission_queued:
            queued = self.admission_queued()
            lines.append(f"{PREFIX}.admission.queued:{queued}|g")
            lines.append(f"{PREFIX}.door.queued:{queued}|g")  # its old name, for dashboards that ask for it
        if self.recorder:
            lines.append(f"{PREFIX}.record.written:{self.recorder.written}|c")
            lines.append(f"{PREFIX}.record.dropped:{self.recorder.dropped}|c")
        return "".join(f"{line}\n" for line in lines)
