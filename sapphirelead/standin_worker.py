"""Stand-in for the platform's worker on one instance.

Enforces only the contract of a worker: sessions, absolute leases and one start per task and epoch.
A second epoch of a running task and work beyond the worker's capacity are accepted and recorded, so
that a checker can detect scheduling errors.

One asyncio task advances all tasks when they are due.  It sleeps until the next end, event or lease
expiry, and every call that changes a task wakes it.
"""

import asyncio
import contextlib
from typing import Any

import msgspec
from aiohttp import web

from sapphirelead.clock import now
from sapphirelead.model_resources import Resources
from sapphirelead.platform.local_objects import HttpObjects
from sapphirelead.ports import TaskSpec, TaskState, WorkerView
from sapphirelead.standin_history import History
from sapphirelead.standin_runs import StandInRuns
from sapphirelead.standin_server import StandIn
from sapphirelead.standin_task import Progress, StandInTask


class WorkerSettings(msgspec.Struct, forbid_unknown_fields=True):
    """Capacity and behaviour of the worker.

    :ivar objects_url: object store for checkpoints; empty to keep them in this process.
    :ivar usage_lag_s: age of the reported usage, in seconds.
    :ivar checkpoint_ms: duration of a checkpoint before it is stored, in milliseconds.
    :ivar fail_all: every started task fails immediately.
    :ivar wants_tickets: starts of tasks of jobs of steps require a ticket from the advice service.
    """

    cpu_millicores: int = 32_000
    memory_mb: int = 125_000
    accelerators: int = 0
    objects_url: str = ""
    usage_lag_s: float = 1.0
    checkpoint_ms: float = 5.0
    fail_all: bool = False
    wants_tickets: bool = False


class _Call(msgspec.Struct):
    session: int = 0
    incarnation: str = ""
    spec: TaskSpec | None = None
    leases: dict[str, float] = {}
    share: float = 1.0


class _Control(msgspec.Struct):
    fail_all: bool = False


class StandInWorker(StandIn):
    """Worker that holds its tasks by (task id, epoch)."""

    tasks: dict[tuple[str, int], StandInTask]
    runs: StandInRuns
    _cfg: WorkerSettings
    _capacity: Resources
    _session: int
    _fail_all: bool
    _objects: HttpObjects | None
    _local_checkpoints: dict[str, bytes]
    _wakeup: asyncio.Event
    _runner_task: asyncio.Task[None] | None

    def __init__(self, history: History, cfg: WorkerSettings) -> None:
        super().__init__(history)
        self.tasks = {}
        self.runs = StandInRuns(self, cfg.wants_tickets)
        self._cfg = cfg
        self._capacity = Resources(cfg.cpu_millicores, cfg.memory_mb, cfg.accelerators)
        self._session = 0
        self._fail_all = cfg.fail_all
        self._objects = HttpObjects.connect(cfg.objects_url, 2.0) if cfg.objects_url else None
        self._local_checkpoints = {}
        self._wakeup = asyncio.Event()
        self._runner_task = None

    @classmethod
    def from_settings(cls, history: History, raw: dict[str, Any]) -> "StandInWorker":
        """Build from validated settings; see :class:`WorkerSettings`."""
        return cls(history, msgspec.convert(raw, WorkerSettings))

    async def start(self, host: str, port: int) -> int:
        """Start listening and running tasks."""
        self.history.record("worker_up", size=msgspec.to_builtins(self._capacity))
        self._runner_task = asyncio.create_task(self._run())
        return await super().start(host, port)

    async def stop(self) -> None:
        """End the running tasks and stop listening."""
        for task in self._running():
            self.end(task, TaskState.STOPPED, "worker stopped")
        if self._runner_task is not None:
            self._runner_task.cancel()
        if self._objects is not None:
            await self._objects.close()
        await super().stop()

    def routes(self) -> list[web.RouteDef]:
        """Return the HTTP routes of the worker."""
        return [
            web.post("/session", self._open_session),
            web.get("/tasks", self._view),
            web.get("/interference", self._interference),
            web.put("/tasks/{task}", self._start_task),
            web.post("/renew", self._renew),
            web.post("/tasks/{task}/throttle", self._throttle),
            web.post("/tasks/{task}/checkpoint", self._checkpoint),
            web.post("/tasks/{task}/stop", self._stop_task),
            web.post("/tasks/{task}/remove", self._remove),
            web.post("/control", self._control),
            *self.runs.routes(),
        ]

    # Task execution.

    async def _run(self) -> None:
        while True:
            self.advance_all()
            due = min((task.next_change() for task in self._running()), default=now() + 60)
            self._wakeup.clear()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout_at(due):
                    await self._wakeup.wait()

    def advance_all(self) -> None:
        """Advance all running tasks to the current time."""
        at = now()
        for task in self._running():
            task.advance(at)
            if not task.running:
                self._record_end(task)
        share = self._cpu_share()
        for task in self._running():
            task.speed = 0.0 if task.paused else task.throttle * share

    def _cpu_share(self) -> float:
        demand = sum(task.usage.cpu_millicores for task in self._running())
        return min(1.0, self._capacity.cpu_millicores / demand) if demand else 1.0

    def _running(self) -> list[StandInTask]:
        return [task for task in self.tasks.values() if task.running]

    def end(self, task: StandInTask, state: TaskState, reason: str) -> None:
        """End a task."""
        task.advance(now())
        if task.running:
            task.end(state, reason)
        self._record_end(task)

    def _record_end(self, task: StandInTask) -> None:
        # An expired lease ends the task at the lease's end, even if a paused process detects it
        # later: no work after that time was counted.
        lease_expired = task.state is TaskState.STOPPED and task.at >= task.lease_until
        fields = {
            "state": task.state,
            "reason": task.reason,
            "done_ms": task.progress.done_ms,
            "emitted": task.progress.emitted,
        }
        clock = task.lease_until if lease_expired else None
        self.history.record("task_end", clock, **_task_key(task), **fields)
        if task.state is TaskState.SUCCEEDED:
            self.history.record("effect", **_task_key(task))

    # HTTP handlers.

    async def _open_session(self, request: web.Request) -> web.Response:
        call = await _decode(request)
        self._session += 1
        self.history.record("session", session=self._session, incarnation=call.incarnation)
        return self._view_response()

    async def _view(self, _request: web.Request) -> web.Response:
        return self._view_response()

    def _view_response(self) -> web.Response:
        self.advance_all()
        infos = tuple(task.info(self._cfg.usage_lag_s, now()) for task in self.tasks.values())
        view = WorkerView(self._session, now(), infos)
        return web.Response(body=msgspec.json.encode(view), content_type="application/json")

    async def _interference(self, _request: web.Request) -> web.Response:
        return web.json_response({"load": sum(map(self._interference_load, self._running()))})

    def _interference_load(self, task: StandInTask) -> float:
        if task.script.noise is not None:
            return task.script.noise * task.throttle
        return task.usage.cpu_millicores / self._capacity.cpu_millicores

    async def _start_task(self, request: web.Request) -> web.Response:
        call = await _decode(request)
        spec = call.spec
        if spec is None or spec.task_id != request.match_info["task"]:
            return _error_response(400, "spec is missing or names another task")
        if (spec.task_id, spec.epoch) in self.tasks:
            self.history.record("start_repeated", task=spec.task_id, epoch=spec.epoch)
            return self._check_session(call) or web.json_response({})
        match await self._load(spec.checkpoint):
            case None:
                return _error_response(400, f"checkpoint {spec.checkpoint!r} cannot be read")
            case progress:
                # Checked only after the checkpoint is read: the session or lease may have ended in
                # the meantime.
                return self._check_session(call) or self._begin(spec, progress)

    def _begin(self, spec: TaskSpec, progress: Progress) -> web.Response:
        if now() >= spec.lease_until:
            self.history.record("start_refused", task=spec.task_id, epoch=spec.epoch)
            return _error_response(410, "lease expired before the start")
        if (spec.task_id, spec.epoch) in self.tasks:
            return web.json_response({})
        self.advance_all()
        self.begin(StandInTask.from_spec(spec, progress, now()))
        return web.json_response({})

    def begin(self, task: StandInTask) -> None:
        """Start running a task."""
        spec = task.spec
        self.tasks[(spec.task_id, spec.epoch)] = task
        self.history.record(
            "task_start",
            **_task_key(task),
            session=self._session,
            kind=spec.kind,
            job_class=spec.job_class,
            resources=msgspec.to_builtins(spec.resources),
            usage=msgspec.to_builtins(task.usage),
            checkpoint=spec.checkpoint,
            done_ms=task.progress.done_ms,
        )
        if self._fail_all:
            self.end(task, TaskState.FAILED, "fail_all is set")
        self._wakeup.set()

    def set_speed(self, task: StandInTask, share: float) -> None:
        """Throttle a task to a share of its processors, between 0 and 1."""
        self.advance_all()
        task.throttle = min(1.0, max(0.0, share))
        self.history.record("throttle", **_task_key(task), share=task.throttle)
        self._wakeup.set()

    def drop(self, task: StandInTask) -> None:
        """Remove an ended task."""
        self.tasks.pop((task.spec.task_id, task.spec.epoch), None)

    async def _renew(self, request: web.Request) -> web.Response:
        call = await _decode(request)
        if refusal := self._check_session(call):
            return refusal
        self.advance_all()
        for task in self._running():
            until = call.leases.get(task.spec.task_id, 0.0)
            task.lease_until = max(task.lease_until, until)
        self._wakeup.set()
        return web.json_response({})

    async def _throttle(self, request: web.Request) -> web.Response:
        call = await _decode(request)
        if refusal := self._check_session(call):
            return refusal
        for task in self._tasks_by_id(request):
            self.set_speed(task, call.share)
        return web.json_response({})

    async def _checkpoint(self, request: web.Request) -> web.Response:
        call = await _decode(request)
        if refusal := self._check_session(call):
            return refusal
        matching = self._tasks_by_id(request)
        if not matching:
            return _error_response(404, "no such task")
        task = matching[-1]
        if task.running and not await self._checkpoint_task(task):
            return _error_response(503, "checkpoint could not be stored; the task continues")
        if not task.checkpoint:
            return _error_response(
                410, f"task ended without a checkpoint: {task.state} {task.reason}"
            )
        return web.json_response({"checkpoint": task.checkpoint})

    async def _checkpoint_task(self, task: StandInTask) -> bool:
        # A caller that timed out retries.  The lock keeps a failed first attempt from resuming the
        # task while the retry is still storing the progress of the paused task.
        async with task.checkpoint_lock:
            return not task.running or await self._store_and_end(task)

    async def _store_and_end(self, task: StandInTask) -> bool:
        self.advance_all()
        task.paused = True
        self.advance_all()
        await asyncio.sleep(self._cfg.checkpoint_ms / 1000)
        key = f"checkpoints/{task.spec.task_id}/{task.spec.epoch}"
        stored = await self._store(key, msgspec.json.encode(task.progress))
        self.advance_all()
        task.paused = False
        if stored and task.running:
            task.checkpoint = key
            done_ms = task.progress.done_ms
            self.history.record("checkpoint", **_task_key(task), key=key, done_ms=done_ms)
            self.end(task, TaskState.STOPPED, "checkpointed")
        self._wakeup.set()
        return stored

    async def _stop_task(self, request: web.Request) -> web.Response:
        call = await _decode(request)
        if refusal := self._check_session(call):
            return refusal
        for task in self._tasks_by_id(request):
            if task.running:
                self.end(task, TaskState.STOPPED, "stopped")
        self._wakeup.set()
        return web.json_response({})

    async def _remove(self, request: web.Request) -> web.Response:
        call = await _decode(request)
        if refusal := self._check_session(call):
            return refusal
        for task in self._tasks_by_id(request):
            if not task.running:
                self.drop(task)
        return web.json_response({})

    async def _control(self, request: web.Request) -> web.Response:
        control = msgspec.json.decode(await request.read(), type=_Control)
        self._fail_all = control.fail_all
        return web.json_response({})

    def _tasks_by_id(self, request: web.Request) -> list[StandInTask]:
        name = request.match_info["task"]
        return [task for (task_id, _), task in self.tasks.items() if task_id == name]

    def _check_session(self, call: _Call) -> web.Response | None:
        if call.session != self._session:
            return _error_response(409, f"session {call.session} was replaced by {self._session}")
        return None

    # Checkpoints.

    async def _load(self, key: str) -> Progress | None:
        if not key:
            return Progress()
        data: bytes | None
        if self._objects is not None:
            data = (await self._objects.get(key)).unwrap_or(None)
        else:
            data = self._local_checkpoints.get(key)
        return msgspec.json.decode(data, type=Progress) if data else None

    async def _store(self, key: str, data: bytes) -> bool:
        if self._objects is not None:
            return (await self._objects.put(key, data)).is_ok()
        self._local_checkpoints[key] = data
        return True


def _task_key(task: StandInTask) -> dict[str, Any]:
    return {"task": task.spec.task_id, "epoch": task.spec.epoch}


async def _decode(request: web.Request) -> _Call:
    try:
        return msgspec.json.decode(await request.read(), type=_Call)
    except msgspec.DecodeError as exc:
        raise web.HTTPBadRequest(text=str(exc)) from exc


def _error_response(status: int, text: str) -> web.Response:
    return web.Response(status=status, text=text)
