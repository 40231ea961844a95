"""Stand-in for the platform's advice service and its tickets.

Requests are served one at a time, each with a configured delay.  A ticket names the step and the
life of the worker for which it is valid, so a worker checks it without calling the service.
"""

import asyncio
from typing import Any

import msgspec
from aiohttp import web

from sapphirelead.standin_history import History
from sapphirelead.standin_server import StandIn


class AdviceSettings(msgspec.Struct, forbid_unknown_fields=True):
    """Delays of the service.

    :ivar base_ms: duration of one call, in milliseconds.
    :ivar each_ms: additional duration for each worker in the call, in milliseconds.
    """

    base_ms: float = 5.0
    each_ms: float = 1.0


class _Question(msgspec.Struct):
    step: str
    workers: list[str]


class StandInAdvice(StandIn):
    """Advice service that issues a ticket for every requested worker."""

    _cfg: AdviceSettings
    _serial_lock: asyncio.Lock

    def __init__(self, history: History, cfg: AdviceSettings) -> None:
        super().__init__(history)
        self._cfg = cfg
        self._serial_lock = asyncio.Lock()

    @classmethod
    def from_settings(cls, history: History, raw: dict[str, Any]) -> "StandInAdvice":
        """Build from validated settings; see :class:`AdviceSettings`."""
        return cls(history, msgspec.convert(raw, AdviceSettings))

    def routes(self) -> list[web.RouteDef]:
        """Return the HTTP routes of the service."""
        return [web.post("/advice", self._advise)]

    async def _advise(self, request: web.Request) -> web.Response:
        try:
            call = msgspec.json.decode(await request.read(), type=_Question)
        except msgspec.DecodeError as exc:
            return web.json_response({"error": str(exc)}, status=400)
        async with self._serial_lock:
            wait_ms = self._cfg.base_ms + self._cfg.each_ms * len(call.workers)
            await asyncio.sleep(wait_ms / 1000)
        self.history.record("advice", step=call.step, workers=call.workers)
        tickets = {worker: ticket(call.step, worker) for worker in call.workers}
        return web.json_response({"tickets": tickets})


def ticket(step: str, worker: str) -> str:
    """Return the ticket of a step for one life of a worker."""
    return f"{step}@{worker}"


def ticket_matches(found: str, task: str, worker: str) -> bool:
    """Return whether a ticket is valid for a task on one life of a worker.

    >>> ticket_matches(ticket("a1.0.2", "w"), "a1.0.2.7", "w"), ticket_matches("", "a1.0.2.7", "w")
    (True, False)
    """
    return found == ticket(task.rpartition(".")[0], worker)
