"""Throttles and evicts batch tasks that interfere with services or exceed the instance's capacity.

The CPU share of a task is the smallest of three: the share of its class, decided once per report
interval (:mod:`sapphirelead.policy_throttle`); a cap on tasks that use more than they declared,
decided on each view of the worker and released once they keep to it; and the share set by the rule
that placed the task.  Each view sends the share to the worker if it differs from the one reported,
which also repairs lost calls.
"""

import asyncio
from dataclasses import dataclass
from typing import Final

from sapphirelead.agent_config import ConfigHolder
from sapphirelead.agent_context import AgentContext
from sapphirelead.agent_samples import LatencyWindow, UsageWindow, class_samples, is_running_batch
from sapphirelead.agent_stops import Stopper
from sapphirelead.agent_task_table import Phase, StopOrder, Task
from sapphirelead.clock import now
from sapphirelead.logs import log_event
from sapphirelead.model_job import Kind
from sapphirelead.model_resources import Resources
from sapphirelead.policy_interference import InterferenceModel
from sapphirelead.policy_throttle import Action, Evict, Throttle, ThrottleController, Tuning
from sapphirelead.ports import TaskInfo, WorkerView
from sapphirelead.wire_messages import ClassSample, ServiceSample

MIN_SHARE_CHANGE: Final = 0.01
MIN_SHARE: Final = 0.05
CAP_RETENTION_S: Final = 10.0
"""Time for which a capped task has to use no more than it declared before it is released."""


@dataclass(slots=True)
class _UsageCap:
    """Cap on a task that used more processors than it declared, and when it last did."""

    share: float
    exceeded_at: float


class ThrottleManager:
    """Measures interference on one instance and throttles or evicts batch tasks.

    :ivar services: samples of the services in the last interval, sent with heartbeats.
    :ivar classes: samples of the tasks in the last view by job class, sent with heartbeats.
    """

    _context: AgentContext
    _config: ConfigHolder
    _stopper: Stopper
    services: list[ServiceSample]
    classes: list[ClassSample]
    _windows: dict[str, LatencyWindow]
    _usage: UsageWindow
    _controller: ThrottleController
    _caps: dict[str, _UsageCap]

    def __init__(self, context: AgentContext, config: ConfigHolder, stopper: Stopper) -> None:
        self._context = context
        self._config = config
        self._stopper = stopper
        self.services = []
        self.classes = []
        self._windows = {}
        self._usage = UsageWindow(context.ledger.capacity, context.ledger.slots)
        self._controller = ThrottleController(InterferenceModel())
        self._caps = {}

    @property
    def slowdown(self) -> float:
        """Worst slowdown of a service in the last interval, 1.0 for none."""
        return self._controller.slowdown

    @property
    def throttled_classes(self) -> int:
        """Number of job classes that are throttled because of interference."""
        return len(self._controller.shares)

    def observe(self, service: str, seconds: float, ok: bool) -> None:
        """Record one response of the target."""
        window = self._windows.get(service)
        if window is None:
            window = self._windows[service] = LatencyWindow(service)
        window.add(seconds, ok)
        self._usage.add_request(seconds)

    async def on_view(self, view: WorkerView) -> None:
        """Sample the running tasks, limit excess usage and update the tasks' shares."""
        self.classes = class_samples(view.tasks)
        self._usage.add(view.tasks, now())
        self._limit_excess_usage()
        for info in view.tasks:
            task = self._context.task_table.get(info.task_id, info.epoch)
            if task and task.phase is Phase.RUNNING and is_running_batch(info):
                await self._adjust(task, info)

    async def run(self) -> None:
        """Run a report round in each report interval until cancelled."""
        while True:
            await asyncio.sleep(self._config.current.document.interference.report_lag_seconds)
            self.report_round()

    def report_round(self) -> None:
        """Close the interval, update the interference model and take at most one action.

        If there were too few requests for a report, the interval stays open: it does not count as
        calm, because slow services complete fewer requests.
        """
        self.services = [window.sample() for window in self._windows.values()]
        reports = [r for w in self._windows.values() if (r := w.report(now())) is not None]
        if not reports and any(window.unreported_count for window in self._windows.values()):
            return
        intensities, occupancy = self._usage.close(now())
        running = self._running_batch()
        tasks: dict[str, int] = {}
        for task in running:
            tasks[task.job_class] = tasks.get(task.job_class, 0) + 1
        tuning = Tuning.from_config(self._config.current.document)
        action = self._controller.step(tuning, reports, intensities, tasks, occupancy)
        if action:
            self._act(action, running)
        elif self._controller.over_target:
            self._log_unattributed_slowdown(tasks, occupancy)

    def _log_unattributed_slowdown(self, tasks: dict[str, int], occupancy: float) -> None:
        """Log the measurements behind a slowdown for which no action was taken."""
        worst, contributions = self._controller.worst, self._controller.contributions
        if worst is None:
            return
        suspect = max(contributions, key=lambda name: contributions[name], default="")
        log_event(
            "INFO",
            "slowdown_unblamed",
            service=worst.report.service,
            slowdown=worst.slowdown,
            measured=worst.measured,
            tail_ms=worst.report.tail_ms,
            usual_ms=worst.baseline_ms,
            requests=worst.report.count,
            occupancy=occupancy,
            suspect=suspect or "-",
            harm=contributions.get(suspect, 0.0),
            share=self._controller.share(suspect),
            running=sum(tasks.values()),
        )

    def _running_batch(self) -> list[Task]:
        running = self._context.task_table.in_phase(Phase.RUNNING)
        return [task for task in running if task.kind is Kind.BATCH]

    def _act(self, action: Action, running: list[Task]) -> None:
        match action:
            case Throttle(job_class, share, slowdown):
                # Applied on the next view, and to tasks of the class that start later.
                log_event(
                    "INFO", "class_throttled", job_class=job_class, share=share, slowdown=slowdown
                )
            case Evict(job_class, slowdown):
                newest = max((t for t in running if t.job_class == job_class), key=_started_at)
                log_event("INFO", "task_evicted", job=newest.key, slowdown=slowdown)
                self._stopper.order(newest, StopOrder(cancel=False, reason="interference"))

    def _limit_excess_usage(self) -> None:
        """Throttle or evict tasks if measured usage exceeds the capacity of the instance."""
        excess = self._context.ledger.excess()
        for key in excess.evict:
            task = self._context.task_table.tasks.get(key)
            if task and task.phase is Phase.RUNNING:
                log_event("WARNING", "task_outgrew_instance", job=key)
                self._stopper.order(task, StopOrder(cancel=False, reason="over its size"))
        for key in excess.throttle:
            charge = self._context.ledger.charge_of(key)
            if charge and key not in self._caps:
                share = _usage_cap(charge.declared, charge.measured)
                self._caps[key] = _UsageCap(share, now())
                log_event("WARNING", "task_capped", job=key, share=share)
        self._release_caps(now())

    def _release_caps(self, at: float) -> None:
        """Release the caps of ended tasks and of those that have kept to their declaration."""
        for key, cap in list(self._caps.items()):
            charge = self._context.ledger.charge_of(key)
            if charge and charge.measured.cpu_millicores > charge.declared.cpu_millicores:
                cap.exceeded_at = at
            elif charge is None or at - cap.exceeded_at > CAP_RETENTION_S:
                del self._caps[key]

    async def _adjust(self, task: Task, info: TaskInfo) -> None:
        cap = self._caps.get(task.key)
        wanted = min(
            self._controller.share(task.job_class),
            cap.share if cap else 1.0,
            self._rule_share(task.rule),
        )
        if abs(wanted - info.throttle) >= MIN_SHARE_CHANGE:
            await self._context.session.throttle(task.key, wanted)

    def _rule_share(self, name: str) -> float:
        for rule in self._config.current.document.rules:
            if rule.name == name and rule.then.throttle_share is not None:
                return max(MIN_SHARE, float(rule.then.throttle_share))
        return 1.0


def _usage_cap(declared: Resources, measured: Resources) -> float:
    """Return the CPU share that reduces the measured usage to the declared one."""
    return max(MIN_SHARE, declared.cpu_millicores / max(1, measured.cpu_millicores))


def _started_at(task: Task) -> float:
    return task.since
