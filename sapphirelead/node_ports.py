"""What the fleet's processes ask of their surroundings: one ``Protocol`` for each edge.

An adapter of a platform provides these and translates its errors into the values below; it never
raises for them.
"""

from dataclasses import dataclass, field
from enum import StrEnum
from typing import Protocol

from result import Result

from sapphirelead.errors import Failure
from sapphirelead.sched_spec import AdvicePolicy


@dataclass(frozen=True, slots=True)
class WorkerRun:
    """A run as the worker lists it.

    :ivar percent: progress; 100 for a lasting task that is at work.
    :ivar figure: tail latency in milliseconds of a task that serves, else processors in use in
        thousandths, over about the last half second; -1 where the worker gives none.
    """

    task: str
    attempt: int
    saved: str
    percent: int
    figure: int


@dataclass(frozen=True, slots=True)
class WorkerEnd:
    """An end as the worker lists it, until it is told that the end has been noted.

    :ivar number: counts the ends of one life of the worker, from 1.
    """

    number: int
    task: str
    attempt: int
    kind: str
    saved: str


@dataclass(frozen=True, slots=True)
class WorkerView:
    """A worker's answer: its clock, and what runs and has ended there."""

    clock_ms: int
    running: list[WorkerRun]
    ended: list[WorkerEnd]


class StartAnswer(StrEnum):
    """How a worker answered a start.

    ``STARTED`` also where that run is there already.  ``OUTDATED`` means that this run or a later
    one was stopped or has ended there, ``TOO_LATE`` that the start's own deadline had passed,
    ``FENCED`` that a higher token has been seen, ``UNHEALTHY`` that nothing was done.
    """

    STARTED = "started"
    FENCED = "fenced"
    OUTDATED = "outdated"
    TOO_LATE = "too_late"
    NO_ROOM = "no_room"
    NO_TICKET = "no_ticket"
    INVALID = "invalid"
    UNHEALTHY = "unhealthy"


class CallFailure(StrEnum):
    """Why a call to a worker gave no answer of its own.

    ``OTHER_LIFE``: another life of the worker answered, so the one meant is over.  ``REFUSED``: no
    process listens there.  ``FENCED``: a higher token has
    been seen.  ``NO_ANSWER``: the call may have been carried out, or may yet be.
    """

    OTHER_LIFE = "other_life"
    REFUSED = "refused"
    FENCED = "fenced"
    NO_ANSWER = "no_answer"


@dataclass(frozen=True, slots=True)
class StartCall:
    """A start, as it goes to the worker.

    :ivar deadline_ms: worker-clock time after which the worker refuses this call.
    """

    task: str
    attempt: int
    payload: str
    saved: str
    ticket: str
    deadline_ms: int
    fencing_token: int


@dataclass(frozen=True, slots=True)
class StartResult:
    """A worker's answer to a start, with its clock."""

    answer: StartAnswer
    clock_ms: int


class RunWorker(Protocol):
    """One life of the worker beside an agent.

    Every call names the life that is meant.  A lease is a time on the worker's own clock; it never
    gets shorter, and everything the worker runs is ended when it passes.
    """

    async def hold(
        self, fencing_token: int, noted: int, lease_ms: int, wait_ms: int
    ) -> Result[WorkerView, CallFailure]:
        """List runs and ends; wait up to ``wait_ms`` for a new end.

        :param noted: ends up to this number may be forgotten.
        :param lease_ms: extends the lease to this worker-clock time; 0 leaves it.
        """

    async def start(self, call: StartCall) -> Result[StartResult, CallFailure]:
        """Start a run."""

    async def stop(self, task: str, attempt: int, fencing_token: int) -> Result[int, CallFailure]:
        """Stop a run, or see to it that it never starts; return the worker's clock."""

    async def pace(
        self, task: str, attempt: int, percent: int, fencing_token: int
    ) -> Result[int, CallFailure]:
        """Let a run work at a share of its speed; return the worker's clock."""

    async def close(self) -> None:
        """Let go of the connections."""


@dataclass(frozen=True, slots=True)
class AdviceAnswer:
    """The workers that may run a step, with their tickets."""

    tickets: dict[str, str] = field(default_factory=dict)


class AdviceService(Protocol):
    """Knows which workers may run a step."""

    async def ask(
        self, step: str, workers: list[str], policy: AdvicePolicy
    ) -> Result[AdviceAnswer, Failure]:
        """Ask about ``workers`` for the step named ``step``."""
