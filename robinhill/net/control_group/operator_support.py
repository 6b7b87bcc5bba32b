"""Functions for operators that voters and observing schedulers share: reloads, metrics and calls."""

import asyncio
import logging
from collections.abc import Iterable, Sequence

from robinhill.mesh.options import MeshOptions
from robinhill.net.control_group.driver import Driver, Run, TrafficCounters
from robinhill.net.cordons.group_member import GroupCordons
from robinhill.net.cordons.operator_calls import CordonCall
from robinhill.net.metrics import METRIC_PREFIX
from robinhill.protocol import Answer

log = logging.getLogger(__name__)


def needs_restart(old: MeshOptions, new: MeshOptions, keys: Sequence[str]) -> bool:
    """Whether a reload changes one of ``keys``, which only a restart can change. Logs the changed keys."""
    changed = [f"mesh.{key}" for key in keys if getattr(new, key) != getattr(old, key)]
    if changed:
        log.warning("reload_needs_restart", extra={"keys": ",".join(changed)})
    return bool(changed)


def traffic_metrics(traffic: TrafficCounters) -> list[str]:
    """Return the metrics of connections and messages that voters and observing schedulers have in common."""
    return [
        f"opened:{traffic.opened}|c",
        f"lost:{traffic.lost}|c",
        f"messages_in:{traffic.messages_in}|c",
        f"messages_out:{traffic.messages_out}|c",
        f"bytes_in:{traffic.bytes_in}|c",
    ]


def metric_lines(metrics: Iterable[str]) -> bytes:
    """Render metrics of the control group, one a line."""
    return "".join(f"{METRIC_PREFIX}.control.{metric}\n" for metric in metrics).encode()


async def call_cordons(
    driver: Driver, cordons: GroupCordons, method: str, cordon_id: str, body: bytes, wait: str | None
) -> Answer:
    """Carry out an operator's call about cordons in the driver's mailbox, and return the answer."""
    reply: asyncio.Future[Answer] = asyncio.get_running_loop().create_future()
    call = CordonCall(method, cordon_id, body, wait, reply)
    driver.tell(Run(lambda: cordons.call(call)))
    return await reply
