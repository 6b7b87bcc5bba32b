"""The listener for links that peers dial."""

import asyncio
import contextlib
import logging
from collections.abc import Awaitable, Callable

from aiohttp import web

from robinhill.config_types import Address
from robinhill.net.clients.listener import bind

log = logging.getLogger(__name__)

BIND_RETRY_S = 0.2  # retry interval while the scheduler's previous process still listens on the address
SHUTDOWN_TIMEOUT_S = 0.2


class PeerListener:
    """Listens on ``address`` for the HTTP requests with which peers open links; ``accept`` handles each."""

    def __init__(
        self, address: Address, accept: Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]
    ) -> None:
        self.address = address
        self.accept = accept
        self._runner: web.ServerRunner | None = None

    async def run(self) -> None:
        """Bind the address and start to serve; binding is retried until it succeeds.

        The scheduler's previous process may still listen on the address.
        """
        reported = False
        while True:
            try:
                sock = bind(self.address, "mesh.listen")
                break
            except Exception as e:
                if not reported:
                    log.warning("peers_address_in_use", extra={"listen": self.address, "why": str(e)})
                reported = True
                await asyncio.sleep(BIND_RETRY_S)
        server = web.Server(self.accept, access_log=None)
        self._runner = web.ServerRunner(server, shutdown_timeout=SHUTDOWN_TIMEOUT_S)
        await self._runner.setup()
        await web.SockSite(self._runner, sock).start()
        log.info("peers_listening", extra={"listen": self.address})

    async def close(self) -> None:
        """Stop serving."""
        if self._runner:
            with contextlib.suppress(Exception):
                await self._runner.cleanup()
