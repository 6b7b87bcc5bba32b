"""Gangs at one scheduler: fed with what becomes of members, looked at every while, explained on demand.

The caller gives the time in microseconds of its clock that never steps back, and carries out what a look
returns. Jobs and attempts are numbered as in ``robinhill.api``; calls about jobs without a gang are ignored.
"""

from dataclasses import replace
from statistics import median

from robinhill.api import Repeat
from robinhill.gang.errors import GangError, NoSuchGang
from robinhill.gang.evidence import Ledger
from robinhill.gang.explain import GangReport, MemberReport
from robinhill.gang.figures import GangFigures
from robinhill.gang.membership import Membership
from robinhill.gang.messages import Decision, Look, Move, Phase, Reason, Verdict
from robinhill.gang.moves import Budget, MoveCandidate, decide
from robinhill.gang.options import GangOptions
from robinhill.gang.progress import Curve, Paces
from robinhill.gang.share import Progress
from robinhill.gang.straggle import LEAST_TOGETHER, Compared, Runner, compare
from robinhill.gang.table import SHARE_STEP, Gang, LocalMember, Table

# Only members this much slower than their gang's median over their whole run are compared pair by pair.
WORTH_A_LOOK = 1.2
# With more of a gang behind than this it is the gang that is slow. At one slow worker in ten, more than 6 of
# 16 at such workers are less than one gang in a thousand.
ALIKE = 0.4
# With more than this of all members that run here behind, and so many in two gangs, all are slowed. Slow
# ones run longer, so that at one slow worker in ten some three tenths of what runs may be behind.
SHARED = 0.5
SHARED_LEAST = 4
# With all so many times slower than usual, queues are long everywhere: who waits is not called.
SLOWED = 1.25
BACKLOG_US = 10_000_000  # and for so long after: what has piled up must be worked off
# If so many others at its worker go at this pace of their own gangs at most, it is not the worker.
FINE_LEAST = 2
FINE = 1.25
FINE_US = 2_000_000  # of those that have ended, these late ones count
# A look that comes so late finds this scheduler itself to have been away: words wait unread in its sockets.
PAUSED_LOOKS = 5
PAUSED_US = 1_000_000


class Gangs:
    """What is known of gangs here. ``name`` is this scheduler's own among its peers."""

    def __init__(self, options: GangOptions, name: str) -> None:
        self.options = options
        self.name = name
        self.counters = GangFigures()
        self._table = Table(options.gangs, options.members)
        self._paces = Paces()
        self._budget = Budget(options.moves_of_all)
        self._ledger = Ledger(name)
        self._changed: dict[str, None] = {}
        self._now_us = 0
        self._looked_us = 0
        self._backlog_us = 0

    # What becomes of members

    def joined(self, now_us: int, job: int, membership: Membership, repeat: Repeat, hint_us: int = 0) -> None:
        """A job of a gang is taken; ``hint_us`` is its own hint of cost, 0 for none.

        Raises GangMismatch, DuplicateMember or GangsFull: then the job runs as one without a gang.
        """
        now_us = self._time(now_us)
        try:
            gang = self._table.join(now_us, LocalMember(job, membership, repeat, max(0, hint_us), now_us))
        except GangError:
            self.counters.counts["refused"] += 1
            raise
        self._change(gang, membership.index)

    def placed(self, now_us: int, job: int, attempt: int, worker: str, kind: str = "") -> None:
        """An attempt of it was sent. ``kind`` is the worker's machine type, by the name that all use."""
        now_us = self._time(now_us)
        if not (found := self._find(job)) or attempt <= found[1].attempt:
            return
        gang, local = found
        local.attempt, local.worker, local.kind, local.placed_us = attempt, worker, kind, now_us
        local.phase = Phase.WAITING if self.options.tells_start else Phase.RUNNING
        local.curve = Curve(None if self.options.tells_start else now_us)
        local.streak, local.counted_us, local.judged, local.sent_share = 0, -1, False, 0.0
        self._budget.placed(now_us)
        self._change(gang, local.membership.index)

    def started(self, now_us: int, job: int, attempt: int) -> None:
        """Its worker says that it runs."""
        now_us = self._time(now_us)
        if (found := self._find(job, attempt)) and found[1].curve.empty:
            gang, local = found
            local.phase, local.curve = Phase.RUNNING, Curve(now_us)
            self._change(gang, local.membership.index)

    def progress(self, now_us: int, job: int, attempt: int, share: float) -> None:
        """Its worker says how much (0 to 1) is done; late, doubled and absurd words change nothing."""
        now_us = self._time(now_us)
        if not (found := self._find(job, attempt)):
            return
        gang, local = found
        if not local.curve.add(now_us, share):
            return
        begun = local.phase is Phase.RUNNING
        local.phase = Phase.RUNNING
        if not begun or share >= local.sent_share + SHARE_STEP:
            local.sent_share = share
            self._change(gang, local.membership.index)
        else:
            self._table.touch(now_us, gang)

    def ended(self, now_us: int, job: int, attempt: int, done: bool, final: bool = True) -> None:
        """An attempt is over; ``done``: with a result. If ``final`` the request is answered or given up.

        A withdrawn attempt ends with neither; one whose client has left with ``final`` alone.
        """
        now_us = self._time(now_us)
        if not (found := self._find(job)):
            return
        gang, local = found
        if not (done or final):
            # Between two attempts. If a copy took its place, the end of the first one changes nothing.
            if attempt == local.attempt:
                local.placed_us, local.phase, local.curve, local.streak = 0, Phase.WAITING, Curve(), 0
                self._change(gang, local.membership.index)
            return
        local.over_us = now_us
        if done:
            known = local.curve.start_us is not None and attempt == local.attempt
            local.curve.end(now_us)
            if known:
                against = gang.against(local.membership.index)
                self._paces.ended(now_us, local.kind, local.hint_us, local.run_us(now_us), against)
            if attempt == local.attempt and not local.judged and local.last and local.last.peers:
                self._ledger.judged(now_us, local.worker, gang.name, local.membership.index, 0.0)
        local.phase = Phase.DONE if done else Phase.GONE
        del self._table.jobs[job]
        self._change(gang, local.membership.index)
        self._tail(gang)

    # What schedulers tell each other

    def peers(self, now_us: int, gang: str, reported: Progress) -> None:
        """A record of the mesh has changed: what other schedulers tell of a gang's members."""
        now_us = self._time(now_us)
        held, updated = self._table.receive(now_us, gang, reported)
        for remote in updated:
            update = remote.update
            if held and update.current_phase is Phase.DONE:
                self._paces.ended(
                    now_us, update.kind, update.hint_us, update.run_us, held.against(update.index)
                )
        if held and updated:
            self._tail(held)

    def changes(self, now_us: int) -> list[tuple[str, Progress]]:
        """What to write into the mesh by now: gangs whose members here have changed, each once a look's time.

        Gangs that are here as a whole concern nobody else.
        """
        now_us = self._time(now_us)
        found: list[tuple[str, Progress]] = []
        for name in list(self._changed):
            gang = self._table.get(name)
            if gang and gang.sent_us and now_us < gang.sent_us + self.options.look_us and gang.active:
                continue
            del self._changed[name]
            if gang is None or (len(gang.local) == gang.size and not gang.remote):
                continue
            gang.sent_us = now_us
            gang.changed.clear()
            found.append((name, gang.progress(now_us, self.name)))
        return found

    # Looking

    def look(self, now_us: int) -> Look:
        """Compare the members that run here with their peers. A call before the time for it finds nothing."""
        now_us = self._time(now_us)
        since = now_us - self._looked_us
        if since < self.options.look_us // 2:
            return Look()
        paused = self._looked_us > 0 and since > max(PAUSED_US, PAUSED_LOOKS * self.options.look_us)
        self._looked_us = now_us
        self._table.age(now_us)
        of_late = self._paces.of_late(now_us)
        if of_late > SLOWED:
            self._backlog_us = now_us + BACKLOG_US
        views = [self._view(gang, now_us, of_late, paused) for gang in self._table.active()]
        running = sum(len(view.running) for view in views)
        behind = [view for view in views if view.behind_here]
        count = sum(view.behind_here for view in behind)
        shared = len(behind) > 1 and count >= SHARED_LEAST and count > SHARED * running
        others = _at_workers(views) if behind else {}
        verdicts: list[Verdict] = []
        lag: list[tuple[Gang, LocalMember, Verdict]] = []
        for view in views:
            for local, verdict in self._verdicts(view, shared, others):
                local.last = verdict
                if verdict.lags:
                    lag.append((view.gang, local, verdict))
                else:
                    verdicts.append(verdict)
        # Where budgets are short, those that gain most go first.
        lag.sort(key=lambda x: ((x[2].fresh_us or 0) - (x[2].remaining_us or 0), x[2].gang, x[2].index))
        moves: list[Move] = []
        for gang, local, verdict in lag:
            verdicts.append(self._follow(now_us, gang, local, verdict, moves))
        evidence = self._ledger.evidence(now_us, [local.worker for _, local, _ in lag])
        self.counters.counts["evidence"] += len(evidence)
        verdicts.sort(key=lambda x: (x.gang, x.index))
        return Look(tuple(verdicts), tuple(moves), tuple(evidence))

    def _view(self, gang: Gang, now_us: int, of_late: float, paused: bool) -> "_View":
        """One gang at this look: which of its members, wherever they run, are beyond their bound."""
        runners = gang.runners(now_us, self._paces)
        paces = {i: p for i, x in runners.items() if (p := x.pace()) is not None}
        usual_pace = median(paces.values()) if paces else 1.0
        view = _View(gang, now_us, runners, paces, usual_pace, of_late)
        if paused:
            view.paused = True
            return view
        elsewhere: list[int] = []
        for index, runner in runners.items():
            local = gang.current_local(index)
            if runner.curve.ended or (local and not local.active):
                continue
            if runner.begun and runner.run_us < LEAST_TOGETHER * runner.usual_us:
                continue
            if local:
                view.running.add(index)
            if index in paces and paces[index] < WORTH_A_LOOK * usual_pace:
                continue
            if local:
                view.compared[index] = self._compare(view, index)
            else:
                elsewhere.append(index)
        behind = sum(x is not None and x.beyond for x in view.compared.values())
        view.behind_here = behind
        if behind:  # only then it matters how many others are
            behind += sum(x is not None and x.beyond for x in (self._compare(view, i) for i in elsewhere))
            view.alike = behind > max(1, ALIKE * len(runners))
        return view

    def _compare(self, view: "_View", index: int) -> Compared | None:
        others = [x for i, x in view.runners.items() if i != index]
        pace = max(view.of_late, view.usual_pace if not view.runners[index].begun else 1.0)
        return compare(view.runners[index], others, self.options.ratio, self.options.peers, pace)

    def _verdicts(self, view: "_View", shared: bool, others: "_Others") -> list[tuple[LocalMember, Verdict]]:
        """Verdicts of our own members under way in one gang."""
        gang, found = view.gang, []
        for index in sorted(gang.local):
            local = gang.local[index]
            if not local.active or gang.current_local(index) is not local:
                continue
            runner = view.runners.get(index)
            reason = self._confirmed_reason(local, runner, view, shared, others)
            if compared := view.compared.get(index):
                verdict = Verdict(
                    gang.name,
                    index,
                    view.now_us,
                    reason,
                    local.worker,
                    compared.behind,
                    compared.bound,
                    compared.peers,
                    local.streak,
                    view.remaining_us(index),
                    view.fresh_us(index),
                    compared.silent,
                )
            else:
                peers = len(view.runners) - 1 if reason is Reason.WITHIN else 0
                verdict = Verdict(gang.name, index, view.now_us, reason, local.worker, peers=peers)
            found.append((local, verdict))
        return found

    def _confirmed_reason(
        self, local: LocalMember, runner: Runner | None, view: "_View", shared: bool, others: "_Others"
    ) -> Reason:
        """The reason of a verdict; it keeps the count of looks in a row."""
        reason = self._reason_now(local, runner, view, shared, others)
        if reason is not Reason.ONCE or runner is None:
            local.streak = 0
            return reason
        # A look counts that knows more than the one before: a new word, or more time without any.
        last = runner.curve.last_us if runner.begun and not runner.silent else view.now_us
        if last != local.counted_us:
            local.counted_us = last
            local.streak += 1
        return Reason.LAGS if local.streak >= self.options.looks else Reason.ONCE

    def _reason_now(
        self, local: LocalMember, runner: Runner | None, view: "_View", shared: bool, others: "_Others"
    ) -> Reason:
        """The reason by this look alone: ONCE for one that is behind."""
        index = local.membership.index
        compared = view.compared.get(index)
        if view.paused:
            return Reason.PAUSED
        if runner is None:
            return Reason.NOT_BEGUN
        if index not in view.compared:
            if len(view.runners) <= self.options.peers:
                return Reason.FEW_PEERS
            if index in view.running:
                return Reason.WITHIN
            return Reason.EARLY if runner.begun else Reason.NOT_BEGUN
        if compared is None:
            return Reason.FEW_PEERS
        if not compared.beyond:
            return Reason.WITHIN
        if view.alike:
            self.counters.counts["alike"] += 1
            return Reason.ALIKE
        if shared or (not runner.begun and view.now_us < self._backlog_us):
            self.counters.counts["shared"] += 1
            return Reason.SHARED
        beside = [x for gang, i, x in others.get(local.worker, ()) if (gang, i) != (view.gang.name, index)]
        if runner.begun and len(beside) >= FINE_LEAST and median(beside) <= FINE:
            return Reason.WORKER_FINE
        return Reason.ONCE

    def _follow(
        self, now_us: int, gang: Gang, local: LocalMember, verdict: Verdict, moves: list[Move]
    ) -> Verdict:
        """What follows for one that lags, and what it tells of its worker."""
        index = local.membership.index
        if local.moved_attempt == local.attempt and local.called:
            # The caller has the move already and may yet carry it out.
            return replace(verdict, decision=local.called.decision)
        begun = local.phase is Phase.RUNNING
        others = bool(local.moved_from) and local.worker in self._ledger.slow(now_us)
        candidate = MoveCandidate(
            local.repeat,
            begun,
            local.moves,
            gang.size,
            gang.moves,
            verdict.remaining_us or 0,
            verdict.fresh_us or 0,
            others,
        )
        if not local.judged:
            local.judged = True
            self.counters.counts["lags"] += 1
            if local.moved_from and not others:  # it lags here too: it is the job, not the worker before
                self._ledger.retract(local.moved_from, gang.name, index)
            elif begun:
                self._ledger.judged(now_us, local.worker, gang.name, index, verdict.behind or 0.0)
        decision = decide(candidate, self.options, self._budget, now_us)
        verdict = replace(verdict, decision=decision)
        if decision in (Decision.MOVED, Decision.COPIED):
            copy = decision is Decision.COPIED
            avoid = self._ledger.slow(now_us)
            moves.append(Move(local.job, local.attempt, local.worker, gang.name, index, copy, avoid))
            local.moves += 1
            local.moved_attempt = local.attempt
            local.moved_from = local.worker if begun else ""
            self.counters.counts["copied" if copy else "moved"] += 1
            self._change(gang, index)
        elif decision in (Decision.GANG_SPENT, Decision.ALL_SPENT):
            self.counters.counts["spared"] += 1
        local.last = local.called = verdict
        return verdict

    # Telling people

    def explain(self, now_us: int, gang: str) -> GangReport:
        """Why members of a gang were or were not called stragglers. Raises NoSuchGang."""
        now_us = self._time(now_us)
        if not (held := self._table.get(gang)):
            raise NoSuchGang(f"no gang {gang[:160]!r} is known here")
        runners = held.runners(now_us, self._paces)
        found = []
        for index in sorted({*held.local, *held.remote}):
            usual = int(runners[index].usual_us) if index in runners else None
            if local := held.current_local(index):
                last = local.last
                if not local.active and last:
                    last = replace(last, reason=Reason.ENDED)
                reported = MemberReport(
                    index,
                    "",
                    local.worker,
                    _PHASES[local.phase],
                    local.curve.share,
                    local.waited_us(now_us),
                    local.run_us(now_us),
                    usual,
                    local.moves,
                    last,
                    local.called,
                )
            else:
                remote = held.remote[index]
                update = remote.update
                reported = MemberReport(
                    index,
                    update.origin,
                    update.worker,
                    _PHASES[update.current_phase],
                    remote.curve.share,
                    update.waited_us,
                    update.run_us,
                    usual,
                    update.moves,
                )
            found.append(reported)
        return GangReport(gang, held.size, tuple(found))

    def figures(self) -> list[tuple[str, int, str]]:
        """Name, value and type of each figure."""
        return self.counters.values(len(self._table), self._table.members)

    # Within

    def _time(self, now_us: int) -> int:
        self._now_us = max(now_us, self._now_us)
        return self._now_us

    def _find(self, job: int, attempt: int | None = None) -> tuple[Gang, LocalMember] | None:
        local = self._table.jobs.get(job)
        if local is None or (attempt is not None and attempt != local.attempt):
            return None
        gang = self._table.get(local.membership.gang)
        return (gang, local) if gang else None

    def _change(self, gang: Gang, index: int) -> None:
        gang.change(index)
        self._changed[gang.name] = None
        self._table.touch(self._now_us, gang)

    def _tail(self, gang: Gang) -> None:
        """Once all members have ended somewhere, note how far the last one was behind."""
        if gang.tail_recorded or len({*gang.local, *gang.remote}) < gang.size:
            return
        local = [x for i in gang.local if (x := gang.current_local(i))]
        remote = [x for i, x in gang.remote.items() if gang.current_local(i) is None]
        if any(x.active for x in local) or any(x.update.current_phase <= Phase.RUNNING for x in remote):
            return
        gang.tail_recorded = True
        ends = [x.over_us for x in local if x.phase is Phase.DONE]
        ends += [x.received_us for x in remote if x.update.current_phase is Phase.DONE]
        if ends:
            self.counters.ended(ends)


_PHASES = {
    Phase.WAITING: "waits",
    Phase.RUNNING: "runs",
    Phase.DONE: "is done",
    Phase.GONE: "failed or was given up",
}


_Others = dict[str, list[tuple[str, int, float]]]  # by worker: gang, index, pace against its gang's


def _at_workers(views: "list[_View]") -> _Others:
    """How members of all gangs under way go at each worker, against their own gangs."""
    found: _Others = {}
    for view in views:
        gang = view.gang
        for index, pace in view.paces.items():
            runner = view.runners[index]
            if runner.curve.ended and runner.received_us < view.now_us - FINE_US:
                continue
            if runner.silent or runner.run_us < LEAST_TOGETHER * runner.usual_us:
                continue
            local = gang.current_local(index)
            worker = local.worker if local else gang.remote[index].update.worker
            found.setdefault(worker, []).append((gang.name, index, pace / view.usual_pace))
    return found


class _View:
    """One gang at one look."""

    __slots__ = (
        "alike",
        "behind_here",
        "compared",
        "gang",
        "now_us",
        "of_late",
        "paces",
        "paused",
        "runners",
        "running",
        "usual_pace",
    )

    def __init__(
        self,
        gang: Gang,
        now_us: int,
        runners: dict[int, Runner],
        paces: dict[int, float],
        usual_pace: float,
        of_late: float,
    ) -> None:
        self.gang = gang
        self.now_us = now_us
        self.runners = runners
        self.paces = paces  # of each, over its whole run
        self.usual_pace = usual_pace  # time for a unit of usual work, by the gang's median
        self.of_late = of_late  # the same by ends of all gangs of late
        self.running: set[int] = set()  # our own that run for long enough to tell
        self.compared: dict[int, Compared | None] = {}
        self.alike = False
        self.behind_here = 0
        self.paused = False

    def remaining_us(self, index: int) -> int:
        """What it needs yet where it is, from now on.

        Where no word tells: as long again as it took so far. Of what lasts unusually long one knows no scale,
        and then half of all last twice as long (Gott, 1993).
        """
        runner = self.runners[index]
        if not runner.begun:
            return runner.waited_us + int(runner.usual_us * self.usual_pace)
        since = self.now_us - runner.curve.last_us
        reported = runner.curve.remaining_us()
        if runner.silent:
            return runner.run_us if reported is None else max(since, reported - since)
        return max(0, (reported or 0) - since)

    def fresh_us(self, index: int) -> int:
        """What a fresh run elsewhere needs: a wait and a run as its peers have them."""
        waits = [x.waited_us for i, x in self.runners.items() if i != index and x.begun]
        wait = median(waits) if waits else 0
        return int(self.runners[index].usual_us * self.usual_pace + wait)
