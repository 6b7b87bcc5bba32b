"""Taking records of another copy: what changed here, and what was declined with why."""

from collections.abc import Iterable

from robinhill.mesh.replica import Replica
from robinhill.mesh.words import MeshError, Record

Declined = tuple[Record, MeshError]


def take_all(replica: Replica, now_us: int, records: Iterable[Record]) -> tuple[list[Record], list[Declined]]:
    """Merge records; those that this copy holds anew, and those that it refused or took with a warning."""
    changed: list[Record] = []
    declined: list[Declined] = []
    for record in records:
        try:
            outcome = replica.take(now_us, record)
        except MeshError as e:
            declined.append((record, e))
            outcome = getattr(e, "held", None)  # from the future a little: it was taken all the same
        if outcome is not None:
            changed.append(outcome)
    return changed, declined
