"""The agent's registry of the runs and outcomes of one worker life.  No I/O.

The registry derives the state of each run from the worker's lists and the leader's orders.  An
outcome is kept until the leader has stored it, and only then may the worker discard it, so no
outcome is lost when the agent, the worker or the leader restarts.
"""

import math
from collections.abc import Container
from dataclasses import dataclass, field
from typing import Final

import msgspec

from sapphirelead.model_resources import NO_RESOURCES, Resources
from sapphirelead.node_messages import (
    ENDED_ON_NEXT_LIFE,
    RunEnded,
    RunPhase,
    RunStatus,
    StartOrder,
    WorkerInfo,
)
from sapphirelead.node_ports import StartAnswer, WorkerView
from sapphirelead.policy_pressure import CPU_USED_SHARE, used_shares
from sapphirelead.runner_start_trace import StartTrace
from sapphirelead.sched_job import EndKind
from sapphirelead.sched_timing import MAX_ORDER_AGE_S, TAIL_TIMEOUT_S
from sapphirelead.sched_zones import ZONE_EVACUATED, ZoneGate

RunName = tuple[str, int]

MAX_LISTED_ENDS: Final = 500
"""Maximum number of outcomes in a list.  A run missing from a full list may still have ended."""

MAX_REPORTED_ENDS: Final = 200
"""Maximum number of outcomes in one report; the rest follow once these are stored."""


UNKNOWN_PACE: Final = -1
"""Pace of a run that was found on the worker, or whose last pace call failed.  The next update sets
the pace again."""


@dataclass(slots=True, eq=False)
class RunnerRun:
    """A run that has not ended.

    :ivar order: ``None`` for a run found on the worker, until the leader sends its start order.
    :ivar stop_pending: a stop call is in flight or about to be retried.
    :ivar stop_confirmed_at: when the worker confirmed a stop, 0 before; the run cannot start after.
    :ivar stop_requested_at: when the stop was requested, 0 before.
    :ivar slow_stop_logged: the slow stop has been logged.
    :ivar listed: the worker has listed it.
    :ivar maybe_sent: a start call got no answer and may still be carried out.
    :ivar calling: a start call is in flight.
    :ivar confirmed: the worker has confirmed its start, or has listed it.
    :ivar reported_phase: phase in the newest report that listed the run.
    :ivar ordered_at: when its start was ordered; not set for a run found on the worker.
    :ivar allowed_until: until when its start may be sent, on the clock that also counts while the
        machine is suspended.
    :ivar claimed_until: on the same clock, until when the leader that ordered its start keeps its
        claim without another report.
    :ivar trace: calls of its start, for the log.
    """

    task: str
    attempt: int
    phase: RunPhase
    order: StartOrder | None = None
    percent: int = 0
    measurement: int = -1
    saved: str = ""
    pace_percent: int = 100
    stop_requested_at: float = 0.0
    stop_pending: bool = False
    stop_confirmed_at: float = 0.0
    slow_stop_logged: bool = False
    listed: bool = False
    maybe_sent: bool = False
    calling: bool = False
    confirmed: bool = False
    reported_phase: RunPhase | None = None
    refusal: str = ""
    ordered_at: float = -math.inf
    allowed_until: float = math.inf
    claimed_until: float = math.inf
    trace: StartTrace = field(default_factory=StartTrace)

    @property
    def name(self) -> RunName:
        """Task and attempt, which identify the run."""
        return self.task, self.attempt


class RunRegistry:
    """The runs and outcomes of one worker life.

    :ivar zone_gate: whether starts may be sent in the worker's zone.
    :ivar stored_through: all outcomes up to this number are stored; the worker may discard them.
    """

    info: WorkerInfo
    zone_gate: ZoneGate
    runs: dict[RunName, RunnerRun]
    ends: dict[RunName, RunEnded]
    stored_through: int
    _stored_numbers: set[int]
    _numbering_known: bool
    _reported_ends: set[RunName]
    _settled_at: dict[RunName, float]
    _max_stop_s: float

    def __init__(
        self, info: WorkerInfo, zone_gate: ZoneGate | None = None, max_stop_s: float = 0.0
    ) -> None:
        """Create an empty registry.

        :param max_stop_s: longest time from a confirmed stop to the end of its run.
        """
        self.info = info
        self._max_stop_s = max_stop_s
        self.zone_gate = zone_gate or ZoneGate(math.inf)
        self.runs = {}
        self.ends = {}
        self.stored_through = 0
        self._stored_numbers = set()
        self._numbering_known = False
        self._reported_ends = set()
        self._settled_at = {}

    @property
    def used(self) -> Resources:
        """Resources used by the runs whose start order is known."""
        used = NO_RESOURCES
        for run in self.runs.values():
            if run.order is not None:
                used = used + run.order.resources
        return used

    @property
    def usage_known(self) -> bool:
        """Whether the start orders of all runs on the worker are known.

        They are not after a restart of the agent, until the leader has repeated them, and for runs
        that the worker lists although they counted as not started, until these have ended.
        """
        return all(run.order is not None or not run.listed for run in self.runs.values())

    def unlisted_starts(self) -> set[RunName]:
        """Return the runs whose start was called and which no list has shown.

        Another life may have carried out the call, also if another call for the run got no answer.
        """
        return {
            run.name
            for run in self.runs.values()
            if run.calling or run.maybe_sent or (run.confirmed and not run.listed)
        }

    def count_unlisted(self) -> int:
        """Return the number of runs whose start was answered and which no list has shown."""
        return sum(run.confirmed and not run.listed for run in self.runs.values())

    def has_room(self, resources: Resources) -> bool:
        """Return whether ``resources`` fit into what the worker's capacity leaves."""
        return resources.fits_in(self.info.capacity - self.used)

    def filling_usage(self) -> dict[str, float]:
        """Return the share of the worker's processors that each best-effort image uses."""
        used: dict[str, float] = {}
        for run in self.runs.values():
            if run.order is not None and run.order.best_effort and run.phase is RunPhase.RUNNING:
                image = run.order.image
                used[image] = used.get(image, 0) + max(run.measurement, 0)
        return used_shares(used, self.info.capacity.cpu_millicores)

    def filling_demand(self) -> dict[str, float]:
        """Return the share that each best-effort image would use at full pace."""
        capacity = max(1, self.info.capacity.cpu_millicores)
        wanted: dict[str, float] = {}
        for run in self.runs.values():
            if (
                run.order is not None
                and run.order.best_effort
                and run.phase is not RunPhase.STOPPING
            ):
                share = CPU_USED_SHARE * run.order.cpu_millicores / capacity
                wanted[run.order.image] = wanted.get(run.order.image, 0.0) + share
        return wanted

    def awaits_tail(self, at: float) -> bool:
        """Return whether a latency-critical run has started whose tail is not known yet."""
        return any(
            run.order is not None
            and run.order.target_ms > 0
            and run.measurement <= 0
            and run.phase is not RunPhase.STOPPING
            and at - run.ordered_at <= TAIL_TIMEOUT_S
            for run in self.runs.values()
        )

    def accept(
        self,
        order: StartOrder,
        at: float = -math.inf,
        allowed_until: float = math.inf,
        claimed_until: float = math.inf,
    ) -> RunnerRun | None:
        """Add a run for a start order.

        :param at: current time.
        :param allowed_until: until when the start may be sent; see :class:`RunnerRun`.
        :param claimed_until: until when its claim lasts; see :class:`RunnerRun`.
        :return: ``None`` if the run is known, the order is refused, or it cannot be decided yet.
            The leader repeats an order whose run is not reported.
        """
        name = (order.task, order.attempt)
        if name in self.runs or name in self.ends:
            known = self.runs.get(name)
            if known is not None and known.order is None:
                known.order = order
            return None
        if self.is_settled(name, at) or not self.usage_known:
            return None
        if not self.has_room(order.resources):
            self.refuse(name, StartAnswer.NO_ROOM)
            return None
        if self.info.draining:
            self.refuse(name, "draining")
            return None
        if self.zone_gate.evacuated:
            self.refuse(name, ZONE_EVACUATED)
            return None
        run = RunnerRun(
            order.task,
            order.attempt,
            RunPhase.STARTING,
            order,
            ordered_at=at,
            allowed_until=allowed_until,
            claimed_until=claimed_until,
        )
        self.runs[name] = run
        return run

    def is_settled(self, name: RunName, at: float) -> bool:
        """Return whether the outcome of a run is stored, so that an order for it is a late one."""
        return at - self._settled_at.get(name, -math.inf) <= MAX_ORDER_AGE_S

    def refuse(self, name: RunName, reason: str) -> None:
        """Record that a run did not start and never will."""
        self.runs.pop(name, None)
        self.ends[name] = RunEnded(0, *name, EndKind.NOT_STARTED, "", reason)

    def inherit_ends(self, last: "RunRegistry") -> None:
        """Mark the outcomes of runs that were ordered for the last life."""
        for name in self.ends.keys() & last.runs.keys():
            self.ends[name] = msgspec.structs.replace(self.ends[name], reason=ENDED_ON_NEXT_LIFE)

    def lose_except(self, kept: Container[RunName]) -> None:
        """Record that all runs but those in ``kept`` have ended with this life."""
        for name in [name for name in self.runs if name not in kept]:
            del self.runs[name]
            self.ends[name] = RunEnded(0, *name, EndKind.LOST, "", "worker_gone")

    def forget(self, run: RunnerRun) -> None:
        """Drop a run without an outcome; the leader repeats its order while the claim lasts."""
        if self.runs.get(run.name) is run:
            del self.runs[run.name]

    def started(self, run: RunnerRun) -> None:
        """Record that the worker has confirmed a start."""
        run.confirmed = True
        if run.phase is RunPhase.STARTING:
            run.phase = RunPhase.RUNNING

    def apply_view(self, view: WorkerView, sent_at: float) -> list[RunEnded]:
        """Apply a list from the worker and return the new outcomes.

        :param sent_at: when the list was requested.
        """
        listed = set()
        for item in view.running:
            name = (item.task, item.attempt)
            listed.add(name)
            run = self.runs.get(name)
            if run is None:
                if name in self.ends and self.ends[name].number:
                    continue
                run = self.runs[name] = self._new_listed_run(name)
            self.started(run)
            run.listed = True
            run.percent = item.percent
            run.measurement = item.measurement
            run.saved = item.saved
        new = self._record_listed_ends(view)
        if len(view.ended) < MAX_LISTED_ENDS:
            new.extend(self._record_unstarted(listed, sent_at))
        return new

    def _new_listed_run(self, name: RunName) -> RunnerRun:
        """Return an entry for a listed run that the registry does not hold as running.

        A run recorded as not started is stopped, because the leader may have restarted its task.
        """
        run = RunnerRun(*name, RunPhase.RUNNING, pace_percent=UNKNOWN_PACE)
        if self.ends.pop(name, None) is not None:
            self._reported_ends.discard(name)
            run.phase = RunPhase.STOPPING
        return run

    def _record_listed_ends(self, view: WorkerView) -> list[RunEnded]:
        if view.ended and not self._numbering_known:
            # An earlier process of this agent acknowledged all outcomes before the first listed.
            self.stored_through = max(
                self.stored_through, min(end.number for end in view.ended) - 1
            )
            self._numbering_known = True
        new = []
        for end in view.ended:
            name = (end.task, end.attempt)
            known = self.ends.get(name)
            if end.number in self._stored_numbers or end.number <= self.stored_through:
                continue
            if known is not None and known.number:
                continue
            ended = RunEnded(end.number, end.task, end.attempt, end.kind, end.saved)
            self.ends[name] = ended
            self.runs.pop(name, None)
            new.append(ended)
        return new

    def _record_unstarted(self, listed: set[RunName], sent_at: float) -> list[RunEnded]:
        """Record the stopped runs that a list does not contain as not started.

        A run that is known to have started has a listed end, which may come later than this list.
        Any other may have started shortly before its stop, or under an earlier agent process.
        """
        new = []
        for name, run in list(self.runs.items()):
            settles_at = self._settles_at(run)
            if settles_at is not None and sent_at > settles_at and name not in listed:
                self.refuse(name, run.refusal or "stopped_before_start")
                new.append(self.ends[name])
        return new

    def _settles_at(self, run: RunnerRun) -> float | None:
        """Return when a list without the run shows that it never started; ``None`` if none does."""
        if run.confirmed or not run.stop_confirmed_at:
            return None
        return run.stop_confirmed_at + self._max_stop_s

    def next_settling_at(self) -> float:
        """Return the earliest time from which a list can show that a run never started."""
        times = [self._settles_at(run) for run in self.runs.values()]
        return min((at for at in times if at is not None), default=math.inf)

    def stored(self, name: RunName, at: float = math.inf) -> None:
        """Record that the leader has stored an outcome.

        :param at: current time.  The run is remembered for as long as orders of before may arrive.
        """
        for settled in list(self._settled_at):
            if self.is_settled(settled, at):
                break
            del self._settled_at[settled]
        self._settled_at[name] = at
        ended = self.ends.pop(name, None)
        self._reported_ends.discard(name)
        if ended is None or not ended.number:
            return
        self._stored_numbers.add(ended.number)
        while self.stored_through + 1 in self._stored_numbers:
            self.stored_through += 1
            self._stored_numbers.discard(self.stored_through)

    def statuses(self, full: bool) -> list[RunStatus]:
        """Return the runs for a report: all, or those whose phase has changed."""
        found = []
        for run in self.runs.values():
            if not full and run.reported_phase is run.phase:
                continue
            run.reported_phase = run.phase
            saved = run.saved if full else ""
            found.append(
                RunStatus(
                    run.task,
                    run.attempt,
                    run.phase,
                    run.percent,
                    run.measurement,
                    run.pace_percent,
                    saved,
                    run.order is not None,
                )
            )
        return found

    def report_again(self, name: RunName) -> None:
        """Include an outcome in the next report although it has been reported before."""
        self._reported_ends.discard(name)

    def report_ends(self, full: bool) -> list[RunEnded]:
        """Return the outcomes for a report: all that are not stored, or those not reported yet.

        Reporting each outcome once keeps reports small while the leader is slow to store them.
        """
        found: list[RunEnded] = []
        for name, end in self.ends.items():
            if len(found) >= MAX_REPORTED_ENDS:
                break
            if full or name not in self._reported_ends:
                self._reported_ends.add(name)
                found.append(end)
        return found
