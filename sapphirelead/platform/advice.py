"""The platform's advice service."""

from typing import Final

import msgspec
from result import Err, Ok, Result

from sapphirelead.errors import Code, Failure
from sapphirelead.http_client import JSON_HEADERS, HttpCaller
from sapphirelead.node_ports import AdviceAnswer
from sapphirelead.sched_spec import AdvicePolicy

MARGIN_S: Final = 2.0
"""Allowed beyond the service's own time: it answers one call after the other."""


class _Answer(msgspec.Struct):
    """``good`` holds rows of worker and ticket."""

    good: list[tuple[str, str]] = []


_DECODER: Final = msgspec.json.Decoder(_Answer)


class PlatformAdvice:
    """Asks the service at one address."""

    _http: HttpCaller

    def __init__(self, http: HttpCaller) -> None:
        self._http = http

    @classmethod
    def connect(cls, address: str) -> "PlatformAdvice":
        """Return the service at ``address``."""
        return cls(HttpCaller.connect(f"http://{address}", MARGIN_S))

    async def close(self) -> None:
        """Close all connections."""
        await self._http.close()

    async def ask(
        self, step: str, workers: list[str], policy: AdvicePolicy
    ) -> Result[AdviceAnswer, Failure]:
        """Ask about ``workers`` for the step named ``step``."""
        took_s = (policy.base_ms + policy.each_ms * len(workers)) / 1000
        body = {"step": step, "workers": workers}
        found = await self._http.call(
            "POST", "/advise", msgspec.json.encode(body), JSON_HEADERS, took_s + MARGIN_S
        )
        if isinstance(found, Err):
            return Err(Failure(Code.NO_INSTANCE, f"advice service: {found.err_value.detail}"))
        if found.ok_value.status != 200:
            text = f"advice service: status {found.ok_value.status}"
            return Err(Failure(Code.OVERLOADED, text))
        try:
            answer = _DECODER.decode(found.ok_value.body)
        except msgspec.DecodeError as exc:
            return Err(Failure(Code.NO_INSTANCE, f"advice service: undecodable answer: {exc}"))
        return Ok(AdviceAnswer(dict(answer.good)))
