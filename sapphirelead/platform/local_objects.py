"""Client of the platform's object store over HTTP."""

from result import Err, Ok, Result

from sapphirelead.errors import Code, Failure
from sapphirelead.http_client import HttpCaller, encode_segment
from sapphirelead.settings import PlatformSettings


class HttpObjects:
    """Implements :class:`~sapphirelead.ports.ObjectStore`."""

    _http: HttpCaller

    def __init__(self, http: HttpCaller) -> None:
        self._http = http

    @classmethod
    def connect(cls, url: str, timeout_s: float) -> "HttpObjects":
        """Return a client of the store at ``url`` with a timeout of ``timeout_s`` for each call."""
        return cls(HttpCaller.connect(url, timeout_s))

    @classmethod
    def from_settings(cls, cfg: PlatformSettings) -> "HttpObjects":
        """Return a client for the configured URL, by default that of the table."""
        return cls.connect(cfg.objects_url or cfg.table_url, cfg.timeout_seconds)

    async def close(self) -> None:
        """Close all connections."""
        await self._http.close()

    async def put(self, key: str, data: bytes) -> Result[None, Failure]:
        """Store ``data`` under ``key``; idempotent."""
        match await self._http.call("PUT", f"/objects/{encode_segment(key)}", data):
            case Err(error):
                return _unavailable(key, error.detail)
            case Ok(reply) if reply.status not in (200, 204):
                return _unavailable(key, f"status {reply.status}")
        return Ok(None)

    async def get(self, key: str) -> Result[bytes | None, Failure]:
        """Return the object, or ``None`` if it does not exist."""
        match await self._http.call("GET", f"/objects/{encode_segment(key)}"):
            case Err(error):
                return _unavailable(key, error.detail)
            case Ok(reply) if reply.status == 404:
                return Ok(None)
            case Ok(reply) if reply.status != 200:
                return _unavailable(key, f"status {reply.status}")
            case Ok(reply):
                return Ok(reply.body)


def _unavailable(key: str, detail: str) -> Err[Failure]:
    message = f"the object store did not answer for {key!r}: {detail}"
    return Err(Failure(Code.STORE_UNAVAILABLE, message))
