"""Tracks the HTTP requests of callers at an entry: requests in progress, logs and metrics.

Shared by the product's own API and the platform adapter, so that a shutdown waits for the requests
of both.
"""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Final, TypeVar

from aiohttp import web

from sapphirelead.clock import now
from sapphirelead.logs import log_event
from sapphirelead.node_entry import FleetEntry

R = TypeVar("R", bound=web.BaseRequest)

SLOW_RESPONSE_MS: Final = 500.0
"""Responses slower than this are logged whatever their status."""


class RequestTracker:
    """Tracks callers' requests at one entry.

    :ivar leaving: close the connection after each response.
    :ivar in_progress: number of requests that have been read and not answered.
    """

    leaving: bool
    in_progress: int
    _entry: FleetEntry
    _expected_statuses: frozenset[int]
    _idle: asyncio.Event

    def __init__(self, entry: FleetEntry, expected_statuses: frozenset[int]) -> None:
        """Create a tracker without requests.

        :param expected_statuses: statuses that are logged only for slow responses.
        """
        self.leaving = False
        self.in_progress = 0
        self._entry = entry
        self._expected_statuses = expected_statuses
        self._idle = asyncio.Event()
        self._idle.set()

    async def wait_until_idle(self) -> None:
        """Wait until no request is in progress."""
        await self._idle.wait()

    async def answer(
        self, request: R, handler: Callable[[R], Awaitable[web.StreamResponse]]
    ) -> web.StreamResponse:
        """Run ``handler`` on a request, and record its duration and status."""
        began = now()
        self.in_progress += 1
        self._idle.clear()
        try:
            response = await handler(request)
        except asyncio.CancelledError:
            self._log_aborted(request, began)
            raise
        finally:
            self.in_progress -= 1
            if not self.in_progress:
                self._idle.set()
        if self.leaving:
            response.force_close()
        took_ms = (now() - began) * 1000
        self._entry.metrics.latency("call_ms", took_ms, method=request.method)
        self._entry.metrics.count("calls_total", method=request.method, status=str(response.status))
        if response.status not in self._expected_statuses or took_ms > SLOW_RESPONSE_MS:
            log_event(
                "INFO",
                "call_ended",
                method=request.method,
                path=request.path,
                status=response.status,
                took_ms=took_ms,
                config=self._entry.config.version,
                reason=response.reason,
            )
        return response

    def _log_aborted(self, request: web.BaseRequest, began: float) -> None:
        """Log a request without a response: the caller disconnected or this process is stopping."""
        log_event(
            "WARNING" if self.leaving else "INFO",
            "call_cut",
            method=request.method,
            path=request.path,
            took_ms=(now() - began) * 1000,
            leaving=self.leaving,
        )
        self._entry.metrics.count("calls_cut_total", leaving=str(self.leaving).lower())
