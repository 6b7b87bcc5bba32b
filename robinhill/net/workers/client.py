"""The HTTP calls to one worker: a job's POST, its DELETE, and health checks.

What an answer or its absence proves about a job is decided here, by the protocol's table; what follows from
it is the endpoint's part.
"""

import asyncio
import logging
from collections.abc import Iterable
from typing import Any

import aiohttp
from aiohttp.client_reqrep import ClientResponse
from yarl import URL

from robinhill import protocol
from robinhill.api import Outcome
from robinhill.net.metrics import Metrics
from robinhill.net.workers.attempt import NotWrittenError, Phase, WorkerAttempt
from robinhill.net.workers.connection import GuardedRequest, WorkerConnector, WriteGuard, current_attempt

log = logging.getLogger(__name__)

HEALTH_CHECK_TIMEOUT_S = 1.0
LINGER_S = 2.0  # how long a connection waits for the 202 of a job that is over, or for an answer's end
_REJECTED = (503, 504)  # with the header NOT_PROCESSED: the job did not run
_MALFORMED = (aiohttp.ClientPayloadError, aiohttp.ClientResponseError)


class WorkerClient:
    """Owns the connections to one worker."""

    def __init__(
        self, instance_id: str, host_port: str, connect_timeout_s: float, max_idle_s: float, metrics: Metrics
    ) -> None:
        self.instance_id = instance_id
        self.host_port = host_port
        self.connect_timeout_s = connect_timeout_s
        self.max_idle_s = max_idle_s
        self.metrics = metrics
        self.session = self._new_session()

    def _new_session(self) -> aiohttp.ClientSession:
        session = aiohttp.ClientSession(
            connector=WorkerConnector(self.max_idle_s, self.note_close),
            request_class=GuardedRequest,
            cookie_jar=aiohttp.DummyCookieJar(),
            timeout=aiohttp.ClientTimeout(total=None, sock_connect=self.connect_timeout_s),
            skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding", "Content-Type"),
            auto_decompress=False,
        )
        # aiohttp sends idempotent requests again after a broken connection; nothing may be sent twice here.
        session._retry_connection = False
        return session

    def note_close(self, reason: str) -> None:
        """Count connections that end from this side."""
        self.metrics.closes[f"worker.{reason}"] += 1
        log.debug("connection_closed", extra={"endpoint": self.instance_id, "why": reason})

    def _url(self, target: str) -> URL:
        return URL(f"http://{self.host_port}{target}", encoded=True)

    async def submit(self, attempt: WorkerAttempt, guard: WriteGuard) -> Outcome | None:
        """POST the job; how the attempt has ended, or None if the worker has accepted it."""
        current_attempt.set((guard, attempt))
        try:
            guard.check(attempt)
            response = await self._post(attempt, guard.time_left(attempt))
        except NotWrittenError as e:
            log.debug("attempt_unwritten", extra=self._log_fields(attempt, str(e)))
            return e.outcome
        except (aiohttp.ClientError, OSError, TimeoutError) as e:
            return self._failed(attempt, e)
        return self._outcome_of(attempt, response)

    async def _post(self, attempt: WorkerAttempt, time_left: str) -> ClientResponse:
        request = attempt.request
        headers = dict(request.headers)
        headers[protocol.TIMEOUT] = time_left
        async with self.session.post(
            self._url(request.target), data=request.body, headers=headers, allow_redirects=False
        ) as response:
            connection = attempt.connection
            if not attempt.fully_written and connection is not None:
                self.note_close("early_answer")
                connection.close()
                raise aiohttp.ClientPayloadError("an answer before the request was whole")
            # Noted before the rest of the answer: a cancel from now on is a DELETE.
            if response.status == 202:
                attempt.phase = Phase.ACCEPTED
                await _discard_body(response)
            elif response.status in (500, *_REJECTED):
                async with asyncio.timeout(LINGER_S):
                    await _discard_body(response)
            elif connection is not None:
                self.note_close("unexpected_answer")
                connection.close()  # the worker may have the job, and is to give it up
        return response

    def _failed(self, attempt: WorkerAttempt, error: Exception) -> Outcome | None:
        malformed = isinstance(error, _MALFORMED) or type(error) is TimeoutError
        event = "malformed_response" if malformed else "attempt_connection_failed"
        level = logging.WARNING if malformed else logging.DEBUG
        log.log(level, event, extra=self._log_fields(attempt, repr(error)))
        if attempt.phase is Phase.ACCEPTED:
            return None
        return Outcome.CONNECT_FAILED if attempt.phase is Phase.CONNECTING else Outcome.RESET

    def _outcome_of(self, attempt: WorkerAttempt, response: ClientResponse) -> Outcome | None:
        status = response.status
        if status == 202:
            return None
        if status in _REJECTED and response.headers.get(protocol.NOT_PROCESSED) == "1":
            return Outcome.FULL
        if status != 500:
            extra = {"endpoint": self.instance_id, "status": status, "id": attempt.request.id}
            log.warning("unexpected_response", extra=extra)
        return Outcome.ERROR

    def _log_fields(self, attempt: WorkerAttempt, why: str) -> dict[str, str]:
        return {"id": attempt.request.id, "endpoint": f"endpoint {self.instance_id}", "why": why}

    async def cancel(self, request_id: str) -> bool:
        """DELETE a job; whether the worker has answered, so that no such job is running there any more."""
        timeout = aiohttp.ClientTimeout(total=self.connect_timeout_s)
        url = self._url(protocol.cancellation_target(request_id))
        try:
            async with self.session.delete(url, timeout=timeout) as response:
                await _discard_body(response)
                if response.status < 500:
                    return True
                why = str(response.status)  # it does not tell what became of the job
        except (aiohttp.ClientError, OSError, TimeoutError) as e:
            why = repr(e)
        extra = {"endpoint": self.instance_id, "id": request_id, "why": why}
        log.warning("cancel_unanswered", extra=extra)
        return False

    async def is_alive(self) -> bool:
        """Whether the worker answers a health check at all: one that drains answers 503 and finishes jobs."""
        timeout = aiohttp.ClientTimeout(total=HEALTH_CHECK_TIMEOUT_S, sock_connect=self.connect_timeout_s)
        try:
            async with self.session.get(self._url("/health"), timeout=timeout) as response:
                await _discard_body(response)
                return True
        except (aiohttp.ClientError, OSError, TimeoutError):
            return False

    def replace_session(self) -> aiohttp.ClientSession:
        """Use new connections from now on; the old session is the caller's to close."""
        self.note_close("idle")
        old, self.session = self.session, self._new_session()
        return old

    async def close(self) -> None:
        """Close all connections."""
        await self.session.close()


async def close_after(session: aiohttp.ClientSession, carried: Iterable[asyncio.Task[Any]]) -> None:
    """Close a session once the tasks that use it are over."""
    if tasks := list(carried):
        await asyncio.wait(tasks)
    await session.close()


async def _discard_body(response: ClientResponse) -> None:
    """Read a body that nobody needs; one that is longer than allowed ends its connection."""
    left = protocol.MAX_BODY_BYTES
    async for data in response.content.iter_any():
        if (left := left - len(data)) < 0:
            raise aiohttp.ClientPayloadError(f"a body of more than {protocol.MAX_BODY_BYTES} bytes")
