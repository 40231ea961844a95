"""Order in which one planning pass offers room to the queues.

Load pattern: one queue has thousands of ready steps or a step of thousands of tasks, others a few.
The order within a priority is renewed after each step, and after each quantum of a wide step, so
that one burst does not take all the room of a pass.
"""

from collections import deque
from collections.abc import Callable, Hashable, Iterator, Sequence
from heapq import heapify, heappop, heappush
from itertools import groupby
from typing import Final, NamedTuple, Protocol, TypeVar

from sapphirelead.fairness.tree import ShareTree, Standing

QUANTUM_SHARE: Final = 1 / 64
"""Share of the capacity that a step takes at least before another queue's turn.  Bounds both the
excess of a queue over its share and the number of times that a pass scores the workers anew."""


class SharedStep(Protocol):
    """A step to be placed, as far as sharing depends on it."""

    @property
    def queue(self) -> str:
        """Queue of its job."""

    @property
    def service(self) -> str:
        """Service whose workers run it."""

    @property
    def is_done(self) -> bool:
        """Whether all its tasks have been placed."""


S = TypeVar("S", bound=SharedStep)


class Turn:
    """The turn of a queue: ends once another queue of its priority should go first.

    :ivar interrupted: whether it has ended for that reason.
    """

    interrupted: bool
    _tree: ShareTree
    _queue: str
    _rival: Standing | None
    _until_share: float

    def __init__(self, tree: ShareTree, queue: str, rival: Standing | None) -> None:
        """Begin a turn.

        :param rival: place of the next queue; ``None`` if no other queue waits.
        """
        self.interrupted = False
        self._tree = tree
        self._queue = queue
        self._rival = rival
        self._until_share = tree.held_share(tree.queues[queue]) + QUANTUM_SHARE

    def ends(self) -> bool:
        """Return whether the next queue should go first, after a task has been placed."""
        if self._rival is None:
            return False
        if self._tree.held_share(self._tree.queues[self._queue]) < self._until_share:
            return False
        self.interrupted = self._tree.standing(self._queue) > self._rival
        return self.interrupted


class _Place(NamedTuple):
    """Place of a queue; equal ones are ordered by the rank of their next steps."""

    standing: Standing
    number: int
    service: str
    queue: str


class ShareOrder:
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

    def ordered(self, steps: Sequence[S], group_of: Callable[[S], Hashable]) -> Iterator[S]:
        """Yield steps in the order of sharing within each group; an interrupted one again.

        :param steps: in rank order, groups one after another; a queue's steps keep their order.
        """
        for _, group in groupby(steps, group_of):
            yield from self._ordered_group(list(group))
        self.turn = None

    def _ordered_group(self, steps: list[S]) -> Iterator[S]:
        waiting: dict[tuple[str, str], deque[tuple[int, S]]] = {}
        for number, step in enumerate(steps):
            waiting.setdefault((step.service, step.queue), deque()).append((number, step))
        heap = [self._place(key, queued[0][0]) for key, queued in waiting.items()]
        heapify(heap)
        while heap:
            stored = heappop(heap)
            key = stored.service, stored.queue
            place = self._place(key, stored.number)
            # Usage only grows during a pass, so that a stored place is at most too early.
            if heap and place > heap[0]:
                heappush(heap, place)
                continue
            rival = heap[0].standing if heap else None
            self.turn = turn = Turn(self._trees[place.service], place.queue, rival)
            step = waiting[key][0][1]
            yield step
            if not turn.interrupted or step.is_done:
                waiting[key].popleft()
            if waiting[key]:
                heappush(heap, self._place(key, waiting[key][0][0]))

    def _place(self, key: tuple[str, str], number: int) -> _Place:
        service, queue = key
        return _Place(self._trees[service].standing(queue), number, service, queue)
