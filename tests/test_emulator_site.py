"""Addresses that the emulators give out belong to one process of the host alone."""

import subprocess
import sys
from pathlib import Path

import pytest

from robinhill.emulator import site

ROOT = Path(__file__).parent.parent
ASK = """
import sys
from robinhill.emulator import site
site.PORTS = range(20_000, 20_064)
try:
    print(site.free_address())
except OSError as error:
    print(error)
"""


def asked_by_another_process() -> str:
    """What another process gets from the same 64 ports."""
    command = [sys.executable, "-c", ASK]
    return subprocess.run(command, cwd=ROOT, capture_output=True, text=True, check=True).stdout.strip()


def test_two_processes_never_get_one_address(monkeypatch: pytest.MonkeyPatch) -> None:
    """Whoever gets a port listens on it only later, so the other process must know of it all the same."""
    monkeypatch.setattr(site, "PORTS", range(20_000, 20_064))
    given: set[str] = set()
    try:
        while True:
            given.add(site.free_address())
    except OSError:
        assert given
    other = asked_by_another_process()
    assert other not in given
    assert other == "none of the 64 ports tried is free"
