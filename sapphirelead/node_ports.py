"""Ports of the fleet's processes: protocols that a platform adapter implements.

Adapters return errors as the values below and never raise them.
"""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Protocol

from result import Result

from sapphirelead.errors import Failure
from sapphirelead.model_worker_life import WorkerLife
from sapphirelead.sched_spec import AdvicePolicy


@dataclass(frozen=True, slots=True)
class WorkerRun:
    """A run as listed by the worker.

    :ivar percent: progress; 100 for a long-running task that is working.
    :ivar measurement: tail latency in milliseconds of a latency-critical task, else CPU usage in
        millicores, over about the last half second; -1 if the worker reports none.
    """

    task: str
    attempt: int
    saved: str
    percent: int
    measurement: int


@dataclass(frozen=True, slots=True)
class WorkerEnd:
    """An ended run as listed by the worker, until it is acknowledged.

    :ivar number: sequence number of the ended run in one lifetime of the worker, from 1.
    """

    number: int
    task: str
    attempt: int
    kind: str
    saved: str


@dataclass(frozen=True, slots=True)
class WorkerView:
    """A worker's response: its clock, its runs and its ended runs."""

    clock_ms: int
    running: list[WorkerRun]
    ended: list[WorkerEnd]

    @property
    def names(self) -> set[tuple[str, int]]:
        """Task and attempt of each run."""
        names = {(run.task, run.attempt) for run in self.running}
        return names | {(end.task, end.attempt) for end in self.ended}


class StartAnswer(StrEnum):
    """A worker's response to a start.

    ``STARTED`` is also returned if the run exists already.  ``OUTDATED`` means that this run or a
    later one was stopped or has ended there, ``TOO_LATE`` that the deadline of the start had
    passed, ``FENCED`` that the worker has seen a higher fencing token, ``UNHEALTHY`` that nothing
    was done.
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
    """Why a call to a worker failed.

    ``OTHER_LIFE``: the worker has restarted, so the addressed lifetime has ended.  ``REFUSED``: no
    connection was made; the process may run on.  ``FENCED``: the worker has seen a higher fencing
    token.  ``NO_ANSWER``: the call may have been carried out, or may still be.
    """

    OTHER_LIFE = "other_life"
    REFUSED = "refused"
    FENCED = "fenced"
    NO_ANSWER = "no_answer"


@dataclass(frozen=True, slots=True)
class StartCall:
    """A request to a worker to start a run.

    :ivar deadline_ms: time on the worker's clock after which the worker refuses this call.
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
    """A worker's response to a start, with its clock."""

    answer: StartAnswer
    clock_ms: int


@dataclass(frozen=True, slots=True)
class LifeView:
    """A worker's list of runs, and which life of the worker has answered."""

    life: WorkerLife
    view: WorkerView


ListLife = Callable[[WorkerLife, str, int], Awaitable[Result[LifeView, CallFailure]]]
"""Lists the runs of whichever life of a worker is at an address.

Takes one life of that worker, the address and a fencing token.  ``OTHER_LIFE`` means that another
worker is at the address, which carries out no call for the lives of this one."""


class RunWorker(Protocol):
    """One lifetime of an agent's worker.

    Each call addresses one lifetime of the worker.  The lease is a time on the worker's clock, is
    never shortened, and ends all runs of the worker when it expires.
    """

    async def hold(
        self, fencing_token: int, stored_through: int, lease_ms: int, wait_ms: int
    ) -> Result[WorkerView, CallFailure]:
        """List runs and ended runs; wait up to ``wait_ms`` for another run to end.

        :param stored_through: acknowledges ended runs up to this number, which may be forgotten.
        :param lease_ms: new lease expiry on the worker's clock; 0 does not extend it.
        """

    async def start(self, call: StartCall) -> Result[StartResult, CallFailure]:
        """Start a run."""

    async def stop(self, task: str, attempt: int, fencing_token: int) -> Result[int, CallFailure]:
        """Stop a run or prevent its start; return the worker's clock."""

    async def pace(
        self, task: str, attempt: int, percent: int, fencing_token: int
    ) -> Result[int, CallFailure]:
        """Set the pace of a run in percent of full speed; return the worker's clock."""

    async def close(self) -> None:
        """Close the connections."""


@dataclass(frozen=True, slots=True)
class AdviceAnswer:
    """The workers that may run a step.

    :ivar tickets: ticket by life of a worker.
    """

    tickets: dict[WorkerLife, str] = field(default_factory=dict)


class AdviceService(Protocol):
    """Service that decides which workers may run a step."""

    async def ask(
        self, step: str, workers: list[WorkerLife], policy: AdvicePolicy
    ) -> Result[AdviceAnswer, Failure]:
        """Return which of ``workers`` may run the step named ``step``."""
