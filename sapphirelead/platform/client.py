"""The one HTTP client for everything the platform offers: store, workers, advice.

Every call has a timeout of its own.  Open connections can go silent for good while new ones work;
a call that times out closes its connection, so that the next one opens another.
"""

import asyncio
from dataclasses import dataclass
from enum import StrEnum
from typing import Any, Final

import aiohttp
import msgspec
from result import Err, Ok, Result
from yarl import URL

KEEPALIVE_S: Final = 15.0
"""How long an unused connection is kept; the platform closes idle ones after as long."""

CONNECTIONS: Final = 16
"""Connections to one address."""

_ENCODER: Final = msgspec.json.Encoder()


class NoAnswer(StrEnum):
    """Why a call has no answer.

    ``REFUSED``: nobody listens there, so it was not carried out.  ``UNREACHABLE``: no connection
    came about, so it was not carried out.  ``LOST``: it was sent and may be carried out.
    """

    REFUSED = "refused"
    UNREACHABLE = "unreachable"
    LOST = "lost"


@dataclass(frozen=True, slots=True)
class Answer:
    """A whole answer."""

    status: int
    body: bytes
    headers: dict[str, str]


class HttpClient:
    """Calls by HTTP with JSON bodies."""

    _session: aiohttp.ClientSession

    def __init__(self) -> None:
        connector = aiohttp.TCPConnector(
            limit=0, limit_per_host=CONNECTIONS, keepalive_timeout=KEEPALIVE_S, use_dns_cache=False
        )
        self._session = aiohttp.ClientSession(
            connector=connector,
            auto_decompress=False,
            cookie_jar=aiohttp.DummyCookieJar(),
            skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding"),
        )

    async def call(
        self,
        method: str,
        address: str,
        path: str,
        timeout_s: float,
        body: Any = None,
        headers: dict[str, str] | None = None,
    ) -> Result[Answer, NoAnswer]:
        """Send one request and read the whole answer.

        :param body: encoded as JSON where it is not ``None``.
        """
        url = URL(f"http://{address}{path}", encoded=True)
        data = None if body is None else _ENCODER.encode(body)
        sent_headers = dict(headers or {})
        if data is not None:
            sent_headers["Content-Type"] = "application/json"
        try:
            async with (
                asyncio.timeout(timeout_s),
                self._session.request(method, url, data=data, headers=sent_headers) as response,
            ):
                read = await response.read()
                return Ok(Answer(response.status, read, dict(response.headers)))
        except aiohttp.ClientConnectorError as exc:
            refused = isinstance(exc.os_error, ConnectionRefusedError)
            return Err(NoAnswer.REFUSED if refused else NoAnswer.UNREACHABLE)
        except (TimeoutError, aiohttp.ClientError, OSError):
            return Err(NoAnswer.LOST)

    async def close(self) -> None:
        """Close all connections."""
        await self._session.close()
