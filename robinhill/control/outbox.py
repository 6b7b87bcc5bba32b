"""Collects the actions that the parts of one state machine produce during a call, in order."""

from collections.abc import Sequence
from dataclasses import dataclass

from robinhill.control import messages as wire
from robinhill.control.actions import Action, Disconnect, Link, Send


@dataclass(slots=True)
class Metrics:
    """A voter's counters since its process started.

    ``comparisons``: comparisons of the voter's replica with observers' replicas, including comparisons that
    were skipped. ``refused``: links closed because of a malformed, unexpected or rejected message.
    """

    bytes_to_voters: int = 0
    bytes_to_observers: int = 0
    comparisons: int = 0
    refused: int = 0


class Outbox:
    """Collects the actions of an observer; `VoterOutbox` collects those of a voter."""

    def __init__(self) -> None:
        self._actions: list[Action] = []

    def add(self, action: Action) -> None:
        """Append an action."""
        self._actions.append(action)

    def send(self, link: Link, message: wire.AnyMessage) -> None:
        """Encode a message and append the action that sends it."""
        self._actions.append(Send(link, wire.write(message)))

    def disconnect(self, link: Link, why: str) -> None:
        """Append the action that closes a connection; ``why`` is the reason for the log."""
        self._actions.append(Disconnect(link, why))

    def take(self) -> list[Action]:
        """Remove and return all actions collected since the last call."""
        actions, self._actions = self._actions, []
        return actions


class VoterOutbox(Outbox):
    """Collects the actions of a voter, and counts the bytes that it sends."""

    def __init__(self) -> None:
        super().__init__()
        self.metrics = Metrics()

    def send_to_voter(self, link: Link, message: wire.VoterMessage) -> None:
        """Send a message to another voter."""
        data = wire.write(message)
        self.metrics.bytes_to_voters += len(data)
        self._actions.append(Send(link, data))

    def send_to_observer(self, link: Link, message: wire.ToObserver) -> None:
        """Send a message to an observer."""
        self.send_encoded_to_observer(link, [wire.write(message)])

    def send_encoded_to_observer(self, link: Link, encoded: Sequence[bytes]) -> None:
        """Send messages that are already encoded to an observer."""
        for data in encoded:
            self.metrics.bytes_to_observers += len(data)
            self._actions.append(Send(link, data))
