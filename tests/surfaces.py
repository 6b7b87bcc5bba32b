"""Access to the program's external interfaces under fixed names, for the compatibility tests.

External interfaces are messages, files, settings, metrics and the command line. The literals in
``tests/test_compat_*.py`` never change. When the code behind an interface is renamed, this module changes
and those tests do not. Samples are built with keywords, so that fields that swap places change the bytes.
"""

import asyncio
import importlib
import json
import pkgutil
from collections.abc import AsyncIterator, Callable, Iterator, Mapping
from contextlib import asynccontextmanager
from enum import Enum
from pathlib import Path
from typing import Any

import click
import msgspec

import robinhill
from robinhill import api, protocol
from robinhill.admission import exported_state as admission_state
from robinhill.admission.callers import Caller
from robinhill.commands import cli
from robinhill.config import OperatorFile
from robinhill.control import messages as control
from robinhill.control.record_kinds import kinds as control_kinds
from robinhill.cordon import codec as cordon_codec
from robinhill.cordon import value as cordon
from robinhill.cordon import views
from robinhill.errors import RobinhillError
from robinhill.gang import share as gang
from robinhill.mesh import acknowledgements, frames, record_kinds, snapshot, swim_messages
from robinhill.mesh import records as mesh_records
from robinhill.mesh.replica import Replica
from robinhill.net.cordons import replies
from robinhill.net.metrics import Metrics
from robinhill.net.operators.disabled_workers import DisabledWorkerStore
from robinhill.net.peers.snapshot_store import SnapshotStore
from robinhill.placement import exported_state as placement_state
from robinhill.placement import timers
from robinhill.protocol import JobEvent, JobRequest, JobState, Lifecycle, ListedEndpoint
from robinhill.record import records as recording
from robinhill.record.frames import frame as recording_frame
from robinhill.record.frames import header as recording_header
from robinhill.record.frames import read as read_recording

from .conftest import MS, Node, sent_to
from .handover import environment
from .test_admission import Fleet

Json = dict[str, Any]

# Encodings: messages, records and their values

SAMPLES: dict[str, msgspec.Struct] = {
    "control.mesh": control.MeshData(data=b"data1"),
    "control.status": control.VoterStatus(
        incarnation=1,
        counts=True,
        voters=b"voters2",
        incarnations=(control.VoterIncarnation("starts3", 4),),
    ),
    "control.barrier": control.Barrier(number=1, urgent=True, hold=True),
    "control.behind": control.BarrierStatus(
        number=1,
        incarnation=2,
        counts=True,
        incarnations=(control.VoterIncarnation("starts3", 4),),
        lagging_count=5,
        lagging_names=("names6",),
    ),
    "control.unbar": control.BarrierEnd(number=1),
    "control.moved": control.Migrated(observers=(control.ObserverJoin("observers1", 2, 3),)),
    "control.departed": control.Departed(observers=(control.ObserverJoin("observers1", 2, 3),)),
    "control.join": control.Join(
        protocol=1,
        installation="installation2",
        name="name3",
        incarnation=4,
        bound_us=5,
        on_lost="on_lost6",
        spare=True,
        number=7,
        voter="voter8",
        voter_incarnation=9,
        position=10,
    ),
    "control.digests": control.Digests(at_us=1, digests=b"digests2"),
    "control.offer": control.Offer(
        number=1,
        records=(
            mesh_records.Record(
                kind="kind2",
                key="key3",
                stamp=mesh_records.Stamp(wall_us=4, count=5, origin="origin6", incarnation=7),
                until_us=8,
                value=b"value9",
            ),
        ),
    ),
    "control.beat": control.Heartbeat(number=1),
    "control.applied": control.Applied(received=1, position=2, urgent=3),
    "control.goodbye": control.Goodbye(),
    "control.welcome": control.Welcome(voter="voter1", incarnation=2, resumed=True),
    "control.compare": control.Compare(),
    "control.RangePart": control.RangePart(
        index=1,
        records=(
            mesh_records.Record(
                kind="kind2",
                key="key3",
                stamp=mesh_records.Stamp(wall_us=4, count=5, origin="origin6", incarnation=7),
                until_us=8,
                value=b"value9",
            ),
        ),
        last=True,
    ),
    "control.ranges": control.RangeRecords(
        parts=(
            control.RangePart(
                index=1,
                records=(
                    mesh_records.Record(
                        kind="kind2",
                        key="key3",
                        stamp=mesh_records.Stamp(wall_us=4, count=5, origin="origin6", incarnation=7),
                        until_us=8,
                        value=b"value9",
                    ),
                ),
                last=True,
            ),
        )
    ),
    "control.compared": control.Compared(position=1),
    "control.changes": control.Changes(
        position=1,
        urgent=True,
        records=(
            mesh_records.Record(
                kind="kind2",
                key="key3",
                stamp=mesh_records.Stamp(wall_us=4, count=5, origin="origin6", incarnation=7),
                until_us=8,
                value=b"value9",
            ),
        ),
    ),
    "control.reply": control.HeartbeatReply(number=1, age_us=2, position=3),
    "control.progress": control.Progress(
        number=1, accepted=True, in_force=True, lagging_count=2, lagging_names=("names3",)
    ),
    "control.refused": control.Refused(why="why1"),
    "shared.Stamp": mesh_records.Stamp(wall_us=1, count=2, origin="origin3", incarnation=4),
    "shared.Record": mesh_records.Record(
        kind="kind1",
        key="key2",
        stamp=mesh_records.Stamp(wall_us=3, count=4, origin="origin5", incarnation=6),
        until_us=7,
        value=b"value8",
    ),
    "frames.hello": frames.Hello(
        protocol=1,
        installation="installation2",
        name="name3",
        incarnation=4,
        features=("features5",),
        now_us=6,
        names=("names7",),
    ),
    "frames.push": frames.Push(
        number=1,
        records=(
            mesh_records.Record(
                kind="kind2",
                key="key3",
                stamp=mesh_records.Stamp(wall_us=4, count=5, origin="origin6", incarnation=7),
                until_us=8,
                value=b"value9",
            ),
        ),
        replaces=(10,),
    ),
    "frames.ping": frames.Ping(number=1, pushed=2, low=3),
    "frames.pong": frames.Pong(number=1, pushed=2, low=3, ages_ms=(4,), starting_ms=((5, 6),)),
    "frames.again": frames.PushResendRequest(numbers=(1,)),
    "frames.ranges": frames.RangeDigests(round=1, at_us=2, answers=True, digests=b"digests3"),
    "frames.Part": frames.RangePart(index=1, part=2, parts=3, versions=(("heads4", "heads5", b"heads6"),)),
    "frames.heads": frames.RecordVersions(
        round=1,
        parts=(frames.RangePart(index=2, part=3, parts=4, versions=(("heads5", "heads6", b"heads7"),)),),
    ),
    "frames.redo": frames.VersionsResendRequest(round=1, indices=(2,)),
    "frames.aside": frames.MemberMessage(payload=b"words1"),
    "notices.Notice": acknowledgements.Acknowledgement(
        version=1,
        incarnation=1,
        sequence=2,
        mode="mode3",
        bound_us=4,
        caught_up=True,
        serving=True,
        left=True,
        names_digest=b"names5",
        applied_digest=b"applied6",
        recent_digests=(("recent7", b"recent8"),),
        incarnations=(("starts9", 10),),
    ),
    "members.Rumour": swim_messages.MemberUpdate(
        name="name1", state=2, incarnation=3, refutations=4, reporter="by5"
    ),
    "members.check": swim_messages.Ping(
        sender="sender1",
        incarnation=2,
        number=3,
        target="target4",
        updates=(
            swim_messages.MemberUpdate(name="name5", state=6, incarnation=7, refutations=8, reporter="by9"),
        ),
    ),
    "members.check-for": swim_messages.PingRequest(
        sender="sender1",
        incarnation=2,
        number=3,
        target="target4",
        updates=(
            swim_messages.MemberUpdate(name="name5", state=6, incarnation=7, refutations=8, reporter="by9"),
        ),
    ),
    "members.checked": swim_messages.Ack(
        sender="sender1",
        incarnation=2,
        number=3,
        target="target4",
        target_incarnation=5,
        updates=(
            swim_messages.MemberUpdate(name="name6", state=7, incarnation=8, refutations=9, reporter="by10"),
        ),
    ),
    "members.word": swim_messages.Gossip(
        sender="sender1",
        incarnation=2,
        updates=(
            swim_messages.MemberUpdate(name="name3", state=4, incarnation=5, refutations=6, reporter="by7"),
        ),
    ),
    "kinds.Drain": record_kinds.Drain(at_us=1, by="by2", draining=True, reason="reason3"),
    "kinds.Sighting": record_kinds.Observation(
        observer="observer1", what="what2", at_us=3, about="about4", amount=5
    ),
    "kinds.Outcome": record_kinds.Outcome(
        state=2, attempt=1, at_us=2, window_us=3, zone="zone4", by="by5", result=b"result6"
    ),
    "snapshot.Owner": snapshot.SnapshotHeader(
        installation="installation1", origin="origin2", incarnation=3, saved_us=4
    ),
    "recording.a": recording.Arrived(
        at_us=1, id=2, kind="kind3", tenant=4, size=5, time_left_us=6, is_client_retry=True
    ),
    "recording.t": recording.Attempted(
        at_us=1, id=2, worker="worker3", outcome="outcome4", took_us=5, ran_us=6
    ),
    "recording.f": recording.Answered(at_us=1, id=2, status=3),
    "recording.l": recording.Listed(
        at_us=1, worker="worker2", zone="zone3", machine="machine4", lifecycle="lifecycle5", started_us=6
    ),
    "recording.d": recording.Dropped(at_us=1, count=2),
    "gang.MemberUpdate": gang.MemberUpdate(
        index=1,
        sequence=2,
        phase=2,
        share=3,
        waited_us=4,
        run_us=5,
        hint_us=6,
        moves=2,
        kind="kind7",
        worker="worker8",
        origin="origin9",
    ),
    "gang.Progress": gang.Progress(
        size=2,
        members=(
            gang.MemberUpdate(
                index=1,
                sequence=2,
                phase=2,
                share=3,
                waited_us=4,
                run_us=5,
                hint_us=6,
                moves=2,
                kind="kind7",
                worker="worker8",
                origin="origin9",
            ),
        ),
    ),
    "cordon.value": cordon.CordonSet(
        version=1,
        entries=(
            cordon.Entry(
                dot=cordon.Dot(origin="s1", incarnation=2, counter=3),
                reason=cordon.Reason(
                    id="auto-7",
                    text="text4",
                    by="by5",
                    since_us=6,
                    until_us=7,
                    automatic=True,
                    cause="cause8",
                    observers=("observer9",),
                    times=10,
                ),
            ),
        ),
        seen=(cordon.SeenDots(origin="s1", incarnation=2, ranges=((1, 3),)),),
        lifted_us=11,
    ),
}


def encode(sample: msgspec.Struct) -> bytes:
    """Encode a sample as it is encoded inside a message or file."""
    return msgspec.msgpack.encode(sample)


def decode(data: bytes, name: str) -> msgspec.Struct:
    """Decode bytes as the type of the sample of that name."""
    decoded: msgspec.Struct = msgspec.msgpack.decode(data, type=type(SAMPLES[name]))
    return decoded


def reencode_message(name: str, data: bytes) -> bytes:
    """Decode a whole message and encode it again by the module that owns its format.

    Raises KeyError if ``name`` is not a message of the control group or of the mesh.
    """
    if name.startswith("control."):
        return control.write(control.read(data))
    if name.startswith("frames."):
        return frames.encode_message(frames.decode_message(data))
    raise KeyError(name)


_REQUESTS = record_kinds.request_kind(record_kinds.MAX_RETRY_WINDOW_US)

VALUE_CODECS: Mapping[str, Callable[[bytes], bytes]] = {
    "cordon": lambda data: cordon_codec.encode(cordon_codec.decode(data)),
    "notice": lambda data: acknowledgements.encode(acknowledgements.decode(data)),
    "gang.progress": lambda data: gang.encode(gang.decode(data)),
    "drain": lambda data: record_kinds.DRAIN_KIND.encode(record_kinds.DRAIN_KIND.decode(data)),
    "evidence": lambda data: record_kinds.EVIDENCE_KIND.encode(record_kinds.EVIDENCE_KIND.decode(data)),
    "request": lambda data: _REQUESTS.encode(_REQUESTS.decode(data)),
}
"""For each kind of record: decodes the value of a record and encodes it again."""


def record_kind_names() -> list[str]:
    """Names of the record kinds: those that the control group replicates, in order, and then the others."""
    return [kind.name for kind in control_kinds()] + [acknowledgements.KIND_NAME, gang.NAME]


def digests() -> dict[str, str]:
    """The digests that processes compare: of a record, of byte strings, of a list of names, of a replica."""
    record = SAMPLES["shared.Record"]
    assert isinstance(record, mesh_records.Record)
    replica = Replica("s1", 5, (cordon_codec.cordon_kind(), record_kinds.DRAIN_KIND))
    stamp = mesh_records.Stamp(wall_us=1_000_000, count=0, origin="s2", incarnation=3)
    drain = encode(SAMPLES["kinds.Drain"])
    replica.merge(
        2_000_000,
        mesh_records.Record(kind="drain", key="s9", stamp=stamp, until_us=3_600_000_000, value=drain),
    )
    return {
        "record": frames.record_digest(record).hex(),
        "parts": acknowledgements.digest(b"a", b"bc").hex(),
        "names": acknowledgements.list_digest(["s2", "s1"]).hex(),
        "replica": replica.digest(2_000_000).hex(),
    }


# Files


def write_snapshot(folder: Path) -> None:
    """Save a snapshot of ``stored_records`` with the store that schedulers and voters use."""
    store = SnapshotStore(folder, "fernvale", "s1")
    header = snapshot.SnapshotHeader(
        installation="fernvale", origin="s1", incarnation=77, saved_us=1_700_000_000_000_000
    )
    store.write(header, stored_records())


def read_snapshot(folder: Path) -> tuple[tuple[str, str, int, int], list[bytes]]:
    """Load a snapshot: the fields of its header, and its records as bytes."""
    header, records = SnapshotStore(folder, "fernvale", "s1").load()
    assert header
    fields = header.installation, header.origin, header.incarnation, header.saved_us
    return fields, [encode(record) for record in records]


def stored_records() -> list[mesh_records.Record]:
    """One record of each kind that a snapshot holds, in the order of the snapshot."""
    stamp = mesh_records.Stamp(wall_us=1_700_000_000_000_000, count=1, origin="s1", incarnation=77)
    values = {
        "cordon": "cordon.value",
        "notice": "notices.Notice",
        "drain": "kinds.Drain",
        "request": "kinds.Outcome",
        "gang.progress": "gang.Progress",
    }
    return [
        mesh_records.Record(
            kind=kind, key=f"key-{kind}", stamp=stamp, until_us=1 << 52, value=encode(SAMPLES[name])
        )
        for kind, name in values.items()
    ]


def save_disabled_workers(folder: Path, names: set[str]) -> bool:
    """Save the names of the workers that operators have disabled."""
    return DisabledWorkerStore(folder).save(names)


def load_disabled_workers(folder: Path) -> set[str]:
    """Load the names of the disabled workers that an earlier process saved."""
    return DisabledWorkerStore(folder).load()


def recording_records() -> list[Any]:
    """One record of each type that a recording holds."""
    return [SAMPLES[f"recording.{tag}"] for tag in "atfld"]


def write_recording(path: Path) -> None:
    """Write a recording with one frame, which holds ``recording_records()``."""
    path.write_bytes(recording_header() + recording_frame(recording_records()))


def load_recording(path: Path) -> list[Any]:
    """Read the records of a recording and check that no bytes of it are unreadable."""
    reading = read_recording(path)
    assert not reading.unread_bytes
    return reading.records


# Hand-over to a successor


def _used_node() -> Node:
    """A node with completed jobs, a running one, and one that is retried after a failed connection."""
    node = Node(3, reports_start=True)
    for _ in range(40):
        worker = sent_to(node.submit(after_us=10 * MS))
        node.end_attempt(node.jobs, took_us=300 * MS if worker == "w0" else 40 * MS, after_us=5 * MS)
    node.handle(api.JobStarted(_submit_job(node), 0), 20 * MS)
    worker = sent_to(node.submit(after_us=10 * MS))
    node.end_attempt(node.jobs, api.Outcome.CONNECT_FAILED, 1 * MS)
    node.submit(after_us=10 * MS)
    return node


def _submit_job(node: Node) -> int:
    node.submit(after_us=10 * MS)
    return node.jobs


def exported_state() -> Json:
    """State that a decision module (`Balancer`) in use exports for that of the successor process."""
    return _as_json(placement_state.export_state(_used_node().balancer))


def reexported_state(state: Json) -> Json:
    """Import the exported state of one `Balancer` into a new one, and export the new one's state."""
    node = Node(3, reports_start=True)
    placement_state.import_state(node.balancer, state)
    return _as_json(placement_state.export_state(node.balancer))


def exported_jobs() -> list[Json]:
    """Jobs that a decision module in use has not completed, as exported for its successor."""
    balancer = _used_node().balancer
    return [_as_json(placement_state.export_job(balancer, number)) for number in sorted(balancer.jobs)]


def reexported_jobs(jobs: list[Json]) -> list[Json]:
    """Import jobs into a new decision module and export them again."""
    node = Node(3, reports_start=True)
    for job in jobs:
        placement_state.import_job(node.balancer, node.now, job)
    return [
        _as_json(placement_state.export_job(node.balancer, number)) for number in sorted(node.balancer.jobs)
    ]


def timer_tags() -> list[str]:
    """Tags of the decision module's timers, which are handed over with the jobs."""
    return [timers.AttemptTimer(check, 5, 2).tag for check in timers.AttemptCheck] + [
        timers.QUEUE_CHECK,
        timers.LIST_POLL,
    ]


def exported_admission() -> Json:
    """State that an admission control in use exports for that of the successor process."""
    fleet = Fleet(slots=1, run_ms=300)
    for _ in range(8):
        fleet.send("a")
        fleet.pass_time(400)
    for _ in range(30):
        fleet.send("a")
    fleet.send("a", key="k")
    return _as_json(admission_state.export_state(fleet.admission))


def reexported_admission(state: Json) -> Json:
    """Import admission state into a new admission control and export it again."""
    fleet = Fleet(slots=1, run_ms=300)
    admission_state.import_state(fleet.admission, fleet.now, state)
    return _as_json(admission_state.export_state(fleet.admission))


def exported_caller() -> Json:
    """The tenant and origin of a request, as handed over together with the request."""
    caller = Caller(tenant=1, name="name2", network=3, fingerprint=4)
    written = _as_json(admission_state.export_caller(caller))
    assert admission_state.import_caller(written) == caller
    return written


def exported_request() -> Json:
    """A client's request, as handed over to a successor."""
    request = JobRequest(
        id="id1", job_class=2, time_left_us=3, client_repeat=True, target="/target4", body=b"body\xff",
        headers=(("key5", "value6"),), tenant="tenant7", cost_us=8, key="key9",
    )  # fmt: skip
    written = _as_json(protocol.encode_handed_over_request(request))
    assert protocol.decode_handed_over_request(written) == request
    return written


def encoded_worker_event() -> Json:
    """A worker's report about a job, as a process forwards it to its successor or predecessor."""
    event = JobEvent("id1", "w2", JobState.STARTED, 0.5, "result3")
    written = _as_json(protocol.encode_job_event(event))
    assert protocol.decode_job_event_object(written) == event
    return written


def encoded_listed_worker() -> Json:
    """An entry of the endpoint list, as a process sends it to its successor."""
    entry = ListedEndpoint(
        instance_id="id1", host_port="127.0.0.1:2", zone="zone3", machine_type="type4", cell=5,
        lifecycle=Lifecycle.ACTIVE, weight=6.0, started_us=7_000,
    )  # fmt: skip
    written = _as_json(protocol.encode_listed_endpoint(entry))
    assert protocol.decode_listed_endpoint(written) == entry
    return written


def _as_json(value: Any) -> Json:
    decoded: Json = json.loads(json.dumps(value))
    return decoded


# Operators


def error_types() -> set[str]:
    """The ``type`` of each error class in error replies to operators."""
    load_all_modules()
    return {_type_of(error) for error in _subclasses(RobinhillError)}


def load_all_modules() -> None:
    """Import every module of the package, so that ``__subclasses__`` finds all classes."""
    for module in pkgutil.walk_packages(robinhill.__path__, "robinhill."):
        if not module.name.endswith("__main__"):
            importlib.import_module(module.name)


def _type_of(error: type[RobinhillError]) -> str:
    raised = error.__new__(error)
    raised.what = "what"
    body = msgspec.to_builtins(replies.make_error_reply(raised))
    assert set(body) == {"error", "advice", "type"}
    return str(body["type"])


def _subclasses(base: type[Any]) -> Iterator[type[Any]]:
    for each in base.__subclasses__():
        yield each
        yield from _subclasses(each)


def operator_json_keys() -> dict[str, list[str]]:
    """Keys of the JSON that operators receive or send."""
    structs = {
        "unconfirmed": views.UnconfirmedView,
        "cordon": views.CordonView,
        "listing": views.Listing,
        "answer": views.ChangeSummary,
        "put": views.PutBody,
    }
    return {name: list(struct.__struct_encode_fields__) for name, struct in structs.items()}


def cordon_states() -> list[str]:
    """The states of a cordon that replies to operators can contain."""
    return [*views.STAGE_NAMES.values(), views.OVER_BUDGET, views.NOT_TRACKED]


def operator_file_keys() -> list[str]:
    """All keys of the operators' file, with dots between the levels."""
    return sorted(_keys(OperatorFile, ""))


def _keys(struct: Any, prefix: str) -> Iterator[str]:
    for field in msgspec.structs.fields(struct):
        yield prefix + field.encode_name
        if isinstance(field.type, type) and issubclass(field.type, msgspec.Struct):
            yield from _keys(field.type, f"{prefix}{field.encode_name}.")


def initial_metrics() -> str:
    """The metrics of a process that has just started."""
    return Metrics(("class-a",)).text()


def string_enumerations() -> list[list[str]]:
    """The values of each enumeration of the package whose values are all strings."""
    load_all_modules()
    found = [each for each in _subclasses(Enum) if each.__module__.startswith("robinhill.")]
    values = [[member.value for member in each] for each in found]
    return [each for each in values if each and all(isinstance(value, str) for value in each)]


def command_line() -> dict[str, list[str]]:
    """The flags and arguments of each command, by the command's name."""
    found: dict[str, list[str]] = {}

    def walk(name: str, command: click.Command) -> None:
        found[name] = sorted(text for each in command.params for text in (*each.opts, *each.secondary_opts))
        if isinstance(command, click.Group):
            for subcommand_name, subcommand in command.commands.items():
                walk(f"{name} {subcommand_name}".strip(), subcommand)

    walk("", cli)
    return found


@asynccontextmanager
async def process_with_a_running_job(folder: Path, request_id: str) -> AsyncIterator[None]:
    """Run a draining scheduler with a client's job at worker w1 and its hand-over socket in ``folder``."""
    async with environment(folder) as site:
        process = site.scheduler()
        await process.start()
        await site.run_job(process, request_id)
        drain = asyncio.create_task(process.drain())
        try:
            yield
        finally:
            drain.cancel()
