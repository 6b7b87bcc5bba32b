"""Failure detector in simulated time: false alarms on bad links, time to detect a crash, cuts and flapping.

.venv/bin/python -m benchmarks.mesh_members [--members 200] [--seconds 600] [--seeds 5]
"""

import argparse
import heapq
import random
import statistics
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from robinhill.mesh import overlay
from robinhill.mesh.failure_detector import FailureDetector
from robinhill.mesh.failure_detector_actions import (
    Action,
    MemberStateChanged,
    ProcessPaused,
    SendAck,
    SendPing,
    SendPingRequest,
)
from robinhill.mesh.failure_detector_options import FailureDetectorOptions
from robinhill.mesh.swim_messages import MemberState, Message

TICK_US = 100_000
SECOND_US = 1_000_000


@dataclass
class Fleet:
    """Members whose messages are lost with a chance, and take a while. Nothing is heard but what they say
    here."""

    size: int
    seed: int
    loss: float = 0.2
    delay_us: int = 100_000
    options: FailureDetectorOptions | None = None
    cut: Callable[[str, str], bool] = lambda _writer, _reader: False

    members: dict[str, FailureDetector] = field(default_factory=dict)
    now_us: int = 0
    changes: list[tuple[int, str, str, MemberState]] = field(default_factory=list)
    paused: list[tuple[str, int]] = field(default_factory=list)
    sent: Counter[str] = field(default_factory=Counter)

    def __post_init__(self) -> None:
        self.rng = random.Random(self.seed)
        self.names = [f"s{at:03}" for at in range(self.size)]
        self._events: list[tuple[int, int, str, Message | None]] = []
        self._order = 0
        self._stopped: dict[str, int] = {}  # until when they stand still
        for name in self.names:
            self.start(name, 1)

    def start(self, name: str, incarnation: int) -> None:
        """A member starts anew; it knows only the operators' list."""
        seed = random.Random(f"{self.seed} {name} {incarnation}")
        peers = dict.fromkeys(self.names, "")
        fresh = name not in self.members

        def through(peer: str) -> list[str]:
            return overlay.common_partners(name, peer, self.names) if self.size <= 20 else []

        self.members[name] = FailureDetector(name, incarnation, peers, seed, self.options, through)
        if fresh:
            self._put(self.now_us + self.rng.randrange(TICK_US), name, None)

    def crash(self, name: str) -> None:
        """It is silent from now on."""
        del self.members[name]

    def stop(self, name: str, us: int) -> None:
        """It stands still; what it is sent waits."""
        self._stopped[name] = self.now_us + us

    def run(self, us: int) -> None:
        """Let time go on."""
        end_us = self.now_us + us
        while self._events and self._events[0][0] <= end_us:
            at_us, _, name, message = heapq.heappop(self._events)
            self.now_us = at_us
            member = self.members.get(name)
            if member is None:
                continue
            if self._stopped.get(name, 0) > at_us:
                self._put(self._stopped[name], name, message)
                continue
            if message is None:
                self._put(at_us + TICK_US, name, None)
                self.carry(name, member.tick(at_us))
            else:
                self.carry(name, member.handle(at_us, message))
        self.now_us = end_us

    def carry(self, name: str, actions: list[Action]) -> None:
        for action in actions:
            match action:
                case SendPing(peer, message) | SendAck(peer, message):
                    self._send(name, peer, message)
                case SendPingRequest(_, via, message):
                    self._send(name, via, message)
                case MemberStateChanged(peer, state):
                    self.changes.append((self.now_us, name, peer, state))
                case ProcessPaused(us):
                    self.paused.append((name, us))

    def regard(self, peer: str, state: MemberState) -> int:
        """How many others think this of a peer."""
        return sum(one.state(peer) is state for name, one in self.members.items() if name != peer)

    def agreed(self) -> bool:
        """Whether all think of all that they are alive who are."""
        return all(self.regard(name, MemberState.ALIVE) == len(self.members) - 1 for name in self.members)

    def until(self, done: Callable[[], bool], limit_us: int) -> int | None:
        """How long it takes until something is so, looked at ten times a second; None past the limit."""
        began_us = self.now_us
        while not done():
            if self.now_us - began_us >= limit_us:
                return None
            self.run(TICK_US)
        return self.now_us - began_us

    def dead(self, since_us: int = 0) -> list[tuple[int, str, str]]:
        """Who was called gone by whom, and when."""
        return [
            (at, by, of) for at, by, of, state in self.changes if state is MemberState.DEAD and at >= since_us
        ]

    def _send(self, writer: str, reader: str, message: Message) -> None:
        self.sent[writer] += 1
        if self.rng.random() >= self.loss and not self.cut(writer, reader):
            late = self.rng.uniform(0.8, 1.2)
            self._put(self.now_us + round(self.delay_us * late), reader, message)

    def _put(self, at_us: int, name: str, message: Message | None) -> None:
        self._order += 1
        heapq.heappush(self._events, (at_us, self._order, name, message))


def main() -> None:
    """Print figures for each seed, and over all."""
    parser = argparse.ArgumentParser(description=(__doc__ or "").split("\n")[0])
    parser.add_argument("--members", type=int, default=200)
    parser.add_argument("--seconds", type=int, default=600)
    parser.add_argument("--seeds", type=int, default=5)
    told = parser.parse_args()
    half, all_ = [], []
    false = 0
    for seed in range(told.seeds):
        began = time.perf_counter()
        fleet = Fleet(told.members, seed)
        joined = fleet.until(fleet.agreed, 120 * SECOND_US)
        fleet.run(told.seconds * SECOND_US)
        dead = len(fleet.dead())
        suspected = sum(state is MemberState.SUSPECT for *_, state in fleet.changes)
        false += dead
        each = fleet.sent.total() / told.members / (fleet.now_us / SECOND_US)
        crashed = fleet.names[seed]
        fleet.crash(crashed)
        others = told.members - 1
        one = fleet.until(lambda: fleet.regard(crashed, MemberState.DEAD) > others / 2, 120 * SECOND_US)  # noqa: B023
        rest = fleet.until(lambda: fleet.regard(crashed, MemberState.DEAD) == others, 120 * SECOND_US)  # noqa: B023
        took = time.perf_counter() - began
        print(
            f"seed {seed}: joined after {joined} us; false gone {dead}, suspicions {suspected} at all;"
            f" {each:.1f} messages a second each; crash known to half after {one} us,"
            f" to the rest {rest} us later; took {took:.0f} s",
            flush=True,
        )
        half.append(one or 0)
        all_.append((one or 0) + (rest or 0))
    print(f"false gone {false}; a crash is known to half after {statistics.median(half)} us (median)")
    print(f"and to all after {max(all_)} us (worst)")


if __name__ == "__main__":
    main()
