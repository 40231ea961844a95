"""Places of refused callers: when each may return, in the order of the refusals.  No I/O.

Answers a load of thousands of refused callers that would otherwise return at the same moment, or
find that newcomers were served meanwhile.  Returns are spread over the time in which capacity
becomes free; what the holders of places will ask for counts as work ahead of newcomers.

Invariant: at most :data:`MAX_PLACES` places are remembered.
"""

import math
from dataclasses import dataclass
from typing import Final, NamedTuple

MAX_PLACES: Final = 4_000
"""Twice the largest burst of callers that is planned for (2,000); about 1 MB."""

MAX_RETRY_S: Final = 60.0
"""Longest ``Retry-After``; a caller that would have to wait longer gets no place."""

EARLY_S: Final = 1.0
"""How much before its time a caller may return; callers' timers have whole seconds."""

GRACE_S: Final = 5.0
"""How long after its time a place is kept, for callers that are slow to return."""


ROUNDING_S: Final = 1e-9
"""A smaller sum of promises is a rounding error."""


@dataclass(frozen=True, slots=True)
class Place:
    """Place of a refused caller.

    :ivar line: line that it is in: service and priority.
    :ivar organisation: organisation of its job's queue.
    :ivar due_at: when it may return.
    :ivar cost_s: seconds for which its job occupies the service.
    """

    line: tuple[str, int]
    organisation: str
    due_at: float
    cost_s: float

    def on_time(self, at: float) -> bool:
        """Whether its holder may return now."""
        return self.due_at - EARLY_S <= at <= self.due_at + GRACE_S


class Assigned(NamedTuple):
    """What a refused caller is told.

    :ivar retry_s: seconds until it may return.
    :ivar has_place: whether it is in the order of the refused callers.
    """

    retry_s: float
    has_place: bool


class Places:
    """The remembered places, by job id."""

    _places: dict[str, Place]
    _heads: dict[tuple[str, int], float]
    _tails: dict[tuple[str, int], float]
    _promised: dict[tuple[str, int, str], float]

    def __init__(self) -> None:
        self._places = {}
        self._heads = {}
        self._tails = {}
        self._promised = {}

    def __len__(self) -> int:
        return len(self._places)

    def get(self, job_id: str) -> Place | None:
        """Return the place of a job, if it is remembered."""
        return self._places.get(job_id)

    def promised_s(self, service: str, priority: int, organisation: str | None = None) -> float:
        """Return for how long holders of places of these or higher priorities occupy a service.

        :param organisation: only those of an organisation; by default all.
        """
        return sum(
            cost_s
            for (name, other, owner), cost_s in self._promised.items()
            if name == service and other <= priority and organisation in (None, owner)
        )

    def due(self, at: float, until: float) -> list[str]:
        """Return the jobs whose holders may return by ``until``."""
        return [
            job_id
            for job_id, place in self._places.items()
            if place.due_at - EARLY_S <= until and at <= place.due_at + GRACE_S
        ]

    def tail(self, line: tuple[str, int], at: float) -> float:
        """Return when the last place of a line is due, at least ``at``."""
        return max(at, self._tails.get(line, -math.inf))

    def assign(
        self,
        job_id: str,
        line: tuple[str, int],
        organisation: str,
        at: float,
        excess_s: float,
        cost_s: float,
    ) -> Assigned:
        """Give a refused caller a place.

        One that returned when it was told is not put behind those who came later.

        :param excess_s: time in which the backlog shrinks to what returning callers shall find.
        """
        held = self._places.get(job_id)
        if held is not None and at < held.due_at - EARLY_S:
            return Assigned(held.due_at - at, True)
        if held is not None and held.on_time(at):
            due_at = max(at + excess_s, self._heads.get(line, -math.inf)) + cost_s
            self._heads[line] = due_at
        else:
            due_at = max(at + excess_s, self.tail(line, at)) + cost_s
            if due_at - at > MAX_RETRY_S:
                # Spread over the later half: the order of callers who come this late is not kept.
                later_s = (due_at - at) % MAX_RETRY_S / 2
                return Assigned(MAX_RETRY_S / 2 + later_s, False)
        self.put(job_id, Place(line, organisation, due_at, cost_s))
        return Assigned(due_at - at, True)

    def put(self, job_id: str, place: Place) -> None:
        """Remember a place, unless there are too many; earlier ones are due sooner."""
        self.drop(job_id)
        self._tails[place.line] = max(place.due_at, self._tails.get(place.line, -math.inf))
        if len(self._places) < MAX_PLACES:
            self._places[job_id] = place
            owner = (*place.line, place.organisation)
            self._promised[owner] = self._promised.get(owner, 0.0) + place.cost_s

    def drop(self, job_id: str) -> None:
        """Forget a place, because its holder has been accepted."""
        place = self._places.pop(job_id, None)
        if place is not None:
            owner = (*place.line, place.organisation)
            left = self._promised[owner] - place.cost_s
            if left > ROUNDING_S:
                self._promised[owner] = left
            else:
                del self._promised[owner]

    def expire(self, at: float) -> None:
        """Forget the places whose holders have not returned in time."""
        late = [job_id for job_id, place in self._places.items() if at > place.due_at + GRACE_S]
        for job_id in late:
            self.drop(job_id)
