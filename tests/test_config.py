"""Bad configuration ends the program with one line that names the key."""

import copy
import json
import socket
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest

from .test_exchanges import ROOT, SETTINGS, merge

GIVEN: dict[str, Any] = {
    "name": "n1", "listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "settings": SETTINGS
}  # fmt: skip
ENTRY = {"instanceId": "s-1", "hostPort": "h:1", "zone": "a", "machineType": "b", "lifecycle": "gone"}


def start(folder: Path, given: dict[str, Any], env: dict[str, str], passed: tuple[int, ...] = ()) -> str:
    """The one line that the program ends with."""
    path = folder / "config.json"
    path.write_text(json.dumps(given))
    done = subprocess.run(
        [sys.executable, "-m", "robinhill"], env={"GW_CONFIG": str(path)} | env, cwd=ROOT, text=True,
        capture_output=True, check=False, pass_fds=passed,
    )  # fmt: skip
    assert done.returncode == 2 and done.stderr.count("\n") == 1, done.stderr
    return done.stderr


@pytest.mark.parametrize(
    "changes, env, key",
    [
        ({}, {"GW_LISTEN": "nowhere"}, "GW_LISTEN"),
        ({}, {"GW_DISCOVERY": "127.0.0.1:0"}, "GW_DISCOVERY"),
        ({}, {"GW_CONFIG": "/no/such/file"}, "GW_CONFIG"),
        ({"name": ""}, {}, "GW_NAME"),
        ({"ops": "nowhere"}, {}, "ops"),
        ({}, {"GW_OPS": "nowhere:0"}, "GW_OPS"),
        ({}, {"TMPDIR": "/no/such/folder"}, "TMPDIR"),
        ({}, {"GW_SOCKET_FD": "four"}, "GW_SOCKET_FD"),
        ({}, {"GW_SOCKET_FD": "99"}, "GW_SOCKET_FD"),
        ({}, {"GW_SOCKET_FD": "2"}, "GW_SOCKET_FD"),  # no socket
        ({"seed": "xyz"}, {}, "seed"),
        ({"limits": {"sockets": 3}}, {}, "limits.sockets"),
        ({"known": {"generation": 1, "reset": True, "instances": [ENTRY]}}, {}, "known"),
        ({"settings": {"classes": []}}, {}, "settings.classes"),
        ({"settings": {"classes": [{"name": "x", "aim-us": "1"}]}}, {}, "settings.classes[0].aim-us"),
        ({"settings": {"policy-limits": {"most-tries": None}}}, {}, "settings.policy-limits.most-tries"),
        ({"settings": {"prices": 3}}, {}, "settings.prices"),
        ({"settings": {"areas": "brisbane"}}, {}, "settings.areas"),
        ({"settings": {"guarantees": {"cold-us": 0}}}, {}, "settings"),
    ],
)
def test_the_faulty_key_is_named(
    changes: dict[str, Any], env: dict[str, str], key: str, tmp_path: Path
) -> None:
    given = copy.deepcopy(GIVEN)
    merge(given, changes)
    assert start(tmp_path, given, env).startswith(f"robinhill: {key}: ")


def test_an_inherited_socket_must_listen(tmp_path: Path) -> None:
    with socket.socket() as idle:
        line = start(tmp_path, GIVEN, {"GW_SOCKET_FD": str(idle.fileno())}, (idle.fileno(),))
    assert line.startswith("robinhill: GW_SOCKET_FD: ") and "listen" in line


def test_an_address_in_use_is_a_faulty_listen(tmp_path: Path) -> None:
    with socket.create_server(("127.0.0.1", 0)) as taken:
        line = start(tmp_path, GIVEN, {"GW_LISTEN": f"127.0.0.1:{taken.getsockname()[1]}"})
    assert line.startswith("robinhill: GW_LISTEN: can't listen on 127.0.0.1:")
