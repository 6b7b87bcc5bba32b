"""Runs a voter of the control group as a child process."""

from pathlib import Path
from typing import Any

from robinhill.emulator.discovery import Listed
from robinhill.emulator.program import Program
from robinhill.emulator.site import Site

Json = dict[str, Any]
VOTER = ("-m", "robinhill", "control")


def voter_program(
    folder: Path,
    site: Site,
    discovery: Listed,
    operator: Json,
    name: str,
    *,
    state: Path | None = None,
    entry: tuple[str, ...] = VOTER,
) -> Program:
    """A program that runs `robinhill control` under this name.

    A voter does not read the platform's configuration; ``Program`` writes the file all the same.
    """
    return Program(
        folder,
        site,
        discovery,
        operator,
        name,
        state=state,
        entry=entry,
        env={"GW_NAME": name},
    )
