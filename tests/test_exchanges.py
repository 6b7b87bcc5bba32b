"""Plays the scripted exchanges of tests/exchanges/ against the running program, over loopback.

The player acts as the clients (connections named c1, c2 ...), the worker endpoints (w1.1 is the first
connection to w1) and discovery (d.1; e.1 at the address that a reload configures). A file consists of steps;
the lines below a step are its message. Steps of the set-up and of connections:

    workers w1 w2           configure the endpoint list; an endpoint down-* refuses connections, one full-*
                            has a full listen queue until `admit`, and one *-t is in the zone townsville
    set JSON / limits JSON  change the settings, or set the limits
    send NAME               send a message, with `Content-Length: *` filled in
    expect NAME             receive a message; * in an expected line matches any text
    close NAME              close the connection
    closed NAME             wait until the program closes the connection
    admit WORKER            empty the listen queue of a worker full-*
    none WORKER             check that no connection is waiting at the worker
    log EVENT [PAIR]        wait for a log line with this event and this KEY=VALUE pair
    raw NAME COUNT JSON     send a JSON string's text, which need not be a message, COUNT times
    crowd COUNT [ops] [JSON]  open COUNT connections, to the operators' address with `ops`; each sends the
                            text once, or nothing, and stays open
    drip                    from this step on, send each byte in a separate write

Steps of the process:

    reload TEXT             apply JSON changes to the configuration file, or replace it by malformed text, and
                            send SIGHUP
    term                    send SIGTERM and wait until the program drains
    exit CODE               wait until the program exits with this code
    file NAME TEXT          check the content of a file in $TMPDIR
    operator JSON           write the operators' file, and send SIGHUP if the program runs
    spoil NAME              create a folder in the place of a file
    inherit                 let the player create the listening socket and pass it to each process, as
                            `replace` requires
    signal NAME             send a signal, such as KILL or STOP
    replace                 start a second process; `call`, `term`, `exit` and `signal` then apply to it, and
                            with `old` before their arguments to the first
    call STATUS METHOD PATH [BODY]  send an operator's call and check its status and lines of its answer; the
                            program closes the connection
    until LINE              poll the newest process's metrics until they contain this line

Short forms of the messages that served.txt spells out:

    job C CLASS ID TIMEOUT  the client sends a request
    take W.N ID [STATUS]    the endpoint receives the attempt, and answers it if a status is given
    event W ID STATE [TEXT] the endpoint reports a job event, which is answered with 204
    answer C STATUS [BODY]  the client receives this answer
    jobs C COUNT CLASS TIMEOUT  the clients C1, C2 ... each send a job with the client's name as its id
    answers C COUNT STATUS  each of these clients receives an answer with this status

The program sends nothing to workers before discovery has confirmed its list. Unless a step uses d.1, the
player answers each watch with an empty line, which means "nothing has changed", and repeats that line. In a
file that uses d.1, ``send d.1`` without a message below it sends an empty line.

``{w1}`` is replaced by the address of the endpoint. Every wait is for bytes, a log line, a metric or an exit.
"""

import contextlib
import json
import queue
import re
import resource
import select
import signal
import socket
import subprocess
import sys
import threading
import time
from collections.abc import Iterator
from fnmatch import fnmatchcase
from itertools import chain
from pathlib import Path
from typing import Any

import pytest

from robinhill.emulator.site import free_address

ROOT = Path(__file__).parent.parent
FILES = sorted((ROOT / "tests" / "exchanges").glob("*.txt"))
STEP_NAMES = (
    "workers|set|limits|send|raw|crowd|expect|close|closed|admit|none|log|reload|term|exit|job|take|event|answer|call|file"
    "|inherit|replace|signal|spoil|drip|operator|jobs|answers|until"
)
STEP = re.compile(rf"^({STEP_NAMES})\b ?(.*)$")
STEP_TIMEOUT_S = 10
EMPTY_LINE = b"1\r\n\n\r\n"  # an empty line of a watch, as a chunk
EMPTY_LINE_INTERVAL_S = 2.0
SETTINGS: dict[str, Any] = {
    "areas": ["brisbane", "townsville"],
    "shapes": ["std-8", "slow-8"],
    "fleet-size": 1,
    "discovery": "subscribe",
    "classes": [
        {"name": "member-lookup", "aim-us": 300000, "hard-limit-us": 7500000, "repeat": "retryable"},
        {"name": "renewal-charge", "aim-us": 750000, "hard-limit-us": 25000000, "repeat": "fragile"},
    ],
    "guarantees": {
        "drain-grace-us": 500000, "cold-from": 0.32, "cold-us": 8800000, "fall-multiple": 3.0,
        "tip-after-us": 1000000,
    },
    "policy-limits": {
        "most-tries": 4, "connect-timeout-us": 200000, "keepalive-us": 15000000,
        "max-retry-after-us": 2000000, "retry-after": True, "probes": True,
    },
    "prices": {"cross-zone": 0.1, "waste": 0.02},
    "specifics": {"class-stretch": [2.5, 2.5], "tells-start": True},
}  # fmt: skip


class UnchangedDiscovery:
    """Sends an empty line ("nothing has changed") to each watch periodically, on its own thread."""

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock
        self.watches: list[socket.socket] = []
        self.stopping = threading.Event()
        self.thread = threading.Thread(target=self._serve, daemon=True)
        self.thread.start()

    def _serve(self) -> None:
        last_sent = time.monotonic()
        while not self.stopping.is_set():
            with contextlib.suppress(OSError):
                if select.select([self.sock], [], [], 0.02)[0]:
                    watch = self.sock.accept()[0]
                    watch.makefile("rb").readline()
                    watch.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + EMPTY_LINE)
                    self.watches.append(watch)
            if time.monotonic() - last_sent >= EMPTY_LINE_INTERVAL_S:
                last_sent = time.monotonic()
                for watch in self.watches:
                    with contextlib.suppress(OSError):  # the program has closed this watch
                        watch.sendall(EMPTY_LINE)

    def stop(self) -> None:
        """Close all watches and answer no further calls."""
        self.stopping.set()
        self.thread.join()
        for watch in self.watches:
            watch.close()


def listener() -> socket.socket:
    sock = socket.socket()
    # A restarted discovery binds a port on which connections of earlier watches remain.
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    # The program binds some of these ports after the player has closed them. `free_address` reserves them, so
    # that no other process gets them in between.
    host, _, port = free_address().rpartition(":")
    sock.bind((host, int(port)))
    sock.settimeout(STEP_TIMEOUT_S)
    return sock


def address(sock: socket.socket) -> str:
    return "{}:{}".format(*sock.getsockname())


def merge(into: dict[str, Any], changes: dict[str, Any]) -> None:
    for key, value in changes.items():
        if isinstance(value, dict):
            merge(into.setdefault(key, {}), value)
        else:
            into[key] = value


class Connection:
    """The player's side of a connection, which reads complete HTTP messages."""

    def __init__(self, sock: socket.socket) -> None:
        sock.settimeout(STEP_TIMEOUT_S)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.sock, self.file = sock, sock.makefile("rb")

    def message(self) -> str:
        lines = []
        while (line := self.file.readline().decode()) and line != "\r\n":
            lines.append(line.rstrip("\r\n"))
        assert line, f"the connection ended after {lines}"
        length = next((int(x.split(":")[1]) for x in lines if x.lower().startswith("content-length:")), 0)
        lines = [x for x in lines if not x.startswith(("Date:", "Server:"))]
        return "\n".join([*lines, "", self.file.read(length).decode()]).rstrip("\n")


class Player:
    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.ports: dict[str, socket.socket] = {name: listener() for name in "desop"}
        self.fillers: dict[str, list[socket.socket]] = {}
        self.peers: dict[str, Connection] = {}
        self.settings: dict[str, Any] = json.loads(json.dumps(SETTINGS))
        self.programs: list[subprocess.Popen[str]] = []
        self.inherited_fds: tuple[int, ...] = ()
        self.sends_single_bytes = False
        self.unchanged_discovery: UnchangedDiscovery | None = None  # None if steps act as discovery
        self.steps_act_as_discovery = False
        self.accepts_clients = threading.Event()  # set once the newest process accepts clients
        self.ops_addresses: list[tuple[str, int]] = []  # of each process, in order of their start
        self.configured_limits: dict[str, int] = {}
        self.log_lines: queue.Queue[str] = queue.Queue()
        self.ports["d"].listen()
        self.ports["e"].listen()

    def workers(self, names: str, block: str) -> None:
        for name in names.split():
            sock = self.ports[name] = listener()
            if not name.startswith("down"):
                sock.listen(0 if name.startswith("full") else 16)
            if name.startswith("full"):
                self.fillers[name] = [socket.create_connection(sock.getsockname())]

    def set(self, changes: str, block: str) -> None:
        merge(self.settings, json.loads(changes))

    def limits(self, limits: str, block: str) -> None:
        self.configured_limits = json.loads(limits)

    def drip(self, _: str, block: str) -> None:
        self.sends_single_bytes = True

    def operator(self, text: str, block: str) -> None:
        (self.folder / "operator.json").write_text(text)
        if self.programs:
            self.programs[-1].send_signal(signal.SIGHUP)

    def jobs(self, arguments: str, block: str) -> None:
        client, count, job_class, timeout = arguments.split()
        for number in range(1, int(count) + 1):
            self.job(f"{client}{number} {job_class} {client}{number} {timeout}", block)

    def answers(self, arguments: str, block: str) -> None:
        client, count, status = arguments.split()
        for number in range(1, int(count) + 1):
            self.answer(f"{client}{number} {status}", block)

    def inherit(self, _: str, block: str) -> None:
        self.ports["s"].listen(64)
        self.inherited_fds = (self.ports["s"].fileno(),)

    def configure_and_start(self) -> None:
        entry = {"machineType": "std-8", "lifecycle": "active"}
        zones = {name: "townsville" if name.endswith("-t") else "brisbane" for name in self.ports}
        known = [
            {"instanceId": name, "hostPort": address(sock), "zone": zones[name], **entry}
            for name, sock in self.ports.items()
            if name not in "desop"
        ]
        listen = f"127.0.0.1:{self.scheduler_address[1]}"
        config: dict[str, Any] = {
            "name": "n1", "listen": listen, "discovery": address(self.ports["d"]), "seed": "7",
            "known": {"generation": 41, "reset": True, "instances": known}, "settings": self.settings,
            "limits": self.configured_limits,
        }  # fmt: skip
        self.config = config
        if not self.steps_act_as_discovery:
            self.unchanged_discovery = UnchangedDiscovery(self.ports["d"])
        if not self.inherited_fds:
            self.ports["s"].close()
        path = self.folder / "config.json"
        path.write_text(json.dumps(config))
        self.start("o")

    def start(self, ops: str) -> None:
        env = {"GW_CONFIG": str(self.folder / "config.json"), "GW_DISCOVERY": self.config["discovery"]}
        env |= {"TMPDIR": str(self.folder), "GW_OPS": address(self.ports[ops])}
        if (self.folder / "operator.json").exists():
            env["GW_OPERATOR"] = str(self.folder / "operator.json")
        if self.inherited_fds:
            env["GW_SOCKET_FD"] = str(self.inherited_fds[0])
        self.ops_addresses.append(self.ports[ops].getsockname())
        self.ports[ops].close()
        program = subprocess.Popen(
            [sys.executable, "-m", "robinhill"], env=env, cwd=ROOT, text=True, stderr=subprocess.PIPE,
            pass_fds=self.inherited_fds,
        )  # fmt: skip
        self.programs.append(program)
        self.accepts_clients.clear()
        self.ports[ops] = listener()  # for a process that is started later
        if sockets := self.configured_limits.get("sockets"):
            resource.prlimit(program.pid, resource.RLIMIT_NOFILE, (sockets, sockets))
        threading.Thread(target=self._read_log, args=(program,), daemon=True).start()
        if not self.steps_act_as_discovery:
            self.log("started", "")

    def replace(self, _: str, block: str) -> None:
        self.start("p")

    def select_process(self, arguments: str) -> tuple[int, str]:
        """Return the index of the process that a step applies to, and the remaining arguments."""
        old = arguments.startswith("old")
        return (0 if old else len(self.programs) - 1), arguments.removeprefix("old").strip()

    def _read_log(self, program: subprocess.Popen[str]) -> None:
        assert program.stderr
        for line in program.stderr:
            if "event=started" in line:
                self.accepts_clients.set()
            self.log_lines.put(line)

    def peer(self, name: str) -> Connection:
        if name not in self.peers:
            if "." in name:
                self.peers[name] = Connection(self.ports[name.split(".")[0]].accept()[0])
            else:
                self.peers[name] = Connection(socket.create_connection(self.scheduler_address))
        return self.peers[name]

    def substitute_addresses(self, text: str) -> str:
        for name, sock in self.ports.items():
            text = text.replace(f"{{{name}}}", address(sock) if sock.fileno() >= 0 else "")
        return text

    def send(self, name: str, block: str) -> None:
        head, _, body = self.substitute_addresses(block).partition("\n\n")
        if "Content-Length: *" in head:
            head = head.replace("Content-Length: *", f"Content-Length: {len(body)}")
        data = head.replace("\n", "\r\n") + "\r\n\r\n" + body
        if "HTTP" not in block:  # a body without a head, or a line of a watch to send as a chunk
            line = head + "\n"
            data = f"{len(line):x}\r\n{line}\r\n" if name.startswith(("d.", "e.")) else head
        sock, message = self.peer(name).sock, data.encode().replace(b"{byte}", b"\xff")
        size = 1 if self.sends_single_bytes else len(message)
        for start in range(0, len(message), size):
            sock.sendall(message[start : start + size])

    def expect(self, name: str, block: str) -> None:
        received, expected = self.peer(name).message(), self.substitute_addresses(block)
        lines = list(zip(received.split("\n"), expected.split("\n"), strict=False))
        same = received.count("\n") == expected.count("\n") and all(fnmatchcase(a, b) for a, b in lines)
        assert same, f"{name} received\n{received}\n\nexpected\n{expected}"

    def job(self, arguments: str, block: str) -> None:
        client, job_class, request_id, timeout = arguments.split()
        head = f"POST /{job_class}/x HTTP/1.1\nHost: s\nX-Request-ID: {request_id}\nX-Timeout: {timeout}\n"
        head += "".join(f"{line}\n" for line in block.split("\n") if line)
        self.send(client, head + f"X-Priority-Class: {job_class}\nContent-Length: *\n\nwork")

    def take(self, arguments: str, block: str) -> None:
        name, request_id, *status = arguments.split()
        head = f"POST /*/x HTTP/1.1\nHost: {{{name.split('.')[0]}}}\nX-Request-ID: {request_id}\n"
        self.expect(name, head + "X-Priority-Class: *\nX-Timeout: *u\nContent-Length: 4\n\nwork")
        if status:
            extra = "".join(f"{x.replace(':', ': ')}\n" for x in status[1:])
            self.send(name, f"HTTP/1.1 {status[0]} X\n{extra}Content-Length: 0")

    def event(self, arguments: str, block: str) -> None:
        source, request_id, state, *text = arguments.split()
        body = json.dumps({"id": request_id, "from": source, "state": state, "result": "".join(text)})
        self.send("events", f"POST /v1/job-events HTTP/1.1\nHost: x\nContent-Length: *\n\n{body}")
        self.expect("events", "HTTP/1.1 204 No Content")

    def answer(self, arguments: str, block: str) -> None:
        name, status, *body = arguments.split()
        received = self.peer(name).message().split("\n")
        assert received[0].split()[1] == status and (not body or received[-1] == body[0]), received
        for line in filter(None, block.split("\n")):
            assert any(fnmatchcase(x, line) for x in received), f"no line matches {line} in {received}"

    def file(self, arguments: str, block: str) -> None:
        name, _, text = arguments.partition(" ")
        assert (self.folder / name).read_text() == text

    def spoil(self, name: str, block: str) -> None:
        (self.folder / name).mkdir()

    def call(self, arguments: str, block: str) -> None:
        index, arguments = self.select_process(arguments)
        status, method, path, *body = arguments.split()
        peer = self.peers["call"] = Connection(socket.create_connection(self.ops_addresses[index]))
        text = "".join(body)
        self.send("call", f"{method} {path} HTTP/1.1\nHost: s\nContent-Length: *\n\n{text}")
        self.answer(f"call {status}", block)
        assert peer.file.read() == b""

    def until(self, line: str, block: str) -> None:
        deadline, metrics = time.monotonic() + STEP_TIMEOUT_S, ""
        while line not in metrics.split("\n"):
            assert time.monotonic() < deadline, f"the metrics lack {line} in {metrics}"
            peer = Connection(socket.create_connection(self.ops_addresses[-1]))
            peer.sock.sendall(b"GET /ops/stats HTTP/1.1\r\nHost: s\r\n\r\n")
            metrics = peer.message()
            peer.file.close()
            peer.sock.close()

    def close(self, name: str, block: str) -> None:
        peer = self.peers[name]
        peer.file.close()
        peer.sock.close()

    def closed(self, name: str, block: str) -> None:
        with contextlib.suppress(ConnectionResetError):
            assert self.peer(name).file.read() == b""

    def admit(self, name: str, block: str) -> None:
        self.ports[name].accept()
        for sock in self.fillers.pop(name):
            sock.close()

    def none(self, name: str, block: str) -> None:
        self.ports[name].setblocking(False)
        with pytest.raises(BlockingIOError):
            self.ports[name].accept()
        self.ports[name].settimeout(STEP_TIMEOUT_S)

    def log(self, arguments: str, block: str) -> None:
        event, _, pair = arguments.partition(" ")
        lines: list[str] = []
        deadline = time.monotonic() + STEP_TIMEOUT_S  # other log lines must not extend the wait
        while not lines or f"event={event}" not in lines[-1] or pair not in lines[-1]:
            try:
                lines.append(self.log_lines.get(timeout=max(0.0, deadline - time.monotonic())))
            except queue.Empty:
                pytest.fail(f"no log line has {arguments}: {lines}")

    def raw(self, arguments: str, block: str) -> None:
        name, count, text = arguments.split(" ", 2)
        self.peer(name).sock.sendall(json.loads(text).encode() * int(count))

    def crowd(self, arguments: str, block: str) -> None:
        count, _, text = arguments.partition(" ")
        ops = text.startswith("ops")
        for _ in range(int(count)):
            name = f"crowd{len(self.peers)}"
            if ops:
                self.peers[name] = Connection(socket.create_connection(self.ops_addresses[-1]))
            self.raw(f"{name} 1 {text.removeprefix('ops').strip() or json.dumps('')}", "")

    def reload(self, text: str, block: str) -> None:
        path = self.folder / "config.json"
        path.write_text(
            json.dumps(self.config | json.loads(self.substitute_addresses(text))) if "{" in text else text
        )
        self.programs[-1].send_signal(signal.SIGHUP)

    def term(self, arguments: str, block: str) -> None:
        self.programs[self.select_process(arguments)[0]].send_signal(signal.SIGTERM)
        self.log("draining", "")

    def signal(self, arguments: str, block: str) -> None:
        index, name = self.select_process(arguments)
        self.programs[index].send_signal(signal.Signals[f"SIG{name}"])

    def exit(self, arguments: str, block: str) -> None:
        index, code = self.select_process(arguments)
        assert self.programs[index].wait(STEP_TIMEOUT_S) == int(code)

    def play(self, text: str) -> None:
        self.scheduler_address = self.ports["s"].getsockname()
        self.steps_act_as_discovery = "d.1" in text
        steps: list[tuple[str, str, list[str]]] = []
        for line in text.splitlines():
            if found := STEP.match(line):
                steps.append((found[1], found[2], []))
            elif steps and not line.startswith("#"):
                steps[-1][2].append(line)
        for step, argument, block in steps:
            if not self.programs and step not in ("workers", "set", "limits", "inherit", "operator"):
                self.configure_and_start()
            if self.programs and step != "log" and not argument.startswith(("d.", "e.")):
                assert self.accepts_clients.wait(STEP_TIMEOUT_S), "the newest process does not accept clients"
            getattr(self, step)(argument, "\n".join(block).strip("\n"))

    def stop(self) -> None:
        if self.unchanged_discovery:
            self.unchanged_discovery.stop()
        for peer in self.peers.values():
            peer.file.close()
            peer.sock.close()
        for sock in chain(self.ports.values(), *self.fillers.values()):
            sock.close()
        for program in self.programs:
            program.kill()
            program.wait()


@pytest.fixture
def player(tmp_path: Path) -> Iterator[Player]:
    player = Player(tmp_path)
    yield player
    player.stop()


@pytest.mark.parametrize("file", FILES, ids=lambda f: f.stem)
def test_exchange(file: Path, player: Player) -> None:
    player.play(file.read_text())
