"""The platform's advice service."""

from typing import Final

import msgspec
from result import Err, Ok, Result

from sapphirelead.errors import Code, Failure
from sapphirelead.node_ports import AdviceAnswer
from sapphirelead.platform.client import HttpClient
from sapphirelead.sched_spec import AdvicePolicy

MARGIN_S: Final = 2.0
"""Allowed beyond the service's own time: it answers one call after the other."""


class _Answer(msgspec.Struct):
    """``good`` holds rows of worker and ticket."""

    good: list[tuple[str, str]] = []


_DECODER: Final = msgspec.json.Decoder(_Answer)


class PlatformAdvice:
    """Asks the service at one address."""

    _client: HttpClient
    _address: str

    def __init__(self, client: HttpClient, address: str) -> None:
        self._client = client
        self._address = address

    async def ask(
        self, step: str, workers: list[str], policy: AdvicePolicy
    ) -> Result[AdviceAnswer, Failure]:
        """Ask about ``workers`` for the step named ``step``."""
        took_s = (policy.base_ms + policy.each_ms * len(workers)) / 1000
        body = {"step": step, "workers": workers}
        found = await self._client.call("POST", self._address, "/advise", took_s + MARGIN_S, body)
        if isinstance(found, Err):
            return Err(Failure(Code.NO_INSTANCE, f"advice service: {found.err_value}"))
        if found.ok_value.status != 200:
            text = f"advice service: status {found.ok_value.status}"
            return Err(Failure(Code.OVERLOADED, text))
        try:
            answer = _DECODER.decode(found.ok_value.body)
        except msgspec.DecodeError as exc:
            return Err(Failure(Code.NO_INSTANCE, f"advice service: undecodable answer: {exc}"))
        return Ok(AdviceAnswer(dict(answer.good)))
