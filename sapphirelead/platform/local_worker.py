"""Client of the platform's worker beside one instance, over HTTP and JSON.

Every call that changes state carries its session; the worker answers 409 if a newer session has
replaced it.  All calls are idempotent, so a call whose response was lost may be repeated.
"""

from typing import Any, Final, TypeVar

import msgspec
from result import Err, Ok, Result

from sapphirelead.errors import Code, Failure
from sapphirelead.http_client import HttpCaller, encode_segment
from sapphirelead.ports import TaskSpec, WorkerView
from sapphirelead.settings import AgentSettings

T = TypeVar("T")

CODE_BY_STATUS: Final = {
    400: Code.BAD_REQUEST,
    404: Code.NOT_FOUND,
    409: Code.STORE_CONFLICT,
    410: Code.LOST,
}


class _CheckpointBody(msgspec.Struct):
    checkpoint: str


class HttpWorker:
    """Implements :class:`~sapphirelead.ports.Worker`."""

    _http: HttpCaller

    def __init__(self, http: HttpCaller) -> None:
        self._http = http

    @classmethod
    def from_settings(cls, cfg: AgentSettings) -> "HttpWorker":
        """Return a client for the configured URL."""
        return cls(HttpCaller.connect(cfg.worker_url, cfg.worker_timeout_seconds))

    async def close(self) -> None:
        """Close all connections."""
        await self._http.close()

    async def open_session(self, incarnation: str) -> Result[WorkerView, Failure]:
        """Open a new session, which invalidates all earlier ones."""
        return _decode(await self._call("POST", "/session", incarnation=incarnation), WorkerView)

    async def view(self) -> Result[WorkerView, Failure]:
        """Return the tasks with their usage, the worker's clock and its session."""
        return _decode(await self._call("GET", "/tasks"), WorkerView)

    async def start(self, session: int, spec: TaskSpec) -> Result[None, Failure]:
        """Start a task; idempotent for the same task and epoch.

        ``LOST`` means that the start arrived after its lease had expired and was rejected.
        """
        path = f"/tasks/{encode_segment(spec.task_id)}"
        return _discard_body(await self._call("PUT", path, session=session, spec=spec))

    async def renew(self, session: int, leases: dict[str, float]) -> Result[None, Failure]:
        """Set ``lease_until`` (worker-clock seconds) of each task in ``leases``."""
        return _discard_body(await self._call("POST", "/renew", session=session, leases=leases))

    async def throttle(self, session: int, task_id: str, share: float) -> Result[None, Failure]:
        """Limit the task to ``share`` (0 to 1) of its CPU."""
        return _discard_body(await self._post_action(session, task_id, "throttle", share=share))

    async def checkpoint_stop(self, session: int, task_id: str) -> Result[str, Failure]:
        """Stop the task at an exact checkpoint and return its object key."""
        match _decode(await self._post_action(session, task_id, "checkpoint"), _CheckpointBody):
            case Ok(body):
                return Ok(body.checkpoint)
            case Err(failure):
                return Err(failure)

    async def stop(self, session: int, task_id: str) -> Result[None, Failure]:
        """Stop the task without a checkpoint."""
        return _discard_body(await self._post_action(session, task_id, "stop"))

    async def remove(self, session: int, task_id: str) -> Result[None, Failure]:
        """Remove an ended task from the worker's list."""
        return _discard_body(await self._post_action(session, task_id, "remove"))

    async def _post_action(
        self, session: int, task_id: str, verb: str, **fields: Any
    ) -> Result[bytes, Failure]:
        path = f"/tasks/{encode_segment(task_id)}/{verb}"
        return await self._call("POST", path, session=session, **fields)

    async def _call(self, method: str, path: str, **fields: Any) -> Result[bytes, Failure]:
        body = msgspec.json.encode(fields) if fields else None
        match await self._http.call(method, path, body):
            case Err(error):
                message = f"worker did not answer {method} {path}: {error.detail}"
                return Err(Failure(Code.WORKER_UNAVAILABLE, message))
            case Ok(reply) if reply.status == 200:
                return Ok(reply.body)
            case Ok(reply):
                code = CODE_BY_STATUS.get(reply.status, Code.WORKER_UNAVAILABLE)
                text = reply.body.decode(errors="replace")
                return Err(Failure(code, f"worker refused {method} {path}: {text}"))


def _decode(reply: Result[bytes, Failure], kind: type[T]) -> Result[T, Failure]:
    match reply:
        case Err(failure):
            return Err(failure)
        case Ok(body):
            try:
                return Ok(msgspec.json.decode(body, type=kind))
            except msgspec.DecodeError as exc:
                return Err(Failure(Code.WORKER_UNAVAILABLE, f"invalid response from worker: {exc}"))


def _discard_body(reply: Result[bytes, Failure]) -> Result[None, Failure]:
    match reply:
        case Err(failure):
            return Err(failure)
        case Ok(_):
            return Ok(None)
