"""A job's place in its gang, and the header of a request that names it."""

import re
from dataclasses import dataclass

from robinhill.gang.errors import MalformedGang

HEADER = "X-Gang"
# Larger gangs would make a shared record of over 32 kB; a season report has some tens of parts.
MAX_SIZE = 128
MAX_HEADER = 160  # characters; the longest proper one has some 90
MAX_NAME = 128  # characters of a gang's name with its owner; keys of records are not longer
_FIELD_FORM = re.compile(r"\s*([a-z]+)\s*=\s*([!-:<-~]+)\s*", re.ASCII)
_ID_FORM = re.compile(r"[A-Za-z0-9._:-]{1,64}", re.ASCII)
_NUMBER_FORM = re.compile(r"[0-9]{1,4}", re.ASCII)


@dataclass(slots=True, frozen=True)
class Membership:
    """A job's place in its gang, as its header names it. ``owner`` keeps tenants' ids apart."""

    id: str
    size: int
    index: int
    owner: str = ""

    @property
    def gang(self) -> str:
        """What the gang is called among schedulers and by operators."""
        return f"{self.owner}/{self.id}" if self.owner else self.id


def read_membership(values: list[str], owner: str = "") -> Membership | None:
    """Decode all values of the gang header of one request; None where there is none.

    ``owner`` is the tenant, where admission control tells one. Keys that a newer portal may add are passed
    over. Raises MalformedGang.
    """
    if not values:
        return None
    if len(values) > 1:
        raise MalformedGang("the gang header stands more than once")
    if len(values[0]) > MAX_HEADER:
        raise MalformedGang(f"the gang header has {len(values[0])} characters, at most {MAX_HEADER} are read")
    fields: dict[str, str] = {}
    for part in values[0].strip().removesuffix(";").split(";"):
        if not (form := _FIELD_FORM.fullmatch(part)):
            raise MalformedGang(f"the gang header has {part[:40]!r} where key=value is due")
        if form[1] in fields:
            raise MalformedGang(f"the gang header names {form[1][:40]!r} twice")
        fields[form[1]] = form[2]
    name, size, index = (fields.get(key, "") for key in ("id", "size", "index"))
    if not _ID_FORM.fullmatch(name):
        raise MalformedGang("a gang's id must be 1 to 64 letters, digits or any of . _ : -")
    for key, text in (("size", size), ("index", index)):
        if not _NUMBER_FORM.fullmatch(text):
            raise MalformedGang(f"a gang's {key} must be a whole number, is {text[:40]!r}")
    if not 1 <= int(size) <= MAX_SIZE:
        raise MalformedGang(f"a gang's size must be 1 to {MAX_SIZE}, is {int(size)}")
    if int(index) >= int(size):
        raise MalformedGang(f"a gang's index must be below its size {int(size)}, is {int(index)}")
    return Membership(name, int(size), int(index), owner[: MAX_NAME - len(name) - 1])
