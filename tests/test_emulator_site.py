"""Loopback addresses of the emulators are unique among all processes of the host."""

import os
import subprocess
import sys
from pathlib import Path

import pytest

from robinhill.emulator import site

ROOT = Path(__file__).parent.parent
PORT_COUNT = 64  # as many ports as `free_address` tries, so that it tries all of them
# Test sessions that run at the same time use different ports: reservations are shared by the whole host.
FIRST_PORT = site.PORTS[PORT_COUNT * (os.getpid() % (len(site.PORTS) // PORT_COUNT))]
FREE_ADDRESS_PROGRAM = f"""
import sys
from robinhill.emulator import site
site.PORTS = range({FIRST_PORT}, {FIRST_PORT + PORT_COUNT})
try:
    print(site.free_address())
except OSError as error:
    print(error)
"""


def free_address_in_another_process() -> str:
    """The address, or the error text, that another process gets from the same 64 ports."""
    command = [sys.executable, "-c", FREE_ADDRESS_PROGRAM]
    return subprocess.run(command, cwd=ROOT, capture_output=True, text=True, check=True).stdout.strip()


def test_free_address_is_unique_across_processes(monkeypatch: pytest.MonkeyPatch) -> None:
    """A process listens on its port only later; until then a second process must not get the port either."""
    monkeypatch.setattr(site, "PORTS", range(FIRST_PORT, FIRST_PORT + PORT_COUNT))
    returned: set[str] = set()
    try:
        while True:
            returned.add(site.free_address())
    except OSError:
        assert returned
    other = free_address_in_another_process()
    assert other not in returned
    assert other == "none of the 64 ports tried is free"
