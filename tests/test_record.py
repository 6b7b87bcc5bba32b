"""Recordings: what a kill, damage or a full disk leaves is read as far as it can be trusted, and nothing is
lost silently.
"""

import asyncio
import struct
from pathlib import Path

import pytest

from robinhill.emulator.client import Clients, Tenant
from robinhill.emulator.program import town
from robinhill.model.describe import DescriptionError
from robinhill.model.recorded import load
from robinhill.model.sites import KINDS
from robinhill.model.trace import Asked, fit, mend
from robinhill.record import recorder as module
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


def test_every_cut_of_a_file_is_read_up_to_the_last_whole_frame(tmp_path: Path) -> None:
    """A kill leaves any prefix: none may raise, none may show a record that was not written whole."""
    frames: list[list[Record]] = [[arrived(n), Answered(n, n, 200)] for n in range(4)]
    path = tmp_path / "a.rec"
    data = write(path, *frames)
    ends = [len(header())]
    for each in frames:
        ends.append(ends[-1] + len(frame(each)))
    for cut in range(len(header()), len(data) + 1):
        path.write_bytes(data[:cut])
        reading = read(path)
        whole = sum(end <= cut for end in ends[1:])
        assert reading.records == [r for f in frames[:whole] for r in f]
        assert reading.lost == cut - ends[whole] and bool(reading.why) == bool(reading.lost)


def test_damage_ends_the_reading_and_is_told(tmp_path: Path) -> None:
    path = tmp_path / "a.rec"
    data = write(path, [arrived(1)], [arrived(2)], [arrived(3)])
    first = len(header()) + len(frame([arrived(1)]))
    for place in range(first, first + len(frame([arrived(2)]))):
        path.write_bytes(data[:place] + bytes([data[place] ^ 0xFF]) + data[place + 1 :])
        reading = read(path)
        assert reading.records == [arrived(1)] and reading.lost and reading.why


def test_another_version_and_no_recording_are_refused(tmp_path: Path) -> None:
    path = tmp_path / "a.rec"
    path.write_bytes(header()[:-4] + struct.pack("<I", 9))
    with pytest.raises(RecordingError, match="version 9"):
        read(path)
    path.write_bytes(b"{}")
    with pytest.raises(RecordingError, match="no recording"):
        read(path)
    with pytest.raises(RecordingError, match="can't be read"):
        read_all(tmp_path / "nothing")


def test_files_rotate_and_the_disk_is_bounded(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(module, "FRAME_RECORDS", 50)
    made = Recorder(RecordOptions(str(tmp_path), file_mb=0.002, total_mb=0.01), "n1")
    for number in range(5_000):
        made.add(Arrived(number, made.hash(str(number)), "x", made.hash(str(-number)), 1, 2, False))
    made.start()
    made.close()
    files = sorted(tmp_path.glob("*.rec"))
    assert len(files) > 2 and sum(f.stat().st_size for f in files) <= 10_000
    records, notes = read_all(tmp_path)
    assert not notes and made.written == 5_000 and isinstance(records[-1], Arrived)
    assert records[-1].at_us == 4_999  # the newest are kept


def test_what_can_not_be_kept_is_counted_in_the_recording(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(module, "MAX_QUEUED_RECORDS", 10)
    made = Recorder(RecordOptions(str(tmp_path)), "n1")
    for number in range(25):
        made.add(arrived(number))
    assert made.dropped == 15
    made.start()
    made.close()
    records, _ = read_all(tmp_path)
    assert isinstance(records[0], Dropped) and records[0].count == 15 and len(records) == 11


def test_a_folder_that_can_not_be_written_stops_nothing(tmp_path: Path) -> None:
    (tmp_path / "file").write_text("")
    made = Recorder(RecordOptions(str(tmp_path / "file" / "folder")), "n1")
    made.add(arrived(1))
    made.start()
    made.close()
    assert made.dropped == 1 and made.written == 0


def test_a_trace_with_faults_is_an_error_with_the_place_or_a_told_repair(tmp_path: Path) -> None:
    path = tmp_path / "a.rec"
    write(path, [arrived(1), arrived(3), arrived(2), Attempted(1_003 * S, 2, "w", "completed", 900, 500)])
    trace = load(path, KINDS)
    assert [a.at_us for a in trace.asked] == [0, S, 2 * S] and trace.asked[1].work_us == 500
    assert any("out of order" in r for r in trace.repairs) and any("never served" in r for r in trace.repairs)
    for faulty, says in (
        ([arrived(1), arrived(1, "unheard-of")], "unheard-of"),
        ([arrived(1), arrived(2), arrived(3, at_s=-60)], "record 2: the clock steps back by 62.0 s"),
        ([arrived(1), arrived(300)], "nothing for 299 s after 0.0 s"),
        ([Answered(1, 1, 200)], "no arrivals"),
    ):
        records: list[Record] = list(faulty)
        write(path, records)
        with pytest.raises(DescriptionError, match=says):
            load(path, KINDS)


def test_a_description_fits_the_trace_that_it_came_from() -> None:
    asked = [
        Asked(n, n * 100_000, KINDS[n % 2].name, n % 4 if n % 8 < 4 else 0, 1000.0 + n) for n in range(400)
    ]
    traffic = fit(mend(asked), KINDS)
    assert abs(traffic.rate_per_s - 10) < 0.1 and len(traffic.kinds) == 2 and traffic.tenants == 4
    assert all(abs(k.share - 0.5) < 0.01 for k in traffic.kinds) and traffic.tenant_skew > 0.3


def test_the_program_records_what_passes(tmp_path: Path) -> None:
    """From sockets to a trace: each request once, with its class, tenant, ending and the time that it ran."""

    async def play() -> tuple[int, str]:
        operator = {"admission": {"enabled": True}, "record": {"folder": str(tmp_path)}}
        async with town(workers=2, operator=operator) as here:
            clients = Clients(here.site, lambda: here.program.listen, here.journal, seed=3)
            await clients.play([Tenant("a", 12.0), Tenant("b", 6.0)], 2.0)
            _, stats = await here.program.call("GET", "/ops/stats")
            assert await here.program.stop() == 0
            return len(clients.asked), stats

    asked, stats = asyncio.run(play())
    assert "app.record.dropped:0|c" in stats
    records, notes = read_all(tmp_path)
    arrivals = [r for r in records if isinstance(r, Arrived)]
    answers = [r for r in records if isinstance(r, Answered)]
    assert not notes and len(arrivals) == asked == len(answers)
    assert {r.id for r in arrivals} == {r.id for r in answers} and len({r.tenant for r in arrivals}) == 2
    served = [r for r in records if isinstance(r, Attempted) and r.outcome == "completed"]
    assert served and all(0 < r.ran_us <= r.took_us for r in served)
    assert len(load(tmp_path, KINDS).asked) == asked
