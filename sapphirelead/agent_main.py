"""The agent: one process next to each target, the sole owner of its instance's capacity.

On start it opens a worker session and charges the running tasks to the ledger before it connects
to the entries and admits work.  When an entry reports that the incarnation was fenced, it stops all
tasks and continues under a new incarnation, session and connections.  On SIGTERM or a drain message
it refuses new work, finishes requests in progress, checkpoints tasks, waits until their outcomes
are committed, and exits.
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
from sapphirelead.agent_context import AgentContext
from sapphirelead.agent_http import AgentHttp, register_gauges
from sapphirelead.agent_links import AgentLinks
from sapphirelead.agent_outcomes import OutcomeReporter
from sapphirelead.agent_poll import Poller
from sapphirelead.agent_ports import Links, Sender
from sapphirelead.agent_service import ServiceRunner
from sapphirelead.agent_stops import Stopper
from sapphirelead.agent_task_table import Phase, StopOrder, Task, TaskOutcome, TaskTable
from sapphirelead.agent_tasks import TaskRunner
from sapphirelead.agent_throttle import ThrottleManager
from sapphirelead.agent_worker import WorkerSession
from sapphirelead.background import Background
from sapphirelead.clock import now
from sapphirelead.entry_ports import Channel
from sapphirelead.keys import Keys, read_keys
from sapphirelead.logs import log_event
from sapphirelead.metrics import Metrics
from sapphirelead.model_config import Config
from sapphirelead.model_lease import LeaseHolder
from sapphirelead.model_ledger import Ledger
from sapphirelead.platform.local_target import HttpTarget
from sapphirelead.platform.local_worker import HttpWorker
from sapphirelead.ports import Target, TaskInfo, TaskState, Worker, WorkerView
from sapphirelead.settings import AgentSettings
from sapphirelead.wire_messages import Amount, Announce, Drain, Heartbeat, HeartbeatAck

WORKER_RETRY_DELAY_S: Final = 0.5
DRAIN_POLL_INTERVAL_S: Final = 0.05
EXIT_OK: Final = 0
EXIT_FAILED: Final = 1

LinksFactory = Callable[[AgentSettings, Sender, Background], Links]


class Agent:
    """Wires the components of one agent and runs its lifecycle.

    :ivar stopped: set when the agent has drained, failed or been stopped.
    :ivar failure: the reason for a failure, or an empty string.
    """

    _settings: AgentSettings
    _sender: Sender
    _config: ConfigHolder
    _outcome_reporter: OutcomeReporter
    _stopper: Stopper
    _poller: Poller
    _throttle_manager: ThrottleManager
    _http: AgentHttp
    _runner: TaskRunner
    _service: ServiceRunner
    metrics: Metrics
    stopped: asyncio.Event
    failure: str
    _context: AgentContext
    _loops: Background
    _work: Background
    _draining: asyncio.Task[None] | None
    _fencing: bool

    def __init__(
        self,
        settings: AgentSettings,
        worker: Worker,
        target: Target,
        make_links: LinksFactory = AgentLinks,
    ) -> None:
        self._settings = settings
        self.stopped = asyncio.Event()
        self.failure = ""
        self._draining = None
        self._fencing = False
        self._loops = Background(self._crashed)
        self._work = Background(self._crashed)
        self._sender = Sender(settings.id, _new_incarnation())
        self._context = AgentContext(
            sender=self._sender,
            ledger=Ledger.from_settings(settings),
            task_table=TaskTable(),
            session=WorkerSession(worker, self._replaced),
            lease=LeaseHolder.from_settings(settings.lease),
        )
        self._links: Links = make_links(settings, self._sender, self._loops)
        self._config = ConfigHolder(self._sender)
        self._outcome_reporter = OutcomeReporter(
            self._sender, self._links, self._context.task_table
        )
        self._stopper = Stopper(self._context.session, self._work, self._record_outcome)
        self._poller = Poller(self._context, self._links, self._stopper, settings.lease)
        self._throttle_manager = ThrottleManager(self._context, self._config, self._stopper)
        self._poller.on_view = self._throttle_manager.on_view
        self.metrics = Metrics()
        self._http = AgentHttp(self._admits, self.metrics)
        register_gauges(self.metrics, self._context, self._throttle_manager)
        self._runner = TaskRunner(
            self._context,
            self._links,
            self._outcome_reporter,
            self._stopper,
            self._work,
            self._poller.wake,
        )
        self._service = ServiceRunner(
            settings,
            self._sender,
            self._context.ledger,
            self._links,
            target,
            self._loops,
            self._observe,
        )

    @classmethod
    def from_settings(
        cls, settings: AgentSettings, worker: Worker, target: Target, keys: Keys | None = None
    ) -> "Agent":
        """Build the agent described by ``settings``; ``keys``, if any, secure its links."""
        return cls(settings, worker, target, partial(AgentLinks, keys=keys))

    @property
    def incarnation(self) -> str:
        """The identifier of the current incarnation."""
        return self._sender.incarnation

    async def start(self) -> None:
        """Start the agent's loops; the worker is taken over in the background."""
        self._links.on(HeartbeatAck, self._on_heartbeat_ack)
        self._links.on(Drain, self._on_drain)
        self._config.register(self._links)
        self._config.on_change(self._apply_zones)
        self._service.register()
        self._runner.register()
        await self._http.start(self._settings.http_port)
        self._loops.spawn(self._run(), "agent")

    def drain(self) -> None:
        """Start draining; :attr:`stopped` is set when it is complete."""
        if self._draining is None:
            self._draining = self._loops.spawn(self._drain_and_stop(), "drain")

    async def stop(self) -> None:
        """Stop without draining; tasks at the worker run until their leases expire."""
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
        self._loops.spawn(self._outcome_reporter.run(), "ends")
        self._loops.spawn(self._throttle_manager.run(), "pressure")
        await self._run_heartbeats()

    async def _take_over(self) -> None:
        """Open a session and charge the worker's tasks to the ledger before work is admitted."""
        view = await self._open_session(self.incarnation)
        for info in _newest_records(view):
            self._runner.adopt(info)
        self._context.ready = True
        log_event(
            "INFO",
            "agent_ready",
            instance=self._settings.id,
            incarnation=self.incarnation,
            adopted=len(view.tasks),
        )

    async def _open_session(self, incarnation: str) -> WorkerView:
        while True:
            match await self._context.session.open(incarnation):
                case Ok(view):
                    return view
                case Err(failure):
                    log_event("WARNING", "worker_unavailable", reason=failure.message)
            await asyncio.sleep(WORKER_RETRY_DELAY_S)

    async def _run_heartbeats(self) -> None:
        while True:
            self._links.reconnect_unresponsive()
            await self._send_heartbeat()
            await asyncio.sleep(self._settings.lease.beat_interval_seconds)

    async def _send_heartbeat(self) -> None:
        ack_timeout_s = 2 * self._settings.lease.beat_interval_seconds
        # The lease is counted from this time, so it is recorded before anything is sent.
        heartbeat = self._make_heartbeat(self._context.lease.next_heartbeat(now()))
        for index in self._links.indexes:
            if self._links.announce_due(index, ack_timeout_s):
                await self._links.send(index, Channel.CONTROL, self._make_announce())
            await self._links.send(index, Channel.CONTROL, heartbeat)

    def _make_announce(self) -> Announce:
        settings = self._settings
        return Announce(
            zone=settings.zone,
            rack=settings.rack,
            capacity=Amount.from_resources(self._context.ledger.capacity),
            slots=settings.slots,
            connections=settings.connections,
            services=list(settings.services),
            draining=self._context.draining,
            **self._sender.head(),
        )

    def _make_heartbeat(self, counter: int) -> Heartbeat:
        ledger = self._context.ledger
        ledger.expire_reservations(now())
        return Heartbeat(
            counter=counter,
            zone=self._settings.zone,
            draining=self._context.draining,
            slots_used=ledger.requests,
            slots=ledger.slots,
            connections_used=ledger.requests,
            connections=ledger.connections,
            free=Amount.from_resources(ledger.free),
            tasks=len(
                self._context.task_table.in_phase(Phase.STARTING, Phase.RUNNING, Phase.STOPPING)
            ),
            services=self._throttle_manager.services,
            classes=self._throttle_manager.classes,
            **self._sender.head(),
        )

    def _on_heartbeat_ack(self, _index: int, ack: HeartbeatAck) -> None:
        if not ack.fenced:
            self._context.lease.record_ack(ack.committed)
        elif not self._fencing:
            self._fencing = True
            self._loops.spawn(self._restart_incarnation(), "fenced")

    async def _restart_incarnation(self) -> None:
        """Stop all work of the fenced incarnation and continue under a new one."""
        log_event("WARNING", "agent_fenced", incarnation=self.incarnation)
        context = self._context
        context.ready = False
        context.lease = LeaseHolder.from_settings(self._settings.lease)
        await self._work.close()
        incarnation = _new_incarnation()
        await self._clear_worker(incarnation)
        for task in context.task_table.clear():
            context.ledger.release(task.key)
        # Changed together with the connections: messages must carry the same incarnation as the
        # identity of their socket.
        self._sender.incarnation = incarnation
        self._service.add_incarnation()
        self._links.reopen()
        context.ready = True
        self._fencing = False

    async def _clear_worker(self, incarnation: str) -> None:
        """Stop and remove tasks at the worker until it lists none."""
        view = await self._open_session(incarnation)
        while view.tasks:
            for info in view.tasks:
                await self._context.session.stop(info.task_id)
                await self._context.session.remove(info.task_id)
            view = await self._open_session(incarnation)

    def _admits(self) -> bool:
        return self._context.ready and not self._context.draining

    def _observe(self, service: str, seconds: float, ok: bool) -> None:
        self._throttle_manager.observe(service, seconds, ok)
        self.metrics.latency("agent_target_latency_ms", seconds * 1000, service=service)

    def _record_outcome(self, task: Task, outcome: TaskOutcome) -> None:
        """Record the outcome of a task and wake the reporter."""
        if task.outcome or self._context.task_table.get(task.key, task.epoch) is not task:
            return
        task.phase = Phase.ENDED
        task.outcome = outcome
        self._context.ledger.release(task.key)
        log_event(
            "INFO",
            "task_ended",
            job=task.key,
            epoch=task.epoch,
            fate=outcome.claim_outcome,
            checkpoint=outcome.checkpoint,
            reason=outcome.reason,
        )
        self.metrics.count(
            "agent_tasks_ended_total", fate=outcome.claim_outcome, job_class=task.job_class
        )
        self._outcome_reporter.wake()

    def _on_drain(self, _index: int, message: Drain) -> None:
        log_event("INFO", "drain_ordered", reason=message.reason)
        self.drain()

    def _apply_zones(self, config: Config) -> None:
        """Start nothing while the agent's zone is evacuated."""
        evacuated = self._settings.zone in config.document.evacuated_zones
        if evacuated is self._context.zone_evacuated:
            return
        self._context.zone_evacuated = self._service.zone_evacuated = evacuated
        event = "zone_evacuated" if evacuated else "zone_restored"
        self.metrics.count(f"{event}_total")
        log_event("INFO", event, zone=self._settings.zone, version=config.version)

    async def _drain_and_stop(self) -> None:
        log_event("INFO", "agent_draining", instance=self._settings.id)
        self._context.draining = True
        self._service.draining = True
        await self._send_heartbeat()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(self._settings.drain_seconds):
                await self._checkpoint_tasks()
        # Not bounded here: each call to the target ends within its own timeout, and draining must
        # not abort any.
        await self._service.idle()
        log_event("INFO", "agent_left", tasks_left=len(self._context.task_table.tasks))
        self.stopped.set()

    async def _checkpoint_tasks(self) -> None:
        """Checkpoint every task and wait until every outcome is committed."""
        order = StopOrder(cancel=False, reason="draining")
        while self._context.task_table.tasks:
            for task in self._context.task_table.in_phase(Phase.STARTING, Phase.RUNNING):
                self._stopper.order(task, order)
            await asyncio.sleep(DRAIN_POLL_INTERVAL_S)

    def _replaced(self) -> None:
        """Fail because another agent has opened a session with the worker."""
        self._fail("another agent has taken the worker over")

    def _crashed(self, exc: BaseException) -> None:
        self._fail(repr(exc))

    def _fail(self, reason: str) -> None:
        if not self.failure:
            log_event("ERROR", "agent_failed", instance=self._settings.id, reason=reason)
        self.failure = self.failure or reason
        self._context.ready = False
        self.stopped.set()


async def run_agent(settings: AgentSettings) -> int:
    """Run one agent until it has stopped; return the exit code."""
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


def _newest_records(view: WorkerView) -> list[TaskInfo]:
    """Return one record per task: the running one, else the one with the highest epoch."""
    newest: dict[str, TaskInfo] = {}
    for info in sorted(view.tasks, key=lambda i: (i.state is TaskState.RUNNING, i.epoch)):
        newest[info.task_id] = info
    return list(newest.values())
