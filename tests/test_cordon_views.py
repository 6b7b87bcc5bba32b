"""JSON of operators' calls about cordons: parsing of requests, listing and result of a change."""

import msgspec
import pytest

from robinhill.cordon.errors import (
    CordonMalformed,
)
from robinhill.cordon.index import CordonIndex
from robinhill.cordon.propagation import (
    Propagations,
)
from robinhill.cordon.views import list_cordons, read_put, read_wait, summarize_change
from tests.cordons import (
    FLEET,
    NOW,
    SECOND_US,
    automatic_reason,
    confirm,
    cordons_of,
    new_propagation,
    operator_reason,
)


def test_put_body_and_wait_are_parsed_and_invalid_ones_rejected() -> None:
    body = b'{"target": "worker/w01", "reason": "new disk", "by": "ada", "for_s": 60}'
    target, reason = read_put("m1", body, NOW)
    assert (target, reason) == ("worker/w01", operator_reason(until_us=NOW + 60 * SECOND_US))
    at = b'{"target": "cell/3", "reason": "x", "until": "2027-01-15T09:00:01+01:00"}'
    assert read_put("m2", at, NOW)[1].until_us == NOW + SECOND_US
    for invalid in (
        b"", b"[]", b'{"target": "zone/a"}', body.replace(b"worker/w01", b"rack/1"),
        body.replace(b"60", b"1e999"), body.replace(b"60", b"0"), body.replace(b'"by"', b'"bye"'),
        at.replace(b"09:00", b"08:59"), at.replace(b"+01:00", b""),
        body[:-1] + b', "until": "2027-01-15T09:01:00Z"}',
    ):  # fmt: skip
        with pytest.raises(CordonMalformed):
            read_put("m1", invalid, NOW)
    assert read_wait("") == 0 and read_wait("1.5") == 1_500_000
    for text in ("soon", "-1", "nan", "601"):
        with pytest.raises(CordonMalformed):
            read_wait(text)


def test_listing_and_change_summary_show_state_and_unconfirmed_schedulers() -> None:
    index, propagations, propagation = CordonIndex(), Propagations(), new_propagation()
    automatic = [cordons_of(f"worker/w{i:02}", automatic_reason(f"w{i:02}")) for i in range(5)]
    index.update(
        NOW,
        [cordons_of("zone/z0", operator_reason(until_us=NOW + SECOND_US), origin="s0"), *automatic],
        FLEET,
    )
    propagations.add("s0/1/1", propagation)
    confirm(propagation, 2, "s1", "s2", "s3")
    propagation.mark_accepted(2)
    listing = msgspec.json.decode(msgspec.json.encode(list_cordons(2, index, propagations)))
    zone = listing["cordons"][-1]
    assert zone["id"] == "m1" and zone["until"] == "2027-01-15T08:00:01Z" and zone["workers"] == 10
    assert zone["state"] == "accepted" and [u["scheduler"] for u in zone["unconfirmed"]] == ["s0", "s4"]
    assert [c["state"] for c in listing["cordons"][:5]] == ["held here"] * 4 + ["over budget"]
    status, reply = summarize_change(2, "m1", ["zone/z0"], propagation, index, waited=False)
    assert status == 202 and not reply.error and reply.warnings == ("no worker is left in zone 'z0'",)
    status, reply = summarize_change(2, "m1", ["zone/z0"], propagation, index, waited=True)
    assert status == 504 and "s0 (alive" in reply.error and "may still act without the change" in reply.error
    assert summarize_change(9 * SECOND_US, "m1", [], propagation, index, waited=True)[0] == 200
