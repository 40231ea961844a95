"""Client of one incarnation (``life``) of the platform's worker, over HTTP and JSON."""

from typing import Any, Final, TypeVar

import msgspec
from result import Err, Ok, Result

from sapphirelead.http_client import JSON_HEADERS, HttpCaller, Reply
from sapphirelead.logs import log_event
from sapphirelead.model_worker_life import NO_LIFE, WorkerLife
from sapphirelead.node_ports import CallFailure, StartCall, StartResult, WorkerView

T = TypeVar("T")

CALL_TIMEOUT_S: Final = 0.5
"""Two tries fit within the deadline of a start."""

LIST_TIMEOUT_MARGIN_S: Final = 0.6

_FAILURE_BY_STATUS: Final = {409: CallFailure.FENCED, 421: CallFailure.OTHER_LIFE}


class _Clock(msgspec.Struct):
    clock_ms: int


class _Life(msgspec.Struct):
    life: WorkerLife


class HttpRuns:
    """Implements :class:`~sapphirelead.node_ports.RunWorker`."""

    _http: HttpCaller
    _life: WorkerLife

    def __init__(self, http: HttpCaller, life: WorkerLife) -> None:
        self._http = http
        self._life = life

    @classmethod
    def connect(cls, life: WorkerLife, url: str) -> "HttpRuns":
        """Return a client of the incarnation ``life`` of the worker at ``url``."""
        return cls(HttpCaller.connect(url, CALL_TIMEOUT_S), life)

    async def close(self) -> None:
        """Close all connections."""
        await self._http.close()

    async def hold(
        self, fencing_token: int, stored_through: int, lease_ms: int, wait_ms: int
    ) -> Result[WorkerView, CallFailure]:
        """List running and ended runs, and extend the lease."""
        fields = {"fencing_token": fencing_token, "noted": stored_through, "lease_ms": lease_ms}
        timeout_s = wait_ms / 1000 + LIST_TIMEOUT_MARGIN_S
        return await self._call("hold", WorkerView, timeout_s, wait_ms=wait_ms, **fields)

    async def start(self, call: StartCall) -> Result[StartResult, CallFailure]:
        """Start a run."""
        token = call.fencing_token
        return await self._call("start", StartResult, start=call, fencing_token=token)

    async def stop(self, task: str, attempt: int, fencing_token: int) -> Result[int, CallFailure]:
        """Stop a run, or prevent its start; return the worker's clock."""
        found = await self._call(
            "stop", _Clock, task=task, attempt=attempt, fencing_token=fencing_token
        )
        return found.map(lambda clock: clock.clock_ms)

    async def pace(
        self, task: str, attempt: int, percent: int, fencing_token: int
    ) -> Result[int, CallFailure]:
        """Throttle a run to ``percent`` of its speed; return the worker's clock."""
        found = await self._call(
            "pace",
            _Clock,
            task=task,
            attempt=attempt,
            percent=percent,
            fencing_token=fencing_token,
        )
        return found.map(lambda clock: clock.clock_ms)

    async def _call(
        self, verb: str, kind: type[T], timeout_s: float = CALL_TIMEOUT_S, **fields: Any
    ) -> Result[T, CallFailure]:
        body = msgspec.json.encode({"life": self._life, **fields})
        found = await self._http.call("POST", f"/runs/{verb}", body, JSON_HEADERS, timeout_s)
        if isinstance(found, Err):
            refused = found.err_value.refused
            return Err(CallFailure.REFUSED if refused else CallFailure.NO_ANSWER)
        if found.ok_value.status in _FAILURE_BY_STATUS:
            return Err(_FAILURE_BY_STATUS[found.ok_value.status])
        return _decode_reply(verb, found.ok_value, kind)


async def read_life(http: HttpCaller) -> WorkerLife:
    """Return the worker's current life, or :data:`NO_LIFE` if it does not answer."""
    found = await http.call("GET", "/runs/life")
    if isinstance(found, Err) or found.ok_value.status != 200:
        return NO_LIFE
    try:
        return msgspec.json.decode(found.ok_value.body, type=_Life).life
    except msgspec.DecodeError:
        return NO_LIFE


def _decode_reply(verb: str, answer: Reply, kind: type[T]) -> Result[T, CallFailure]:
    if answer.status == 200:
        try:
            return Ok(msgspec.json.decode(answer.body, type=kind))
        except msgspec.DecodeError as exc:
            log_event("ERROR", "worker_list_undecodable", reason=str(exc))
            return Err(CallFailure.NO_ANSWER)
    log_event(
        "WARNING",
        "worker_answer_unexpected",
        path=f"/runs/{verb}",
        status=answer.status,
        body=answer.body[:100],
    )
    return Err(CallFailure.NO_ANSWER)
