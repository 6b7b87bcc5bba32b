"""Dispatch of the decision module's events to their handlers. It decides nothing itself."""

from abc import ABC, abstractmethod
from collections.abc import Callable
from typing import Any

from robinhill import api
from robinhill.placement import timers
from robinhill.placement.records import Attempt


class EventHandler(ABC):
    """Handles one event at a time; handlers append to ``actions`` what the caller is to carry out."""

    def __init__(self) -> None:
        self.actions: list[api.Action] = []
        self._handlers: dict[type, Callable[[int, Any], None]] = {
            api.Arrived: self._on_arrival,
            api.AttemptEnded: self._on_attempt_ended,
            api.ClientGone: self._on_client_gone,
            api.JobProgress: self._on_progress,
            api.JobStarted: self._on_progress,
            api.ListLeased: self._on_list_leased,
            api.ProbeEnded: self._on_probe_ended,
            api.StreamStarted: self._on_progress,
            api.TimerFired: self._on_timer,
            api.WorkersListed: self._on_list,
        }

    def handle(self, now: int, event: api.Event) -> list[api.Action]:
        """Handle one event; return the actions to be carried out, in order."""
        self.actions = []
        self._handlers[type(event)](now, event)
        return self.actions

    def _set_attempt_timer(self, wait_us: int, check: timers.AttemptCheck, attempt: Attempt) -> None:
        """Set a timer for a check of this attempt in ``wait_us``."""
        self.actions.append(api.SetTimer(wait_us, timers.AttemptTimer(check, *attempt.key).tag))

    @abstractmethod
    def _on_arrival(self, now: int, event: api.Arrived) -> None: ...

    @abstractmethod
    def _on_attempt_ended(self, now: int, event: api.AttemptEnded) -> None: ...

    @abstractmethod
    def _on_client_gone(self, now: int, event: api.ClientGone) -> None: ...

    @abstractmethod
    def _on_list(self, now: int, event: api.WorkersListed) -> None: ...

    @abstractmethod
    def _on_list_leased(self, now: int, event: api.ListLeased) -> None: ...

    @abstractmethod
    def _on_probe_ended(self, now: int, event: api.ProbeEnded) -> None: ...

    @abstractmethod
    def _on_progress(self, now: int, event: api.JobStarted | api.JobProgress | api.StreamStarted) -> None: ...

    @abstractmethod
    def _on_timer(self, now: int, event: api.TimerFired) -> None: ...
