"""What an agent knows of the runs on one life of its worker.

The book turns what the worker lists and what the leader orders into the state of each run.  It
opens nothing.  Ends found in the worker's list are kept until the leader has stored them; only
then may the worker forget them, so that an end is never lost, whoever restarts in between.
"""

from dataclasses import dataclass
from typing import Final

from sapphirelead.model_resources import NO_RESOURCES, Resources
from sapphirelead.node_messages import (
    RunEnded,
    RunPhase,
    RunStatus,
    StartOrder,
    WorkerInfo,
)
from sapphirelead.node_ports import WorkerView
from sapphirelead.policy_pressure import USED_SHARE
from sapphirelead.sched_job import EndKind

RunName = tuple[str, int]

ENDS_IN_VIEW: Final = 500
"""Ends that a worker lists at most; a full list proves nothing about a run that is not on it."""

ENDS_IN_REPORT: Final = 200
"""Ends in one report; the others follow when these are stored."""


UNKNOWN_PACE: Final = -1
"""Of a run that an earlier process of the agent has paced, or whose last change of pace got no
answer: the next look sets it."""


@dataclass(slots=True, eq=False)
class RunnerRun:
    """A run that is not over.

    :ivar order: ``None`` for a run that was there before this process, until the leader sends it.
    :ivar sealing: a stop is on its way or about to be repeated.
    :ivar sealed_at: when the worker confirmed a stop; after that the run cannot begin any more.
    :ivar stop_at: when its stop was asked for; 0 while nobody has.
    :ivar slow_noted: a log line has said that the stop takes long.
    :ivar maybe_sent: a start got no answer and may yet be carried out.
    :ivar told: phase in the newest report that listed it.
    """

    task: str
    attempt: int
    phase: RunPhase
    order: StartOrder | None = None
    percent: int = 0
    figure: int = -1
    saved: str = ""
    paced: int = 100
    stop_at: float = 0.0
    sealing: bool = False
    sealed_at: float = 0.0
    slow_noted: bool = False
    maybe_sent: bool = False
    told: RunPhase | None = None
    refusal: str = ""

    @property
    def name(self) -> RunName:
        """Identity of the run."""
        return self.task, self.attempt


class RunnerBook:
    """The runs and ends of one life of the worker.

    :ivar noted: the worker may forget ends up to this number.
    """

    info: WorkerInfo
    runs: dict[RunName, RunnerRun]
    ends: dict[RunName, RunEnded]
    noted: int
    _stored: set[int]
    _numbered: bool
    _told: set[RunName]

    def __init__(self, info: WorkerInfo) -> None:
        self.info = info
        self.runs = {}
        self.ends = {}
        self.noted = 0
        self._stored = set()
        self._numbered = False
        self._told = set()

    @property
    def used(self) -> Resources:
        """Room taken by the runs whose size is known."""
        used = NO_RESOURCES
        for run in self.runs.values():
            if run.order is not None:
                used = used + run.order.room
        return used

    def filling_used(self) -> dict[str, float]:
        """Return by filling image the share of the worker's processors that it used."""
        capacity = max(1, self.info.capacity.cpu_millicores)
        used: dict[str, float] = {}
        for run in self.runs.values():
            if run.order is not None and run.order.fills and run.phase is RunPhase.RUNNING:
                share = max(run.figure, 0) / capacity
                used[run.order.image] = used.get(run.order.image, 0.0) + share
        return used

    def filling_wanted(self) -> dict[str, float]:
        """Return by filling image the share that it would use at full pace."""
        capacity = max(1, self.info.capacity.cpu_millicores)
        wanted: dict[str, float] = {}
        for run in self.runs.values():
            if run.order is not None and run.order.fills and run.phase is not RunPhase.STOPPING:
                share = USED_SHARE * run.order.cpu_millicores / capacity
                wanted[run.order.image] = wanted.get(run.order.image, 0.0) + share
        return wanted

    def accept(self, order: StartOrder) -> RunnerRun | None:
        """Take a start order; ``None`` where it is known already or refused."""
        name = (order.task, order.attempt)
        if name in self.runs or name in self.ends:
            known = self.runs.get(name)
            if known is not None and known.order is None:
                known.order = order
            return None
        if not order.room.fits_in(self.info.capacity - self.used):
            self.refuse(name, "no_room")
            return None
        if self.info.draining:
            self.refuse(name, "draining")
            return None
        run = RunnerRun(order.task, order.attempt, RunPhase.STARTING, order)
        self.runs[name] = run
        return run

    def refuse(self, name: RunName, reason: str) -> None:
        """Note that a run has not started and never will."""
        self.runs.pop(name, None)
        self.ends[name] = RunEnded(0, *name, EndKind.NOT_STARTED, "", reason)

    def started(self, run: RunnerRun) -> None:
        """Note that the worker has confirmed a start."""
        if run.phase is RunPhase.STARTING:
            run.phase = RunPhase.RUNNING

    def saw(self, view: WorkerView, sent_at: float) -> list[RunEnded]:
        """Take the worker's list; return the ends that are new.

        :param sent_at: when the call that brought the list was sent.
        """
        listed = set()
        for item in view.running:
            name = (item.task, item.attempt)
            listed.add(name)
            run = self.runs.get(name)
            if run is None:
                if name in self.ends and self.ends[name].number:
                    continue
                run = self.runs[name] = self._found(name)
            self.started(run)
            run.percent = item.percent
            run.figure = item.figure
            run.saved = item.saved
        new = self._take_ends(view)
        if len(view.ended) < ENDS_IN_VIEW:
            new.extend(self._never_began(listed, sent_at))
        return new

    def _found(self, name: RunName) -> RunnerRun:
        """Return a listed run that was not known to run.

        One that counted as never started has to stop: the leader may have claimed its task anew.
        Its end is what the worker says then.
        """
        run = RunnerRun(*name, RunPhase.RUNNING, paced=UNKNOWN_PACE)
        if self.ends.pop(name, None) is not None:
            self._told.discard(name)
            run.phase = RunPhase.STOPPING
        return run

    def _take_ends(self, view: WorkerView) -> list[RunEnded]:
        if view.ended and not self._numbered:
            # After a restart of this process the worker's list goes on from what was noted before.
            self.noted = max(self.noted, min(end.number for end in view.ended) - 1)
            self._numbered = True
        new = []
        for end in view.ended:
            name = (end.task, end.attempt)
            known = self.ends.get(name)
            if end.number in self._stored or end.number <= self.noted:
                continue
            if known is not None and known.number:
                continue
            ended = RunEnded(end.number, end.task, end.attempt, end.kind, end.saved)
            self.ends[name] = ended
            self.runs.pop(name, None)
            new.append(ended)
        return new

    def _never_began(self, listed: set[RunName], sent_at: float) -> list[RunEnded]:
        new = []
        for name, run in list(self.runs.items()):
            if run.sealed_at and sent_at > run.sealed_at and name not in listed:
                self.refuse(name, run.refusal or "stopped_before_start")
                new.append(self.ends[name])
        return new

    def stored(self, name: RunName) -> None:
        """Note that the leader has stored an end."""
        ended = self.ends.pop(name, None)
        self._told.discard(name)
        if ended is None or not ended.number:
            return
        self._stored.add(ended.number)
        while self.noted + 1 in self._stored:
            self.noted += 1
            self._stored.discard(self.noted)

    def statuses(self, full: bool) -> list[RunStatus]:
        """Return the runs for a report: all, or those whose phase has changed."""
        found = []
        for run in self.runs.values():
            if not full and run.told is run.phase:
                continue
            run.told = run.phase
            saved = run.saved if full else ""
            found.append(
                RunStatus(
                    run.task,
                    run.attempt,
                    run.phase,
                    run.percent,
                    run.figure,
                    run.paced,
                    saved,
                    run.order is not None,
                )
            )
        return found

    def tell_again(self, name: RunName) -> None:
        """Let the next report bring an end although one has brought it before."""
        self._told.discard(name)

    def report_ends(self, full: bool) -> list[RunEnded]:
        """Return the ends for a report: all that are not stored, or those not told yet.

        A leader that is behind with storing would else get each of them again with every report.
        """
        found: list[RunEnded] = []
        for name, end in self.ends.items():
            if len(found) >= ENDS_IN_REPORT:
                break
            if full or name not in self._told:
                self._told.add(name)
                found.append(end)
        return found
