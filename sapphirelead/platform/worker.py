"""Client of one life of the platform's worker, used by the agents.

A call names the worker by its id, which another life may have taken over.  Only lists of runs say
which life they are from, so a list of another life fails like a call to another worker; what other
calls have done counts only once a later list of the same life confirms it.
"""

from typing import Annotated, Any, Final

import msgspec
from result import Err, Ok, Result

from sapphirelead.http_client import JSON_HEADERS, CallError, HttpCaller, Reply
from sapphirelead.logs import log_event
from sapphirelead.model_worker_life import WorkerLife, started_ms, worker_id
from sapphirelead.node_ports import (
    CallFailure,
    LifeView,
    StartAnswer,
    StartCall,
    StartResult,
    WorkerEnd,
    WorkerRun,
    WorkerView,
)
from sapphirelead.platform.decoding import MAX_NUMBER, Birth, Count, Name, decode, life_of

CALL_TIMEOUT_S: Final = 0.5
"""Two tries fit within the deadline of a start."""

LIST_TIMEOUT_MARGIN_S: Final = 0.6

MAX_CONNECTIONS: Final = 25
"""One for the list call and one for each other concurrent call of an agent."""

WORKER_HEADER: Final = "X-Target-Instance"

_ANSWER_BY_REASON: Final = {
    "fence": StartAnswer.FENCED,
    "old": StartAnswer.OUTDATED,
    "late": StartAnswer.TOO_LATE,
    "room": StartAnswer.NO_ROOM,
    "ticket": StartAnswer.NO_TICKET,
}


class _Clock(msgspec.Struct):
    """Fields of every response body; ``reason`` is set if the call was rejected."""

    clock_ms: Count = 0
    reason: str = ""


class _Running(msgspec.Struct, array_like=True):
    """A row ``[task, run, saved, percent, figure]``; ``figure`` is optional."""

    task: Name
    attempt: Count
    saved: str
    percent: Annotated[float, msgspec.Meta(ge=0, le=MAX_NUMBER)]
    figure: Annotated[float, msgspec.Meta(ge=-1, le=MAX_NUMBER)] = -1


class _Ended(msgspec.Struct, array_like=True):
    """A row ``[N, task, run, how, saved]``."""

    number: Count
    task: Name
    attempt: Count
    kind: str
    saved: str


class _List(msgspec.Struct):
    """Running and ended runs of a worker.

    An invalid row makes the whole list invalid: a stopped run that is not listed counts as never
    started, so skipping its row could cause a second run.
    """

    clock_ms: Count
    running: list[_Running] = []
    ended: list[_Ended] = []
    born: Birth = msgspec.UNSET


_CLOCK: Final = msgspec.json.Decoder(_Clock)
_LIST: Final = msgspec.json.Decoder(_List)


class PlatformWorker:
    """Implements :class:`~sapphirelead.node_ports.RunWorker`."""

    _http: HttpCaller
    _headers: dict[str, str]
    _life: WorkerLife

    def __init__(self, http: HttpCaller, life: WorkerLife) -> None:
        self._http = http
        self._headers = {WORKER_HEADER: worker_id(life), **JSON_HEADERS}
        self._life = life

    @classmethod
    def connect(cls, life: WorkerLife, address: str) -> "PlatformWorker":
        """Return a client of ``life`` at ``address``."""
        http = HttpCaller.connect(f"http://{address}", CALL_TIMEOUT_S, MAX_CONNECTIONS)
        return cls(http, life)

    async def hold(
        self, fencing_token: int, stored_through: int, lease_ms: int, wait_ms: int
    ) -> Result[WorkerView, CallFailure]:
        """List running and ended runs, and extend the lease."""
        body: dict[str, Any] = {"fence_token": fencing_token, "seen_upto": stored_through}
        if lease_ms:
            body["deadline_ms"] = lease_ms
        if wait_ms:
            body["wait_ms"] = wait_ms
        found = await self._list(body, wait_ms / 1000 + LIST_TIMEOUT_MARGIN_S)
        if isinstance(found, Err):
            return found
        if found.ok_value.life != self._life:
            return Err(CallFailure.OTHER_LIFE)
        return Ok(found.ok_value.view)

    async def list_any_life(self, fencing_token: int) -> Result[LifeView, CallFailure]:
        """List running and ended runs of whichever life of this worker answers."""
        body = {"fence_token": fencing_token, "seen_upto": 0}
        return await self._list(body, LIST_TIMEOUT_MARGIN_S)

    async def _list(self, body: dict[str, Any], timeout_s: float) -> Result[LifeView, CallFailure]:
        found = await self._call("/hold", body, timeout_s)
        if isinstance(found, Err):
            return found
        answer = found.ok_value
        if answer.status == 409:
            return Err(CallFailure.FENCED)
        if answer.status != 200:
            return self._unexpected("/hold", answer)
        decoded = decode(_LIST, answer.body)
        if isinstance(decoded, Err):
            log_event("ERROR", "worker_list_undecodable", reason=decoded.err_value)
            return Err(CallFailure.NO_ANSWER)
        wire = decoded.ok_value
        if wire.born is msgspec.UNSET and started_ms(self._life) is not None:
            log_event("ERROR", "worker_list_undecodable", reason="born is missing")
            return Err(CallFailure.NO_ANSWER)
        running = [_worker_run(row) for row in wire.running]
        view = WorkerView(wire.clock_ms, running, _ended_runs(wire))
        return Ok(LifeView(life_of(worker_id(self._life), wire.born), view))

    async def start(self, call: StartCall) -> Result[StartResult, CallFailure]:
        """Start a run."""
        body: dict[str, Any] = {
            "task": call.task,
            "attempt": call.attempt,
            "spec": call.payload,
            "deadline_ms": call.deadline_ms,
            "fence_token": call.fencing_token,
        }
        if call.saved:
            body["saved"] = call.saved
        if call.ticket:
            body["ticket"] = call.ticket
        found = await self._call("/run-start", body, CALL_TIMEOUT_S)
        if isinstance(found, Err):
            return found
        answer = found.ok_value
        clock = _decode_clock(answer)
        if answer.status == 200:
            return Ok(StartResult(StartAnswer.STARTED, clock.clock_ms))
        if answer.status == 409 and clock.reason in _ANSWER_BY_REASON:
            return Ok(StartResult(_ANSWER_BY_REASON[clock.reason], clock.clock_ms))
        if answer.status == 400:
            log_event("ERROR", "start_invalid", task=call.task, body=answer.body[:200])
            return Ok(StartResult(StartAnswer.INVALID, clock.clock_ms))
        if answer.status in (429, 503):
            return Ok(StartResult(StartAnswer.UNHEALTHY, clock.clock_ms))
        return self._unexpected("/run-start", answer)

    async def stop(self, task: str, attempt: int, fencing_token: int) -> Result[int, CallFailure]:
        """Stop a run, or prevent its start; return the worker's clock."""
        body = {"task": task, "attempt": attempt, "fence_token": fencing_token}
        return await self._command("/run-stop", body)

    async def pace(
        self, task: str, attempt: int, percent: int, fencing_token: int
    ) -> Result[int, CallFailure]:
        """Throttle a run to ``percent`` of its speed; return the worker's clock."""
        body = {
            "task": task,
            "attempt": attempt,
            "percent": percent,
            "fence_token": fencing_token,
        }
        return await self._command("/pace", body)

    async def _command(self, path: str, body: dict[str, Any]) -> Result[int, CallFailure]:
        found = await self._call(path, body, CALL_TIMEOUT_S)
        if isinstance(found, Err):
            return found
        answer = found.ok_value
        clock = _decode_clock(answer)
        if answer.status == 409 and clock.reason == "fence":
            return Err(CallFailure.FENCED)
        if answer.status == 200:
            return Ok(clock.clock_ms)
        return self._unexpected(path, answer)

    async def _call(
        self, path: str, body: dict[str, Any], timeout_s: float
    ) -> Result[Reply, CallFailure]:
        found = await self._http.call(
            "POST", path, msgspec.json.encode(body), self._headers, timeout_s
        )
        if isinstance(found, Err):
            return Err(_call_failure(found.err_value))
        if found.ok_value.status == 421:
            return Err(CallFailure.OTHER_LIFE)
        return Ok(found.ok_value)

    def _unexpected(self, path: str, answer: Reply) -> Err[CallFailure]:
        log_event(
            "WARNING",
            "worker_answer_unexpected",
            path=path,
            status=answer.status,
            body=answer.body[:100],
        )
        return Err(CallFailure.NO_ANSWER)

    async def close(self) -> None:
        """Close all connections."""
        await self._http.close()


async def list_life(
    life: WorkerLife, address: str, fencing_token: int
) -> Result[LifeView, CallFailure]:
    """List the runs of whichever life is at ``address``, if it has the id of ``life``."""
    worker = PlatformWorker.connect(life, address)
    try:
        return await worker.list_any_life(fencing_token)
    finally:
        await worker.close()


def _call_failure(error: CallError) -> CallFailure:
    return CallFailure.REFUSED if error.refused else CallFailure.NO_ANSWER


def _decode_clock(answer: Reply) -> _Clock:
    if not answer.body:
        return _Clock()
    decoded = decode(_CLOCK, answer.body)
    if isinstance(decoded, Ok):
        return decoded.ok_value
    # The response may come from an intermediary; its status is still used.
    log_event("INFO", "worker_body_undecodable", status=answer.status)
    return _Clock()


def _worker_run(row: _Running) -> WorkerRun:
    return WorkerRun(row.task, row.attempt, row.saved, int(row.percent), int(row.figure))


def _ended_runs(wire: _List) -> list[WorkerEnd]:
    return [WorkerEnd(row.number, row.task, row.attempt, row.kind, row.saved) for row in wire.ended]
