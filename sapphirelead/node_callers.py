"""The account of callers' requests at an entry: how many are read and not answered, which are cut.

The product's own API and the platform's adapter answer through it, so that a stop waits for the
same requests, and logs and metrics say the same of them, whichever way they came.
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
"""An answer that took longer is logged; usual ones take a few milliseconds."""


class RequestTracker:
    """Requests of callers at one entry.

    :ivar leaving: callers are told to use another connection.
    :ivar in_progress: requests that have been read and not been answered.
    """

    leaving: bool
    in_progress: int
    _entry: FleetEntry
    _quiet_statuses: frozenset[int]
    _idle: asyncio.Event

    def __init__(self, entry: FleetEntry, quiet_statuses: frozenset[int]) -> None:
        """Start an empty account.

        :param quiet_statuses: statuses that are not logged, where they come quickly.
        """
        self.leaving = False
        self.in_progress = 0
        self._entry = entry
        self._quiet_statuses = quiet_statuses
        self._idle = asyncio.Event()
        self._idle.set()

    async def wait_until_idle(self) -> None:
        """Wait until every request that has been read is answered."""
        await self._idle.wait()

    async def answer(
        self, request: R, handler: Callable[[R], Awaitable[web.StreamResponse]]
    ) -> web.StreamResponse:
        """Answer one request by ``handler``."""
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
        if response.status not in self._quiet_statuses or took_ms > SLOW_RESPONSE_MS:
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
        """Log a request that ends without an answer: the caller has left, or this process ends."""
        log_event(
            "WARNING" if self.leaving else "INFO",
            "call_cut",
            method=request.method,
            path=request.path,
            took_ms=(now() - began) * 1000,
            leaving=self.leaving,
        )
        self._entry.metrics.count("calls_cut_total", leaving=str(self.leaving).lower())
