"""The tasks of a job: their names, claims and progress.

Performs no I/O and reads no clock; see :mod:`sapphirelead.sched_job` for what always holds.
"""

import math
from dataclasses import dataclass, field
from typing import Final, NamedTuple

import msgspec

from sapphirelead.blame.counts import CrashRecord
from sapphirelead.model_worker_life import WorkerLife
from sapphirelead.sched_spec import StepSpec

MAX_NUMBER_DIGITS: Final = 18
"""Limit for numbers in task names, so that they fit into 64 bits."""

MAX_AVOIDED: Final = 8
"""Workers that a task avoids; the oldest are forgotten."""


StepKey = tuple[str, int, int]
"""Identifies a step of an occurrence: job, occurrence, number."""


def _is_number(text: str) -> bool:
    # str.isdigit() accepts non-ASCII digits that int() rejects.
    return text.isascii() and text.isdigit() and len(text) <= MAX_NUMBER_DIGITS


class TaskRef(NamedTuple):
    """Identifies a task of a job."""

    job_id: str
    occurrence: int
    step: int
    number: int

    def text(self) -> str:
        """Return the task's name as sent to workers."""
        return f"{self.job_id}.{self.occurrence}.{self.step}.{self.number}"

    @classmethod
    def parse(cls, text: str) -> "TaskRef | None":
        """Parse a task name; return ``None`` if it is malformed.

        >>> TaskRef.parse("ab.0.1.17")
        TaskRef(job_id='ab', occurrence=0, step=1, number=17)
        >>> TaskRef.parse("ab.x") is None
        True
        """
        parts = text.rsplit(".", 3)
        if len(parts) != 4 or not all(_is_number(part) for part in parts[1:]):
            return None
        return cls(parts[0], int(parts[1]), int(parts[2]), int(parts[3]))


class Claim(msgspec.Struct, array_like=True):
    """Assignment of an attempt to a worker.

    :ivar worker: life of the worker.
    """

    attempt: int
    agent: str
    worker: WorkerLife


class AvoidedWorker(NamedTuple):
    """A worker that a task avoids while there are others."""

    agent: str
    worker: WorkerLife


class Task(msgspec.Struct, array_like=True, omit_defaults=True):
    """Progress of one task.

    :ivar attempts: highest attempt number assigned.
    :ivar failures: number of failed runs, whatever their cause.
    :ivar saved: latest checkpoint; empty for none.
    :ivar claims: open claims.
    :ivar crashes: consecutive crashes of workers under it; see :mod:`sapphirelead.blame.counts`.
    :ivar crashed_attempt: attempt of a gang of which the last crash was counted.
    :ivar crash_records: those crashes; only those of the task's own runs if it is in a gang, and
        none of before this field was stored.
    :ivar excused: crashes that no longer count, because another task has caused them.
    :ivar avoid: the latest workers on which it failed, did not start or was slow, or from which it
        was moved away.
    :ivar moves: number of times that it was moved or duplicated because it was slow.
    :ivar spared: crashes that do not count, because other runs there were newer.
    """

    done: bool = False
    attempts: int = 0
    failures: int = 0
    saved: str = ""
    claims: list[Claim] = []
    crashes: int = 0
    crashed_attempt: int = 0
    crash_records: list[CrashRecord] = []
    excused: int = 0
    avoid: list[AvoidedWorker] = []
    moves: int = 0
    spared: int = 0

    def add_avoided(self, agent: str, worker: WorkerLife) -> None:
        """Prefer other workers for the next runs."""
        item = AvoidedWorker(agent, worker)
        self.avoid = [*(known for known in self.avoid if known != item), item][-MAX_AVOIDED:]

    def reset_crashes(self) -> None:
        """Forget the crashes of a task that has ended well or run for long."""
        self.crashes = self.excused = self.spared = 0
        self.crash_records = []

    def claim_of(self, attempt: int) -> Claim | None:
        """Return the open claim of ``attempt``, or ``None``."""
        for claim in self.claims:
            if claim.attempt == attempt:
                return claim
        return None


@dataclass(slots=True)
class Occurrence:
    """One execution of the steps of a job.

    :ivar tasks: tasks by step.
    :ivar unfinished: number of unfinished tasks by step.
    :ivar ran_at: when this leader last learned of the end of a run.
    """

    number: int
    tasks: list[list[Task]]
    unfinished: list[int]
    ran_at: float = field(default=-math.inf, compare=False)

    @classmethod
    def fresh(cls, number: int, steps: tuple[StepSpec, ...]) -> "Occurrence":
        """Create an occurrence in which nothing has started."""
        tasks = [[Task() for _ in range(step.tasks)] for step in steps]
        return cls(number, tasks, [step.tasks for step in steps])

    @property
    def done(self) -> bool:
        """Whether every task is done."""
        return not any(self.unfinished)

    @property
    def has_claims(self) -> bool:
        """Whether any task has an open claim."""
        return any(task.claims for tasks in self.tasks for task in tasks)

    def step_ready(self, step: StepSpec) -> bool:
        """Return whether all steps that ``step`` depends on are done."""
        return all(self.unfinished[earlier] == 0 for earlier in step.after)
