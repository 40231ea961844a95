"""The agent: one process beside each target, the only owner of its instance's capacity.

Start: take the worker over, list and charge what it runs, then connect, announce and beat.  Nothing
is admitted before the list is charged.

Fence: an entry says that this incarnation was fenced.  Every task is stopped and dropped, and the
agent goes on under a new incarnation, a new session and new connections.

Leave (SIGTERM, or the operators' drain): announce it at once, refuse what comes as not run, let
requests in progress finish, checkpoint tasks, wait for their ends to be committed, then exit.
"""

import asyncio
import contextlib
import signal
import uuid
from collections.abc import Callable
from functools import partial
from typing import Final

from result import Err, Ok

from sapphirelead.agent_config import ConfigHolder
from sapphirelead.agent_ends import EndReporter
from sapphirelead.agent_holdings import Holdings
from sapphirelead.agent_http import AgentHttp, register_gauges
from sapphirelead.agent_links import AgentLinks
from sapphirelead.agent_poll import Poller
from sapphirelead.agent_ports import Links, Sender
from sapphirelead.agent_pressure import PressureKeeper
from sapphirelead.agent_service import ServiceRunner
from sapphirelead.agent_stops import Stopper
from sapphirelead.agent_task_book import End, Phase, StopOrder, Task, TaskBook
from sapphirelead.agent_tasks import TaskRunner
from sapphirelead.agent_worker import WorkerSession
from sapphirelead.background import Background
from sapphirelead.clock import now
from sapphirelead.entry_ports import Lane
from sapphirelead.keys import Keys, read_keys
from sapphirelead.logs import log_event
from sapphirelead.metrics import Metrics
from sapphirelead.model_lease import LeaseHolder
from sapphirelead.model_ledger import Ledger
from sapphirelead.platform.local_target import HttpTarget
from sapphirelead.platform.local_worker import HttpWorker
from sapphirelead.ports import Target, TaskInfo, TaskState, Worker, WorkerView
from sapphirelead.settings import AgentSettings
from sapphirelead.wire_messages import Amount, Announce, Beat, BeatAck, Drain

WORKER_RETRY_SECONDS: Final = 0.5
DRAIN_POLL_SECONDS: Final = 0.05
EXIT_OK: Final = 0
EXIT_FAILED: Final = 1

LinksMaker = Callable[[AgentSettings, Sender, Background], Links]


class Agent:
    """One agent.

    :ivar stopped: set when the agent has left, for whatever reason.
    :ivar failure: why it had to stop, or empty.
    """

    _settings: AgentSettings
    _sender: Sender
    _config: ConfigHolder
    _ends: EndReporter
    _stopper: Stopper
    _poller: Poller
    _pressure: PressureKeeper
    _http: AgentHttp
    _runner: TaskRunner
    _service: ServiceRunner
    metrics: Metrics
    stopped: asyncio.Event
    failure: str
    _holdings: Holdings
    _loops: Background
    _work: Background
    _draining: asyncio.Task[None] | None
    _fencing: bool

    def __init__(
        self,
        settings: AgentSettings,
        worker: Worker,
        target: Target,
        make_links: LinksMaker = AgentLinks,
    ) -> None:
        self._settings = settings
        self.stopped = asyncio.Event()
        self.failure = ""
        self._draining = None
        self._fencing = False
        self._loops = Background(self._crashed)
        self._work = Background(self._crashed)
        self._sender = Sender(settings.id, _new_incarnation())
        self._holdings = Holdings(
            sender=self._sender,
            ledger=Ledger.from_settings(settings),
            book=TaskBook(),
            session=WorkerSession(worker, self._replaced),
            lease=LeaseHolder.from_settings(settings.lease),
        )
        self._links: Links = make_links(settings, self._sender, self._loops)
        self._config = ConfigHolder(self._sender)
        self._ends = EndReporter(self._sender, self._links, self._holdings.book)
        self._stopper = Stopper(self._holdings.session, self._work, self._finish)
        self._poller = Poller(self._holdings, self._links, self._stopper, settings.lease)
        self._pressure = PressureKeeper(self._holdings, self._config, self._stopper)
        self._poller.on_view = self._pressure.on_view
        self.metrics = Metrics()
        self._http = AgentHttp(self._admits, self.metrics)
        register_gauges(self.metrics, self._holdings, self._pressure)
        self._runner = TaskRunner(
            self._holdings,
            self._links,
            self._ends,
            self._stopper,
            self._work,
            self._poller.wake,
        )
        self._service = ServiceRunner(
            settings,
            self._sender,
            self._holdings.ledger,
            self._links,
            target,
            self._loops,
            self._observe,
        )

    @classmethod
    def from_settings(
        cls, settings: AgentSettings, worker: Worker, target: Target, keys: Keys | None = None
    ) -> "Agent":
        """Build the agent that ``settings`` describe, with protected links where there are keys."""
        return cls(settings, worker, target, partial(AgentLinks, keys=keys))

    @property
    def incarnation(self) -> str:
        """The present run, as entries know it."""
        return self._sender.incarnation

    async def start(self) -> None:
        """Take the worker over, then connect and serve."""
        self._links.on(BeatAck, self._on_beat_ack)
        self._links.on(Drain, self._on_drain)
        self._config.register(self._links)
        self._service.register()
        self._runner.register()
        await self._http.start(self._settings.http_port)
        self._loops.spawn(self._run(), "agent")

    def drain(self) -> None:
        """Begin to leave; :attr:`stopped` is set when that is done."""
        if self._draining is None:
            self._draining = self._loops.spawn(self._leave(), "drain")

    async def stop(self) -> None:
        """Stop at once: what runs at the worker is left to its leases."""
        await self._work.close()
        await self._loops.close()
        await self._http.stop()
        await self._links.close()
        self.stopped.set()

    async def _run(self) -> None:
        await self._take_over()
        self._links.open()
        self._loops.spawn(self._poller.run(), "poll")
        self._loops.spawn(self._poller.run_leases(), "leases")
        self._loops.spawn(self._ends.run(), "ends")
        self._loops.spawn(self._pressure.run(), "pressure")
        await self._run_beats()

    async def _take_over(self) -> None:
        """Open a session and charge what the worker runs, before anything is admitted."""
        view = await self._open_session(self.incarnation)
        for info in _newest(view):
            self._runner.adopt(info)
        self._holdings.ready = True
        log_event(
            "INFO",
            "agent_ready",
            instance=self._settings.id,
            incarnation=self.incarnation,
            adopted=len(view.tasks),
        )

    async def _open_session(self, incarnation: str) -> WorkerView:
        while True:
            match await self._holdings.session.open(incarnation):
                case Ok(view):
                    return view
                case Err(failure):
                    log_event("WARNING", "worker_unavailable", reason=failure.message)
            await asyncio.sleep(WORKER_RETRY_SECONDS)

    async def _run_beats(self) -> None:
        while True:
            self._links.check_silence()
            await self._beat()
            await asyncio.sleep(self._settings.lease.beat_interval_seconds)

    async def _beat(self) -> None:
        patience = 2 * self._settings.lease.beat_interval_seconds
        # Noted before anything is sent: the lease counts from here.
        beat = self._make_beat(self._holdings.lease.next_heartbeat(now()))
        for index in self._links.indexes:
            if self._links.announce_due(index, patience):
                await self._links.send(index, Lane.CONTROL, self._make_announce())
            await self._links.send(index, Lane.CONTROL, beat)

    def _make_announce(self) -> Announce:
        settings = self._settings
        return Announce(
            zone=settings.zone,
            rack=settings.rack,
            capacity=Amount.from_resources(self._holdings.ledger.capacity),
            slots=settings.slots,
            connections=settings.connections,
            services=list(settings.services),
            draining=self._holdings.draining,
            **self._sender.head(),
        )

    def _make_beat(self, counter: int) -> Beat:
        ledger = self._holdings.ledger
        ledger.expire_reservations(now())
        return Beat(
            counter=counter,
            zone=self._settings.zone,
            draining=self._holdings.draining,
            slots_used=ledger.requests,
            slots=ledger.slots,
            connections_used=ledger.requests,
            connections=ledger.connections,
            free=Amount.from_resources(ledger.free),
            tasks=len(self._holdings.book.in_phase(Phase.STARTING, Phase.RUNNING, Phase.STOPPING)),
            services=self._pressure.services,
            classes=self._pressure.classes,
            **self._sender.head(),
        )

    def _on_beat_ack(self, _index: int, ack: BeatAck) -> None:
        if not ack.fenced:
            self._holdings.lease.record_ack(ack.committed)
        elif not self._fencing:
            self._fencing = True
            self._loops.spawn(self._begin_anew(), "fenced")

    async def _begin_anew(self) -> None:
        """Drop everything of the fenced incarnation and go on as a new one."""
        log_event("WARNING", "agent_fenced", incarnation=self.incarnation)
        holdings = self._holdings
        holdings.ready = False
        holdings.lease = LeaseHolder.from_settings(self._settings.lease)
        await self._work.close()
        incarnation = _new_incarnation()
        await self._clear_worker(incarnation)
        for task in holdings.book.clear():
            holdings.ledger.release(task.key)
        # Together with the connections, never before: until then beats carry the name that the
        # identity of their socket carries.
        self._sender.incarnation = incarnation
        self._service.add_incarnation()
        self._links.reopen()
        holdings.ready = True
        self._fencing = False

    async def _clear_worker(self, incarnation: str) -> None:
        """Stop and remove every task at the worker, until its own list is empty."""
        view = await self._open_session(incarnation)
        while view.tasks:
            for info in view.tasks:
                await self._holdings.session.stop(info.task_id)
                await self._holdings.session.remove(info.task_id)
            view = await self._open_session(incarnation)

    def _admits(self) -> bool:
        return self._holdings.ready and not self._holdings.draining

    def _observe(self, service: str, seconds: float, ok: bool) -> None:
        self._pressure.observe(service, seconds, ok)
        self.metrics.latency("agent_target_latency_ms", seconds * 1000, service=service)

    def _finish(self, task: Task, end: End) -> None:
        """Note the end of a task and report it."""
        if task.end or self._holdings.book.get(task.key, task.epoch) is not task:
            return
        task.phase = Phase.ENDED
        task.end = end
        self._holdings.ledger.release(task.key)
        log_event(
            "INFO",
            "task_ended",
            job=task.key,
            epoch=task.epoch,
            fate=end.fate,
            checkpoint=end.checkpoint,
            reason=end.reason,
        )
        self.metrics.count("agent_tasks_ended_total", fate=end.fate, job_class=task.job_class)
        self._ends.wake()

    def _on_drain(self, _index: int, message: Drain) -> None:
        log_event("INFO", "drain_ordered", reason=message.reason)
        self.drain()

    async def _leave(self) -> None:
        log_event("INFO", "agent_draining", instance=self._settings.id)
        self._holdings.draining = True
        self._service.draining = True
        await self._beat()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(self._settings.drain_seconds):
                await self._evacuate()
        # Not bounded here: each call to the target ends within its own timeout, and a planned stop
        # cuts none.
        await self._service.idle()
        log_event("INFO", "agent_left", tasks_left=len(self._holdings.book.tasks))
        self.stopped.set()

    async def _evacuate(self) -> None:
        """Checkpoint every task and wait until every end is committed."""
        order = StopOrder(cancel=False, reason="draining")
        while self._holdings.book.tasks:
            for task in self._holdings.book.in_phase(Phase.STARTING, Phase.RUNNING):
                self._stopper.order(task, order)
            await asyncio.sleep(DRAIN_POLL_SECONDS)

    def _replaced(self) -> None:
        """Stop, because another agent has taken the worker over."""
        self._fail("another agent has taken the worker over")

    def _crashed(self, exc: BaseException) -> None:
        self._fail(repr(exc))

    def _fail(self, reason: str) -> None:
        if not self.failure:
            log_event("ERROR", "agent_failed", instance=self._settings.id, reason=reason)
        self.failure = self.failure or reason
        self._holdings.ready = False
        self.stopped.set()


async def run_agent(settings: AgentSettings) -> int:
    """Run one agent until it has left; return the exit code."""
    keys = read_keys(settings.security.keys_file)
    if isinstance(keys, Err):
        log_event("ERROR", "agent_failed", instance=settings.id, reason=str(keys.err_value))
        return EXIT_FAILED
    worker = HttpWorker.from_settings(settings)
    target = HttpTarget.from_settings(settings)
    agent = Agent.from_settings(settings, worker, target, keys.ok_value)
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, agent.drain)
    await agent.start()
    await agent.stopped.wait()
    await agent.stop()
    await worker.close()
    await target.close()
    return EXIT_FAILED if agent.failure else EXIT_OK


def _new_incarnation() -> str:
    return uuid.uuid4().hex[:12]


def _newest(view: WorkerView) -> list[TaskInfo]:
    """Return for each task the record that runs, or else that of the highest epoch."""
    newest: dict[str, TaskInfo] = {}
    for info in sorted(view.tasks, key=lambda i: (i.state is TaskState.RUNNING, i.epoch)):
        newest[info.task_id] = info
    return list(newest.values())
