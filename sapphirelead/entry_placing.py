"""Finding an instance for an attempt: at once, or from the service's queue when room appears.

What is placed is reserved: it counts in the router's and the limit's estimates from that moment, so
that the next choice sees it.  Whoever does not send the attempt gives it back.

A queued request leaves the queue by one of four ways: it gets room, it can no longer be met by the
present estimates, it loses its place to one with better chances, or its caller leaves.
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

OVERLOADED: Final = Failure(Code.OVERLOADED, "the deadline cannot be met with the work ahead")


class Placer:
    """Places attempts.

    :ivar router: estimates of the instances.
    """

    router: Router

    def __init__(self, router: Router) -> None:
        self.router = router

    async def place(self, req: OpenRequest) -> Result[str, Failure]:
        """Return an instance, reserved in the estimates, at once or from the queue."""
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
        """Return the time that most attempts sent now would take."""
        at = now()
        measured = state.window.percentile_s(SERVICE_TIME_PERCENTILE, at)
        return measured if measured is not None else SERVICE_TIME_FACTOR * self._latency_s(state)

    def wait_s(self, state: ServiceState, ahead: int) -> float:
        """Return the expected time in the queue behind ``ahead`` others."""
        return expected_wait_s(ahead, state.limit.in_flight, self._latency_s(state))

    def _latency_s(self, state: ServiceState) -> float:
        return self.router.latency_s(state.name)

    async def _queue(self, req: OpenRequest, expires_at: float) -> Result[str, Failure]:
        loop = asyncio.get_running_loop()
        waiter = Waiter(req, loop.create_future())
        place, lost = req.service.queue.put(waiter, req.priority, expires_at)
        if lost is not None:
            _resolve(lost, None)
        timer = loop.call_at(expires_at, _resolve, waiter, None)
        try:
            instance = await waiter.future
        except asyncio.CancelledError:
            self._unreserve(waiter)
            raise
        finally:
            timer.cancel()
            req.service.queue.withdraw(place)
        return Err(OVERLOADED) if instance is None else Ok(instance)

    def _unreserve(self, waiter: Waiter) -> None:
        """Give back what a caller was just given when it left."""
        future = waiter.future
        if future.done() and not future.cancelled() and (instance := future.result()):
            self.release(waiter.request.service, instance)

    def reserve(self, req: OpenRequest) -> str | None:
        """Return an instance with room now and count the attempt, or ``None``."""
        state = req.service
        if not state.limit.has_room:
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
        """Give back what was reserved for an attempt that is not made."""
        at = now()
        self.router.end(instance, state.name, AttemptEnd.ABANDONED, 0.0, at)
        state.limit.end(None, at)

    def dispatch_queued(self, state: ServiceState) -> None:
        """Give queued requests the room there is."""
        if not len(state.queue):
            return
        while len(state.queue) and self._dispatch_some(state):
            pass
        # After placing: while a slot has just become free, fewer attempts are in flight than the
        # service can hold, and the wait would be overestimated.
        self._shed(state)

    def _shed(self, state: ServiceState) -> None:
        """Give up at once what cannot be met any more by the present estimates.

        The estimates may have changed since the requests were queued: before the first answers
        came, or when the targets became slower.
        """
        at = now()
        service_time_s = self.service_time_s(state)
        for late in state.queue.drop_late(at):
            _resolve(late, None)
        while (last := state.queue.last()) is not None:
            place, waiter = last
            if at + self.wait_s(state, len(state.queue) - 1) + service_time_s <= waiter.request.deadline:
                break
            state.queue.withdraw(place)
            _resolve(waiter, None)

    def _dispatch_some(self, state: ServiceState) -> bool:
        """Try the next few requests; return whether one got room.

        More than one, because a request that a rule binds to a full zone must not hold up those
        behind it that may go elsewhere.
        """
        placed = False
        soonest_end = now() + self.service_time_s(state)
        for place, waiter in state.queue.first(DISPATCH_LOOKAHEAD):
            # A caller that left has its future cancelled before its coroutine gets to leave the
            # queue; room reserved for it in between would never be given back.
            if waiter.future.done() or waiter.request.deadline < soonest_end:
                state.queue.withdraw(place)
                _resolve(waiter, None)
                placed = True
                continue
            instance = self.reserve(waiter.request)
            if instance is not None:
                state.queue.withdraw(place)
                _resolve(waiter, instance)
                placed = True
            elif not waiter.request.decision.then.zones:
                break
        return placed


def reject_waiter(waiter: Waiter) -> None:
    """Tell a queued request that it gets no instance."""
    _resolve(waiter, None)


def _resolve(waiter: Waiter, instance: str | None) -> None:
    if not waiter.future.done():
        waiter.future.set_result(instance)
