"""Runs the tasks of jobs of steps in the stand-in worker.

Enforces the worker contract that a runner depends on: every call names the life of the worker, a
call with an older fencing token is rejected, one lease bounds all runs, each start has its own
deadline, and a run that was stopped or has ended never starts again.  An ended run is listed until
the runner acknowledges it.
"""

import asyncio
import secrets
from typing import Any, Final, Protocol

import msgspec
from aiohttp import web

from sapphirelead.clock import now
from sapphirelead.model_resources import Resources
from sapphirelead.node_ports import (
    StartAnswer,
    StartCall,
    StartResult,
    WorkerEnd,
    WorkerRun,
    WorkerView,
)
from sapphirelead.ports import TaskSpec, TaskState
from sapphirelead.standin_advice import ticket_matches
from sapphirelead.standin_task import LEASE_EXPIRED_REASON, Progress, StandInTask

POLL_INTERVAL_S: Final = 0.02
JOB_CLASS: Final = "steps"

_END_KIND: Final = {TaskState.SUCCEEDED: "done", TaskState.FAILED: "failed"}

RunId = tuple[str, int]


class TaskHost(Protocol):
    """The worker whose processors the runs use."""

    def advance_all(self) -> None:
        """Advance all tasks to the current time."""

    def begin(self, task: StandInTask) -> None:
        """Start running a task."""

    def end(self, task: StandInTask, state: TaskState, reason: str) -> None:
        """End a task."""

    def set_speed(self, task: StandInTask, share: float) -> None:
        """Throttle a task to a share of its processors."""

    def drop(self, task: StandInTask) -> None:
        """Remove an ended task."""


class _Call(msgspec.Struct):
    life: str
    fencing_token: int = 0
    task: str = ""
    attempt: int = 0
    noted: int = 0
    lease_ms: int = 0
    wait_ms: int = 0
    percent: int = 100
    start: StartCall | None = None


class StandInRuns:
    """The runs of one life of the worker.

    :ivar life: id of this life; each start of the process generates a new one.
    """

    life: str
    _host: TaskHost
    _runs: dict[RunId, StandInTask]
    _ended_runs: list[WorkerEnd]
    _ended_attempts: dict[str, int]
    _last_end_number: int
    _token: int
    _lease_until: float
    _wants_tickets: bool

    def __init__(self, host: TaskHost, wants_tickets: bool) -> None:
        """Start a new life.

        :param wants_tickets: a start requires a ticket from the advice service.
        """
        self.life = secrets.token_hex(4)
        self._host = host
        self._wants_tickets = wants_tickets
        self._runs = {}
        self._ended_runs = []
        self._ended_attempts = {}
        self._last_end_number = 0
        self._token = 0
        self._lease_until = 0.0

    def routes(self) -> list[web.RouteDef]:
        """Return the HTTP routes for jobs of steps."""
        return [
            web.get("/runs/life", self._life),
            web.post("/runs/hold", self._hold),
            web.post("/runs/start", self._start),
            web.post("/runs/stop", self._stop),
            web.post("/runs/pace", self._pace),
        ]

    async def _life(self, _request: web.Request) -> web.Response:
        return web.json_response({"life": self.life})

    async def _hold(self, request: web.Request) -> web.Response:
        call = await self._accept_call(request)
        self._ended_runs = [end for end in self._ended_runs if end.number > call.noted]
        self._lease_until = max(self._lease_until, call.lease_ms / 1000)
        for task in self._runs.values():
            task.lease_until = max(task.lease_until, self._lease_until)
        until = now() + call.wait_ms / 1000
        self._collect_ended_runs()
        while not self._ended_runs and now() < until:
            await asyncio.sleep(POLL_INTERVAL_S)
            self._collect_ended_runs()
        running = [_run_view(task) for task in self._runs.values()]
        return _response(WorkerView(_clock_ms(), running, self._ended_runs))

    async def _start(self, request: web.Request) -> web.Response:
        call = await self._accept_call(request)
        if call.start is None:
            raise web.HTTPBadRequest(text="start is missing")
        self._collect_ended_runs()
        return _response(StartResult(self._begin(call.start), _clock_ms()))

    def _begin(self, start: StartCall) -> StartAnswer:
        if _clock_ms() > start.deadline_ms:
            return StartAnswer.TOO_LATE
        if (start.task, start.attempt) in self._runs:
            return StartAnswer.STARTED
        if start.attempt <= self._ended_attempts.get(start.task, 0):
            return StartAnswer.OUTDATED
        if self._wants_tickets and not ticket_matches(start.ticket, start.task, self.life):
            return StartAnswer.NO_TICKET
        try:
            task = self._build_task(start)
        except (msgspec.DecodeError, UnicodeDecodeError):
            return StartAnswer.INVALID
        self._runs[(start.task, start.attempt)] = task
        self._host.begin(task)
        return StartAnswer.STARTED

    def _build_task(self, start: StartCall) -> StandInTask:
        progress = msgspec.json.decode(start.saved, type=Progress) if start.saved else Progress()
        spec = TaskSpec(
            task_id=start.task,
            epoch=start.attempt,
            kind="batch",
            job_class=JOB_CLASS,
            resources=Resources(),
            input=msgspec.json.decode(start.payload),
            checkpoint=start.saved,
            lease_until=max(self._lease_until, start.deadline_ms / 1000),
        )
        return StandInTask.from_spec(spec, progress, now())

    async def _stop(self, request: web.Request) -> web.Response:
        call = await self._accept_call(request)
        self._ended_attempts[call.task] = max(self._ended_attempts.get(call.task, 0), call.attempt)
        self._collect_ended_runs()
        task = self._runs.get((call.task, call.attempt))
        if task is not None:
            self._host.end(task, TaskState.STOPPED, "stopped")
            self._collect_ended_runs()
        return _response({"clock_ms": _clock_ms()})

    async def _pace(self, request: web.Request) -> web.Response:
        call = await self._accept_call(request)
        task = self._runs.get((call.task, call.attempt))
        if task is not None:
            self._host.set_speed(task, call.percent / 100)
        return _response({"clock_ms": _clock_ms()})

    async def _accept_call(self, request: web.Request) -> _Call:
        """Decode a call; reject one for another life or with an older fencing token."""
        try:
            call = msgspec.json.decode(await request.read(), type=_Call)
        except msgspec.DecodeError as exc:
            raise web.HTTPBadRequest(text=str(exc)) from exc
        if call.life != self.life:
            raise web.HTTPMisdirectedRequest(text=f"wrong life; this life is {self.life}")
        if call.fencing_token < self._token:
            raise web.HTTPConflict(text=f"fencing token is older than {self._token}")
        self._token = call.fencing_token
        return call

    def _collect_ended_runs(self) -> None:
        """Number the runs that have ended and list them as ended."""
        self._host.advance_all()
        for run_id, task in list(self._runs.items()):
            if task.running:
                continue
            del self._runs[run_id]
            self._host.drop(task)
            self._last_end_number += 1
            self._ended_attempts[run_id[0]] = max(self._ended_attempts.get(run_id[0], 0), run_id[1])
            self._ended_runs.append(
                WorkerEnd(self._last_end_number, *run_id, _end_kind(task), _encoded_progress(task))
            )


def _end_kind(task: StandInTask) -> str:
    if task.reason == LEASE_EXPIRED_REASON:
        return "lapsed"
    return _END_KIND.get(task.state, "stopped")


def _encoded_progress(task: StandInTask) -> str:
    return msgspec.json.encode(task.progress).decode()


def _run_view(task: StandInTask) -> WorkerRun:
    unbounded = task.total_ms == float("inf")
    percent = 100 if unbounded else int(100 * task.progress.done_ms / max(task.total_ms, 1.0))
    spec = task.spec
    return WorkerRun(
        spec.task_id, spec.epoch, _encoded_progress(task), percent, task.usage.cpu_millicores
    )


def _clock_ms() -> int:
    return int(now() * 1000)


def _response(body: Any) -> web.Response:
    return web.Response(body=msgspec.json.encode(body), content_type="application/json")
