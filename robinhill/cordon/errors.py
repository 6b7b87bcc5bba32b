"""Errors of calls about cordons. Each says what was wrong and has advice for the operator."""

from collections.abc import Sequence

from robinhill.errors import RobinhillError

MAX_NAMES_SHOWN = 8  # keeps an error short enough to read on a terminal


def format_names(names: Sequence[str], none: str = "none") -> str:
    """Return text with the first MAX_NAMES_SHOWN names and the number of further names.

    If ``names`` is empty, the text is ``none``.
    """
    if not names:
        return none
    rest = f" and {len(names) - MAX_NAMES_SHOWN} more" if len(names) > MAX_NAMES_SHOWN else ""
    return ", ".join(names[:MAX_NAMES_SHOWN]) + rest


class CordonError(RobinhillError):
    """Base class: a call about cordons can't be carried out."""

    code = "CordonError"


class CordonMalformed(CordonError):
    """The ID, target, reason or end of a cordon in the call is invalid. Nothing was changed."""

    code = "CordonMalformed"
    advice = "give a target (worker/ID, zone/NAME, kind/NAME or cell/NUMBER), a reason and an end after now"


class CordonUnknown(CordonError):
    """No active cordon has the ID in the call; the error names the existing IDs."""

    code = "CordonUnknown"
    advice = "list the cordons: this one may have ended, been lifted, or not yet reached this process"

    def __init__(self, cordon_id: str, known: Sequence[str]) -> None:
        super().__init__(f"no cordon is called {cordon_id!r}; active cordons: {format_names(known)}")
        self.cordon_id = cordon_id


class CordonElsewhere(CordonError):
    """The cordon's ID is in use for another target. Nothing was changed."""

    code = "CordonElsewhere"
    advice = "lift that cordon first, or choose another ID"

    def __init__(self, cordon_id: str, target: str, present: Sequence[str]) -> None:
        super().__init__(
            f"{cordon_id!r} can't be set for {target!r}: the ID is in use at {format_names(present)}"
        )
        self.cordon_id, self.present = cordon_id, tuple(present)


class CordonsFull(CordonError):
    """A target already has the maximum number of reasons. Nothing was changed."""

    code = "CordonsFull"
    advice = "lift cordons that are no longer needed, or replace one by using its ID"


class CordonBudgetSpent(CordonError):
    """An automatic cordon is not in effect: it would exceed the budget's share of the fleet or of a zone."""

    code = "CordonBudgetSpent"
    advice = "see why so many workers are bad; cordon them yourself (no budget applies) or raise the budget"


class NotAccepted(CordonError):
    """When the call's wait ended, the change was not accepted: no majority was known to store it.

    A majority of the schedulers is needed, or with a control group a majority of its voters. The change
    continues to propagate.
    """

    code = "NotAccepted"
    advice = "check which schedulers are down or unreachable; the listing shows when it is accepted"

    def __init__(self, what: str, missing: Sequence[str]) -> None:
        super().__init__(f"{what} is stored here but not accepted; not confirmed by: {format_names(missing)}")
        self.missing = tuple(missing)


class BoundNotMet(CordonError):
    """When the call's wait ended, the change was accepted, but some schedulers had not confirmed it.

    The change continues to propagate.
    """

    code = "BoundNotMet"
    advice = "the named schedulers may still act without the change: check whether they run, or stop them"

    def __init__(self, what: str, unconfirmed: Sequence[str]) -> None:
        super().__init__(f"{what} is accepted but not in force; unconfirmed: {format_names(unconfirmed)}")
        self.unconfirmed = tuple(unconfirmed)


class TooManyCalls(CordonError):
    """Calls already wait for the maximum number of changes, so this one was rejected. Nothing was changed."""

    code = "TooManyCalls"
    advice = "call without wait=, or retry when other calls have ended"
