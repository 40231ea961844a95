"""Chooses which runs on one worker to stop for one task.  No I/O.

Answers a worker that is full of runs of different size and age, where stopping the first ones that
make enough room would throw away hours of work although others have just saved theirs.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Final

from sapphirelead.model_resources import NO_RESOURCES, Resources
from sapphirelead.sched_fleet import Run

LASTING_LOSS_S: Final = 60.0
"""Loss assumed for a long-running task, whose work cannot be resumed: its callers notice a stop, so
that any batch task that has run for less is stopped before it."""


@dataclass(frozen=True, slots=True)
class Victim:
    """Runs that can only be stopped together: one run, or those of a gang.

    :ivar queue: queue of their job.
    :ivar room: what they occupy on the worker in question.
    :ivar loss_core_s: work thrown away by stopping all of them, in core-seconds.
    """

    runs: tuple[Run, ...]
    queue: str
    room: Resources
    loss_core_s: float


@dataclass(frozen=True, slots=True)
class Choice:
    """Victims that make enough room together; fewer of them would not.

    :ivar loss_core_s: work thrown away, in core-seconds.
    """

    victims: tuple[Victim, ...]
    loss_core_s: float

    @property
    def rank(self) -> tuple[float, int, int]:
        """Order of choices: least loss, then least capacity; lower is better."""
        room = total_room(self.victims)
        return self.loss_core_s, room.cpu_millicores, room.memory_mb


def total_room(victims: Sequence[Victim]) -> Resources:
    """Return what victims occupy together on the worker in question."""
    return sum((victim.room for victim in victims), NO_RESOURCES)


def run_loss_core_s(
    run: Run, expected_s: float, save_every_s: float, restore_s: float, at: float
) -> float:
    """Return the work that is thrown away if a run is stopped, in core-seconds.

    :param expected_s: expected run time of the whole task.
    :param save_every_s: work between two checkpoints.
    :param restore_s: time to restore a checkpoint.
    """
    cores = run.step.cpu_millicores / 1000
    if not run.running_at:
        return 0.0
    if run.step.lasting:
        return LASTING_LOSS_S * cores
    worked_s = at - run.running_at + run.seen_percent / 100 * expected_s
    if run.step.saves:
        return (min(worked_s, save_every_s) + restore_s) * cores
    return worked_s * cores


def choose_victims(need: Resources, victims: Sequence[Victim]) -> Choice | None:
    """Return the victims with the least loss that free at least ``need``, ``None`` if all do not.

    Takes the cheapest useful ones until there is room, and then drops those that are not needed
    any more; one victim that makes enough room alone is taken if it costs less.
    """
    useful = [victim for victim in victims if _helps(victim.room, need)]
    useful.sort(key=lambda victim: (victim.loss_core_s, victim.room.cpu_millicores))
    chosen: list[Victim] = []
    freed = NO_RESOURCES
    for victim in useful:
        if need.fits_in(freed):
            break
        chosen.append(victim)
        freed = freed + victim.room
    if not need.fits_in(freed):
        return None
    best = _choice(_pruned(need, chosen, freed))
    alone = next((victim for victim in useful if need.fits_in(victim.room)), None)
    return best if alone is None else min(best, _choice([alone]), key=lambda item: item.rank)


def _choice(victims: Sequence[Victim]) -> Choice:
    return Choice(tuple(victims), sum(victim.loss_core_s for victim in victims))


def _pruned(need: Resources, chosen: list[Victim], freed: Resources) -> list[Victim]:
    """Drop the victims without which there is still room, those with the greatest loss first."""
    kept = []
    for victim in reversed(chosen):
        if need.fits_in(freed - victim.room):
            freed = freed - victim.room
        else:
            kept.append(victim)
    return kept


def _helps(room: Resources, need: Resources) -> bool:
    """Return whether a room has any of the resources that are lacking."""
    return (
        (need.cpu_millicores > 0 and room.cpu_millicores > 0)
        or (need.memory_mb > 0 and room.memory_mb > 0)
        or (need.accelerators > 0 and room.accelerators > 0)
    )
