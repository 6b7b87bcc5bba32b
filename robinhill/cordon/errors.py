"""Errors about cordons, each with what was wrong and what an operator can do."""

from collections.abc import Sequence

from robinhill.errors import RobinhillError

MAX_NAMES_SHOWN = 8  # an error is read on a terminal


def name_some(names: Sequence[str], none: str = "none") -> str:
    """Return the first few of a list of names, and how many more there are."""
    if not names:
        return none
    rest = f" and {len(names) - MAX_NAMES_SHOWN} more" if len(names) > MAX_NAMES_SHOWN else ""
    return ", ".join(names[:MAX_NAMES_SHOWN]) + rest


class CordonError(RobinhillError):
    """A call about cordons can't be carried out."""

    code = "CordonError"


class CordonMalformed(CordonError):
    """The call is invalid: its ID, target, reason or end. Nothing was changed."""

    code = "CordonMalformed"
    advice = "name a target (worker/ID, zone/NAME, kind/NAME or cell/NUMBER), a reason, an end ahead of now"


class CordonUnknown(CordonError):
    """No cordon has the ID that was named; the error names those that exist."""

    code = "CordonUnknown"
    advice = "look at the list: it may have ended, be lifted, or not be known here yet"

    def __init__(self, cordon_id: str, known: Sequence[str]) -> None:
        super().__init__(f"no cordon is called {cordon_id!r}; there are: {name_some(known)}")
        self.cordon_id = cordon_id


class CordonElsewhere(CordonError):
    """The ID is in use for another target. Nothing was changed."""

    code = "CordonElsewhere"
    advice = "lift that cordon first, or choose another ID"

    def __init__(self, cordon_id: str, target: str, present: Sequence[str]) -> None:
        super().__init__(f"{cordon_id!r} can't be for {target!r}: it is for {name_some(present)}")
        self.cordon_id, self.present = cordon_id, tuple(present)


class CordonsFull(CordonError):
    """A target has as many reasons as it may."""

    code = "CordonsFull"
    advice = "lift what is no longer needed, or use an ID that is there already"


class CordonBudgetSpent(CordonError):
    """An automatic cordon is not in force: it would leave out more of the fleet or of a zone than allowed."""

    code = "CordonBudgetSpent"
    advice = "look why so many are bad; cordon it yourself, which no budget forbids, or raise the budget"


class NotAccepted(CordonError):
    """By the deadline no majority of the schedulers was known to hold the change; it goes on spreading."""

    code = "NotAccepted"
    advice = "see which schedulers are down or cut off; the list tells when it is accepted"

    def __init__(self, what: str, missing: Sequence[str]) -> None:
        super().__init__(f"{what} is stored here but not accepted; not heard from: {name_some(missing)}")
        self.missing = tuple(missing)


class BoundNotMet(CordonError):
    """By the deadline some schedulers had not confirmed the change; it is accepted and goes on spreading."""

    code = "BoundNotMet"
    advice = "those that are named may still act as before: see whether they run, or stop them"

    def __init__(self, what: str, unconfirmed: Sequence[str]) -> None:
        super().__init__(f"{what} is accepted but not in force; unconfirmed: {name_some(unconfirmed)}")
        self.unconfirmed = tuple(unconfirmed)


class TooManyCalls(CordonError):
    """Too many changes are tracked at once. Nothing was changed."""

    code = "TooManyCalls"
    advice = "call without wait=, or wait till calls that are under way have ended"
