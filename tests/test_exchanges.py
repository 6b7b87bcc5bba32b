"""Plays the recorded exchanges of tests/exchanges/ against the started program, over loopback.

The player takes the part of clients (connections named c1, c2 ...), endpoints (w1.1 is the first connection
that w1 gets) and discovery (d.1; e.1 at the address that a reload names). A file holds steps, each with the
bytes of a message below it:

    workers w1 w2           the list known at the start; an endpoint called down-* refuses connections,
                            one called full-* lets none come up until `admit`, *-t is in townsville
    set {...} / limits {..} changes to the settings, and the limits
    send NAME / expect NAME a message, with Content-Length filled in; * in an expected line is anything
    close NAME / closed NAME / admit WORKER / none WORKER (no connection has come) / log EVENT [PAIR]
    raw NAME COUNT JSON     text that is no message, so many times
    crowd COUNT [ops] [JSON]  so many connections (to operators) that say this once, or nothing, and stay
    reload TEXT             the configuration file gets these changes, or text that is no JSON; SIGHUP
    term / exit CODE        SIGTERM, and the end of the program
    file NAME TEXT          what a file in $TMPDIR holds
    operator JSON           the operators' file; while the program runs: it is replaced, and SIGHUP
    spoil NAME              a folder there in its place
    drip                    from here on each byte that is sent is a write of its own
    inherit                 the listening socket is the player's, and passed on; then also:
    signal NAME             a signal, such as KILL or STOP
    replace                 a second process; `call`, `term`, `exit` mean that one then, with `old` the first
    call STATUS METHOD PATH [BODY]  an operator's call, and lines of its answer; its connection ends

and short forms of the messages that served.txt spells out:

    job C CLASS ID TIMEOUT  a client's request
    take W.N ID [STATUS]    the endpoint gets it (and answers)
    event W ID STATE [TEXT] the endpoint's call about it, answered 204
    answer C STATUS [BODY]  what the client gets
    jobs C COUNT ...        so many clients C1, C2 ... that each send a job of an id of the same name
    answers C COUNT STATUS  what each of them gets
    until LINE              the newest process's figures come to hold this line

A program sends nothing before discovery has confirmed its list. Where no step plays discovery, the player
answers each watch with an empty line, "nothing has changed", and repeats it; a step that does may send one as
``send d.1`` with nothing below it.

``{w1}`` stands for an endpoint's address. Waiting is always for bytes, a log line or an end.
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
WORDS = (
    "workers|set|limits|send|raw|crowd|expect|close|closed|admit|none|log|reload|term|exit|job|take|event|answer|call|file"
    "|inherit|replace|signal|spoil|drip|operator|jobs|answers|until"
)
STEP = re.compile(rf"^({WORDS})\b ?(.*)$")
PATIENCE_S = 10
UNCHANGED = b"1\r\n\n\r\n"  # an empty line of a watch, as a chunk
UNCHANGED_EVERY_S = 2.0
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


class QuietDiscovery:
    """Answers each watch with the word that nothing has changed, again and again; on a thread of its own."""

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock
        self.watches: list[socket.socket] = []
        self.stopping = threading.Event()
        self.thread = threading.Thread(target=self._serve, daemon=True)
        self.thread.start()

    def _serve(self) -> None:
        said = time.monotonic()
        while not self.stopping.is_set():
            with contextlib.suppress(OSError):
                if select.select([self.sock], [], [], 0.02)[0]:
                    watch = self.sock.accept()[0]
                    watch.makefile("rb").readline()
                    watch.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + UNCHANGED)
                    self.watches.append(watch)
            if time.monotonic() - said >= UNCHANGED_EVERY_S:
                said = time.monotonic()
                for watch in self.watches:
                    with contextlib.suppress(OSError):  # the program has left it
                        watch.sendall(UNCHANGED)

    def stop(self) -> None:
        """Discovery goes down: its watches end, and nobody answers any more."""
        self.stopping.set()
        self.thread.join()
        for watch in self.watches:
            watch.close()


def listener() -> socket.socket:
    sock = socket.socket()
    # Discovery comes back on a port that has old watches.
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    # The program binds some of these only after they are closed here: nobody else may get them meanwhile.
    host, _, port = free_address().rpartition(":")
    sock.bind((host, int(port)))
    sock.settimeout(PATIENCE_S)
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
    """One side of a connection; reads whole messages."""

    def __init__(self, sock: socket.socket) -> None:
        sock.settimeout(PATIENCE_S)
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
        self.passed: tuple[int, ...] = ()
        self.dripping = False
        self.quiet: QuietDiscovery | None = None  # where no step plays discovery
        self.plays_discovery = False
        self.begun = threading.Event()  # the newest process takes clients
        self.ops: list[tuple[str, int]] = []
        self.given: dict[str, int] = {}
        self.logged: queue.Queue[str] = queue.Queue()
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
        self.given = json.loads(limits)

    def drip(self, _: str, block: str) -> None:
        self.dripping = True

    def operator(self, text: str, block: str) -> None:
        (self.folder / "operator.json").write_text(text)
        if self.programs:
            self.programs[-1].send_signal(signal.SIGHUP)

    def jobs(self, words: str, block: str) -> None:
        client, count, job_class, timeout = words.split()
        for number in range(1, int(count) + 1):
            self.job(f"{client}{number} {job_class} {client}{number} {timeout}", block)

    def answers(self, words: str, block: str) -> None:
        client, count, status = words.split()
        for number in range(1, int(count) + 1):
            self.answer(f"{client}{number} {status}", block)

    def inherit(self, _: str, block: str) -> None:
        self.ports["s"].listen(64)
        self.passed = (self.ports["s"].fileno(),)

    def run(self) -> None:
        entry = {"machineType": "std-8", "lifecycle": "active"}
        zones = {name: "townsville" if name.endswith("-t") else "brisbane" for name in self.ports}
        known = [
            {"instanceId": name, "hostPort": address(sock), "zone": zones[name], **entry}
            for name, sock in self.ports.items()
            if name not in "desop"
        ]
        listen = f"127.0.0.1:{self.at[1]}"
        config: dict[str, Any] = {
            "name": "n1", "listen": listen, "discovery": address(self.ports["d"]), "seed": "7",
            "known": {"generation": 41, "reset": True, "instances": known}, "settings": self.settings,
            "limits": self.given,
        }  # fmt: skip
        self.config = config
        if not self.plays_discovery:
            self.quiet = QuietDiscovery(self.ports["d"])
        if not self.passed:
            self.ports["s"].close()
        path = self.folder / "config.json"
        path.write_text(json.dumps(config))
        self.start("o")

    def start(self, ops: str) -> None:
        env = {"GW_CONFIG": str(self.folder / "config.json"), "GW_DISCOVERY": self.config["discovery"]}
        env |= {"TMPDIR": str(self.folder), "GW_OPS": address(self.ports[ops])}
        if (self.folder / "operator.json").exists():
            env["GW_OPERATOR"] = str(self.folder / "operator.json")
        if self.passed:
            env["GW_SOCKET_FD"] = str(self.passed[0])
        self.ops.append(self.ports[ops].getsockname())
        self.ports[ops].close()
        program = subprocess.Popen(
            [sys.executable, "-m", "robinhill"], env=env, cwd=ROOT, text=True, stderr=subprocess.PIPE,
            pass_fds=self.passed,
        )  # fmt: skip
        self.programs.append(program)
        self.begun.clear()
        self.ports[ops] = listener()  # for a later one
        if sockets := self.given.get("sockets"):
            resource.prlimit(program.pid, resource.RLIMIT_NOFILE, (sockets, sockets))
        threading.Thread(target=self._read_log, args=(program,), daemon=True).start()
        if not self.plays_discovery:
            self.log("started", "")

    def replace(self, _: str, block: str) -> None:
        self.start("p")

    def which(self, words: str) -> tuple[int, str]:
        """The process that a step means, and the rest of its words."""
        old = words.startswith("old")
        return (0 if old else len(self.programs) - 1), words.removeprefix("old").strip()

    def _read_log(self, program: subprocess.Popen[str]) -> None:
        assert program.stderr
        for line in program.stderr:
            if "event=started" in line:
                self.begun.set()
            self.logged.put(line)

    def peer(self, name: str) -> Connection:
        if name not in self.peers:
            if "." in name:
                self.peers[name] = Connection(self.ports[name.split(".")[0]].accept()[0])
            else:
                self.peers[name] = Connection(socket.create_connection(self.at))
        return self.peers[name]

    def fill(self, text: str) -> str:
        for name, sock in self.ports.items():
            text = text.replace(f"{{{name}}}", address(sock) if sock.fileno() >= 0 else "")
        return text

    def send(self, name: str, block: str) -> None:
        head, _, body = self.fill(block).partition("\n\n")
        if "Content-Length: *" in head:
            head = head.replace("Content-Length: *", f"Content-Length: {len(body)}")
        data = head.replace("\n", "\r\n") + "\r\n\r\n" + body
        if "HTTP" not in block:  # a body by itself, or a line of a watch as a chunk
            line = head + "\n"
            data = f"{len(line):x}\r\n{line}\r\n" if name.startswith(("d.", "e.")) else head
        sock, whole = self.peer(name).sock, data.encode().replace(b"{byte}", b"\xff")
        size = 1 if self.dripping else len(whole)
        for start in range(0, len(whole), size):
            sock.sendall(whole[start : start + size])

    def expect(self, name: str, block: str) -> None:
        got, wanted = self.peer(name).message(), self.fill(block)
        lines = list(zip(got.split("\n"), wanted.split("\n"), strict=False))
        same = got.count("\n") == wanted.count("\n") and all(fnmatchcase(a, b) for a, b in lines)
        assert same, f"{name}: got\n{got}\n\nwanted\n{wanted}"

    def job(self, words: str, block: str) -> None:
        client, job_class, wire_id, timeout = words.split()
        head = f"POST /{job_class}/x HTTP/1.1\nHost: s\nX-Request-ID: {wire_id}\nX-Timeout: {timeout}\n"
        head += "".join(f"{line}\n" for line in block.split("\n") if line)
        self.send(client, head + f"X-Priority-Class: {job_class}\nContent-Length: *\n\nwork")

    def take(self, words: str, block: str) -> None:
        name, wire_id, *status = words.split()
        head = f"POST /*/x HTTP/1.1\nHost: {{{name.split('.')[0]}}}\nX-Request-ID: {wire_id}\n"
        self.expect(name, head + "X-Priority-Class: *\nX-Timeout: *u\nContent-Length: 4\n\nwork")
        if status:
            extra = "".join(f"{x.replace(':', ': ')}\n" for x in status[1:])
            self.send(name, f"HTTP/1.1 {status[0]} X\n{extra}Content-Length: 0")

    def event(self, words: str, block: str) -> None:
        source, wire_id, state, *text = words.split()
        body = json.dumps({"id": wire_id, "from": source, "state": state, "result": "".join(text)})
        self.send("events", f"POST /v1/job-events HTTP/1.1\nHost: x\nContent-Length: *\n\n{body}")
        self.expect("events", "HTTP/1.1 204 No Content")

    def answer(self, words: str, block: str) -> None:
        name, status, *body = words.split()
        got = self.peer(name).message().split("\n")
        assert got[0].split()[1] == status and (not body or got[-1] == body[0]), got
        for line in filter(None, block.split("\n")):
            assert any(fnmatchcase(x, line) for x in got), f"no {line} in {got}"

    def file(self, words: str, block: str) -> None:
        name, _, text = words.partition(" ")
        assert (self.folder / name).read_text() == text

    def spoil(self, name: str, block: str) -> None:
        (self.folder / name).mkdir()

    def call(self, words: str, block: str) -> None:
        which, words = self.which(words)
        status, method, path, *body = words.split()
        peer = self.peers["call"] = Connection(socket.create_connection(self.ops[which]))
        text = "".join(body)
        self.send("call", f"{method} {path} HTTP/1.1\nHost: s\nContent-Length: *\n\n{text}")
        self.answer(f"call {status}", block)
        assert peer.file.read() == b""

    def until(self, line: str, block: str) -> None:
        end, got = time.monotonic() + PATIENCE_S, ""
        while line not in got.split("\n"):
            assert time.monotonic() < end, f"no {line} in {got}"
            peer = Connection(socket.create_connection(self.ops[-1]))
            peer.sock.sendall(b"GET /ops/stats HTTP/1.1\r\nHost: s\r\n\r\n")
            got = peer.message()
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
        self.ports[name].settimeout(PATIENCE_S)

    def log(self, words: str, block: str) -> None:
        event, _, pair = words.partition(" ")
        seen: list[str] = []
        until = time.monotonic() + PATIENCE_S  # lines that come every now and then must not prolong it
        while not seen or f"event={event}" not in seen[-1] or pair not in seen[-1]:
            try:
                seen.append(self.logged.get(timeout=max(0.0, until - time.monotonic())))
            except queue.Empty:
                pytest.fail(f"no {words} in the log: {seen}")

    def raw(self, words: str, block: str) -> None:
        name, count, text = words.split(" ", 2)
        self.peer(name).sock.sendall(json.loads(text).encode() * int(count))

    def crowd(self, words: str, block: str) -> None:
        count, _, text = words.partition(" ")
        ops = text.startswith("ops")
        for _ in range(int(count)):
            name = f"crowd{len(self.peers)}"
            if ops:
                self.peers[name] = Connection(socket.create_connection(self.ops[-1]))
            self.raw(f"{name} 1 {text.removeprefix('ops').strip() or json.dumps('')}", "")

    def reload(self, text: str, block: str) -> None:
        path = self.folder / "config.json"
        path.write_text(json.dumps(self.config | json.loads(self.fill(text))) if "{" in text else text)
        self.programs[-1].send_signal(signal.SIGHUP)

    def term(self, words: str, block: str) -> None:
        self.programs[self.which(words)[0]].send_signal(signal.SIGTERM)
        self.log("draining", "")

    def signal(self, words: str, block: str) -> None:
        which, name = self.which(words)
        self.programs[which].send_signal(signal.Signals[f"SIG{name}"])

    def exit(self, words: str, block: str) -> None:
        which, code = self.which(words)
        assert self.programs[which].wait(PATIENCE_S) == int(code)

    def play(self, text: str) -> None:
        self.at = self.ports["s"].getsockname()
        self.plays_discovery = "d.1" in text
        steps: list[tuple[str, str, list[str]]] = []
        for line in text.splitlines():
            if found := STEP.match(line):
                steps.append((found[1], found[2], []))
            elif steps and not line.startswith("#"):
                steps[-1][2].append(line)
        for word, argument, block in steps:
            if not self.programs and word not in ("workers", "set", "limits", "inherit", "operator"):
                self.run()
            if self.programs and word != "log" and not argument.startswith(("d.", "e.")):
                assert self.begun.wait(PATIENCE_S), "it does not take clients"
            getattr(self, word)(argument, "\n".join(block).strip("\n"))

    def stop(self) -> None:
        if self.quiet:
            self.quiet.stop()
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
    made = Player(tmp_path)
    yield made
    made.stop()


@pytest.mark.parametrize("file", FILES, ids=lambda f: f.stem)
def test_exchange(file: Path, player: Player) -> None:
    player.play(file.read_text())
