"""HTTP client that tells whether a failed call may have had effects.

A call ends with a complete response, with :data:`Loss.NOT_SENT` (no connection was made, so the
server cannot have acted) or with :data:`Loss.SENT` (the server may have acted).  A response is
complete only if its length could be verified.  Every call has a total timeout, and a call with an
idle timeout goes on for as long as bytes arrive, so that a large response has time on a slow link.
A timeout replaces the whole connection pool, because its other connections may be unresponsive too;
calls in flight keep the old pool open until they end.
"""

import asyncio
from contextlib import AbstractAsyncContextManager
from dataclasses import dataclass
from enum import StrEnum
from typing import Final
from urllib.parse import quote

import aiohttp
from result import Err, Ok, Result
from yarl import URL

CONNECT_TIMEOUT_SHARE: Final = 0.5
KEEPALIVE_TIMEOUT_S: Final = 15.0
DEFAULT_MAX_CONNECTIONS: Final = 64
JSON_HEADERS: Final = {"Content-Type": "application/json"}
STATUSES_WITHOUT_BODY: Final = frozenset({204, 304})


class Loss(StrEnum):
    """Whether a call without a complete response may have been sent."""

    NOT_SENT = "not_sent"
    SENT = "sent"


@dataclass(frozen=True, slots=True)
class CallError:
    """A call without a complete response.

    :ivar refused: the connection was refused, so the call was not sent.
    """

    loss: Loss
    detail: str
    refused: bool = False


@dataclass(frozen=True, slots=True)
class Reply:
    """A complete response."""

    status: int
    headers: dict[str, str]
    body: bytes


@dataclass(slots=True)
class Transfer:
    """Progress of the body of a response.

    :ivar received: bytes that have arrived.
    """

    received: int = 0


@dataclass(slots=True)
class _Pool:
    session: aiohttp.ClientSession
    in_flight: int = 0
    abandoned: bool = False


class HttpCaller:
    """Makes calls to one base URL over a connection pool."""

    _base: str
    _timeout_s: float
    _connections: int
    _pool: _Pool | None

    def __init__(self, base: str, timeout_s: float, connections: int) -> None:
        self._base = base.rstrip("/")
        self._timeout_s = timeout_s
        self._connections = connections
        self._pool = None

    @classmethod
    def connect(
        cls, base: str, timeout_s: float, connections: int = DEFAULT_MAX_CONNECTIONS
    ) -> "HttpCaller":
        """Return a caller; the first call opens the first connection.

        :param timeout_s: total timeout of a call, up to the last byte of its response.
        :param connections: maximum number of open connections.
        """
        return cls(base, timeout_s, connections)

    async def close(self) -> None:
        """Close all connections."""
        pool, self._pool = self._pool, None
        if pool is not None:
            await pool.session.close()

    async def call(
        self,
        method: str,
        path: str,
        body: bytes | None = None,
        headers: dict[str, str] | None = None,
        timeout_s: float = 0.0,
        idle_s: float = 0.0,
        transfer: Transfer | None = None,
    ) -> Result[Reply, CallError]:
        """Make one call without retries.

        :param path: percent-encoded path and query; see :func:`encode_segment`.
        :param timeout_s: total timeout of this call; 0 for the default of this caller.
        :param idle_s: maximum time without bytes of the response; 0 for none.
        :param transfer: updated while the body of the response arrives.
        """
        try:
            url = URL(self._base + path, encoded=True)
            # yarl parses the port lazily; this raises ValueError if it is invalid.
            _ = url.port
        except ValueError as exc:
            # The address was received from another process and is invalid.
            return Err(CallError(Loss.NOT_SENT, _describe(exc)))
        pool = self._open_pool()
        pool.in_flight += 1
        try:
            timeout = self._timeout(timeout_s, idle_s)
            progress = transfer or Transfer()
            request = pool.session.request(
                method,
                url,
                data=body,
                headers=headers or {},
                timeout=timeout,
                allow_redirects=False,
            )
            return Ok(await _receive(request, progress))
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as exc:
            refused = isinstance(getattr(exc, "os_error", None), ConnectionRefusedError)
            return Err(CallError(Loss.NOT_SENT, _describe(exc), refused))
        except TimeoutError as exc:
            self._abandon(pool)
            return Err(CallError(Loss.SENT, _describe(exc)))
        except (aiohttp.ClientError, OSError) as exc:
            return Err(CallError(Loss.SENT, _describe(exc)))
        finally:
            pool.in_flight -= 1
            await self._close_if_unused(pool)

    def _timeout(self, timeout_s: float, idle_s: float) -> aiohttp.ClientTimeout:
        total = timeout_s or self._timeout_s
        connect_s = (idle_s or total) * CONNECT_TIMEOUT_SHARE
        return aiohttp.ClientTimeout(total=total, connect=connect_s, sock_read=idle_s or None)

    def _open_pool(self) -> _Pool:
        if self._pool is None:
            connector = aiohttp.TCPConnector(
                limit=self._connections, keepalive_timeout=KEEPALIVE_TIMEOUT_S
            )
            session = aiohttp.ClientSession(
                connector=connector, cookie_jar=aiohttp.DummyCookieJar(), auto_decompress=False
            )
            self._pool = _Pool(session)
        return self._pool

    def _abandon(self, pool: _Pool) -> None:
        pool.abandoned = True
        if self._pool is pool:
            self._pool = None

    async def _close_if_unused(self, pool: _Pool) -> None:
        if pool.abandoned and pool.in_flight == 0:
            await asyncio.shield(pool.session.close())


async def _receive(
    request: AbstractAsyncContextManager[aiohttp.ClientResponse], transfer: Transfer
) -> Reply:
    async with request as response:
        parts = []
        async for part in response.content.iter_any():
            parts.append(part)
            transfer.received += len(part)
        _require_verifiable_length(response)
        return Reply(response.status, dict(response.headers), b"".join(parts))


def encode_segment(text: str) -> str:
    """Percent-encode ``text`` as one path segment or query value.

    >>> encode_segment("jobs/3/a b")
    'jobs%2F3%2Fa%20b'
    """
    return quote(text, safe="")


def _require_verifiable_length(response: aiohttp.ClientResponse) -> None:
    # A response delimited by the end of its connection cannot be told from a truncated one.  With a
    # length or chunked encoding, aiohttp raises on truncation.
    if response.status in STATUSES_WITHOUT_BODY or response.method == "HEAD":
        return
    chunked = "chunked" in response.headers.get("Transfer-Encoding", "").lower()
    if "Content-Length" not in response.headers and not chunked:
        raise aiohttp.ClientPayloadError("response has neither Content-Length nor chunked encoding")


def _describe(exc: BaseException) -> str:
    return f"{type(exc).__name__}: {exc}".rstrip(": ")
