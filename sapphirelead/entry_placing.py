"""Assigns instances to service attempts, at once or from the service's queue.

An assignment is a reservation: the router and the concurrency limit count it at once.  The caller
must release it if the attempt is not sent.

A queued request leaves the queue when it gets an instance, when by the current estimates it cannot
meet its deadline, when another request displaces it, or when its caller disconnects.
"""

import asyncio
from typing import Final

from result import Err, Ok, Result

from sapphirelead.clock import now
from sapphirelead.entry_service_state import OpenRequest, ServiceState, Waiter
from sapphirelead.errors import Code, Failure
from sapphirelead.policy_limits import expected_wait_s
from sapphirelead.policy_routing import AttemptEnd, Router

SERVICE_TIME_PERCENTILE: Final = 90.0
SERVICE_TIME_FACTOR: Final = 1.5
DISPATCH_LOOKAHEAD: Final = 8

OVERLOADED: Final = Failure(Code.OVERLOADED, "deadline cannot be met with the current queue")


class Placer:
    """Assigns instances to attempts.

    :ivar router: chooses instances by their estimated load and latency.
    """

    router: Router

    def __init__(self, router: Router) -> None:
        self.router = router

    async def place(self, req: OpenRequest) -> Result[str, Failure]:
        """Reserve an instance, waiting in the queue if necessary; the caller must release it."""
        state = req.service
        if not len(state.queue) and (instance := self.reserve(req)) is not None:
            return Ok(instance)
        at = now()
        then = req.decision.then
        expires_at = req.deadline - self.service_time_s(state)
        if then.max_queue_ms is not None:
            expires_at = min(expires_at, at + then.max_queue_ms / 1000)
        if at + self.wait_s(state, state.queue.ahead(req.priority, expires_at)) > expires_at:
            return Err(OVERLOADED)
        return await self._queue(req, expires_at)

    def service_time_s(self, state: ServiceState) -> float:
        """Return the estimated service time of an attempt sent now, as a high percentile."""
        at = now()
        measured = state.window.percentile_s(SERVICE_TIME_PERCENTILE, at)
        return measured if measured is not None else SERVICE_TIME_FACTOR * self._latency_s(state)

    def wait_s(self, state: ServiceState, ahead: int) -> float:
        """Return the expected queueing time behind ``ahead`` requests."""
        return expected_wait_s(ahead, state.limit.in_flight, self._latency_s(state))

    def _latency_s(self, state: ServiceState) -> float:
        return self.router.latency_s(state.name)

    async def _queue(self, req: OpenRequest, expires_at: float) -> Result[str, Failure]:
        loop = asyncio.get_running_loop()
        waiter = Waiter(req, loop.create_future())
        position, displaced = req.service.queue.put(waiter, req.priority, expires_at)
        if displaced is not None:
            _resolve(displaced, None)
        timer = loop.call_at(expires_at, _resolve, waiter, None)
        try:
            instance = await waiter.future
        except asyncio.CancelledError:
            self._unreserve(waiter)
            raise
        finally:
            timer.cancel()
            req.service.queue.withdraw(position)
        return Err(OVERLOADED) if instance is None else Ok(instance)

    def _unreserve(self, waiter: Waiter) -> None:
        """Release an instance that was assigned to a caller that then disconnected."""
        future = waiter.future
        if future.done() and not future.cancelled() and (instance := future.result()):
            self.release(waiter.request.service, instance)

    def reserve(self, req: OpenRequest) -> str | None:
        """Reserve an instance that has capacity now; ``None`` if there is none."""
        state = req.service
        if not state.limit.has_capacity:
            return None
        then = req.decision.then
        at = now()
        instance = self.router.pick(state.name, at, req.tried, then.zones, then.spill)
        if instance is None and req.tried:
            instance = self.router.pick(state.name, at, (), then.zones, then.spill)
        if instance is not None:
            self.router.begin(instance, at)
            state.limit.begin()
        return instance

    def release(self, state: ServiceState, instance: str) -> None:
        """Release the reservation of an attempt that is not sent."""
        at = now()
        self.router.end(instance, state.name, AttemptEnd.ABANDONED, 0.0, at)
        state.limit.end(None, at)

    def dispatch_queued(self, state: ServiceState) -> None:
        """Assign free capacity to queued requests, then refuse those that would be late."""
        if not len(state.queue):
            return
        while len(state.queue) and self._dispatch_some(state):
            pass
        # Only after dispatch: a slot that was just freed lowers the number in flight, and the
        # wait would be overestimated.
        self._shed(state)

    def _shed(self, state: ServiceState) -> None:
        """Refuse queued requests that by the current estimates cannot meet their deadline."""
        at = now()
        service_time_s = self.service_time_s(state)
        for late in state.queue.drop_expired(at):
            _resolve(late, None)
        while (last := state.queue.last()) is not None:
            position, waiter = last
            if (
                at + self.wait_s(state, len(state.queue) - 1) + service_time_s
                <= waiter.request.deadline
            ):
                break
            state.queue.withdraw(position)
            _resolve(waiter, None)

    def _dispatch_some(self, state: ServiceState) -> bool:
        """Try the next few requests; return whether any left the queue.

        Looking ahead avoids head-of-line blocking by a request that a rule binds to a full zone.
        """
        removed = False
        soonest_end = now() + self.service_time_s(state)
        for position, waiter in state.queue.first(DISPATCH_LOOKAHEAD):
            # The future of a disconnected caller is cancelled before its coroutine leaves the
            # queue; an instance reserved for it in between would never be released.
            if waiter.future.done() or waiter.request.deadline < soonest_end:
                state.queue.withdraw(position)
                _resolve(waiter, None)
                removed = True
                continue
            instance = self.reserve(waiter.request)
            if instance is not None:
                state.queue.withdraw(position)
                _resolve(waiter, instance)
                removed = True
            elif not waiter.request.decision.then.zones:
                break
        return removed


def refuse_waiter(waiter: Waiter) -> None:
    """Refuse a queued request."""
    _resolve(waiter, None)


def _resolve(waiter: Waiter, instance: str | None) -> None:
    if not waiter.future.done():
        waiter.future.set_result(instance)
