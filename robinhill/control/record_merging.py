"""Taking records of another copy: what changed here, and what was declined with why."""

from collections.abc import Iterable

from robinhill.mesh.errors import MeshError
from robinhill.mesh.records import Record
from robinhill.mesh.replica import Replica

Declined = tuple[Record, MeshError]


def merge_records(
    replica: Replica, now_us: int, records: Iterable[Record]
) -> tuple[list[Record], list[Declined]]:
    """Merge records; those that this copy holds anew, and those that it refused or took with a warning."""
    changed: list[Record] = []
    declined: list[Declined] = []
    for record in records:
        try:
            outcome = replica.merge(now_us, record)
        except MeshError as e:
            declined.append((record, e))
            outcome = accepted_with_warning(e)
        if outcome is not None:
            changed.append(outcome)
    return changed, declined


def accepted_with_warning(error: MeshError) -> Record | None:
    """The record that is held all the same, as it was from the future a little; None: it was refused."""
    held = getattr(error, "stored", None)
    return held if isinstance(held, Record) else None


def refused(declined: Iterable[Declined]) -> bool:
    """Whether any record was not taken at all: who refused one does not hold what the sender holds."""
    return any(accepted_with_warning(error) is None for _, error in declined)
