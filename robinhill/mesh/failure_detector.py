"""Failure detector: which schedulers are alive, suspect, dead or have left, by pings and gossip (SWIM).

Source: Das, Gupta, Motivala, "SWIM: scalable weakly-consistent infection-style process group membership
protocol", 2002. Two further rules are from Dadgar, Phillips, Currey, "Lifeguard: local health awareness for
more accurate failure detection", 2018: the time for a refutation shortens with the number of independent
reporters, and in a message to a suspect the first update is the suspicion itself.

- Each period one member is pinged, in an order that is shuffled for each round. If its ack does not arrive in
  time, a few other members are asked for an indirect ping. The member becomes *suspect* only if no ack
  arrives through those members either, so one bad link does not make a member suspect.
- A suspect that is informed of the suspicion refutes it: it increments the refutation count of its
  incarnation, and that update wins over the suspicion. A suspect that does not refute in time is *dead*, once
  this scheduler has pinged it itself. While this scheduler receives anything from a suspect directly, the
  suspect does not become dead, whatever other members report.
- Dead members are still pinged, at a lower rate, so that the two sides of a partition detect each other once
  the partition ends; a member that is reachable again refutes its death. A restarted member has a larger
  incarnation, which wins over all updates on its earlier incarnations. A member reports itself as *left* at a
  graceful shutdown; only a new incarnation changes that state.
- After a pause of this process (stopped, or its host suspended) every deadline is postponed by the duration
  of the pause, as acks may have arrived that the process has not read. `ProcessPaused` is then the first
  action.

Members are the configured schedulers; gossip about other names is ignored. Leases do not depend on the
failure detector: a member may be dead in this scheduler's view and still count towards the majority of a
lease, or be alive and not count. The detector does no I/O: its owner carries out the actions returned.
"""

import random
from collections.abc import Callable, Iterable, Mapping, Sequence

from robinhill.mesh.failure_detector_actions import Action, ProcessPaused, SendAck, SendPing, SendPingRequest
from robinhill.mesh.failure_detector_options import FailureDetectorOptions
from robinhill.mesh.member_table import Member, MemberTable
from robinhill.mesh.ping_rounds import PingInFlight, PingRound, PingsInFlight
from robinhill.mesh.swim_messages import (
    Ack,
    Gossip,
    MemberState,
    MemberUpdate,
    Message,
    Ping,
    PingRequest,
)

MAX_PEERS = 1_024  # a longer configured list is treated as a configuration error


class FailureDetector:
    """The failure detector of one scheduler and its view of the members.

    The owner calls `tick` regularly and `handle` for each received message, and carries out the actions that
    they return. ``peers``: name and address of each configured scheduler; ``me`` may be among them.
    ``common_partners``: returns the members with a link to both this scheduler and a peer
    (`overlay.common_partners`), which are preferred for indirect pings.
    """

    def __init__(
        self,
        me: str,
        incarnation: int,
        peers: Mapping[str, str],
        rng: random.Random,
        options: FailureDetectorOptions | None = None,
        common_partners: Callable[[str], Sequence[str]] | None = None,
    ) -> None:
        self.me = me
        self.options = options or FailureDetectorOptions()
        self.addresses: dict[str, str] = {}
        self._actions: list[Action] = []
        self.table = MemberTable(me, incarnation, self.options, rng, self._actions)
        self._rng = rng
        self._common_partners = common_partners
        self._round = PingRound(rng)
        self._dead_round = PingRound(rng)
        self._in_flight = PingsInFlight()
        self._periods = 0  # number of periods in which a ping was due
        self._last_called_us: int | None = None  # monotonic time of the last call; None before the first one
        self._next_ping_us = 0
        self.reload(peers)

    # Queries

    def states(self) -> dict[str, MemberState]:
        """Return the state of each peer. A peer is dead until a message was received from or about it."""
        return {name: member.state for name, member in self.table.members.items()}

    def alive(self) -> list[str]:
        """Return the names of the peers that are alive or suspect, sorted."""
        return [name for name, member in self.table.members.items() if member.state <= MemberState.SUSPECT]

    def state(self, peer: str) -> MemberState | None:
        """Return the state of one peer; None if it is not configured."""
        member = self.table.members.get(peer)
        return None if member is None else member.state

    def incarnation_of(self, peer: str) -> int:
        """Return the newest known incarnation of a peer; 0 if none is known."""
        member = self.table.members.get(peer)
        return 0 if member is None else member.incarnation

    def last_received_us(self, peer: str) -> int | None:
        """Return the monotonic time when a message was last received directly from a peer; None if never."""
        member = self.table.members.get(peer)
        return None if member is None else member.last_received_us

    # Events

    def reload(self, peers: Mapping[str, str]) -> None:
        """Use a new list of peers. Peers in both lists keep their state; added peers are pinged first.

        Raises ValueError if there are more than `MAX_PEERS`.
        """
        if len(peers) > MAX_PEERS:
            raise ValueError(f"{len(peers)} peers are configured, more than the limit of {MAX_PEERS}")
        self.addresses = dict(peers)
        new = self.table.reload(peers)
        self._in_flight.reload(self.table.members)
        self._rng.shuffle(new)
        self._round.reload(self.table.members, first=new)
        self._dead_round.reload(self.table.members, first=[])

    def tick(self, mono_us: int) -> list[Action]:
        """Expire pings and suspicions, and send the next ping if it is due.

        To be called about ten times a second. Returns the actions to carry out; `ProcessPaused` is the first
        one if the process was paused.
        """
        self._detect_pause(mono_us)
        self._expire_pings(mono_us)
        self._review_suspects(mono_us)
        if mono_us >= self._next_ping_us:
            # Without the minimum of half a period, a late tick would be followed by a burst of pings.
            half_us = self.options.period_us // 2
            self._next_ping_us = max(self._next_ping_us + self.options.period_us, mono_us + half_us)
            self._ping_next(mono_us)
        return self._take_actions()

    def handle(self, mono_us: int, message: Message) -> list[Action]:
        """Process a message whose ``sender`` the caller has verified.

        Returns the actions to carry out; `ProcessPaused` is the first one if the process was paused.
        """
        self._detect_pause(mono_us)
        sender = message.sender
        if sender not in self.table.members:
            return self._take_actions()
        restarted = message.incarnation > self.table.members[sender].incarnation
        self.table.received_from(mono_us, sender, message.incarnation)
        self.table.apply(mono_us, message.updates)
        match message:
            case Ping() if message.target == self.me:
                # The ack to a member that has just started contains updates on all members.
                self._ack(sender, message.number, self.me, self.table.incarnation, full=restarted)
            case PingRequest() if message.target == self.me:
                self._ack(sender, message.number, self.me, self.table.incarnation)
            case PingRequest() if message.target in self.table.members and not self._in_flight.full:
                self._ping_for(mono_us, message)
            case Ack():
                self._handle_ack(mono_us, message)
            case _:
                pass
        return self._take_actions()

    def received_from(self, mono_us: int, peer: str, incarnation: int) -> None:
        """Record that a message of any kind was received from this peer over its link."""
        self._detect_pause(mono_us)
        if peer in self.table.members:
            self.table.received_from(mono_us, peer, incarnation)

    def link_lost(self, mono_us: int, peer: str) -> list[Action]:
        """Ping a peer at once after the link to it broke.

        A crash of the peer breaks its links earlier than the next regular ping would time out.
        """
        self._detect_pause(mono_us)
        member = self.table.members.get(peer)
        if member is not None and member.state <= MemberState.SUSPECT:
            member.last_received_us = None
            self._ping(mono_us, peer)
        return self._take_actions()

    def peer_left(self, peer: str) -> list[Action]:
        """Mark a peer as left after it has announced its shutdown on its link."""
        member = self.table.members.get(peer)
        if member is not None and member.incarnation and member.state is not MemberState.LEFT:
            self.table.change(peer, MemberState.LEFT)
        return self._take_actions()

    def leave(self) -> Gossip:
        """Mark this scheduler as left at its shutdown. Returns the message to write to all partners."""
        self.table.leave()
        return self.gossip_message()

    def apply_gossip(self, mono_us: int, updates: Iterable[MemberUpdate]) -> None:
        """Merge updates of other members. The next `tick` or `handle` returns the actions that result."""
        self.table.apply(mono_us, updates)

    # Gossip

    @property
    def has_gossip(self) -> bool:
        """Whether there are updates to spread."""
        return self.table.has_gossip

    def gossip_message(self) -> Gossip:
        """Return a message with updates only, for a partner; without updates if there are none to spread."""
        return Gossip(self.me, self.table.incarnation, self.table.gossip())

    # Pings

    def _review_suspects(self, mono_us: int) -> None:
        for name in list(self.table.suspects):
            member = self.table.members[name]
            until_us = self.table.suspicion_ends_us(member)
            if mono_us >= until_us:
                self.table.change(name, MemberState.DEAD)
            elif not member.verified and until_us - mono_us <= self.table.suspicion_us // 4:
                # The suspect's refutation may have been lost. The ping informs it of the suspicion again.
                member.verified = True
                self._ping(mono_us, name)

    def _ping_next(self, mono_us: int) -> None:
        members = self.table.members
        self._periods += 1
        if self._periods % self.options.dead_ping_interval == 0:
            dead = self._dead_round.next(members, lambda member: member.state is MemberState.DEAD)
            if dead is not None:
                self._ping(mono_us, dead)
        peer = self._round.next(members, lambda member: self._needs_ping(mono_us, member))
        if peer is not None:
            self._ping(mono_us, peer)

    def _needs_ping(self, mono_us: int, member: Member) -> bool:
        if member.state > MemberState.SUSPECT:
            # A dead member is pinged here only if its state is the initial one: no message was ever received
            # from it or about it.
            return member.incarnation == 0 and member.last_received_us is None
        return not member.received_within(mono_us, self.options.recent_us)

    def _ping(self, mono_us: int, peer: str, attempt: int = 1) -> None:
        if not self._in_flight.has_own(peer) and not self._in_flight.full:
            direct_us = mono_us + self.options.ack_timeout_us
            until_us = direct_us + self.options.indirect_ack_timeout_us
            self._send(PingInFlight(peer, direct_us, until_us, attempt))

    def _ping_for(self, mono_us: int, request: PingRequest) -> None:
        until_us = mono_us + self.options.indirect_ack_timeout_us
        self._send(
            PingInFlight(
                request.target,
                until_us,
                until_us,
                indirect=True,
                requester=request.sender,
                requester_number=request.number,
            )
        )

    def _send(self, ping: PingInFlight) -> None:
        number, peer = self._in_flight.add(ping), ping.target
        message = Ping(self.me, self.table.incarnation, number, peer, self.table.gossip(peer))
        self._actions.append(SendPing(peer, message))

    def _expire_pings(self, mono_us: int) -> None:
        for number, ping in list(self._in_flight.by_number.items()):
            member = self.table.members[ping.target]
            if not ping.indirect and mono_us >= ping.direct_until_us:
                ping.indirect = True
                if member.state <= MemberState.SUSPECT:
                    self._ping_indirectly(ping.target, number)
            if mono_us >= ping.until_us:
                del self._in_flight.by_number[number]
                if not ping.requester:
                    self._ping_failed(mono_us, ping, member)

    def _ping_indirectly(self, target: str, number: int) -> None:
        for via in self._intermediaries(target):
            message = PingRequest(self.me, self.table.incarnation, number, target, self.table.gossip(via))
            self._actions.append(SendPingRequest(target, via, message))

    def _intermediaries(self, target: str) -> list[str]:
        """Choose live members to ask for an indirect ping: common partners first, then any others."""
        members, wanted = self.table.members, self.options.indirect_pings
        partners = self._common_partners(target) if self._common_partners is not None else ()
        common = [name for name in partners if name in members and members[name].state is MemberState.ALIVE]
        common = self._rng.sample(common, min(len(common), wanted))
        others = [
            name
            for name, member in members.items()
            if member.state is MemberState.ALIVE and name != target and name not in common
        ]
        return common + self._rng.sample(others, min(len(others), wanted - len(common)))

    def _ping_failed(self, mono_us: int, ping: PingInFlight, member: Member) -> None:
        peer = ping.target
        if member.received_within(mono_us, self.options.recent_us):
            return  # messages that were recently received from the member show that it is alive
        if member.state <= MemberState.SUSPECT and ping.attempt < self.options.attempts:
            self._ping(mono_us, peer, ping.attempt + 1)
        elif member.state is MemberState.ALIVE:
            self.table.suspect(mono_us, peer, self.me)
        elif member.state is MemberState.SUSPECT:
            self.table.add_reporter(peer, self.me)

    def _ack(self, peer: str, number: int, target: str, incarnation: int, full: bool = False) -> None:
        """Send an ack to ``peer``: ``target`` is alive. ``full``: include updates on all members.

        The ack always includes the state of ``target``, so that a peer that has missed the target's
        refutation receives that refutation.
        """
        table = self.table
        updates = table.all_updates() if full else (table.update_of(target), *table.gossip(peer))
        message = Ack(self.me, table.incarnation, number, target, incarnation, updates)
        self._actions.append(SendAck(peer, message))

    def _handle_ack(self, mono_us: int, ack: Ack) -> None:
        ping = self._in_flight.acked(ack.number, ack.target)
        if ping is None:
            return
        if ping.requester:
            self._ack(ping.requester, ping.requester_number, ack.target, ack.target_incarnation)
        elif ack.sender != ack.target:
            self.table.received_from(mono_us, ack.target, ack.target_incarnation)

    # Pauses

    def _detect_pause(self, mono_us: int) -> None:
        """Postpone every deadline if this process was paused since the last call of the detector.

        To be called before any deadline is checked.
        """
        last_us, self._last_called_us = self._last_called_us, mono_us
        if last_us is None:
            # A random time of the first ping prevents schedulers that start together from pinging together.
            self._next_ping_us = mono_us + self._rng.randrange(self.options.period_us)
            return
        gap_us = mono_us - last_us
        if gap_us < self.options.pause_us:
            return
        self._actions.insert(0, ProcessPaused(gap_us))
        self._next_ping_us += gap_us
        self._in_flight.postpone(gap_us)
        self.table.postpone(gap_us)

    def _take_actions(self) -> list[Action]:
        actions = self._actions.copy()
        self._actions.clear()
        return actions
