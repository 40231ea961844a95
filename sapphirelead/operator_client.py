"""The operators' client of an entry's HTTP API, which returns failures as values."""

import json
from dataclasses import dataclass
from typing import Any, Final

import aiohttp
from result import Err, Ok, Result

from sapphirelead.errors import Code, Failure

TIMEOUT_S: Final = 15.0


@dataclass(frozen=True, slots=True)
class ApiError:
    """A failed request.

    :ivar status: HTTP status, or 0 without a response.
    :ivar body: problem details of the response.
    """

    status: int
    failure: Failure
    body: dict[str, Any]


class OperatorClient:
    """HTTP client of one entry; an asynchronous context manager."""

    _url: str
    _token: str
    _session: aiohttp.ClientSession

    def __init__(self, url: str, token: str) -> None:
        self._url = url.rstrip("/")
        self._token = token
        self._session = aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=TIMEOUT_S))

    async def __aenter__(self) -> "OperatorClient":
        return self

    async def __aexit__(self, *exc: object) -> None:
        await self._session.close()

    async def get(self, path: str, **query: str | int) -> Result[Any, ApiError]:
        """Send a GET."""
        return await self._call("GET", path, None, query)

    async def post(self, path: str, body: Any = None, **query: str | int) -> Result[Any, ApiError]:
        """Send a POST with a JSON body."""
        return await self._call("POST", path, body, query)

    async def delete(self, path: str) -> Result[Any, ApiError]:
        """Send a DELETE."""
        return await self._call("DELETE", path, None, {})

    async def _call(
        self, method: str, path: str, body: Any, query: dict[str, str | int]
    ) -> Result[Any, ApiError]:
        headers = {"Authorization": f"Bearer {self._token}"} if self._token else {}
        try:
            async with self._session.request(
                method, self._url + path, json=body, params=query, headers=headers
            ) as response:
                return _to_result(response.status, await response.read())
        except (aiohttp.ClientError, TimeoutError, ValueError) as exc:
            hint = "name a live entry with --url"
            text = f"no answer from {self._url}: {exc or type(exc).__name__}"
            return Err(ApiError(0, Failure(Code.NO_INSTANCE, text, hint), {}))


def _to_result(status: int, raw: bytes) -> Result[Any, ApiError]:
    try:
        body = json.loads(raw) if raw else {}
    except ValueError:
        body = None
    if status < 400 and body is not None:
        return Ok(body)
    details = body if isinstance(body, dict) else {"detail": raw[:200].decode("utf-8", "replace")}
    return Err(ApiError(status, _failure(details), details))


def _failure(details: dict[str, Any]) -> Failure:
    try:
        code = Code(details.get("code", ""))
    except ValueError:
        code = Code.BAD_REQUEST
    text = str(details.get("detail") or details.get("title") or "the entry refused the request")
    return Failure(code, text, str(details.get("hint", "")))
