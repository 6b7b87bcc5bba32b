"""Why members of a gang were or were not called stragglers, as data and as text for people."""

from dataclasses import dataclass

from robinhill.gang.messages import Decision, Verdict


@dataclass(slots=True, frozen=True)
class MemberReport:
    """One member as it stands: ``phase`` in words, ``share`` None where no word came. Durations in µs.

    ``scheduler`` is empty for our own. ``last`` is the latest look's verdict; ``called`` that by which it was
    called a straggler at ``worker`` or one before it.
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
    last: Verdict | None = None
    called: Verdict | None = None

    def line(self) -> str:
        """One line for people."""
        where = f" at {self.worker}" if self.worker else ""
        share = "no word on progress" if self.share is None else f"{self.share:.0%} done"
        head = f"{self.index:>3}  {self.phase}{where}, {share}, ran {self.run_us / 1e6:.2f} s"
        head += f" of usually {self.usual_us / 1e6:.2f} s" if self.usual_us else ""
        if self.scheduler:
            return f"{head}; at scheduler {self.scheduler}, which judges it"
        parts = [head, *([_reason(self.last)] if self.last else [])]
        if self.called and self.called != self.last:
            parts.append(f"before, at {self.called.worker}: {_reason(self.called)}")
        return "; ".join(parts)


def _reason(verdict: Verdict) -> str:
    text = verdict.reason.value
    if verdict.behind is not None and verdict.bound is not None:
        least = "at least " if verdict.silent else ""
        text += f" ({least}{verdict.behind:.2f} times as slow as {verdict.peers} peers,"
        text += f" bound {verdict.bound:.2f})"
    if verdict.remaining_us is not None and verdict.fresh_us is not None:
        text += f", needs {verdict.remaining_us / 1e6:.2f} s, elsewhere {verdict.fresh_us / 1e6:.2f} s"
    return f"{text}; {verdict.decision.value}" if verdict.decision is not Decision.NOTHING else text


@dataclass(slots=True, frozen=True)
class GangReport:
    """One gang: what is known here of each member."""

    gang: str
    size: int
    members: tuple[MemberReport, ...]

    def text(self) -> str:
        """Lines for people."""
        head = f"gang {self.gang}: {len(self.members)} of {self.size} members known here"
        return "".join(f"{line}\n" for line in (head, *(x.line() for x in self.members)))
