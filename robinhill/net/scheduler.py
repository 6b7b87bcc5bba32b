"""The embeddable scheduler: ``start`` it, ``drain`` it, ``close`` it; or ``run`` does all three."""

import asyncio
import logging
import signal
from collections.abc import Coroutine
from dataclasses import fields, replace
from typing import Any

from robinhill import config as configuration
from robinhill.config import Config
from robinhill.net.actor import Supervisor
from robinhill.net.clock import Clock
from robinhill.net.decider import Decider, HoldOut
from robinhill.net.destinations import Destinations, Move, Watch
from robinhill.net.figures import Figures
from robinhill.net.inbound import Inbound
from robinhill.net.messages import DONE, Answer
from robinhill.net.operators import Calls, Operators

log = logging.getLogger(__name__)

TAKE_ON_S = 0.7  # after SIGTERM: what still arrives in this time is taken
FLUSH_S = 0.05  # for the last answers to leave


class Scheduler:
    """One scheduler: the decider with its endpoints, the destination set and the inbound side."""

    def __init__(self, config: Config) -> None:
        self.config = config
        self.clock = Clock()
        self.supervisor = Supervisor()
        self.figures = Figures(config.classes)
        self.decider = Decider(
            config, self.supervisor, self.clock, self.figures, lambda: self.destinations.tell(Watch())
        )
        self.destinations = Destinations(
            config.discovery, config.known.generation, self.supervisor, self.decider.tell
        )
        self.inbound = Inbound(config, self.supervisor, self.clock, self.figures, self.decider.tell)
        self.operators: Operators | None = None
        if config.ops:
            calls = Calls(self.readiness, self.decider.stats, self.hold_out, self.set_drained)
            self.operators = Operators(config.ops, config.ops_sockets - 1, self.supervisor, calls)

    async def start(self) -> None:
        if self.operators:
            self.operators.start()
        self.inbound.start()  # first, as it may fail; what comes at once waits in the mailboxes
        self.destinations.start()
        self.decider.start()
        log.info("started", extra={"scheduler": self.config.name, "listen": self.config.listen})

    def reload(self) -> None:
        """Take the file's new values; a faulty one changes nothing. Requests in flight go on as they are."""
        try:
            new = configuration.load(again=True)
        except configuration.ConfigError as e:
            log.error("reload_failed", extra={"key": e.key, "why": e.what})
            return
        moved = [f.name for f in fields(Config) if getattr(new, f.name) != getattr(self.config, f.name)]
        # The list and the seed are for the start; the rest is built into parts that are running.
        waiting = [name for name in moved if name not in ("discovery", "known", "seed")]
        if waiting:
            log.warning("reload_needs_restart", extra={"keys": ",".join(waiting)})
        self.config = replace(self.config, discovery=new.discovery)
        log.info("reloaded", extra={"discovery": new.discovery})
        self.destinations.tell(Move(new.discovery))

    async def drain(self) -> None:
        """Take requests a little longer, then refuse new ones, until all that was taken is answered.

        The listener stays up: endpoints call back at the clients' address.
        """
        log.info("draining", extra={"owed": self.inbound.owed})
        self.inbound.leaving = True
        await asyncio.sleep(TAKE_ON_S)
        self.inbound.closed_to_new = True
        log.info("refusing", extra={"owed": self.inbound.owed})
        await self.inbound.none_owed.wait()
        await asyncio.sleep(FLUSH_S)

    def readiness(self) -> Answer:
        """Whether this process is ready to serve."""
        return Answer(200, b"ready\n") if self.inbound.ready else Answer(503, b"not ready\n")

    async def hold_out(self, instance_id: str, out: bool) -> Answer:
        """Leave a worker out, or call it back."""
        reply: asyncio.Future[Answer] = asyncio.get_running_loop().create_future()
        self.decider.tell(HoldOut(instance_id, out, reply))
        return await reply

    async def set_drained(self, start: bool) -> Answer:
        """Send clients elsewhere, or take them again."""
        log.info("drain_started" if start else "drain_stopped")
        self.inbound.drain(start)
        return DONE

    async def close(self) -> None:
        if self.operators:
            await self.operators.close()
        await self.inbound.close()
        await self.supervisor.close()
        await self.decider.close()
        log.info("stopped")

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT, then drain; reload on SIGHUP. An actor's death raises its error."""
        stop = asyncio.Event()
        asyncio.get_running_loop().add_signal_handler(signal.SIGHUP, self.reload)
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, stop.set)
        await self.start()
        try:
            await self._unless_failed(stop.wait())
            await self._unless_failed(self.drain())
        finally:
            await self.close()

    async def _unless_failed(self, work: Coroutine[Any, Any, Any]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        await asyncio.wait([task, self.supervisor.failed], return_when=asyncio.FIRST_COMPLETED)
        if self.supervisor.failed.done():
            task.cancel()
            self.supervisor.failed.result()
        await task
