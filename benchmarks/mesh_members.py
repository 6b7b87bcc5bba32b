"""Measures the failure detector in simulated time: false positives on lossy links, time to detect a crash.

    .venv/bin/python -m benchmarks.mesh_members [--members 200] [--seconds 600] [--seeds 5]

Tests use the same simulation for partitions, pauses, restarts and flapping links.
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
    """Simulated members of a mesh that have no links: all messages between them are simulated datagrams.

    ``loss``: probability that a message is lost; ``delay_us``: its mean delay, which varies by 20 %;
    ``is_cut``: whether messages from one member (first argument) to another are dropped at present.
    """

    size: int
    seed: int
    loss: float = 0.2
    delay_us: int = 100_000
    options: FailureDetectorOptions | None = None
    is_cut: Callable[[str, str], bool] = lambda _writer, _reader: False

    members: dict[str, FailureDetector] = field(default_factory=dict)
    now_us: int = 0
    changes: list[tuple[int, str, str, MemberState]] = field(
        default_factory=list
    )  # time, observer, member, state
    detected_pauses: list[tuple[str, int]] = field(default_factory=list)  # member, microseconds
    sent: Counter[str] = field(default_factory=Counter)  # messages by sender

    def __post_init__(self) -> None:
        self.rng = random.Random(self.seed)
        self.names = [f"s{at:03}" for at in range(self.size)]
        self._events: list[tuple[int, int, str, Message | None]] = []
        self._event_count = 0
        self._paused_until_us: dict[str, int] = {}
        for name in self.names:
            self.start(name, 1)

    def start(self, name: str, incarnation: int) -> None:
        """Start or restart a member, which knows only the operators' list of members."""
        rng = random.Random(f"{self.seed} {name} {incarnation}")
        peers = dict.fromkeys(self.names, "")
        is_new = name not in self.members

        def intermediaries(peer: str) -> list[str]:
            return overlay.common_partners(name, peer, self.names) if self.size <= 20 else []

        self.members[name] = FailureDetector(name, incarnation, peers, rng, self.options, intermediaries)
        if is_new:
            self._schedule(self.now_us + self.rng.randrange(TICK_US), name, None)

    def crash(self, name: str) -> None:
        """Crash a member, which sends nothing from now on."""
        del self.members[name]

    def pause(self, name: str, us: int) -> None:
        """Pause a member's process; messages to it are handled when the pause ends."""
        self._paused_until_us[name] = self.now_us + us

    def run(self, us: int) -> None:
        """Advance the simulated time and process all events that fall due."""
        end_us = self.now_us + us
        while self._events and self._events[0][0] <= end_us:
            at_us, _, name, message = heapq.heappop(self._events)
            self.now_us = at_us
            member = self.members.get(name)
            if member is None:
                continue
            if self._paused_until_us.get(name, 0) > at_us:
                self._schedule(self._paused_until_us[name], name, message)
                continue
            if message is None:
                self._schedule(at_us + TICK_US, name, None)
                self._perform(name, member.tick(at_us))
            else:
                self._perform(name, member.handle(at_us, message))
        self.now_us = end_us

    def _perform(self, name: str, actions: list[Action]) -> None:
        for action in actions:
            match action:
                case SendPing(peer, message) | SendAck(peer, message):
                    self._send(name, peer, message)
                case SendPingRequest(_, via, message):
                    self._send(name, via, message)
                case MemberStateChanged(peer, state):
                    self.changes.append((self.now_us, name, peer, state))
                case ProcessPaused(us):
                    self.detected_pauses.append((name, us))

    def count_views(self, peer: str, state: MemberState) -> int:
        """Return how many other members have ``peer`` in this state."""
        return sum(member.state(peer) is state for name, member in self.members.items() if name != peer)

    def converged(self) -> bool:
        """Whether every running member considers all other running members alive."""
        return all(
            self.count_views(name, MemberState.ALIVE) == len(self.members) - 1 for name in self.members
        )

    def run_until(self, condition: Callable[[], bool], limit_us: int) -> int | None:
        """Run until the condition holds, which is evaluated ten times per simulated second.

        Returns the simulated time that it took; None if the condition does not hold within the limit.
        """
        start_us = self.now_us
        while not condition():
            if self.now_us - start_us >= limit_us:
                return None
            self.run(TICK_US)
        return self.now_us - start_us

    def deaths(self, since_us: int = 0) -> list[tuple[int, str, str]]:
        """Return all changes of a member's state to DEAD: time, observing member and dead member."""
        return [
            (at, by, of) for at, by, of, state in self.changes if state is MemberState.DEAD and at >= since_us
        ]

    def _send(self, writer: str, reader: str, message: Message) -> None:
        self.sent[writer] += 1
        if self.rng.random() >= self.loss and not self.is_cut(writer, reader):
            factor = self.rng.uniform(0.8, 1.2)
            self._schedule(self.now_us + round(self.delay_us * factor), reader, message)

    def _schedule(self, at_us: int, name: str, message: Message | None) -> None:
        self._event_count += 1
        heapq.heappush(self._events, (at_us, self._event_count, name, message))


def main() -> None:
    """Print the figures of each seed and a summary of all seeds."""
    parser = argparse.ArgumentParser(description=(__doc__ or "").split("\n")[0])
    parser.add_argument("--members", type=int, default=200)
    parser.add_argument("--seconds", type=int, default=600)
    parser.add_argument("--seeds", type=int, default=5)
    options = parser.parse_args()
    to_half_us_by_seed, to_all_us_by_seed = [], []
    total_false_deaths = 0
    for seed in range(options.seeds):
        start_s = time.perf_counter()
        fleet = Fleet(options.members, seed)
        converged_us = fleet.run_until(fleet.converged, 120 * SECOND_US)
        fleet.run(options.seconds * SECOND_US)
        false_deaths = len(fleet.deaths())
        suspected = sum(state is MemberState.SUSPECT for *_, state in fleet.changes)
        total_false_deaths += false_deaths
        messages_per_s = fleet.sent.total() / options.members / (fleet.now_us / SECOND_US)
        crashed = fleet.names[seed]
        fleet.crash(crashed)
        others = options.members - 1
        to_half_us = fleet.run_until(
            lambda: fleet.count_views(crashed, MemberState.DEAD) > others / 2,  # noqa: B023
            120 * SECOND_US,
        )
        to_rest_us = fleet.run_until(
            lambda: fleet.count_views(crashed, MemberState.DEAD) == others,  # noqa: B023
            120 * SECOND_US,
        )
        elapsed_s = time.perf_counter() - start_s
        print(
            f"seed {seed}: converged after {converged_us} us; false deaths {false_deaths},"
            f" suspicions {suspected}; {messages_per_s:.1f} messages/s per member;"
            f" crash known to half after {to_half_us} us, to the rest {to_rest_us} us later;"
            f" took {elapsed_s:.0f} s",
            flush=True,
        )
        to_half_us_by_seed.append(to_half_us or 0)
        to_all_us_by_seed.append((to_half_us or 0) + (to_rest_us or 0))
    print(
        f"false deaths {total_false_deaths}; "
        f"a crash is known to half after {statistics.median(to_half_us_by_seed)} us (median)"
    )
    print(f"and to all after {max(to_all_us_by_seed)} us (maximum)")


if __name__ == "__main__":
    main()
