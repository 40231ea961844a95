"""Room on one worker, with what stops would free, during one review.  No I/O.

Answers several urgent tasks that wait at the same time: each counts on the room that the stops for
the others will free, so that no more is stopped than all of them need together.
"""

from collections.abc import Collection
from dataclasses import dataclass

from sapphirelead.model_resources import NO_RESOURCES, Resources
from sapphirelead.preemption.victims import Choice, Victim, choose_victims, total_room


@dataclass(slots=True)
class WorkerRoom:
    """What is free on a worker, what will be, and which runs could be stopped.

    :ivar free: unoccupied and not held for anyone; negative where capacity has shrunk.
    :ivar coming: will be freed by runs that are being stopped or end as soon by themselves, less
        what is promised of it.
    :ivar victims: runs that may be stopped for some queue.
    """

    free: Resources
    coming: Resources
    victims: list[Victim]

    def has_room(self, room: Resources) -> bool:
        """Return whether a task fits without waiting for the end of a run."""
        return room.fits_in(self.free)

    def choose(self, room: Resources, queues: Collection[str]) -> Choice | None:
        """Return what to stop for a task; an empty choice if enough is being stopped already.

        :param room: what the task needs.
        :param queues: queues whose runs may be stopped for it.
        """
        need = (room - self.free - self.coming).elementwise_max(NO_RESOURCES)
        if need == NO_RESOURCES:
            return Choice((), 0.0)
        return choose_victims(need, [item for item in self.victims if item.queue in queues])

    def take(self, room: Resources, choice: Choice) -> None:
        """Count the room as promised, and the victims as being stopped."""
        self.coming = self.coming + total_room(choice.victims) - room
        self.victims = [item for item in self.victims if item not in choice.victims]
