"""The admission actor: ids of queued requests."""

import asyncio
import json
from pathlib import Path

import pytest

from robinhill import config, protocol
from robinhill.admission.callers import Caller
from robinhill.net.actor import Supervisor
from robinhill.net.clock import Clock
from robinhill.net.dispatcher.admission import AdmissionActor
from robinhill.net.dispatcher.messages import ClientDisconnected, RequestAccepted
from robinhill.net.metrics import Metrics

from .test_config import GIVEN


class AdmissionRig:
    """An admission actor whose queues hold all requests until `resume`, and the requests that it admits."""

    def __init__(self, folder: Path) -> None:
        (folder / "config.json").write_text(json.dumps(GIVEN))
        (folder / "operator.json").write_text(json.dumps({"admission": {"enabled": True}}))
        loaded = config.load(
            {"GW_CONFIG": str(folder / "config.json"), "GW_OPERATOR": str(folder / "operator.json")}
        )
        self.clock = Clock()
        self.admitted: list[str] = []
        self.actor = AdmissionActor(loaded, Supervisor(), self.clock, Metrics(loaded.classes), self._admit)
        self.actor.suspend(True)
        self.actor.start()

    def _admit(self, message: RequestAccepted | ClientDisconnected) -> None:
        self.admitted.append(f"{type(message).__name__} {message.request.tenant}")

    def submit(self, request_id: str, tenant: str) -> "asyncio.Future[protocol.Answer]":
        request = protocol.JobRequest(request_id, 1, 25_000_000, False, "/x", b"", (), tenant=tenant)
        reply: asyncio.Future[protocol.Answer] = asyncio.get_running_loop().create_future()
        caller = Caller(self.actor.admission.directory.hash(tenant), tenant)
        self.actor.tell(RequestAccepted(request, self.clock.now_us(), reply, caller))
        return reply


def test_copy_of_a_queued_request_is_refused_on_arrival(tmp_path: Path) -> None:
    """A copy in another tenant's queue was admitted first, and the request that came first got 409."""

    async def scenario() -> None:
        rig = AdmissionRig(tmp_path)
        others = [rig.submit(f"j{number}", "usual") for number in range(3)]
        first, copy = rig.submit("j9", "usual"), rig.submit("j9", "bad")
        async with asyncio.timeout(5):
            assert await copy is protocol.CONFLICT
        rig.actor.suspend(False)
        await asyncio.sleep(0.05)
        assert rig.admitted == ["RequestAccepted usual"] * 4
        assert not first.done() and not any(other.done() for other in others)
        await rig.actor.supervisor.close()

    asyncio.run(scenario())


@pytest.mark.parametrize("answered", [False, True])
def test_id_of_a_queued_request_is_free_once_it_is_answered(answered: bool, tmp_path: Path) -> None:
    """Here alone; the dispatcher refuses the ids of recent requests."""

    async def scenario() -> None:
        rig = AdmissionRig(tmp_path)
        rig.actor.suspend(False)
        first = rig.submit("j1", "usual")
        await asyncio.sleep(0)
        if answered:
            first.set_result(protocol.result_answer("one"))
            await asyncio.sleep(0.01)
        copy = rig.submit("j1", "usual")
        await asyncio.sleep(0.01)
        assert copy.done() is not answered
        assert len(rig.admitted) == 1 + answered
        await rig.actor.supervisor.close()

    asyncio.run(scenario())
