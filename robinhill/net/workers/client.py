"""The HTTP calls to one worker: a POST submits a job, a DELETE cancels it, and a GET checks the health.

This module maps the worker's response, or the lack of one, to the outcome of an attempt as the protocol
between schedulers and workers defines it; the endpoint, the worker's actor, acts on the outcome. A worker
that accepts a job answers the POST with 202 and reports the job's end by a callback.
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
from robinhill.net.workers.connection import (
    GuardedRequest,
    WorkerConnection,
    WorkerConnector,
    WriteGuard,
    current_attempt,
)

log = logging.getLogger(__name__)

HEALTH_CHECK_TIMEOUT_S = 1.0
# How long an exchange waits for the response to an attempt that has already ended, or for the end of an error
# response's body.
LINGER_S = 2.0
# A response with one of these statuses and the header NOT_PROCESSED states that the job did not run.
_REJECTION_STATUSES = (503, 504)
_MALFORMED_RESPONSE_ERRORS = (aiohttp.ClientPayloadError, aiohttp.ClientResponseError)


class WorkerClient:
    """The HTTP client of one worker, which owns the connections to it."""

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
            connector=WorkerConnector(self.max_idle_s, self.record_close),
            request_class=GuardedRequest,
            cookie_jar=aiohttp.DummyCookieJar(),
            timeout=aiohttp.ClientTimeout(total=None, sock_connect=self.connect_timeout_s),
            skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding", "Content-Type"),
            auto_decompress=False,
        )
        # By default aiohttp sends an idempotent request again if its connection breaks. A scheduler must not
        # send any request to a worker twice.
        session._retry_connection = False
        return session

    def record_close(self, reason: str) -> None:
        """Count and log that this scheduler closes a connection to the worker."""
        self.metrics.closes[f"worker.{reason}"] += 1
        log.debug("connection_closed", extra={"endpoint": self.instance_id, "why": reason})

    def _url(self, target: str) -> URL:
        return URL(f"http://{self.host_port}{target}", encoded=True)

    async def submit(self, attempt: WorkerAttempt, guard: WriteGuard) -> Outcome | None:
        """POST the job; return the attempt's outcome, or None if the worker has accepted the job.

        ``guard`` checks right before the first byte is written whether the attempt may still be sent.
        """
        current_attempt.set((guard, attempt))
        try:
            guard.check_sendable(attempt)
            response = await self._post(attempt, guard.timeout_header(attempt))
        except NotWrittenError as e:
            log.debug("attempt_not_written", extra=self._log_fields(attempt, str(e)))
            return e.outcome
        except (aiohttp.ClientError, OSError, TimeoutError) as e:
            return self._failed(attempt, e)
        return self._outcome_of(attempt, response)

    async def _post(self, attempt: WorkerAttempt, timeout_header: str) -> ClientResponse:
        request = attempt.request
        headers = dict(request.headers)
        headers[protocol.TIMEOUT] = timeout_header
        async with self.session.post(
            self._url(request.target), data=request.body, headers=headers, allow_redirects=False
        ) as response:
            connection = attempt.connection
            if not attempt.fully_written and connection is not None:
                self.record_close("early_answer")
                connection.close()
                raise aiohttp.ClientPayloadError("worker responded before the request was fully written")
            # The phase is set before the body is read, so that a cancel during the reading sends a DELETE and
            # does not close this connection.
            if response.status == 202:
                attempt.phase = Phase.ACCEPTED
                await _discard_body(response)
            elif response.status in (500, *_REJECTION_STATUSES):
                await self._finish_connection(response, connection)
            elif connection is not None:
                self.record_close("unexpected_answer")
                # The worker may have received the job; closing the connection makes the worker drop it.
                connection.close()
        return response

    async def _finish_connection(self, response: ClientResponse, connection: WorkerConnection | None) -> None:
        """Read the rest of a response that ends an attempt, and close its connection.

        A second copy of the response may come some milliseconds later. On a connection that is used again, it
        would be taken for the response to the next request, and prove of a job that runs that it never ran.
        """
        if connection is not None:
            connection.force_close()  # aiohttp may release the connection before `_discard_body` returns
        async with asyncio.timeout(LINGER_S):
            await _discard_body(response)
        if connection is not None:
            self.record_close("refused")
            connection.close()

    def _failed(self, attempt: WorkerAttempt, error: Exception) -> Outcome | None:
        """Log a failed exchange; return its outcome, or None if the worker had already accepted the job."""
        malformed = isinstance(error, _MALFORMED_RESPONSE_ERRORS) or type(error) is TimeoutError
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
        if status in _REJECTION_STATUSES and response.headers.get(protocol.NOT_PROCESSED) == "1":
            return Outcome.FULL
        if status != 500:
            extra = {"endpoint": self.instance_id, "status": status, "id": attempt.request.id}
            log.warning("unexpected_response", extra=extra)
        return Outcome.ERROR

    def _log_fields(self, attempt: WorkerAttempt, why: str) -> dict[str, str]:
        return {"id": attempt.request.id, "endpoint": f"endpoint {self.instance_id}", "why": why}

    async def cancel(self, request_id: str) -> bool:
        """DELETE a job; return whether the worker has confirmed that the job no longer runs there.

        Any status below 500 is a confirmation.
        """
        timeout = aiohttp.ClientTimeout(total=self.connect_timeout_s)
        url = self._url(protocol.cancellation_target(request_id))
        try:
            async with self.session.delete(url, timeout=timeout) as response:
                await _discard_body(response)
                if response.status < 500:
                    return True
                why = str(response.status)  # a server error leaves the state of the job unknown
        except (aiohttp.ClientError, OSError, TimeoutError) as e:
            why = repr(e)
        extra = {"endpoint": self.instance_id, "id": request_id, "why": why}
        log.warning("cancel_unanswered", extra=extra)
        return False

    async def is_alive(self) -> bool:
        """Whether the worker answers a health check, with any status.

        A draining worker answers 503 and still finishes its jobs, so that it counts as alive.
        """
        timeout = aiohttp.ClientTimeout(total=HEALTH_CHECK_TIMEOUT_S, sock_connect=self.connect_timeout_s)
        try:
            async with self.session.get(self._url("/health"), timeout=timeout) as response:
                await _discard_body(response)
                return True
        except (aiohttp.ClientError, OSError, TimeoutError):
            return False

    def replace_session(self) -> aiohttp.ClientSession:
        """Use new connections for all later calls.

        Returns the session with the old connections, which the caller must close.
        """
        self.record_close("idle")
        old, self.session = self.session, self._new_session()
        return old

    async def close(self) -> None:
        """Close all connections."""
        await self.session.close()


async def close_after(session: aiohttp.ClientSession, pending: Iterable[asyncio.Task[Any]]) -> None:
    """Close a session once the ``pending`` tasks, which use its connections, are done."""
    if tasks := list(pending):
        await asyncio.wait(tasks)
    await session.close()


async def _discard_body(response: ClientResponse) -> None:
    """Read and discard a response's body, so that its connection can be reused.

    Raises ClientPayloadError, which closes the connection, if the body exceeds ``MAX_BODY_BYTES``.
    """
    remaining = protocol.MAX_BODY_BYTES
    async for data in response.content.iter_any():
        if (remaining := remaining - len(data)) < 0:
            raise aiohttp.ClientPayloadError(f"response body exceeds {protocol.MAX_BODY_BYTES} bytes")
