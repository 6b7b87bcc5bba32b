"""The membership of a job in a gang, and the request header that states it."""

import re
from dataclasses import dataclass

from robinhill.gang.errors import MalformedGang

HEADER = "X-Gang"
# The shared record of a larger gang would exceed 32 kB; a season report has some tens of parts.
MAX_SIZE = 128
MAX_HEADER = 160  # characters; the longest valid header has about 90
MAX_NAME = 128  # characters of a gang's name with its owner; the limit of record keys in the mesh
_FIELD_FORM = re.compile(r"\s*([a-z]+)\s*=\s*([!-:<-~]+)\s*", re.ASCII)
_ID_FORM = re.compile(r"[A-Za-z0-9._:-]{1,64}", re.ASCII)
_NUMBER_FORM = re.compile(r"[0-9]{1,4}", re.ASCII)


@dataclass(slots=True, frozen=True)
class Membership:
    """The gang of a job and the job's index in it. ``owner`` separates equal ids of different tenants."""

    id: str
    size: int
    index: int
    owner: str = ""

    @property
    def gang(self) -> str:
        """The gang's name in the mesh and for operators."""
        return f"{self.owner}/{self.id}" if self.owner else self.id


def read_membership(values: list[str], owner: str = "") -> Membership | None:
    """Parse the gang header of one request from all its values; None if the request has no such header.

    ``owner`` is the tenant, if admission control identifies one. Unknown keys are ignored, as newer portals
    may add some. Raises MalformedGang.
    """
    if not values:
        return None
    if len(values) > 1:
        raise MalformedGang("the request has more than one gang header")
    if len(values[0]) > MAX_HEADER:
        raise MalformedGang(f"the gang header has {len(values[0])} characters, at most {MAX_HEADER} allowed")
    fields: dict[str, str] = {}
    for part in values[0].strip().removesuffix(";").split(";"):
        if not (form := _FIELD_FORM.fullmatch(part)):
            raise MalformedGang(f"the gang header has {part[:40]!r} where key=value is expected")
        if form[1] in fields:
            raise MalformedGang(f"the gang header has the key {form[1][:40]!r} twice")
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
