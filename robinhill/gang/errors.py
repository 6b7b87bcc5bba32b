"""What can be wrong with gangs, and what an operator can do about it."""

from robinhill.errors import RobinhillError


class GangError(RobinhillError):
    """Something about a gang of jobs is wrong; the job itself runs all the same, as one without a gang."""

    code = "GangError"


class MalformedGang(GangError):
    """A request's gang header can't be read."""

    code = "MalformedGang"
    advice = "tell the portal's developers: the header must read id=NAME;size=COUNT;index=0..COUNT-1, once"


class GangMismatch(GangError):
    """A member says another size than the members before it."""

    code = "GangMismatch"
    advice = "tell the portal's developers: all members of a gang must give one size, and ids are used once"


class DuplicateMember(GangError):
    """Two requests at a time claim one place in a gang."""

    code = "DuplicateMember"
    advice = "tell the portal's developers: each member has an index of its own, and a repeat waits its turn"


class GangsFull(GangError):
    """More gangs or members are under way than are followed."""

    code = "GangsFull"
    advice = "nothing is lost but looking for stragglers there; raise gangs or members in the operators' file"


class NoSuchGang(GangError):
    """No gang of this id is known here."""

    code = "NoSuchGang"
    advice = "put its tenant before the id (TENANT/ID), and ask soon, at a scheduler that had members"
