"""Validation of the keys of the operators' file that configure voters."""

import msgspec
import pytest

from robinhill.control.errors import VotersMalformed
from robinhill.control.options import Place, VotersKeys, observer_options, voter_options
from robinhill.cordon.propagation import Mode


def voter_keys(number: int = 3, **other_keys: object) -> VotersKeys:
    voters = {
        f"v{i}": {"address": f"10.0.0.{i + 1}:7400", "region": "north", "zone": "n1"} for i in range(number)
    }
    return msgspec.convert({"voters": voters, **other_keys}, VotersKeys)


def test_options_of_a_voter_and_of_an_observer_are_derived_from_the_keys() -> None:
    options = voter_options(voter_keys(), "v1")
    assert options.is_voter and options.place == Place("north", "n1")
    assert options.warnings == ()
    observer = observer_options(voter_keys(), "s1", Place("north", "n1"))
    assert not observer.is_voter and list(observer.voters) == ["v0", "v1", "v2"]
    assert observer.heartbeat_us * 4 == observer.bound_us == 2_000_000


def test_even_number_of_voters_gives_a_warning() -> None:
    (warning,) = voter_options(voter_keys(4), "v1").warnings
    assert warning.startswith("mesh.voters: 4 voters")


@pytest.mark.parametrize("number", [0, 14])
def test_number_of_voters_outside_1_to_13_is_rejected(number: int) -> None:
    with pytest.raises(VotersMalformed, match="name 1 to 13") as raised:
        observer_options(voter_keys(number), "s1", Place())
    assert raised.value.key == "mesh.voters"


def test_1_and_13_voters_are_accepted() -> None:
    assert len(voter_options(voter_keys(1), "v0").voters) == 1
    assert len(voter_options(voter_keys(13), "v12").voters) == 13


def test_name_must_be_listed_for_a_voter_and_unlisted_for_a_scheduler() -> None:
    with pytest.raises(VotersMalformed, match=r"mesh.voters: 's1' is not among them; add it there"):
        voter_options(voter_keys(), "s1")
    with pytest.raises(VotersMalformed, match=r"'v1' is this scheduler's own name; set GW_NAME"):
        observer_options(voter_keys(), "v1", Place())


@pytest.mark.parametrize(
    ("change", "key"),
    [
        ({"address": "10.0.0.1:7400"}, "mesh.voters.v0.address"),
        ({"address": "10.0.0.9:99999"}, "mesh.voters.v1.address"),
        ({"region": "nowhere"}, "mesh.voters.v1.region"),
        ({"zone": "s1"}, "mesh.voters.v1.zone"),
    ],
)
def test_error_names_the_faulty_key_of_a_voter(change: dict[str, str], key: str) -> None:
    regions = {"north": ("n1", "n2"), "south": ("s1",)}
    valid_keys = voter_keys(regions=regions)
    voters = dict(valid_keys.voters)
    voters["v1"] = msgspec.structs.replace(voters["v1"], **change)
    with pytest.raises(VotersMalformed) as raised:
        voter_options(msgspec.structs.replace(valid_keys, voters=voters), "v0")
    assert raised.value.key == key
    assert str(raised.value).startswith(f"{key}: ") and raised.value.advice in str(raised.value)


def test_scheduler_in_an_unknown_region_is_rejected() -> None:
    with pytest.raises(VotersMalformed, match=r"mesh.region: 'south' is no known region; use one of north"):
        observer_options(voter_keys(), "s1", Place("south"))


def test_on_lost_by_kind_overrides_on_lost_and_rejects_unknown_kinds() -> None:
    options = voter_options(
        voter_keys(on_lost="hold", on_lost_by_kind={"drain": "serve"}), "v0", ["cordon", "drain"]
    )
    assert options.mode_of("cordon") is Mode.HOLD and options.mode_of("drain") is Mode.SERVE
    with pytest.raises(
        VotersMalformed, match=r"mesh.on_lost_by_kind.drain: there is no record kind of this name"
    ):
        voter_options(voter_keys(on_lost_by_kind={"drain": "serve"}), "v0", ["cordon"])
