"""Client of the platform's advice service, which selects the workers that may run a step."""

from typing import Final

import msgspec
from result import Err, Ok, Result

from sapphirelead.errors import Code, Failure
from sapphirelead.http_client import JSON_HEADERS, HttpCaller
from sapphirelead.logs import log_event
from sapphirelead.model_worker_life import WorkerLife, worker_id
from sapphirelead.node_ports import AdviceAnswer
from sapphirelead.platform.decoding import Name, decode
from sapphirelead.sched_spec import AdvicePolicy

TIMEOUT_MARGIN_S: Final = 2.0
"""Added to the service time, because the service handles calls sequentially."""


class _Answer(msgspec.Struct):
    """``good`` holds rows of worker and ticket, each decoded separately."""

    good: list[msgspec.Raw] = []


_ROW: Final = msgspec.json.Decoder(tuple[Name, Name])
_DECODER: Final = msgspec.json.Decoder(_Answer)


class PlatformAdvice:
    """Client of the advice service at one address."""

    _http: HttpCaller

    def __init__(self, http: HttpCaller) -> None:
        self._http = http

    @classmethod
    def connect(cls, address: str) -> "PlatformAdvice":
        """Return a client of the service at ``address``."""
        return cls(HttpCaller.connect(f"http://{address}", TIMEOUT_MARGIN_S))

    async def close(self) -> None:
        """Close all connections."""
        await self._http.close()

    async def ask(
        self, step: str, workers: list[WorkerLife], policy: AdvicePolicy
    ) -> Result[AdviceAnswer, Failure]:
        """Request tickets for ``step`` on ``workers``."""
        service_time_s = (policy.base_ms + policy.each_ms * len(workers)) / 1000
        lives = {worker_id(life): life for life in workers}
        body = {"step": step, "workers": list(lives)}
        found = await self._http.call(
            "POST",
            "/advise",
            msgspec.json.encode(body),
            JSON_HEADERS,
            service_time_s + TIMEOUT_MARGIN_S,
        )
        if isinstance(found, Err):
            return Err(Failure(Code.NO_INSTANCE, f"advice service: {found.err_value.detail}"))
        if found.ok_value.status != 200:
            text = f"advice service: status {found.ok_value.status}"
            return Err(Failure(Code.OVERLOADED, text))
        answer = decode(_DECODER, found.ok_value.body)
        if isinstance(answer, Err):
            text = f"advice service: invalid response: {answer.err_value}"
            return Err(Failure(Code.NO_INSTANCE, text))
        return Ok(AdviceAnswer(_tickets(answer.ok_value, lives)))


def _tickets(answer: _Answer, lives: dict[str, WorkerLife]) -> dict[WorkerLife, str]:
    """Return the tickets by life; rows that cannot be decoded or used are logged and skipped.

    :param lives: life by id of the workers asked about.
    """
    tickets = {}
    for raw in answer.good:
        row = decode(_ROW, bytes(raw))
        if isinstance(row, Err):
            log_event("WARNING", "advice_row_unreadable", reason=row.err_value)
            continue
        worker, ticket = row.ok_value
        if worker not in lives:
            log_event("WARNING", "advice_row_unreadable", reason=f"worker {worker!r} is not asked")
            continue
        tickets[lives[worker]] = ticket
    return tickets
