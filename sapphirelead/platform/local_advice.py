"""Client of the advice service over HTTP and JSON; it selects the workers that may run a step."""

from typing import Final

import msgspec
from result import Err, Ok, Result

from sapphirelead.errors import Code, Failure
from sapphirelead.http_client import JSON_HEADERS, HttpCaller
from sapphirelead.model_worker_life import WorkerLife
from sapphirelead.node_ports import AdviceAnswer
from sapphirelead.sched_spec import AdvicePolicy

TIMEOUT_MARGIN_S: Final = 2.0
"""Added to the service time, because the service handles calls sequentially."""


class _Answer(msgspec.Struct):
    tickets: dict[WorkerLife, str] = {}


_DECODER: Final = msgspec.json.Decoder(_Answer)


class HttpAdvice:
    """Client of the advice service; without a URL every request fails."""

    _http: HttpCaller | None

    def __init__(self, http: HttpCaller | None) -> None:
        self._http = http

    @classmethod
    def connect(cls, url: str) -> "HttpAdvice":
        """Return a client of the service at ``url``; an empty URL means that there is none."""
        return cls(HttpCaller.connect(url, TIMEOUT_MARGIN_S) if url else None)

    async def close(self) -> None:
        """Close all connections."""
        if self._http is not None:
            await self._http.close()

    async def ask(
        self, step: str, workers: list[WorkerLife], policy: AdvicePolicy
    ) -> Result[AdviceAnswer, Failure]:
        """Request tickets for ``step`` on ``workers``."""
        if self._http is None:
            hint = "set fleet.advice_url at every entry, or leave out the queue's advice"
            return Err(Failure(Code.SETTINGS_INVALID, "no advice service is set", hint))
        service_time_s = (policy.base_ms + policy.each_ms * len(workers)) / 1000
        body = msgspec.json.encode({"step": step, "workers": workers})
        found = await self._http.call(
            "POST", "/advice", body, JSON_HEADERS, service_time_s + TIMEOUT_MARGIN_S
        )
        if isinstance(found, Err):
            return _unavailable(found.err_value.detail)
        if found.ok_value.status != 200:
            return _unavailable(f"status {found.ok_value.status}")
        try:
            return Ok(AdviceAnswer(_DECODER.decode(found.ok_value.body).tickets))
        except msgspec.DecodeError as exc:
            return _unavailable(f"invalid response: {exc}")


def _unavailable(detail: str) -> Err[Failure]:
    return Err(Failure(Code.NO_INSTANCE, f"the advice service did not answer: {detail}"))
