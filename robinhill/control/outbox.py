"""Actions that a voter's parts collect during one call, and what they wrote in bytes."""

from dataclasses import dataclass, field

from robinhill.control import messages as wire
from robinhill.control.actions import Action, Disconnect, Link, Send


@dataclass(slots=True)
class Metrics:
    """Counts since the start, for operators."""

    bytes_to_voters: int = 0
    bytes_to_observers: int = 0
    comparisons: int = 0
    refused: int = 0


@dataclass(slots=True)
class Outbox:
    """Actions in their order."""

    metrics: Metrics = field(default_factory=Metrics)
    _actions: list[Action] = field(default_factory=list)

    def add(self, action: Action) -> None:
        """Something else than a message."""
        self._actions.append(action)

    def send_to_voter(self, link: Link, message: wire.VoterMessage) -> None:
        """A message to another voter."""
        data = wire.write(message)
        self.metrics.bytes_to_voters += len(data)
        self._actions.append(Send(link, data))

    def send_to_observer(self, link: Link, message: wire.ToObserver) -> None:
        """A message to an observer."""
        self.send_encoded_to_observer(link, wire.write(message))

    def send_encoded_to_observer(self, link: Link, data: bytes) -> None:
        """A message to an observer that is encoded already."""
        self.metrics.bytes_to_observers += len(data)
        self._actions.append(Send(link, data))

    def disconnect(self, link: Link, why: str) -> None:
        """Close a connection."""
        self._actions.append(Disconnect(link, why))

    def take(self) -> list[Action]:
        """All that was collected since the last call."""
        actions, self._actions = self._actions, []
        return actions
