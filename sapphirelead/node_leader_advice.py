"""Sends the planner's requests for tickets to the advice service, by queue priority and age.

A request goes before one of a higher priority that came later by more than
:data:`MAX_PRIORITY_DELAY_S`: a job without tickets runs nowhere, whatever its priority.
"""

import asyncio
from collections.abc import Callable, Iterable
from typing import Final

from result import Err

from sapphirelead.background import spawn
from sapphirelead.clock import now
from sapphirelead.errors import Failure
from sapphirelead.logs import log_event
from sapphirelead.metrics import Metrics
from sapphirelead.node_ports import AdviceService
from sapphirelead.sched_core import Scheduler
from sapphirelead.sched_planner import AdviceRequest

MAX_CONCURRENT_REQUESTS: Final = 2
"""Requests to the service in flight at once; it processes them one at a time."""

RETRY_DELAY_S: Final = 0.1
"""Delay before tickets for the workers of a failed request may be requested again."""

PRIORITY_DELAY_S: Final = 0.25
"""Time by which a request precedes earlier ones, for each level of priority between them."""

MAX_PRIORITY_DELAY_S: Final = 1.0


class AdviceDispatcher:
    """Queues the planner's requests and passes the tickets to the scheduler.

    :ivar metrics: receives the response times.
    """

    metrics: Metrics
    _sched: Scheduler
    _service: AdviceService
    _wake: Callable[[], None]
    _requests: "asyncio.PriorityQueue[tuple[float, int, AdviceRequest]]"
    _number: int
    _tasks: list["asyncio.Task[None]"]

    def __init__(
        self, sched: Scheduler, service: AdviceService, metrics: Metrics, wake: Callable[[], None]
    ) -> None:
        """Create a dispatcher.

        :param wake: called when new tickets or a failed request may change what can be planned.
        """
        self.metrics = metrics
        self._sched = sched
        self._service = service
        self._wake = wake
        self._requests = asyncio.PriorityQueue()
        self._number = 0
        self._tasks = []

    def start(self) -> None:
        """Start the tasks that send requests."""
        self._tasks = [
            spawn(self._request_loop(), f"advice-{number}")
            for number in range(MAX_CONCURRENT_REQUESTS)
        ]

    def stop(self) -> None:
        """Cancel the tasks that send requests."""
        for task in self._tasks:
            task.cancel()

    def put(self, requests: Iterable[AdviceRequest]) -> None:
        """Enqueue requests."""
        for request in requests:
            self._number += 1
            delay_s = min(PRIORITY_DELAY_S * request.policy.priority, MAX_PRIORITY_DELAY_S)
            self._requests.put_nowait((now() + delay_s, self._number, request))

    async def _request_loop(self) -> None:
        while True:
            _, _, request = await self._requests.get()
            job = self._sched.jobs.get(request.key[0])
            policy = request.policy.advice
            if job is None or not job.open or policy is None:
                continue
            name = f"{request.key[0]}.{request.key[1]}.{request.key[2]}"
            began = now()
            found = await self._service.ask(name, request.workers, policy)
            self.metrics.latency("advice_ms", (now() - began) * 1000)
            if isinstance(found, Err):
                await self._handle_failure(request, found.err_value)
                continue
            tickets = found.ok_value.tickets
            log_event("INFO", "advice", step=name, asked=len(request.workers), good=len(tickets))
            self._sched.advice.add_tickets(request.key, tickets, began + policy.valid_ms / 1000)
            self._wake()

    async def _handle_failure(self, request: AdviceRequest, failure: Failure) -> None:
        log_event("WARNING", "advice_failed", step=request.key, reason=str(failure))
        await asyncio.sleep(RETRY_DELAY_S)
        self._sched.advice.request_failed(request.key, request.workers)
        self._wake()
