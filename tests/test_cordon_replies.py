"""Bodies of answers about cordons: the keys and their order are part of the operators' interface."""

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


def test_reply_to_lift_at_scheduler_with_peers_omits_warnings_and_lagging_count() -> None:
    assert make_answer(200, CHANGE).body == CHANGE_JSON % (b"", b"")


def test_reply_to_cordon_at_group_member_has_lagging_count_and_empty_warnings() -> None:
    reply = ChangeReply(
        CHANGE.id, CHANGE.targets, CHANGE.state, False, False, 1.5, 2, CHANGE.unconfirmed, warnings=()
    )
    assert make_answer(200, reply).body == CHANGE_JSON % (b'"behind":2,', b',"warnings":[]')


def test_reply_after_an_unfulfilled_wait_has_error_advice_and_code() -> None:
    answer = make_answer(503, CHANGE.with_error(NotAccepted("m1", ["s2"])))
    error = (
        b',"error":"m1 is stored here but not accepted; not confirmed by: s2",'
        b'"advice":"check which schedulers are down or unreachable; the listing shows when it is accepted",'
        b'"type":"NotAccepted"'
    )
    assert (answer.status, answer.body) == (503, CHANGE_JSON % (b"", error))


def test_listing_reply_has_cordons_workers_and_schedulers() -> None:
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


def test_error_reply_omits_unset_advice_and_code() -> None:
    assert make_answer(503, ErrorReply("shutting down")).body == b'{"error":"shutting down"}\n'
    reply = make_error_reply(NotAccepted("m1", []))
    assert (reply.type, reply.advice) == ("NotAccepted", NotAccepted.advice)
    assert reply.error.startswith("m1 is stored here")


def test_process_status_names_in_replies() -> None:
    assert [PROCESS_STATUS_NAMES[status] for status in ProcessStatus] == [
        "unheard", "alive", "suspect", "gone", "left",
    ]  # fmt: skip
