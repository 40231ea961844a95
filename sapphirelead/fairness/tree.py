"""Shares and usage of organisations and their queues on the workers of one service.

Load pattern: a queue submits many times what the workers can process, beside queues that submit
little.  Weighted dominant resource fairness over a tree (organisation, queue): the node that is
furthest below its guaranteed share goes first, then the one with the lowest usage divided by its
weight.

Invariant: the usage of an organisation is the sum of that of its queues.

Source: Ghodsi et al., "Dominant Resource Fairness", NSDI 2011; Bhattacharya et al., "Hierarchical
Scheduling for Diverse Datacenter Workloads", SoCC 2013.
"""

from collections.abc import Collection, Sequence
from dataclasses import dataclass
from typing import Final, NamedTuple

from sapphirelead.dominant_share import Amounts, dominant_share
from sapphirelead.model_resources import NO_RESOURCES, Resources
from sapphirelead.sched_parts import ShareSpec, SharingConfig

ROUNDING: Final = 1e-9
"""Tolerance of comparisons of shares with limits."""

MIN_USAGE: Final = 1e-4
"""Decayed usage, as a share, below which a queue without runs is forgotten."""

DEFAULT_SHARE: Final = ShareSpec()


class Standing(NamedTuple):
    """Place in the order of sharing; the lowest goes first.

    :ivar organisation_satisfied: whether the organisation holds its guaranteed share.
    :ivar organisation_usage: fraction of that share that it holds, or its usage by weight.
    :ivar queue_satisfied: the same of the queue.
    :ivar queue_usage: the same of the queue.
    """

    organisation_satisfied: bool
    organisation_usage: float
    queue_satisfied: bool
    queue_usage: float


@dataclass(slots=True)
class DecayedAverage:
    """Exponentially decayed average of the resources held, in the units of :class:`Resources`.

    :ivar at: time up to which it counts.
    """

    cpu_millicores: float = 0.0
    memory_mb: float = 0.0
    accelerators: float = 0.0
    at: float = 0.0

    def advance(self, held: Amounts, at: float, half_life_s: float) -> None:
        """Count ``held`` from the last time to ``at``; an earlier time changes nothing."""
        if at <= self.at:
            return
        kept = 0.5 ** ((at - self.at) / half_life_s)
        self.at = at
        self.cpu_millicores += (held.cpu_millicores - self.cpu_millicores) * (1 - kept)
        self.memory_mb += (held.memory_mb - self.memory_mb) * (1 - kept)
        self.accelerators += (held.accelerators - self.accelerators) * (1 - kept)

    def add(self, other: "DecayedAverage", factor: float = 1.0) -> None:
        """Add another average, multiplied by ``factor``."""
        self.cpu_millicores += other.cpu_millicores * factor
        self.memory_mb += other.memory_mb * factor
        self.accelerators += other.accelerators * factor

    def rounded(self) -> Resources:
        """Return it in whole units."""
        return Resources(
            round(self.cpu_millicores), round(self.memory_mb), round(self.accelerators)
        )


@dataclass(slots=True)
class Node:
    """An organisation or a queue.

    The resources that its runs hold are counted in place, which costs less than new objects.

    :ivar average: decayed average of the resources held.
    :ivar cpu_millicores: CPU held.
    :ivar memory_mb: memory held.
    :ivar accelerators: accelerators held.
    :ivar share: dominant share held, kept because a pass compares it for each task.
    :ivar changes: number of changes of the resources held.
    :ivar average_share: dominant share of ``average`` at the beginning of the pass.
    :ivar guaranteed: guaranteed share of the service's capacity in this pass.
    :ivar limit: maximum share of the service's capacity; 0 for none.
    :ivar parent: organisation of a queue; ``None`` for an organisation.
    :ivar entitled: share that it would get if all active nodes had more work than fits.
    """

    spec: ShareSpec
    average: DecayedAverage
    cpu_millicores: int = 0
    memory_mb: int = 0
    accelerators: int = 0
    share: float = 0.0
    changes: int = 0
    average_share: float = 0.0
    guaranteed: float = 0.0
    limit: float = 0.0
    entitled: float = 0.0
    parent: "Node | None" = None

    @classmethod
    def unused(cls, spec: ShareSpec, at: float, parent: "Node | None" = None) -> "Node":
        """Return a node that holds nothing."""
        return cls(spec, DecayedAverage(at=at), parent=parent)

    @property
    def held(self) -> Resources:
        """Resources that its runs hold."""
        return Resources(self.cpu_millicores, self.memory_mb, self.accelerators)

    def hold(self, amount: Resources, capacity: Resources) -> None:
        """Count resources of a run."""
        self.cpu_millicores += amount.cpu_millicores
        self.memory_mb += amount.memory_mb
        self.accelerators += amount.accelerators
        self._changed(capacity)

    def release(self, amount: Resources, capacity: Resources) -> None:
        """Stop counting resources of a run."""
        self.cpu_millicores -= amount.cpu_millicores
        self.memory_mb -= amount.memory_mb
        self.accelerators -= amount.accelerators
        self._changed(capacity)

    def _changed(self, capacity: Resources) -> None:
        self.share = dominant_share(self, capacity)
        self.changes += 1

    @property
    def standing(self) -> Standing:
        """Present place of a queue; only grows while the queue's tasks are placed."""
        parent = self.parent or self
        return Standing(*_satisfaction(parent), *_satisfaction(self))


def _satisfaction(node: Node) -> tuple[bool, float]:
    if node.share < node.guaranteed:
        return False, node.share / node.guaranteed
    return True, (node.share + node.average_share) / node.spec.weight


def _entitle(siblings: Sequence[Node], total: float) -> None:
    """Divide a share among active siblings: what is guaranteed, and the rest by weight."""
    guaranteed = sum(node.spec.guaranteed for node in siblings)
    rest = max(0.0, 1.0 - guaranteed)
    weights = sum(node.spec.weight for node in siblings)
    for node in siblings:
        node.entitled = total * (node.spec.guaranteed + rest * node.spec.weight / weights)
        if node.limit:
            node.entitled = min(node.entitled, node.limit)


class ShareTree:
    """The organisations and queues of one service.

    :ivar capacity: capacity of the service's workers.
    :ivar queues: nodes by queue.
    :ivar organisations: nodes by organisation.
    :ivar changes: number of changes of the resources held.
    :ivar has_limits: whether a queue or an organisation of the pass has a limit.
    """

    capacity: Resources
    changes: int
    has_limits: bool
    queues: dict[str, Node]
    organisations: dict[str, Node]
    _config: SharingConfig
    _at: float

    def __init__(self, config: SharingConfig, at: float) -> None:
        self.capacity = NO_RESOURCES
        self.changes = 0
        self.has_limits = False
        self.queues = {}
        self.organisations = {}
        self._config = config
        self._at = at

    def set_config(self, config: SharingConfig) -> None:
        """Apply other shares and members to the usage that is known."""
        for node in self.queues.values():
            node.average.advance(node, self._at, self._config.half_life_s)
        queues, self.queues, self.organisations = self.queues, {}, {}
        self._config = config
        for queue, known in queues.items():
            node = self._queue(queue)
            node.hold(known.held, self.capacity)
            node.average = known.average
            parent = self.organisation_of(queue)
            parent.hold(known.held, self.capacity)
            parent.average.add(known.average)

    def organisation_of(self, queue: str) -> Node:
        """Return the organisation of a queue."""
        return self.nodes(queue)[1]

    def nodes(self, queue: str) -> tuple[Node, Node]:
        """Return a queue and its organisation."""
        node = self._queue(queue)
        assert node.parent is not None
        return node, node.parent

    def _organisation(self, queue: str) -> Node:
        name = self._config.organisation_of(queue)
        found = self.organisations.get(name)
        if found is None:
            found = Node.unused(self._organisation_spec(name), self._at)
            self.organisations[name] = found
        return found

    def _organisation_spec(self, name: str) -> ShareSpec:
        """Return the share of an organisation; a queue without one brings its own share."""
        spec = self._config.organisations.get(name)
        if spec is None and not self._config.members.get(name):
            spec = self._config.queues.get(name)
        return spec or DEFAULT_SHARE

    def _queue(self, queue: str) -> Node:
        found = self.queues.get(queue)
        if found is None:
            alone = not self._config.members.get(queue)
            spec = DEFAULT_SHARE if alone else self._config.queues.get(queue, DEFAULT_SHARE)
            found = Node.unused(spec, self._at, self._organisation(queue))
            self.queues[queue] = found
        return found

    def claim(self, queue: str, amount: Resources, at: float) -> None:
        """Count resources that a run of the queue holds from now on."""
        for node in self._advanced(queue, at):
            node.hold(amount, self.capacity)

    def release(self, queue: str, amount: Resources, at: float) -> None:
        """Stop counting resources of a run of the queue."""
        for node in self._advanced(queue, at):
            node.release(amount, self.capacity)

    def add_average(self, queue: str, average: DecayedAverage) -> None:
        """Add decayed usage under an earlier leader."""
        for node in self.nodes(queue):
            node.average.add(average)

    def _advanced(self, queue: str, at: float) -> tuple[Node, Node]:
        """Return the nodes of a queue with their averages counted up to ``at``."""
        self.changes += 1
        self._at = max(self._at, at)
        nodes = self.nodes(queue)
        for node in nodes:
            node.average.advance(node, self._at, self._config.half_life_s)
        return nodes

    def begin(self, capacity: Resources, waiting: Collection[str], at: float) -> None:
        """Begin a pass: compute the shares that stay constant during it.

        :param waiting: queues with steps to place.
        """
        self.capacity = capacity
        self._at = max(self._at, at)
        for queue in waiting:
            self._queue(queue)
        for node in (*self.queues.values(), *self.organisations.values()):
            node.average.advance(node, self._at, self._config.half_life_s)
            node.average_share = dominant_share(node.average, capacity)
            node.share = dominant_share(node, capacity)
        self._divide(waiting)

    def _divide(self, waiting: Collection[str]) -> None:
        """Set each organisation's and queue's guaranteed share, limit and entitlement."""
        active = [
            node
            for name, node in self.queues.items()
            if name in waiting or node.held != NO_RESOURCES
        ]
        for parent in self.organisations.values():
            parent.guaranteed, parent.limit = parent.spec.guaranteed, parent.spec.limit
            parent.entitled = parent.guaranteed
        for node in self.queues.values():
            parent = node.parent or node
            node.limit = node.spec.limit * (parent.limit or 1.0)
        members: dict[int, list[Node]] = {}
        parents: dict[int, Node] = {}
        for node in active:
            parent = node.parent or node
            parents[id(parent)] = parent
            members.setdefault(id(parent), []).append(node)
        _entitle(list(parents.values()), 1.0)
        for key, parent in parents.items():
            _entitle(members[key], parent.entitled)
        for node in self.queues.values():
            node.guaranteed = node.spec.guaranteed * (node.parent or node).entitled
        nodes = [*self.queues.values(), *self.organisations.values()]
        self.has_limits = any(node.limit for node in nodes)

    def admits(self, queue: str, amount: Resources) -> bool:
        """Return whether resources stay within the limits of the queue and its organisation.

        A node that holds nothing may exceed its limit by one task, so that no queue whose limit is
        smaller than its tasks waits forever.
        """
        return all(
            not node.limit
            or node.held == NO_RESOURCES
            or dominant_share(node.held + amount, self.capacity) <= node.limit + ROUNDING
            for node in self.nodes(queue)
        )

    def forget_unused(self) -> None:
        """Forget queues and organisations that hold nothing and have held nothing for long."""
        if self.capacity == NO_RESOURCES:
            # A new leader has restored usage before the first worker reports.
            return
        for name, node in list(self.queues.items()):
            if self._is_unused(node):
                del self.queues[name]
        used = {id(node.parent) for node in self.queues.values()}
        for name, node in list(self.organisations.items()):
            if id(node) not in used:
                del self.organisations[name]

    def _is_unused(self, node: Node) -> bool:
        return node.held == NO_RESOURCES and dominant_share(node.average, self.capacity) < MIN_USAGE
