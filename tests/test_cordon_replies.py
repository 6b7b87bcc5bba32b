"""Bodies of answers about cordons: literal keys, in the order that operators have always read."""

from datetime import UTC, datetime

from robinhill.cordon.errors import NotAccepted
from robinhill.cordon.propagation import ProcessStatus
from robinhill.cordon.views import CordonView, UnconfirmedView
from robinhill.net.cordons.replies import (
    PROCESS_STATUS_NAMES,
    ChangeReply,
    ErrorReply,
    ListingReply,
    SchedulerReply,
    make_answer,
    make_cordon_reply,
    make_error_reply,
)

CHANGE = ChangeReply(
    id="m1",
    targets=("zone/a",),
    state="stored",
    accepted=False,
    in_force=False,
    ms=1.5,
    unconfirmed=(UnconfirmedView("s2", "suspect"),),
)
CHANGE_JSON = (
    b'{"id":"m1","targets":["zone/a"],"state":"stored","accepted":false,"in_force":false,"ms":1.5,'
    b'%s"unconfirmed":[{"scheduler":"s2","why":"suspect"}]%s}\n'
)


def test_a_lift_at_a_scheduler_with_peers_has_neither_warnings_nor_a_count() -> None:
    assert make_answer(200, CHANGE).body == CHANGE_JSON % (b"", b"")


def test_a_cordon_at_a_group_member_has_a_count_and_warnings_even_if_empty() -> None:
    reply = ChangeReply(
        CHANGE.id, CHANGE.targets, CHANGE.state, False, False, 1.5, 2, CHANGE.unconfirmed, warnings=()
    )
    assert make_answer(200, reply).body == CHANGE_JSON % (b'"behind":2,', b',"warnings":[]')


def test_a_change_that_was_waited_for_in_vain_has_an_error_with_its_code() -> None:
    answer = make_answer(503, CHANGE.with_error(NotAccepted("m1", ["s2"])))
    error = (
        b',"error":"m1 is stored here but not accepted; not confirmed by: s2",'
        b'"advice":"check which schedulers are down or unreachable; the listing shows when it is accepted",'
        b'"type":"NotAccepted"'
    )
    assert (answer.status, answer.body) == (503, CHANGE_JSON % (b"", error))


def test_a_listing_has_cordons_workers_and_schedulers() -> None:
    since = datetime(2026, 12, 3, tzinfo=UTC)
    view = CordonView("m1", "zone/a", "disk", "ada", since, None, False, "", (), 3, "s1", "held here")
    scheduler = SchedulerReply("s1", "alive", 7, "hold", True, True, None)
    cordons = (make_cordon_reply(view, ("s2",)), make_cordon_reply(view, (), "in force"))
    body = make_answer(200, ListingReply(cordons, ("w1",), (scheduler,))).body
    cordon = (
        b'{"id":"m1","target":"zone/a","reason":"disk","by":"ada","since":"2026-12-03T00:00:00Z","until":null,'
        b'"automatic":false,"cause":"","observers":[],"workers":3,"origin":"s1","state":"%s","unconfirmed":[],'
        b'"behind":%s}'
    )
    assert body == (
        b'{"cordons":[' + cordon % (b"held here", b'["s2"]') + b"," + cordon % (b"in force", b"[]") + b"],"
        b'"held":["w1"],"schedulers":[{"name":"s1","state":"alive","incarnation":7,"on_lost":"hold",'
        b'"counts":true,"same_list":true,"known_ms_ago":null}]}\n'
    )


def test_an_error_has_its_advice_and_code_where_it_has_them() -> None:
    assert make_answer(503, ErrorReply("shutting down")).body == b'{"error":"shutting down"}\n'
    reply = make_error_reply(NotAccepted("m1", []))
    assert (reply.type, reply.advice) == ("NotAccepted", NotAccepted.advice)
    assert reply.error.startswith("m1 is stored here")


def test_each_process_status_has_the_name_that_operators_know() -> None:
    assert [PROCESS_STATUS_NAMES[status] for status in ProcessStatus] == [
        "unheard", "alive", "suspect", "gone", "left",
    ]  # fmt: skip
