"""Compatibility of encoded messages, records, snapshots and recordings with earlier versions.

The expected values are literals of the reference version of 2026-12-02. They are not edited, because other
processes of a fleet and files on disk still use this format.
"""

from pathlib import Path

import pytest

from . import surfaces

COMPAT_FILES = Path(__file__).parent / "compat"

ENCODED_SAMPLES = {
    "control.mesh": "92a46d657368c4056461746131",
    "control.status": "95a673746174757301c3c407766f74657273329192a77374617274733304",
    "control.barrier": "94a76261727269657201c3c3",
    "control.behind": "97a6626568696e640102c39192a773746172747333040591a66e616d657336",
    "control.unbar": "92a5756e62617201",
    "control.moved": "92a56d6f7665649193aa6f6273657276657273310203",
    "control.departed": "92a864657061727465649193aa6f6273657276657273310203",
    "control.join": (
        "9ca46a6f696e01ad696e7374616c6c6174696f6e32a56e616d65330405a86f6e5f6c6f737436c307a6766f74657238090a"
    ),
    "control.digests": "93a76469676573747301c4086469676573747332",
    "control.offer": ("93a56f66666572019195a56b696e6432a46b657933940405a76f726967696e360708c40676616c756539"),
    "control.beat": "92a46265617401",
    "control.applied": "94a76170706c696564010203",
    "control.goodbye": "91a7676f6f64627965",
    "control.welcome": "94a777656c636f6d65a6766f7465723102c3",
    "control.compare": "91a7636f6d70617265",
    "control.RangePart": ("93019195a56b696e6432a46b657933940405a76f726967696e360708c40676616c756539c3"),
    "control.ranges": (
        "92a672616e6765739193019195a56b696e6432a46b657933940405a76f726967696e360708c40676616c756539c3"
    ),
    "control.compared": "92a8636f6d706172656401",
    "control.changes": (
        "94a76368616e67657301c39195a56b696e6432a46b657933940405a76f726967696e360708c40676616c756539"
    ),
    "control.reply": "94a57265706c79010203",
    "control.progress": "96a870726f677265737301c3c30291a66e616d657333",
    "control.refused": "92a772656675736564a477687931",
    "shared.Stamp": "940102a76f726967696e3304",
    "shared.Record": "95a56b696e6431a46b657932940304a76f726967696e350607c40676616c756538",
    "frames.hello": (
        "98a568656c6c6f01ad696e7374616c6c6174696f6e32a56e616d65330491a96665617475726573350691a66e616d657337"
    ),
    "frames.push": ("94a470757368019195a56b696e6432a46b657933940405a76f726967696e360708c40676616c756539910a"),
    "frames.ping": "94a470696e67010203",
    "frames.pong": "96a4706f6e67010203910491920506",
    "frames.again": "92a5616761696e9101",
    "frames.ranges": "95a672616e6765730102c3c4086469676573747333",
    "frames.Part": "940102039193a6686561647334a6686561647335c406686561647336",
    "frames.heads": ("93a568656164730191940203049193a6686561647335a6686561647336c406686561647337"),
    "frames.redo": "93a47265646f019102",
    "frames.aside": "92a56173696465c406776f72647331",
    "notices.Notice": (
        "9c010102a56d6f64653304c3c3c3c4066e616d657335c4086170706c696564369192a7726563656e7437c407"
        "726563656e74389192a7737461727473390a"
    ),
    "members.Rumour": "95a56e616d6531020304a3627935",
    "members.check": ("96a5636865636ba773656e646572310203a7746172676574349195a56e616d6535060708a3627939"),
    "members.check-for": (
        "96a9636865636b2d666f72a773656e646572310203a7746172676574349195a56e616d6535060708a3627939"
    ),
    "members.checked": (
        "97a7636865636b6564a773656e646572310203a774617267657434059195a56e616d6536070809a462793130"
    ),
    "members.word": "94a4776f7264a773656e64657231029195a56e616d6533040506a3627937",
    "kinds.Drain": "9401a3627932c3a7726561736f6e33",
    "kinds.Sighting": "95a96f6273657276657231a5776861743203a661626f75743405",
    "kinds.Outcome": "9702010203a57a6f6e6534a3627935c407726573756c7436",
    "snapshot.Owner": "94ad696e7374616c6c6174696f6e31a76f726967696e320304",
    "recording.a": "98a1610102a56b696e6433040506c3",
    "recording.t": "97a1740102a7776f726b657233a86f7574636f6d65340506",
    "recording.f": "94a166010203",
    "recording.l": ("97a16c01a7776f726b657232a57a6f6e6533a86d616368696e6534aa6c6966656379636c653506"),
    "recording.d": "93a1640102",
    "gang.MemberUpdate": "9b0102020304050602a56b696e6437a7776f726b657238a76f726967696e39",
    "gang.Progress": "9202919b0102020304050602a56b696e6437a7776f726b657238a76f726967696e39",
    "cordon.value": (
        "9401919293a27331020399a66175746f2d37a57465787434a36279350607c3a663617573653891a96f627365"
        "72766572390a9193a2733102919201030b"
    ),
}

KIND_NAMES = ["cordon", "drain", "evidence", "request", "notice", "gang.progress"]

DIGESTS = {
    "record": "14d84f3e54fe9357",
    "parts": "7c71a240a6aa6d33",
    "names": "5f7f644b0c914a36",
    "replica": "b589c77c97dac175f85d0a586b7d5dc7",
}

SAMPLE_OF_KIND = {
    "cordon": "cordon.value",
    "notice": "notices.Notice",
    "gang.progress": "gang.Progress",
    "drain": "kinds.Drain",
    "request": "kinds.Outcome",
}


@pytest.mark.parametrize("name", ENCODED_SAMPLES)
def test_sample_encodes_to_the_reference_bytes(name: str) -> None:
    assert surfaces.encode(surfaces.SAMPLES[name]).hex() == ENCODED_SAMPLES[name]


@pytest.mark.parametrize("name", ENCODED_SAMPLES)
def test_reference_bytes_decode_to_the_sample(name: str) -> None:
    assert surfaces.decode(bytes.fromhex(ENCODED_SAMPLES[name]), name) == surfaces.SAMPLES[name]


def test_every_sample_has_reference_bytes() -> None:
    assert set(surfaces.SAMPLES) == set(ENCODED_SAMPLES)


CONTROL_MESSAGES = [
    name for name in ENCODED_SAMPLES if name.startswith("control.") and name != "control.RangePart"
]


@pytest.mark.parametrize("name", CONTROL_MESSAGES)
def test_control_message_is_decoded_and_encoded_unchanged(name: str) -> None:
    data = bytes.fromhex(ENCODED_SAMPLES[name])
    assert surfaces.reencode_message(name, data) == data


MESH_FRAMES = [name for name in ENCODED_SAMPLES if name.startswith("frames.") and name != "frames.Part"]


@pytest.mark.parametrize("name", MESH_FRAMES)
def test_mesh_frame_is_decoded_and_encoded_unchanged(name: str) -> None:
    data = b"\x91" + bytes.fromhex(ENCODED_SAMPLES[name])  # a message is a list of frames
    assert surfaces.reencode_message(name, data) == data


@pytest.mark.parametrize("kind", SAMPLE_OF_KIND)
def test_value_of_a_record_is_decoded_and_encoded_unchanged(kind: str) -> None:
    data = bytes.fromhex(ENCODED_SAMPLES[SAMPLE_OF_KIND[kind]])
    assert surfaces.VALUE_CODECS[kind](data) == data


def test_evidence_is_decoded_and_encoded_unchanged() -> None:
    data = b"\x91" + bytes.fromhex(ENCODED_SAMPLES["kinds.Sighting"])
    assert surfaces.VALUE_CODECS["evidence"](data) == data


def test_record_kinds_keep_their_names() -> None:
    assert surfaces.record_kind_names() == KIND_NAMES


def test_digests_are_unchanged() -> None:
    assert surfaces.digests() == DIGESTS


def test_snapshot_file_has_the_reference_bytes(tmp_path: Path) -> None:
    surfaces.write_snapshot(tmp_path)
    assert (tmp_path / "mesh.state").read_bytes() == (COMPAT_FILES / "mesh.state").read_bytes()


def test_snapshot_of_the_reference_version_is_loaded() -> None:
    owner, records = surfaces.read_snapshot(COMPAT_FILES)
    assert owner == ("fernvale", "s1", 77, 1_700_000_000_000_000)
    assert records == [surfaces.encode(record) for record in surfaces.stored_records()]
    assert len(records) == 5


def test_damaged_snapshot_is_renamed_with_the_same_suffix(tmp_path: Path) -> None:
    (tmp_path / "mesh.state").write_bytes((COMPAT_FILES / "mesh.state").read_bytes()[:-1])
    with pytest.raises(AssertionError):
        surfaces.read_snapshot(tmp_path)
    assert [path.name for path in tmp_path.iterdir()] == ["mesh.state.aside"]


def test_file_of_disabled_workers_has_the_reference_bytes(tmp_path: Path) -> None:
    assert surfaces.save_disabled_workers(tmp_path, {"w2", "w1"})
    assert (tmp_path / "held-out.json").read_bytes() == b'["w1","w2"]'


def test_file_of_disabled_workers_of_the_reference_version_is_loaded() -> None:
    assert surfaces.load_disabled_workers(COMPAT_FILES) == {"w1", "w2"}


def test_recording_of_the_reference_version_is_read() -> None:
    assert surfaces.load_recording(COMPAT_FILES / "one.rec") == surfaces.recording_records()


def test_recording_begins_with_the_same_header(tmp_path: Path) -> None:
    surfaces.write_recording(tmp_path / "new.rec")
    data = (tmp_path / "new.rec").read_bytes()
    assert data[:24] == b"robinhill recording\n\x01\x00\x00\x00"
    assert surfaces.load_recording(tmp_path / "new.rec") == surfaces.recording_records()
