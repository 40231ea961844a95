"""What has found no room, kept until a worker changes.

The pattern that this answers: a burst of large jobs, dozens of which wait with tasks of a few
images, beside a hundred runs that crawl and would be moved if there were room elsewhere.  Trying
each of them on each worker takes a leader longer than the time between two passes, and most workers
are as they were in the pass before.

Invariant: a task of which :meth:`NoRoom.places` leaves a worker out has found no room there, or a
smaller one of its kind has found none for itself or any larger one; since then nothing has changed
there but by tasks placed in the same pass.
"""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from itertools import takewhile
from typing import Final, NamedTuple

from msgspec.structs import replace

from sapphirelead.sched_fleet import Instance
from sapphirelead.sched_place import Need, can_take_work, may_have_room, takes_work
from sapphirelead.sched_press_guard import GuardedPress
from sapphirelead.sched_spec import StepSpec

MOST_KINDS: Final = 512
"""Kinds of tasks kept.  The one that was noted longest ago gives way to a new one."""

MOST_SIZES: Final = 16
"""Sizes kept of a kind, none of which contains another.  The oldest gives way to a new one."""


class Kind(NamedTuple):
    """Tasks that differ in size only.

    :ivar image: of filling tasks; others of all images find the same room.
    :ivar starving: the agents pace it, so it needs less room.
    """

    service: str
    label: str
    accelerators: int
    fills: bool
    image: str
    starving: bool

    @classmethod
    def of(cls, step: StepSpec, service: str, starving: bool = False) -> "Kind":
        """Return the kind of a step's tasks."""
        image = step.image if step.fills else ""
        return cls(service, step.label, step.accelerators, step.fills, image, starving)


class _State(NamedTuple):
    """What decides whether a worker may have more room than before."""

    changes: int
    takes: bool
    takes_starving: bool


class _Size(NamedTuple):
    """Size of a task that has found no room.

    :ivar larger: none that asks for more processors finds room either; else only tasks that ask
        for as many are known to find none.
    """

    cpu_millicores: int
    memory_mb: int
    larger: bool

    def covers(self, other: "_Size") -> bool:
        """Return whether ``other`` finds no room where this one has found none."""
        if other.memory_mb < self.memory_mb:
            return False
        if self.larger:
            return other.cpu_millicores >= self.cpu_millicores
        return not other.larger and other.cpu_millicores == self.cpu_millicores


class _Failed(NamedTuple):
    """Where a size has found no room.

    :ivar version: of the pass; workers that have changed since may have room.
    :ivar left: agents that may have had room then, too.
    """

    version: int
    left: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class _Seen:
    """A worker at its newest change.

    :ivar number: place in the order of the fleet.
    :ivar version: of the pass that noticed the change.
    """

    instance: Instance
    number: int
    state: _State
    version: int


class NoRoom:
    """What has found no room on any worker, and which workers have changed since."""

    _version: int
    _seen: dict[str, _Seen]
    _newest: list[_Seen]
    _failed: dict[Kind, dict[_Size, _Failed]]
    _press: GuardedPress
    _at: float

    def __init__(self, press: GuardedPress) -> None:
        self._press = press
        self._at = 0.0
        self._version = 0
        self._seen = {}
        self._newest = []
        self._failed = {}

    def begin(self, instances: Iterable[Instance], at: float) -> None:
        """Begin a pass: notice which workers have changed since the one before."""
        self._version += 1
        self._at = at
        before, self._seen = self._seen, {}
        for number, instance in enumerate(instances):
            state = _State(
                instance.changes,
                takes_work(instance, starving=False, at=at),
                takes_work(instance, starving=True, at=at),
            )
            seen = before.get(instance.agent)
            same = seen is not None and seen.state == state
            version = seen.version if seen is not None and same else self._version
            self._seen[instance.agent] = _Seen(instance, number, state, version)
        self._newest = sorted(self._seen.values(), key=lambda seen: -seen.version)

    def places(self, kind: Kind, step: StepSpec) -> list[Instance]:
        """Return the workers that may have room for a task of the step, in the fleet's order."""
        changed = sorted(self._open_to(kind, _size(step)), key=lambda seen: seen.number)
        return [seen.instance for seen in changed]

    def may_have_room(self, kind: Kind, step: StepSpec) -> frozenset[str]:
        """Return the agents that may have room for a task of the step, or for a larger one."""
        size = _size(step, larger=True)
        need = Need(step, kind.service, starving=kind.starving, press=self._press)
        left = frozenset(
            seen.instance.agent
            for seen in self._open_to(kind, size)
            if can_take_work(seen.instance, need, self._at) and may_have_room(seen.instance, need)
        )
        failed = _Failed(self._version, left)
        if failed not in self._covering(kind, size):
            self._keep(kind, size, failed)
        return left

    def note(self, kind: Kind, step: StepSpec) -> None:
        """Take note that a task of the step fits nowhere."""
        if step.per_worker:
            # Others of its step may have kept it out.
            return
        if not step.fills or kind.starving:
            self._keep(kind, _size(step, larger=True), _Failed(self._version))
        elif self._judged(kind, step) or self.may_have_room(kind, step):
            self._keep(kind, _size(step), _Failed(self._version))

    def _judged(self, kind: Kind, step: StepSpec) -> bool:
        """Return whether the workers have been judged in this pass for all larger tasks."""
        covering = self._covering(kind, _size(step, larger=True))
        return any(failed.version == self._version for failed in covering)

    def _keep(self, kind: Kind, size: _Size, failed: _Failed) -> None:
        sizes = self._failed.pop(kind, {})
        for known in [known for known in sizes if size.covers(known)]:
            if known.larger or not failed.left:
                del sizes[known]
        sizes[size] = failed
        self._failed[kind] = sizes
        # The order of the keys tells what was noted longest ago.
        if len(sizes) > MOST_SIZES:
            del sizes[next(iter(sizes))]
        if len(self._failed) > MOST_KINDS:
            del self._failed[next(iter(self._failed))]

    def _open_to(self, kind: Kind, size: _Size) -> Iterator[_Seen]:
        """Yield the workers that are not known to have no room for tasks of a size."""
        covering = self._covering(kind, size)
        everywhere = max((failed.version for failed in covering if not failed.left), default=0)
        partly = max(
            (failed for failed in covering if failed.left),
            key=lambda failed: failed.version,
            default=_Failed(0),
        )
        for seen in takewhile(lambda seen: seen.version > everywhere, self._newest):
            if seen.version > partly.version or seen.instance.agent in partly.left:
                yield seen

    def _covering(self, kind: Kind, size: _Size) -> list[_Failed]:
        """Return where sizes were noted whose lack of room this one shares."""
        known = self._failed.get(kind, {})
        return [failed for other, failed in known.items() if other.covers(size)]


def _size(step: StepSpec, larger: bool = False) -> _Size:
    return _Size(step.cpu_millicores, step.memory_mb, larger)


class Openings:
    """The workers that may have room for some waiting task of each kind, in one pass.

    Where several steps of a kind wait, each worker that has changed is judged once for all of them;
    where none as large as the smallest of their tasks may find room, none of them looks at it.
    """

    _no_room: NoRoom
    _smallest: dict[Kind, StepSpec]
    _found: dict[Kind, frozenset[str]]

    def __init__(self, no_room: NoRoom, waiting: Iterable[tuple[Kind, StepSpec]]) -> None:
        """Take note of what waits in the pass that ``no_room`` has begun."""
        self._no_room = no_room
        self._smallest = {}
        self._found = {}
        first: dict[Kind, StepSpec] = {}
        for kind, step in waiting:
            known = self._smallest.get(kind) or first.get(kind)
            if known is None:
                first[kind] = step
            else:
                self._smallest[kind] = _smaller(known, step)

    def places(self, kind: Kind, step: StepSpec) -> list[Instance]:
        """Return the workers that may have room for a task of the step, in the fleet's order."""
        places = self._no_room.places(kind, step)
        if not places or kind not in self._smallest:
            return places
        found = self._found.get(kind)
        if found is None:
            found = self._no_room.may_have_room(kind, self._smallest[kind])
            self._found[kind] = found
        return [place for place in places if place.agent in found]


def _smaller(one: StepSpec, other: StepSpec) -> StepSpec:
    """Return a step whose tasks find room wherever those of either do."""
    return replace(
        one,
        cpu_millicores=min(one.cpu_millicores, other.cpu_millicores),
        memory_mb=min(one.memory_mb, other.memory_mb),
        per_worker=0,
    )
