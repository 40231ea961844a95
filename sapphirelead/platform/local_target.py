"""Client of the latency-critical target beside an agent, over HTTP.

Each service is one path.  Bodies are forwarded unchanged; hop-by-hop headers are dropped in both
directions.
"""

from result import Err, Ok, Result

from sapphirelead.errors import Code, Failure
from sapphirelead.http_client import HttpCaller, Loss, encode_segment
from sapphirelead.http_headers import end_to_end
from sapphirelead.ports import TargetAnswer
from sapphirelead.settings import AgentSettings


class HttpTarget:
    """Implements :class:`~sapphirelead.ports.Target`."""

    _http: HttpCaller

    def __init__(self, http: HttpCaller) -> None:
        self._http = http

    @classmethod
    def from_settings(cls, cfg: AgentSettings) -> "HttpTarget":
        """Return a client with the configured URL, timeout and connection limit."""
        http = HttpCaller.connect(cfg.target_url, cfg.target_timeout_seconds, cfg.connections)
        return cls(http)

    async def close(self) -> None:
        """Close all connections."""
        await self._http.close()

    async def call(
        self, service: str, headers: dict[str, str], body: bytes, timeout_s: float
    ) -> Result[TargetAnswer, Failure]:
        """Send one request and read the complete response within ``timeout_s`` seconds."""
        path = f"/{encode_segment(service)}"
        match await self._http.call("POST", path, body, end_to_end(headers), timeout_s):
            case Ok(reply):
                return Ok(TargetAnswer(reply.status, end_to_end(reply.headers), reply.body))
            case Err(error) if error.loss is Loss.NOT_SENT:
                return Err(Failure(Code.NO_INSTANCE, f"cannot connect to target: {error.detail}"))
            case Err(error):
                return Err(
                    Failure(Code.TARGET_FAILED, f"no complete response from target: {error.detail}")
                )
