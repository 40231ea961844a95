"""Stand-in of the platform's advice service, and the tickets that it gives.

It answers one question after the other, as slowly as it is told to.  A ticket names the step and
the life of the worker that it is good for, so that a worker can tell a wrong one without asking.
"""

import asyncio
from typing import Any

import msgspec
from aiohttp import web

from sapphirelead.standin_history import History
from sapphirelead.standin_server import StandIn


class AdviceSettings(msgspec.Struct, forbid_unknown_fields=True):
    """The service's manner.

    :ivar base_ms: time of one call, in milliseconds.
    :ivar each_ms: further time for each worker asked about, in milliseconds.
    """

    base_ms: float = 5.0
    each_ms: float = 1.0


class _Question(msgspec.Struct):
    step: str
    workers: list[str]


class StandInAdvice(StandIn):
    """The service."""

    _cfg: AdviceSettings
    _serial_lock: asyncio.Lock

    def __init__(self, history: History, cfg: AdviceSettings) -> None:
        super().__init__(history)
        self._cfg = cfg
        self._serial_lock = asyncio.Lock()

    @classmethod
    def from_settings(cls, history: History, raw: dict[str, Any]) -> "StandInAdvice":
        """Build from checked settings; see :class:`AdviceSettings`."""
        return cls(history, msgspec.convert(raw, AdviceSettings))

    def routes(self) -> list[web.RouteDef]:
        """Return the service's route."""
        return [web.post("/advice", self._advise)]

    async def _advise(self, request: web.Request) -> web.Response:
        try:
            asked = msgspec.json.decode(await request.read(), type=_Question)
        except msgspec.DecodeError as exc:
            return web.json_response({"error": str(exc)}, status=400)
        async with self._serial_lock:
            wait_ms = self._cfg.base_ms + self._cfg.each_ms * len(asked.workers)
            await asyncio.sleep(wait_ms / 1000)
        self.history.record("advice", step=asked.step, workers=asked.workers)
        tickets = {worker: ticket(asked.step, worker) for worker in asked.workers}
        return web.json_response({"tickets": tickets})


def ticket(step: str, worker: str) -> str:
    """Return the ticket of a step for the life of a worker."""
    return f"{step}@{worker}"


def ticket_matches(found: str, task: str, worker: str) -> bool:
    """Whether a ticket is good for a task on the life of a worker.

    >>> ticket_matches(ticket("a1.0.2", "w"), "a1.0.2.7", "w"), ticket_matches("", "a1.0.2.7", "w")
    (True, False)
    """
    return found == ticket(task.rpartition(".")[0], worker)
