"""Straggler detection at one scheduler: receives events of gang members and periodically evaluates members.

The caller passes the time in microseconds of its monotonic clock and carries out the moves that an evaluation
returns. Jobs and attempts are numbered as in ``robinhill.api``; calls about jobs without a gang are ignored.
"""

from dataclasses import replace
from statistics import median

from robinhill.api import Repeat
from robinhill.gang.errors import GangError, NoSuchGang
from robinhill.gang.evidence import SlownessLedger
from robinhill.gang.explain import GangReport, MemberReport
from robinhill.gang.figures import GangMetrics
from robinhill.gang.membership import Membership
from robinhill.gang.messages import Decision, Evaluation, Move, Phase, Reason, Verdict
from robinhill.gang.moves import MoveBudget, MoveCandidate, decide
from robinhill.gang.options import GangOptions
from robinhill.gang.progress import Curve, Paces
from robinhill.gang.share import Progress
from robinhill.gang.straggle import MIN_OVERLAP_SHARE, Comparison, Runner, compare
from robinhill.gang.table import PROGRESS_STEP, Gang, LocalMember, Table

# Only members that are slower than their gang's median over their whole run by this factor are compared with
# each peer.
MIN_COMPARED_SLOWDOWN = 1.2
# If a larger share of a gang is slow, the cause is the gang. If one worker in ten is slow, more than 6 of 16
# members are at slow workers in fewer than one gang in a thousand.
GANG_SLOW_SHARE = 0.4
# All gangs are slowed if more than this share of the members that run here is slow, and at least this number
# of members, in at least two gangs. Slow members run for longer: if one worker in ten is slow, about three
# tenths of the running members may be slow.
ALL_SLOW_SHARE = 0.5
ALL_SLOW_MIN_MEMBERS = 4
# If recent runs took longer than usual by this factor, queues are long at all workers. A waiting member is
# not judged to be a straggler then, nor for the time after that in which the queues drain.
BACKLOG_SLOWDOWN = 1.25
BACKLOG_DRAIN_US = 10_000_000
# A worker is not the cause of a member's lag if at least this number of other members ran there, and their
# median slowdown against their own gangs is not above this factor.
WORKER_NORMAL_MIN_MEMBERS = 2
WORKER_NORMAL_SLOWDOWN = 1.25
ENDED_PACE_MAX_AGE_US = 2_000_000  # runs that ended longer ago are ignored in a worker's median slowdown
# If the time since the last evaluation exceeds both this number of intervals and this duration, the scheduler
# itself was paused. Progress reports are then unread in its sockets, and members only seem to be silent.
PAUSE_INTERVALS = 5
PAUSE_MIN_US = 1_000_000


class Gangs:
    """The gangs known at one scheduler. ``name`` is the scheduler's name in the mesh."""

    def __init__(self, options: GangOptions, name: str) -> None:
        self.options = options
        self.name = name
        self.counters = GangMetrics()
        self._table = Table(options.gangs, options.members)
        self._paces = Paces()
        self._budget = MoveBudget(options.moves_of_all)
        self._ledger = SlownessLedger(name)
        self._changed: dict[str, None] = {}
        self._now_us = 0
        self._evaluated_us = 0
        self._backlog_until_us = 0

    # Events of members

    def joined(self, now_us: int, job: int, membership: Membership, repeat: Repeat, hint_us: int = 0) -> None:
        """Add the job of a member when it is accepted; ``hint_us`` is its cost hint, 0 for none.

        Raises GangMismatch, DuplicateMember or GangsFull; the job then runs as one without a gang.
        """
        now_us = self._advance(now_us)
        try:
            gang = self._table.join(now_us, LocalMember(job, membership, repeat, max(0, hint_us), now_us))
        except GangError:
            self.counters.counts["refused"] += 1
            raise
        self._mark_changed(gang, membership.index)

    def placed(self, now_us: int, job: int, attempt: int, worker: str, kind: str = "") -> None:
        """Record that an attempt was sent. ``kind``: the worker's machine type, as all schedulers name it."""
        now_us = self._advance(now_us)
        if not (found := self._find(job)) or attempt <= found[1].attempt:
            return
        gang, local = found
        local.attempt, local.worker, local.kind, local.placed_us = attempt, worker, kind, now_us
        local.phase = Phase.WAITING if self.options.tells_start else Phase.RUNNING
        local.curve = Curve(None if self.options.tells_start else now_us)
        local.streak, local.counted_us, local.is_judged, local.sent_share = 0, -1, False, 0.0
        self._budget.record_placement(now_us)
        self._mark_changed(gang, local.membership.index)

    def started(self, now_us: int, job: int, attempt: int) -> None:
        """Record the worker's report that the attempt has started; ignored after other reports on it."""
        now_us = self._advance(now_us)
        if (found := self._find(job, attempt)) and found[1].curve.empty:
            gang, local = found
            local.phase, local.curve = Phase.RUNNING, Curve(now_us)
            self._mark_changed(gang, local.membership.index)

    def progress(self, now_us: int, job: int, attempt: int, share: float) -> None:
        """Record the worker's report of the share done, 0 to 1.

        Outdated, duplicate and out-of-range reports are ignored.
        """
        now_us = self._advance(now_us)
        if not (found := self._find(job, attempt)):
            return
        gang, local = found
        if not local.curve.add(now_us, share):
            return
        has_started = local.phase is Phase.RUNNING
        local.phase = Phase.RUNNING
        if not has_started or share >= local.sent_share + PROGRESS_STEP:
            local.sent_share = share
            self._mark_changed(gang, local.membership.index)
        else:
            self._table.touch(now_us, gang)

    def ended(self, now_us: int, job: int, attempt: int, done: bool, final: bool = True) -> None:
        """Record an attempt's end. ``done``: with a result. ``final``: the request is answered or abandoned.

        A withdrawn attempt ends with neither, an attempt whose client has disconnected with ``final`` alone.
        """
        now_us = self._advance(now_us)
        if not (found := self._find(job)):
            return
        gang, local = found
        if not (done or final):
            # The member waits for its next attempt. If a copy has replaced this one, its end changes nothing.
            if attempt == local.attempt:
                local.placed_us, local.phase, local.curve, local.streak = 0, Phase.WAITING, Curve(), 0
                self._mark_changed(gang, local.membership.index)
            return
        local.ended_us = now_us
        if done:
            known = local.curve.start_us is not None and attempt == local.attempt
            local.curve.end(now_us)
            if known:
                log_relative_pace = gang.log_relative_pace(local.membership.index)
                self._paces.record_end(
                    now_us, local.kind, local.hint_us, local.run_us(now_us), log_relative_pace
                )
            if (
                attempt == local.attempt
                and not local.is_judged
                and local.last_verdict
                and local.last_verdict.peers
            ):
                self._ledger.record(now_us, local.worker, gang.name, local.membership.index, 0.0)
        local.phase = Phase.DONE if done else Phase.GONE
        del self._table.jobs[job]
        self._mark_changed(gang, local.membership.index)
        self._record_tail(gang)

    # Exchange with other schedulers

    def receive_progress(self, now_us: int, gang: str, reported: Progress) -> None:
        """Apply a changed record of the mesh: the progress of a gang's members at other schedulers."""
        now_us = self._advance(now_us)
        held, updated = self._table.receive(now_us, gang, reported)
        for remote in updated:
            update = remote.update
            if held and update.current_phase is Phase.DONE:
                self._paces.record_end(
                    now_us, update.kind, update.hint_us, update.run_us, held.log_relative_pace(update.index)
                )
        if held and updated:
            self._record_tail(held)

    def progress_to_publish(self, now_us: int) -> list[tuple[str, Progress]]:
        """Return the progress of gangs with changed local members, to be written into the mesh.

        While a gang is active here, it is returned at most once per evaluation interval. Gangs whose members
        are all at this scheduler are omitted, as no other scheduler needs them.
        """
        now_us = self._advance(now_us)
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

    # Evaluation

    def evaluate(self, now_us: int) -> Evaluation:
        """Compare the members that run here with their peers, and decide on moves.

        Returns an empty result if less than half the interval has passed since the last evaluation.
        """
        now_us = self._advance(now_us)
        elapsed_us = now_us - self._evaluated_us
        if elapsed_us < self.options.look_us // 2:
            return Evaluation()
        paused = self._evaluated_us > 0 and elapsed_us > max(
            PAUSE_MIN_US, PAUSE_INTERVALS * self.options.look_us
        )
        self._evaluated_us = now_us
        self._table.expire(now_us)
        recent_slowdown = self._paces.recent_slowdown(now_us)
        if recent_slowdown > BACKLOG_SLOWDOWN:
            self._backlog_until_us = now_us + BACKLOG_DRAIN_US
        views = [self._view(gang, now_us, recent_slowdown, paused) for gang in self._table.active()]
        running = sum(len(view.running) for view in views)
        slow_views = [view for view in views if view.local_slow]
        slow = sum(view.local_slow for view in slow_views)
        all_slow = len(slow_views) > 1 and slow >= ALL_SLOW_MIN_MEMBERS and slow > ALL_SLOW_SHARE * running
        worker_paces = _paces_by_worker(views) if slow_views else {}
        verdicts: list[Verdict] = []
        stragglers: list[tuple[Gang, LocalMember, Verdict]] = []
        for view in views:
            for local, verdict in self._verdicts(view, all_slow, worker_paces):
                local.last_verdict = verdict
                if verdict.lags:
                    stragglers.append((view.gang, local, verdict))
                else:
                    verdicts.append(verdict)
        # Members that gain most by a move come first, as the budgets may not suffice for all.
        stragglers.sort(
            key=lambda x: ((x[2].fresh_us or 0) - (x[2].remaining_us or 0), x[2].gang, x[2].index)
        )
        moves: list[Move] = []
        for gang, local, verdict in stragglers:
            verdicts.append(self._decide(now_us, gang, local, verdict, moves))
        evidence = self._ledger.due_evidence(now_us, [local.worker for _, local, _ in stragglers])
        self.counters.counts["evidence"] += len(evidence)
        verdicts.sort(key=lambda x: (x.gang, x.index))
        return Evaluation(tuple(verdicts), tuple(moves), tuple(evidence))

    def _view(self, gang: Gang, now_us: int, recent_slowdown: float, paused: bool) -> "_GangView":
        """Evaluate one gang: find which of its members, at this or other schedulers, are slow."""
        runners = gang.runners(now_us, self._paces)
        paces = {i: p for i, x in runners.items() if (p := x.pace()) is not None}
        usual_pace = median(paces.values()) if paces else 1.0
        view = _GangView(gang, now_us, runners, paces, usual_pace, recent_slowdown)
        if paused:
            view.paused = True
            return view
        elsewhere: list[int] = []
        for index, runner in runners.items():
            local = gang.current_local(index)
            if runner.curve.ended or (local and not local.active):
                continue
            if runner.has_started and runner.run_us < MIN_OVERLAP_SHARE * runner.usual_us:
                continue
            if local:
                view.running.add(index)
            if index in paces and paces[index] < MIN_COMPARED_SLOWDOWN * usual_pace:
                continue
            if local:
                view.compared[index] = self._compare(view, index)
            else:
                elsewhere.append(index)
        slow = sum(x is not None and x.exceeds_threshold for x in view.compared.values())
        view.local_slow = slow
        if slow:  # remote members are compared only to find out whether the whole gang is slow
            slow += sum(
                x is not None and x.exceeds_threshold for x in (self._compare(view, i) for i in elsewhere)
            )
            view.gang_slow = slow > max(1, GANG_SLOW_SHARE * len(runners))
        return view

    def _compare(self, view: "_GangView", index: int) -> Comparison | None:
        peers = [x for i, x in view.runners.items() if i != index]
        pace = max(view.recent_slowdown, view.usual_pace if not view.runners[index].has_started else 1.0)
        return compare(view.runners[index], peers, self.options.ratio, self.options.peers, pace)

    def _verdicts(
        self, view: "_GangView", all_slow: bool, worker_paces: "_PacesByWorker"
    ) -> list[tuple[LocalMember, Verdict]]:
        """The verdicts on the local members under way in one gang."""
        gang, found = view.gang, []
        for index in sorted(gang.local):
            local = gang.local[index]
            if not local.active or gang.current_local(index) is not local:
                continue
            runner = view.runners.get(index)
            reason = self._confirmed_reason(local, runner, view, all_slow, worker_paces)
            if compared := view.compared.get(index):
                verdict = Verdict(
                    gang.name,
                    index,
                    view.now_us,
                    reason,
                    local.worker,
                    compared.slowdown,
                    compared.threshold,
                    compared.peers,
                    local.streak,
                    view.remaining_us(index),
                    view.fresh_us(index),
                    compared.silent,
                )
            else:
                peers = len(view.runners) - 1 if reason is Reason.NOT_SLOWER else 0
                verdict = Verdict(gang.name, index, view.now_us, reason, local.worker, peers=peers)
            found.append((local, verdict))
        return found

    def _confirmed_reason(
        self,
        local: LocalMember,
        runner: Runner | None,
        view: "_GangView",
        all_slow: bool,
        worker_paces: "_PacesByWorker",
    ) -> Reason:
        """The reason of a verdict. Counts the consecutive evaluations that find the member slow."""
        reason = self._current_reason(local, runner, view, all_slow, worker_paces)
        if reason is not Reason.UNCONFIRMED or runner is None:
            local.streak = 0
            return reason
        # An evaluation counts only if it has more information than the last one counted: a new progress
        # report or, for a silent or waiting member, more elapsed time.
        last = runner.curve.last_us if runner.has_started and not runner.silent else view.now_us
        if last != local.counted_us:
            local.counted_us = last
            local.streak += 1
        return Reason.LAGS if local.streak >= self.options.looks else Reason.UNCONFIRMED

    def _current_reason(
        self,
        local: LocalMember,
        runner: Runner | None,
        view: "_GangView",
        all_slow: bool,
        worker_paces: "_PacesByWorker",
    ) -> Reason:
        """The reason of a verdict by this evaluation alone: UNCONFIRMED if it finds the member slow, which
        becomes LAGS only in `_confirmed_reason`."""
        index = local.membership.index
        compared = view.compared.get(index)
        if view.paused:
            return Reason.PAUSED
        if runner is None:
            return Reason.NOT_STARTED
        if index not in view.compared:
            if len(view.runners) <= self.options.peers:
                return Reason.FEW_PEERS
            if index in view.running:
                return Reason.NOT_SLOWER
            return Reason.TOO_EARLY if runner.has_started else Reason.NOT_STARTED
        if compared is None:
            return Reason.FEW_PEERS
        if not compared.exceeds_threshold:
            return Reason.NOT_SLOWER
        if view.gang_slow:
            self.counters.counts["alike"] += 1
            return Reason.GANG_SLOW
        if all_slow or (not runner.has_started and view.now_us < self._backlog_until_us):
            self.counters.counts["shared"] += 1
            return Reason.ALL_SLOW
        neighbour_paces = [
            x for gang, i, x in worker_paces.get(local.worker, ()) if (gang, i) != (view.gang.name, index)
        ]
        if (
            runner.has_started
            and len(neighbour_paces) >= WORKER_NORMAL_MIN_MEMBERS
            and median(neighbour_paces) <= WORKER_NORMAL_SLOWDOWN
        ):
            return Reason.WORKER_NORMAL
        return Reason.UNCONFIRMED

    def _decide(
        self, now_us: int, gang: Gang, local: LocalMember, verdict: Verdict, moves: list[Move]
    ) -> Verdict:
        """Decide on moving a straggler, append a move to ``moves``, and record the lag at its worker."""
        index = local.membership.index
        if local.moved_attempt == local.attempt and local.straggler_verdict:
            # The move was returned by an earlier evaluation, and the caller may not have carried it out yet.
            return replace(verdict, decision=local.straggler_verdict.decision)
        has_started = local.phase is Phase.RUNNING
        other_members_lag = bool(local.moved_from) and local.worker in self._ledger.slow_workers(now_us)
        candidate = MoveCandidate(
            local.repeat,
            has_started,
            local.moves,
            gang.size,
            gang.moves,
            verdict.remaining_us or 0,
            verdict.fresh_us or 0,
            other_members_lag,
        )
        if not local.is_judged:
            local.is_judged = True
            self.counters.counts["lags"] += 1
            if local.moved_from and not other_members_lag:
                # The member lags at a second worker too, so its job is the cause and not the previous worker.
                self._ledger.retract(local.moved_from, gang.name, index)
            elif has_started:
                self._ledger.record(now_us, local.worker, gang.name, index, verdict.slowdown or 0.0)
        decision = decide(candidate, self.options, self._budget, now_us)
        verdict = replace(verdict, decision=decision)
        if decision in (Decision.MOVED, Decision.COPIED):
            copy = decision is Decision.COPIED
            avoid = self._ledger.slow_workers(now_us)
            moves.append(Move(local.job, local.attempt, local.worker, gang.name, index, copy, avoid))
            local.moves += 1
            local.moved_attempt = local.attempt
            local.moved_from = local.worker if has_started else ""
            self.counters.counts["copied" if copy else "moved"] += 1
            self._mark_changed(gang, index)
        elif decision in (Decision.GANG_BUDGET_SPENT, Decision.GLOBAL_BUDGET_SPENT):
            self.counters.counts["spared"] += 1
        local.last_verdict = local.straggler_verdict = verdict
        return verdict

    # Reports

    def explain(self, now_us: int, gang: str) -> GangReport:
        """Report why members of a gang were or were not judged to be stragglers. Raises NoSuchGang."""
        now_us = self._advance(now_us)
        if not (held := self._table.get(gang)):
            raise NoSuchGang(f"gang {gang[:160]!r} is not known at this scheduler")
        runners = held.runners(now_us, self._paces)
        found = []
        for index in sorted({*held.local, *held.remote}):
            usual = int(runners[index].usual_us) if index in runners else None
            if local := held.current_local(index):
                last = local.last_verdict
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
                    local.straggler_verdict,
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

    def metrics(self) -> list[tuple[str, int, str]]:
        """Name, value and type of each metric."""
        return self.counters.values(len(self._table), self._table.members)

    # Internal

    def _advance(self, now_us: int) -> int:
        self._now_us = max(now_us, self._now_us)
        return self._now_us

    def _find(self, job: int, attempt: int | None = None) -> tuple[Gang, LocalMember] | None:
        local = self._table.jobs.get(job)
        if local is None or (attempt is not None and attempt != local.attempt):
            return None
        gang = self._table.get(local.membership.gang)
        return (gang, local) if gang else None

    def _mark_changed(self, gang: Gang, index: int) -> None:
        gang.mark_changed(index)
        self._changed[gang.name] = None
        self._table.touch(self._now_us, gang)

    def _record_tail(self, gang: Gang) -> None:
        """Record the gang's tail, once, when all of its members have ended at any scheduler."""
        if gang.tail_recorded or len({*gang.local, *gang.remote}) < gang.size:
            return
        local = [x for i in gang.local if (x := gang.current_local(i))]
        remote = [x for i, x in gang.remote.items() if gang.current_local(i) is None]
        if any(x.active for x in local) or any(x.update.current_phase <= Phase.RUNNING for x in remote):
            return
        gang.tail_recorded = True
        ends = [x.ended_us for x in local if x.phase is Phase.DONE]
        ends += [x.received_us for x in remote if x.update.current_phase is Phase.DONE]
        if ends:
            self.counters.record_tail(ends)


_PHASES = {
    Phase.WAITING: "waiting",
    Phase.RUNNING: "running",
    Phase.DONE: "done",
    Phase.GONE: "failed or abandoned",
}


# For each worker: gang, member index, and pace over the median pace of the gang.
_PacesByWorker = dict[str, list[tuple[str, int, float]]]


def _paces_by_worker(views: "list[_GangView]") -> _PacesByWorker:
    """The paces, relative to their own gangs, of the members of all active gangs at each worker."""
    found: _PacesByWorker = {}
    for view in views:
        gang = view.gang
        for index, pace in view.paces.items():
            runner = view.runners[index]
            if runner.curve.ended and runner.known_until_us < view.now_us - ENDED_PACE_MAX_AGE_US:
                continue
            if runner.silent or runner.run_us < MIN_OVERLAP_SHARE * runner.usual_us:
                continue
            local = gang.current_local(index)
            worker = local.worker if local else gang.remote[index].update.worker
            found.setdefault(worker, []).append((gang.name, index, pace / view.usual_pace))
    return found


class _GangView:
    """The state of one gang during one evaluation."""

    __slots__ = (
        "compared",
        "gang",
        "gang_slow",
        "local_slow",
        "now_us",
        "paces",
        "paused",
        "recent_slowdown",
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
        recent_slowdown: float,
    ) -> None:
        self.gang = gang
        self.now_us = now_us
        self.runners = runners
        self.paces = paces  # run time per unit of usual work, over the whole run of each member
        self.usual_pace = usual_pace  # the median of `paces`
        self.recent_slowdown = recent_slowdown  # the median pace of the recently ended runs of all gangs
        self.running: set[int] = set()  # local members that wait, or have run for long enough to compare
        self.compared: dict[int, Comparison | None] = {}  # None: too few comparable peers
        self.gang_slow = False
        self.local_slow = 0
        self.paused = False

    def remaining_us(self, index: int) -> int:
        """The estimated time from now until the member ends at its worker.

        Without any progress report it is the time that the run has taken so far. The scale of an unusually
        long run is unknown, and then half of all such runs last more than twice their present time (Gott,
        1993).
        """
        runner = self.runners[index]
        if not runner.has_started:
            return runner.waited_us + int(runner.usual_us * self.usual_pace)
        since_report_us = self.now_us - runner.curve.last_us
        at_report_us = runner.curve.remaining_us()
        if runner.silent:
            return (
                runner.run_us
                if at_report_us is None
                else max(since_report_us, at_report_us - since_report_us)
            )
        return max(0, (at_report_us or 0) - since_report_us)

    def fresh_us(self, index: int) -> int:
        """The estimated time of a run from the start at another worker: the peers' median wait, plus the
        usual run time at the gang's median pace."""
        waits = [x.waited_us for i, x in self.runners.items() if i != index and x.has_started]
        wait = median(waits) if waits else 0
        return int(self.runners[index].usual_us * self.usual_pace + wait)
