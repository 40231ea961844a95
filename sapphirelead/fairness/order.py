"""Order in which one planning pass offers room to the queues.

Load pattern: one queue has thousands of ready steps or a step of thousands of tasks, others a few.
The order within a priority is renewed after each step, and after each quantum of a wide step, so
that one burst does not take all the room of a pass.
"""

from collections import deque
from collections.abc import Iterator, Mapping, Sequence
from heapq import heapify, heappop, heappush
from itertools import groupby
from typing import Final, Generic, NamedTuple, Protocol, TypeVar

from sapphirelead.fairness.tree import Node, ShareTree, Standing

QUANTUM_SHARE: Final = 1 / 64
"""Share of the capacity that a step takes at least before another queue's turn.  Bounds both the
excess of a queue over its share and the number of times that a pass scores the workers anew."""


class SharedStep(Protocol):
    """A step to be placed, as far as sharing depends on it."""

    @property
    def is_done(self) -> bool:
        """Whether all its tasks have been placed."""


S = TypeVar("S", bound=SharedStep)


class ShareKey(NamedTuple):
    """What steps have in common that share one place in the order.

    :ivar turn: place in the order of urgency, which goes before priority.
    """

    turn: int
    priority: int
    service: str
    queue: str


class Turn:
    """The turn of a queue: ends once another queue of its priority should go first.

    :ivar interrupted: whether it has ended for that reason.
    """

    interrupted: bool
    _node: Node
    _rival: Standing | None
    _until_share: float

    def __init__(self, node: Node, rival: Standing | None) -> None:
        """Begin a turn.

        :param rival: place of the next queue; ``None`` if no other queue waits.
        """
        self.interrupted = False
        self._node = node
        self._rival = rival
        self._until_share = node.share + QUANTUM_SHARE

    def ends(self) -> bool:
        """Return whether the next queue should go first, after a task has been placed."""
        if self._rival is None:
            return False
        if self._node.share < self._until_share:
            return False
        self.interrupted = self._node.standing > self._rival
        return self.interrupted


class _Place(NamedTuple):
    """Place of a queue; equal ones are ordered by the rank of their first steps."""

    standing: Standing
    number: int
    key: ShareKey
    node: Node
    changes: int
    """Changes of the organisation's usage when it was computed."""

    @classmethod
    def of(cls, number: int, key: ShareKey, node: Node) -> "_Place":
        """Return the present place of a queue."""
        return cls(node.standing, number, key, node, (node.parent or node).changes)

    @property
    def is_outdated(self) -> bool:
        """Whether the organisation's usage has changed since."""
        return (self.node.parent or self.node).changes != self.changes


class ShareOrder(Generic[S]):
    """Order of the steps of one pass.

    :ivar turn: turn of the step that was yielded last.
    """

    turn: Turn | None
    _trees: dict[str, ShareTree]

    def __init__(self, trees: dict[str, ShareTree]) -> None:
        """Begin a pass.

        :param trees: usage by service, which changes as tasks are placed.
        """
        self.turn = None
        self._trees = trees

    def ordered(self, steps: Mapping[ShareKey, Sequence[S]]) -> Iterator[S]:
        """Yield steps by turn and priority, and by share within both; an interrupted one again.

        :param steps: steps of each queue in rank order; keys by turn and priority, then by rank.
        """
        for _, keys in groupby(steps, lambda key: (key.turn, key.priority)):
            yield from self._ordered_group({key: steps[key] for key in keys})
        self.turn = None

    def _ordered_group(self, steps: Mapping[ShareKey, Sequence[S]]) -> Iterator[S]:
        waiting = {key: deque(queued) for key, queued in steps.items()}
        heap = [
            _Place.of(number, key, self._trees[key.service].nodes(key.queue)[0])
            for number, key in enumerate(steps)
        ]
        heapify(heap)
        while heap:
            place = heappop(heap)
            if place.is_outdated:
                place = _Place.of(place.number, place.key, place.node)
            # Usage only grows during a pass, so that a stored place is at most too early.
            if heap and place > heap[0]:
                heappush(heap, place)
                continue
            queued = waiting[place.key]
            yield from self._turn_of(place, queued, heap[0].standing if heap else None)
            if queued:
                heappush(heap, _Place.of(place.number, place.key, place.node))

    def _turn_of(self, place: _Place, queued: deque[S], rival: Standing | None) -> Iterator[S]:
        """Yield steps of a queue until one has placed a task, which changes the queue's place."""
        tree = self._trees[place.key.service]
        self.turn = turn = Turn(place.node, rival)
        before = tree.changes
        while queued and tree.changes == before:
            step = queued[0]
            yield step
            if not turn.interrupted or step.is_done:
                queued.popleft()
