"""Fakes of an agent's worker, its target and its links to one entry."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Any, TypeVar

from result import Err, Ok, Result

from sapphirelead.agent_main import Agent
from sapphirelead.agent_ports import Handler, Sender
from sapphirelead.background import Background
from sapphirelead.clock import now
from sapphirelead.entry_ports import Channel
from sapphirelead.errors import Code, Failure
from sapphirelead.model_resources import Resources
from sapphirelead.ports import (
    TargetAnswer,
    TaskInfo,
    TaskSpec,
    TaskState,
    WorkerView,
)
from sapphirelead.settings import AgentSettings, LeaseSettings
from sapphirelead.wire_messages import Amount, AnyMessage, Heartbeat, HeartbeatAck, Offer, Start

M = TypeVar("M")

LEASE = LeaseSettings(lease_seconds=10.0, beat_interval_seconds=0.5)
ENTRY: dict[str, Any] = {"sender": "e1", "incarnation": "e1-a", "config_version": 0}
SIZE = Amount(1000, 1000)
TASK: dict[str, Any] = {
    "kind": "batch",
    "job_class": "estimate",
    "team": "t",
    "resources": SIZE,
    **ENTRY,
}


def settings(**changes: Any) -> AgentSettings:
    """Return settings of an agent with four processors, four slots and one entry."""
    fields: dict[str, Any] = {
        "id": "i1",
        "zone": "z1",
        "entries": [{"host": "127.0.0.1", "control_port": 1, "data_port": 2, "bulk_port": 3}],
        "worker_url": "http://127.0.0.1:1",
        "target_url": "http://127.0.0.1:2",
        "services": ["check"],
        "capacity": {"cpu_millicores": 4000, "memory_mb": 4000},
        "slots": 4,
        "lease": LEASE,
    }
    return AgentSettings(**{**fields, **changes})


def start(key: str, epoch: int = 1, **changes: Any) -> Start:
    """Return a start of a batch task with one processor."""
    fields = {"offer_id": f"o-{key}", "idempotent": False, **TASK, **changes}
    return Start(key=key, epoch=epoch, **fields)


def offer(key: str, **changes: Any) -> Offer:
    """Return an offer of a batch task with one processor."""
    return Offer(key=key, **{"offer_id": f"o-{key}", **TASK, **changes})


@dataclass(slots=True)
class FakeTask:
    """A task at the fake worker."""

    info: TaskInfo
    lease_until: float


class FakeWorker:
    """A worker whose clock is 1000 s ahead of the event loop's.

    :ivar lose: by call name, how many calls take effect but lose their response.
    :ivar down: whether all calls fail without an effect.
    :ivar starts: ``(key, epoch)`` of every start that took effect.
    """

    def __init__(self) -> None:
        self.tasks: dict[str, FakeTask] = {}
        self.session = 0
        self.lose: dict[str, int] = {}
        self.down = False
        self.delay_s = 0.0
        self.starts: list[tuple[str, int]] = []

    def clock(self) -> float:
        return now() + 1000.0

    def put(self, key: str, epoch: int, state: TaskState = TaskState.RUNNING, **more: Any) -> None:
        info = TaskInfo(key, epoch, state, "batch", "estimate", Resources(1000, 1000), **more)
        self.tasks[key] = FakeTask(info, self.clock() + 10.0)

    def change(self, key: str, **changes: Any) -> None:
        self.tasks[key].info = replace(self.tasks[key].info, **changes)

    def running(self) -> set[str]:
        self._expire_leases()
        return {k for k, t in self.tasks.items() if t.info.state is TaskState.RUNNING}

    def _expire_leases(self) -> None:
        for task in self.tasks.values():
            if task.info.state is TaskState.RUNNING and task.lease_until <= self.clock():
                task.info = replace(task.info, state=TaskState.STOPPED, reason="lease")

    async def _call(
        self, name: str, effect: Callable[[], Result[M, Failure]]
    ) -> Result[M, Failure]:
        unavailable = Err(Failure(Code.WORKER_UNAVAILABLE, "no answer"))
        await asyncio.sleep(self.delay_s)
        if self.down:
            return unavailable
        self._expire_leases()
        answer = effect()
        if self.lose.get(name, 0):
            self.lose[name] -= 1
            return unavailable
        return answer

    async def open_session(self, incarnation: str) -> Result[WorkerView, Failure]:
        def effect() -> Result[WorkerView, Failure]:
            self.session += 1
            return self._view()

        return await self._call("open_session", effect)

    async def view(self) -> Result[WorkerView, Failure]:
        return await self._call("view", self._view)

    def _view(self) -> Result[WorkerView, Failure]:
        infos = tuple(task.info for task in self.tasks.values())
        return Ok(WorkerView(self.session, self.clock(), infos))

    async def start(self, session: int, spec: TaskSpec) -> Result[None, Failure]:
        def effect() -> Result[None, Failure]:
            if session != self.session:
                return Err(Failure(Code.STORE_CONFLICT, "old session"))
            if spec.lease_until <= self.clock():
                return Err(Failure(Code.LOST, "late"))
            known = self.tasks.get(spec.task_id)
            if known is None or known.info.epoch != spec.epoch:
                self.starts.append((spec.task_id, spec.epoch))
                info = TaskInfo(
                    spec.task_id,
                    spec.epoch,
                    TaskState.RUNNING,
                    spec.kind,
                    spec.job_class,
                    spec.resources,
                )
                self.tasks[spec.task_id] = FakeTask(info, spec.lease_until)
            return Ok(None)

        return await self._call("start", effect)

    async def renew(self, session: int, leases: dict[str, float]) -> Result[None, Failure]:
        def effect() -> Result[None, Failure]:
            for key, until in leases.items():
                if key in self.tasks and session == self.session:
                    self.tasks[key].lease_until = until
            return Ok(None)

        return await self._call("renew", effect)

    async def throttle(self, session: int, task_id: str, share: float) -> Result[None, Failure]:
        def effect() -> Result[None, Failure]:
            self.change(task_id, throttle=share)
            return Ok(None)

        return await self._call("throttle", effect)

    async def checkpoint_stop(self, session: int, task_id: str) -> Result[str, Failure]:
        def effect() -> Result[str, Failure]:
            task = self.tasks[task_id].info
            if task.state is TaskState.RUNNING:
                self.change(task_id, state=TaskState.STOPPED, checkpoint=f"c/{task_id}")
            key = self.tasks[task_id].info.checkpoint
            return Ok(key) if key else Err(Failure(Code.LOST, "no checkpoint"))

        return await self._call("checkpoint_stop", effect)

    async def stop(self, session: int, task_id: str) -> Result[None, Failure]:
        def effect() -> Result[None, Failure]:
            if task_id in self.running():
                self.change(task_id, state=TaskState.STOPPED)
            return Ok(None)

        return await self._call("stop", effect)

    async def remove(self, session: int, task_id: str) -> Result[None, Failure]:
        def effect() -> Result[None, Failure]:
            if task_id not in self.running():
                self.tasks.pop(task_id, None)
            return Ok(None)

        return await self._call("remove", effect)


class FakeTarget:
    """A target that responds after ``delay_s`` seconds, with ``failure`` if that is set."""

    def __init__(self) -> None:
        self.delay_s = 0.1
        self.failure: Failure | None = None
        self.bodies: list[bytes] = []
        self.busy = 0

    async def call(
        self, service: str, headers: dict[str, str], body: bytes, timeout_s: float
    ) -> Result[TargetAnswer, Failure]:
        self.bodies.append(body)
        self.busy += 1
        try:
            await asyncio.sleep(min(self.delay_s, timeout_s))
        finally:
            self.busy -= 1
        return Err(self.failure) if self.failure else Ok(TargetAnswer(200, {}, body))


class FakeLinks:
    """Links to one entry that commits heartbeat counters immediately while ``committing`` is set.

    :ivar sent: every message that the agent sent, with its lane.
    """

    def __init__(self, sender: Sender) -> None:
        self.sender = sender
        self.sent: list[tuple[Channel, AnyMessage]] = []
        self.committing = True
        self.fencing = False
        self.connected = True
        self.reopened = 0
        self._committed = 0
        self._handlers: dict[type, Handler] = {}

    @property
    def indexes(self) -> range:
        return range(1)

    def on(self, kind: type[AnyMessage], handler: Handler) -> None:
        self._handlers[kind] = handler

    def live(self) -> list[int]:
        return [0] if self.connected else []

    def announce_due(self, index: int, ack_timeout_s: float) -> bool:
        return False

    def open(self) -> None:
        pass

    def reopen(self) -> None:
        self.reopened += 1
        self.fencing = False
        self._committed = 0

    def reconnect_unresponsive(self) -> None:
        pass

    async def send(self, index: int, channel: Channel, message: AnyMessage) -> bool:
        if not self.connected:
            return False
        self.sent.append((channel, message))
        if isinstance(message, Heartbeat):
            self._committed = message.counter if self.committing else self._committed
            ack = HeartbeatAck(
                counter=message.counter, committed=self._committed, fenced=self.fencing, **ENTRY
            )
            asyncio.get_running_loop().call_soon(self.deliver, ack)
        return True

    async def broadcast(self, message: AnyMessage) -> None:
        await self.send(0, Channel.CONTROL, message)

    async def close(self) -> None:
        pass

    def deliver(self, message: AnyMessage) -> None:
        """Deliver a message from the entry to the agent."""
        handler = self._handlers.get(type(message))
        if handler:
            handler(0, message)

    def got(self, kind: type[M]) -> list[M]:
        """Return the messages of one kind that the agent sent."""
        return [message for _, message in self.sent if isinstance(message, kind)]


class Rig:
    """An agent with a fake worker, target and links."""

    def __init__(self, worker: FakeWorker | None = None, **changes: Any) -> None:
        self.worker = worker or FakeWorker()
        self.target = FakeTarget()
        made: list[FakeLinks] = []

        def make(_settings: AgentSettings, sender: Sender, _background: Background) -> FakeLinks:
            made.append(FakeLinks(sender))
            return made[0]

        self.agent = Agent(settings(**changes), self.worker, self.target, make)
        self.links = made[0]

    async def __aenter__(self) -> "Rig":
        await self.agent.start()
        await asyncio.sleep(1.0)
        return self

    async def __aexit__(self, *_exc: object) -> None:
        await self.agent.stop()

    async def send(self, message: AnyMessage, wait_s: float = 1.0) -> None:
        """Deliver a message and wait for ``wait_s`` seconds."""
        self.links.deliver(message)
        await asyncio.sleep(wait_s)
