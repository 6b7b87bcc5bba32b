"""Recordings: files after a kill, damage or disk errors are read up to the first unreadable frame, and all
lost records are reported.
"""

import asyncio
import struct
from pathlib import Path

import pytest

from robinhill.emulator.client import Clients, Tenant
from robinhill.emulator.program import loopback_site
from robinhill.model.describe import DescriptionError
from robinhill.model.recorded import load
from robinhill.model.sites import KINDS
from robinhill.model.trace import TracedRequest, fit, repair_trace
from robinhill.record import recorder as recorder_module
from robinhill.record.frames import RecordingError, frame, header, read, read_all
from robinhill.record.options import RecordOptions
from robinhill.record.recorder import Recorder
from robinhill.record.records import Answered, Arrived, Attempted, Dropped, Record

S = 1_000_000


def arrived(number: int, kind: str = "member-lookup", at_s: float | None = None) -> Arrived:
    at = number if at_s is None else at_s
    return Arrived(int((1_000 + at) * S), number, kind, number % 3, 10, 7_500_000, False)


def write(path: Path, *frames: list[Record]) -> bytes:
    data = header() + b"".join(frame(f) for f in frames)
    path.write_bytes(data)
    return data


def test_truncated_file_is_read_up_to_last_complete_frame(tmp_path: Path) -> None:
    """A kill may leave any prefix of a file. Reading it must not raise or return an incomplete record."""
    frames: list[list[Record]] = [[arrived(n), Answered(n, n, 200)] for n in range(4)]
    path = tmp_path / "a.rec"
    data = write(path, *frames)
    ends = [len(header())]
    for records in frames:
        ends.append(ends[-1] + len(frame(records)))
    for length in range(len(header()), len(data) + 1):
        path.write_bytes(data[:length])
        content = read(path)
        complete = sum(end <= length for end in ends[1:])
        assert content.records == [r for f in frames[:complete] for r in f]
        assert content.unread_bytes == length - ends[complete] and bool(content.why) == bool(
            content.unread_bytes
        )


def test_damaged_frame_ends_the_reading_with_a_reason(tmp_path: Path) -> None:
    """Any single damaged byte of the second frame makes this frame and the third one unreadable."""
    path = tmp_path / "a.rec"
    data = write(path, [arrived(1)], [arrived(2)], [arrived(3)])
    first = len(header()) + len(frame([arrived(1)]))
    for offset in range(first, first + len(frame([arrived(2)]))):
        path.write_bytes(data[:offset] + bytes([data[offset] ^ 0xFF]) + data[offset + 1 :])
        content = read(path)
        assert content.records == [arrived(1)] and content.unread_bytes and content.why


def test_reading_other_versions_and_other_files_raises(tmp_path: Path) -> None:
    path = tmp_path / "a.rec"
    path.write_bytes(header()[:-4] + struct.pack("<I", 9))
    with pytest.raises(RecordingError, match="version 9"):
        read(path)
    path.write_bytes(b"{}")
    with pytest.raises(RecordingError, match="not a recording"):
        read(path)
    with pytest.raises(RecordingError, match="can't be read"):
        read_all(tmp_path / "nothing")


def test_files_rotate_within_the_limit_of_total_size(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(recorder_module, "FRAME_RECORDS", 50)
    recorder = Recorder(RecordOptions(str(tmp_path), file_mb=0.002, total_mb=0.01), "n1")
    for number in range(5_000):
        recorder.add(
            Arrived(number, recorder.hash(str(number)), "x", recorder.hash(str(-number)), 1, 2, False)
        )
    recorder.start()
    recorder.close()
    files = sorted(tmp_path.glob("*.rec"))
    assert len(files) > 2 and sum(f.stat().st_size for f in files) <= 10_000
    records, notes = read_all(tmp_path)
    assert not notes and recorder.written == 5_000 and isinstance(records[-1], Arrived)
    assert records[-1].at_us == 4_999  # the newest records are retained


def test_dropped_records_are_counted_in_the_recording(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """With a queue of 10, 15 of 25 records are dropped, and the recording begins with their number."""
    monkeypatch.setattr(recorder_module, "MAX_QUEUED_RECORDS", 10)
    recorder = Recorder(RecordOptions(str(tmp_path)), "n1")
    for number in range(25):
        recorder.add(arrived(number))
    assert recorder.dropped == 15
    recorder.start()
    recorder.close()
    records, _ = read_all(tmp_path)
    assert isinstance(records[0], Dropped) and records[0].count == 15 and len(records) == 11


def test_unwritable_folder_drops_records_without_an_error(tmp_path: Path) -> None:
    """The recorder must not fail where its folder can't be created, here below a file."""
    (tmp_path / "file").write_text("")
    recorder = Recorder(RecordOptions(str(tmp_path / "file" / "folder")), "n1")
    recorder.add(arrived(1))
    recorder.start()
    recorder.close()
    assert recorder.dropped == 1 and recorder.written == 0


def test_faulty_trace_is_repaired_with_a_note_or_rejected_with_the_place(tmp_path: Path) -> None:
    """Records out of order and requests without a run are repaired; other faults raise DescriptionError."""
    path = tmp_path / "a.rec"
    write(path, [arrived(1), arrived(3), arrived(2), Attempted(1_003 * S, 2, "w", "completed", 900, 500)])
    trace = load(path, KINDS)
    assert [a.at_us for a in trace.requests] == [0, S, 2 * S] and trace.requests[1].work_us == 500
    assert any("out of order" in r for r in trace.repairs) and any("never served" in r for r in trace.repairs)
    for faulty, message in (
        ([arrived(1), arrived(1, "unheard-of")], "unheard-of"),
        ([arrived(1), arrived(2), arrived(3, at_s=-60)], "record 2: the clock steps back by 62.0 s"),
        ([arrived(1), arrived(300)], "nothing for 299 s after 0.0 s"),
        ([Answered(1, 1, 200)], "no arrivals"),
    ):
        records: list[Record] = list(faulty)
        write(path, records)
        with pytest.raises(DescriptionError, match=message):
            load(path, KINDS)


def test_description_fitted_to_a_trace_has_its_rate_classes_and_tenants() -> None:
    asked = [
        TracedRequest(n, n * 100_000, KINDS[n % 2].name, n % 4 if n % 8 < 4 else 0, 1000.0 + n)
        for n in range(400)
    ]
    traffic = fit(repair_trace(asked), KINDS)
    assert abs(traffic.rate_per_s - 10) < 0.1 and len(traffic.kinds) == 2 and traffic.tenants == 4
    assert all(abs(k.share - 0.5) < 0.01 for k in traffic.kinds) and traffic.tenant_skew > 0.3


def test_scheduler_records_each_request_once(tmp_path: Path) -> None:
    """Requests over sockets are recorded with class, tenant, outcome and run time, and load as a trace."""

    async def run_clients() -> tuple[int, str]:
        operator = {"admission": {"enabled": True}, "record": {"folder": str(tmp_path)}}
        async with loopback_site(workers=2, operator=operator) as here:
            clients = Clients(here.site, lambda: here.program.listen, here.journal, seed=3)
            await clients.play([Tenant("a", 12.0), Tenant("b", 6.0)], 2.0)
            _, stats = await here.program.call("GET", "/ops/stats")
            assert await here.program.stop() == 0
            return len(clients.requested_jobs), stats

    asked, stats = asyncio.run(run_clients())
    assert "app.record.dropped:0|c" in stats
    records, notes = read_all(tmp_path)
    arrivals = [r for r in records if isinstance(r, Arrived)]
    answers = [r for r in records if isinstance(r, Answered)]
    assert not notes and len(arrivals) == asked == len(answers)
    assert {r.id for r in arrivals} == {r.id for r in answers} and len({r.tenant for r in arrivals}) == 2
    served = [r for r in records if isinstance(r, Attempted) and r.outcome == "completed"]
    assert served and all(0 < r.ran_us <= r.took_us for r in served)
    assert len(load(tmp_path, KINDS).requests) == asked
