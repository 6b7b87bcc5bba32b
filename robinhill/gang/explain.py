"""Reports of why members of a gang were or were not judged to be stragglers, as data and as text."""

from dataclasses import dataclass

from robinhill.gang.messages import Decision, Verdict


@dataclass(slots=True, frozen=True)
class MemberReport:
    """The current state of one member. Durations are in microseconds.

    ``scheduler`` is empty for a member whose job this scheduler holds. ``phase`` is text for people.
    ``share`` is the share of the job that is done, None where no progress was reported. ``last_verdict`` is
    that of the latest evaluation; ``straggler_verdict`` is the latest one that found the member to be a
    straggler, at ``worker`` or at an earlier worker.
    """

    index: int
    scheduler: str
    worker: str
    phase: str
    share: float | None
    waited_us: int
    run_us: int
    usual_us: int | None
    moves: int
    last_verdict: Verdict | None = None
    straggler_verdict: Verdict | None = None

    def line(self) -> str:
        """The report as one line of text."""
        where = f" at {self.worker}" if self.worker else ""
        share = "no progress reported" if self.share is None else f"{self.share:.0%} done"
        head = f"{self.index:>3}  {self.phase}{where}, {share}, ran {self.run_us / 1e6:.2f} s"
        head += f" (usually {self.usual_us / 1e6:.2f} s)" if self.usual_us else ""
        if self.scheduler:
            return f"{head}; at scheduler {self.scheduler}, which evaluates it"
        parts = [head, *([_reason(self.last_verdict)] if self.last_verdict else [])]
        if self.straggler_verdict and self.straggler_verdict != self.last_verdict:
            parts.append(f"earlier, at {self.straggler_verdict.worker}: {_reason(self.straggler_verdict)}")
        return "; ".join(parts)


def _reason(verdict: Verdict) -> str:
    text = verdict.reason.value
    if verdict.slowdown is not None and verdict.threshold is not None:
        least = "at least " if verdict.silent else ""
        text += f" ({least}{verdict.slowdown:.2f} times as slow as {verdict.peers} peers,"
        text += f" threshold {verdict.threshold:.2f})"
    if verdict.remaining_us is not None and verdict.fresh_us is not None:
        text += f", needs {verdict.remaining_us / 1e6:.2f} s more, {verdict.fresh_us / 1e6:.2f} s elsewhere"
    return f"{text}; {verdict.decision.value}" if verdict.decision is not Decision.NOTHING else text


@dataclass(slots=True, frozen=True)
class GangReport:
    """The members of one gang that this scheduler knows of."""

    gang: str
    size: int
    members: tuple[MemberReport, ...]

    def text(self) -> str:
        """The report as lines of text."""
        head = f"gang {self.gang}: {len(self.members)} of {self.size} members known at this scheduler"
        return "".join(f"{line}\n" for line in (head, *(x.line() for x in self.members)))
