"""Errors about gangs, each with advice for the operator."""

from robinhill.errors import RobinhillError


class GangError(RobinhillError):
    """A job's gang membership is refused; the job itself still runs, as one without a gang."""

    code = "GangError"


class MalformedGang(GangError):
    """A request's gang header can't be parsed."""

    code = "MalformedGang"
    advice = "tell the portal's developers: send the header once, as id=NAME;size=COUNT;index=0..COUNT-1"


class GangMismatch(GangError):
    """A member states a gang size that differs from that of the members before it."""

    code = "GangMismatch"
    advice = "tell the portal's developers: all members of a gang must state the same size; never reuse an id"


class DuplicateMember(GangError):
    """A request names a gang index whose member is still under way in another request."""

    code = "DuplicateMember"
    advice = "tell the portal's developers: give each member its own index; repeat it only after it has ended"


class GangsFull(GangError):
    """The limit of gangs or members is reached, and each gang held has members under way here."""

    code = "GangsFull"
    advice = "the jobs run, but are not checked for stragglers; raise gangs or members in the operators' file"


class NoSuchGang(GangError):
    """This scheduler holds no gang with the given id."""

    code = "NoSuchGang"
    advice = "give it as TENANT/ID, at a scheduler with members of it, within 15 minutes of its last update"
