"""Fair sharing as a part of the scheduler: counts usage, and orders and bounds planning passes."""

from collections.abc import Callable, Iterator, Mapping, Sequence
from typing import Any, Final, NamedTuple

from sapphirelead.fairness.capacity import ServiceCapacity
from sapphirelead.fairness.holds import Holds
from sapphirelead.fairness.order import S, ShareKey, ShareOrder
from sapphirelead.fairness.share_log import ShareLog
from sapphirelead.fairness.state_row import USAGE_KEY, decayed, decode_usage, encode_usage
from sapphirelead.fairness.tree import Node, ShareTree
from sapphirelead.metrics import Metrics
from sapphirelead.model_resources import Resources
from sapphirelead.sched_fleet import Instance, Run, RunKey
from sapphirelead.sched_job import EndKind
from sapphirelead.sched_parts import SharingConfig
from sapphirelead.sched_scan_order import Budget
from sapphirelead.sched_spec import StepSpec

MAX_EARLY_RETRIES: Final = 16
"""Best-effort steps of a queue below its share that are tried in each pass, which bounds its
cost."""


class _Held(NamedTuple):
    """What a run counts for, by the queue and the service at its claim."""

    service: str
    queue: str
    amount: Resources


class FairSharing:
    """Usage of all queues; a ``RunObserver`` and a ``StateRow``.

    :ivar has_limits: whether a queue or an organisation of the present pass has a limit.
    :ivar holds: workers withheld for queues below their shares.
    """

    key: Final = USAGE_KEY
    has_limits: bool
    holds: Holds
    _config: SharingConfig
    _service_of: Callable[[Run, str], str]
    _trees: dict[str, ShareTree]
    _runs: dict[RunKey, _Held]
    _capacity: ServiceCapacity
    _order: ShareOrder[Any] | None
    _log: ShareLog
    _below: dict[tuple[str, str], int]
    _at: float

    def __init__(
        self, config: SharingConfig, service_of: Callable[[Run, str], str], metrics: Metrics
    ) -> None:
        """Begin without usage.

        :param service_of: service of a run's queue.
        """
        self.has_limits = False
        self._config = config
        self._service_of = service_of
        self._trees = {}
        self._runs = {}
        self._capacity = ServiceCapacity()
        self._order = None
        self.holds = Holds()
        self._below = {}
        self._log = ShareLog(metrics)
        self._at = 0.0

    def set_config(self, config: SharingConfig) -> None:
        """Apply other shares to the usage that is known."""
        self._config = config
        for tree in self._trees.values():
            tree.set_config(config)

    def _tree(self, service: str) -> ShareTree:
        found = self._trees.get(service)
        if found is None:
            found = self._trees[service] = ShareTree(self._config, self._at)
            found.capacity = self._capacity.of(service)
        return found

    # Usage

    def claimed(self, run: Run, queue: str, at: float) -> None:
        """Count a run from its claim on."""
        if run.key in self._runs:
            return
        held = _Held(self._service_of(run, queue), queue, demand(run.step))
        self._runs[run.key] = held
        self._at = max(self._at, at)
        self._tree(held.service).claim(queue, held.amount, at)

    def ended(self, run: Run, queue: str, kind: EndKind, at: float) -> None:
        """Stop counting a run; whatever its queue has become, it counted for that at its claim."""
        self._release(run.key, at)

    def _release(self, key: RunKey, at: float) -> None:
        held = self._runs.pop(key, None)
        if held is not None:
            self._tree(held.service).release(held.queue, held.amount, at)

    # Planning

    def begin(
        self,
        live: Sequence[Instance],
        runs: Mapping[RunKey, Run],
        steps: Mapping[ShareKey, Sequence[S]],
        at: float,
    ) -> Iterator[S]:
        """Begin a pass; yield its steps in the order of sharing, see :class:`ShareOrder`.

        :param live: instances with a worker.
        :param runs: all runs; those of a withdrawn submission end without notice.
        :param steps: steps to place, in rank order.
        """
        self._at = max(self._at, at)
        if len(runs) != len(self._runs):
            for run in [run for run in self._runs if run not in runs]:
                self._release(run, at)
        self._capacity.update(live)
        self._below = {}
        waiting: dict[str, set[str]] = {}
        for key in steps:
            waiting.setdefault(key.service, set()).add(key.queue)
            self._tree(key.service)
        for service, tree in self._trees.items():
            capacity = self._capacity.of(service)
            tree.begin(capacity, waiting.get(service, set()), at)
        below = {(key.service, key.queue) for key in steps if self.is_below(key.service, key.queue)}
        self.holds.begin(below, at)
        self.has_limits = any(tree.has_limits for tree in self._trees.values())
        order = ShareOrder[S](self._trees)
        self._order = order
        return order.ordered(steps)

    def admits(self, service: str, queue: str, step: StepSpec, at: float) -> bool:
        """Return whether the limits allow one more task of a step, or the whole of a gang."""
        tree = self._tree(service)
        if tree.admits(queue, _least(step)):
            return True
        self._log.limited(self._config, service, queue, tree, at)
        return False

    def budget(self, service: str, queue: str, step: StepSpec, base: Budget) -> Budget:
        """Return a budget for placing a step, which also ends its turn and heeds its limits."""
        tree, turn = self._tree(service), self._order.turn if self._order is not None else None
        amount = _least(step)

        def ended() -> bool:
            return (turn is not None and turn.ends()) or not tree.admits(queue, amount)

        return base.ended_by(ended)

    def organisation(self, service: str, queue: str) -> tuple[Node, Resources]:
        """Return the organisation of a queue, and the capacity that its share refers to."""
        tree = self._tree(service)
        return tree.organisation_of(queue), tree.capacity

    def is_below(self, service: str, queue: str) -> bool:
        """Return whether a queue holds less than it is entitled to beside others."""
        node, _ = self._tree(service).nodes(queue)
        return node.share < node.entitled < 1.0

    def may_be_urgent(self, service: str, queue: str) -> bool:
        """Return whether best-effort tasks of a queue may exceed the workers' spare CPU.

        A queue that floods the fleet with small jobs would overload it, so none may beyond its
        share, unless it is alone.
        """
        node, _ = self._tree(service).nodes(queue)
        return node.entitled >= 1.0 or node.share < node.entitled

    def retries_at_once(self, service: str, queue: str) -> bool:
        """Return whether a best-effort step without room is to be tried in the next pass again.

        A queue below its share would otherwise lose the room to steps that arrive meanwhile.
        """
        key = service, queue
        tried = self._below[key] = self._below.get(key, 0) + 1
        return tried <= MAX_EARLY_RETRIES and self.is_below(service, queue)

    def report_due(self, at: float) -> bool:
        """Whether :meth:`report` would log something by now."""
        return self._log.due(at)

    def report(self, waiting: Mapping[tuple[str, str], int], at: float) -> None:
        """Log and export usage.

        :param waiting: number of unclaimed tasks by service and queue.
        """
        self._log.report(self._config, self._trees, waiting, at)

    # Stored state

    def encode(self, at: float) -> bytes | None:
        """Return the decayed usage to store."""
        for tree in self._trees.values():
            tree.forget_unused()
        return encode_usage(self._trees)

    def restore(self, data: bytes, age_s: float) -> None:
        """Add the decayed usage that earlier leaders have counted."""
        for entry in decode_usage(data):
            average = decayed(entry, age_s, self._config.half_life_s)
            self._tree(entry.service).add_average(entry.queue, average)

    def close(self) -> None:
        """Withdraw what is exported."""
        self.holds.clear()
        self._log.close()


def demand(step: StepSpec) -> Resources:
    """Return what a task counts for; unlike its room, this includes CPU of best-effort tasks."""
    return Resources(step.cpu_millicores, step.memory_mb, step.accelerators)


def _least(step: StepSpec) -> Resources:
    """Return what a step claims at least."""
    tasks = step.tasks if step.gang else 1
    return Resources(step.cpu_millicores * tasks, step.memory_mb * tasks, step.accelerators * tasks)
