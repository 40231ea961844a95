"""Controls the runs of one worker life through calls to the worker.

A worker life is one process of the worker, from its start to its end.

Calls may be lost, answered late, or carried out seconds after they timed out.  Therefore:

- a start call carries a deadline, after which the worker refuses it; as the deadline extends the
  worker's lease, it never exceeds the time until which the leader keeps the claims;
- a start call without an answer is retried; an abandoned start is followed by a stop, and the run
  counts as not started only if a list that does not contain it was requested later after the
  confirmed stop than a stop takes;
- a run that was confirmed or listed ends only by a listed end, or with its life or lease;
- only one list call is in flight, so that an older list never replaces a newer one.

A refused connection does not show that the worker's process has ended, unless the worker has
announced its exit.  Otherwise a life ends by a sign of another life at its address, or counts as
ended once the leases of all its runs have expired.

Another life under the same id carries out starts that were meant for this one, and answers them.
So this life stays unsettled, and is not reported as ended, while its successor may run any of them.
What the successor runs is known from its answer to a call with a higher fencing token, after which
it carries out no call of before.
"""

import asyncio
import math
from collections.abc import AsyncIterator, Awaitable, Callable, Coroutine, Iterator
from contextlib import asynccontextmanager, contextmanager
from typing import Final

from result import Err, Ok, Result

from sapphirelead.background import spawn
from sapphirelead.clock import awake_now, now
from sapphirelead.logs import log_event
from sapphirelead.metrics import Metrics
from sapphirelead.model_resources import NO_RESOURCES
from sapphirelead.model_worker_life import started_ms
from sapphirelead.node_messages import (
    InterferenceEstimate,
    RunEnded,
    RunPhase,
    StartOrder,
    StopOrder,
    WorkerInfo,
)
from sapphirelead.node_ports import (
    CallFailure,
    LifeView,
    RunWorker,
    StartAnswer,
    StartCall,
    WorkerView,
)
from sapphirelead.runner_lease import RunnerLease
from sapphirelead.runner_pace import PaceControl, TailLatency
from sapphirelead.runner_registry import UNKNOWN_PACE, RunName, RunnerRun, RunRegistry
from sapphirelead.runner_slots import Slots
from sapphirelead.runner_start_trace import UNKNOWN_BASIS, OrderBasis
from sapphirelead.sched_timing import KILL_GRACE_MARGIN_S, LOSS_MARGIN_S, START_DEADLINE_S
from sapphirelead.sched_zones import START_MARGIN_S, ZoneGate

LIST_WAIT_MS: Final = 450
"""Longest time that a list call waits for a run to end; the worker renews its figures every half
second."""

MIN_LIST_DELAY_S: Final = 0.04
"""Minimum delay after a list that contains outcomes.  Limits the rate of list
calls, because the worker answers at once while it holds outcomes that are not stored."""

MAX_LIST_DELAY_S: Final = 0.32
"""Limit up to which that delay doubles while lists contain no new outcome."""

PROGRESS_REPORT_INTERVAL_S: Final = 0.4
"""Interval between reports of progress without new outcomes; just under :data:`LIST_WAIT_MS`."""

MIN_PACE_CHANGE_PERCENT: Final = 4
"""Smaller changes of pace are not sent."""

MAX_START_TRIES: Final = 3

RETRY_DELAY_S: Final = 0.1

UNSETTLED_LIST_INTERVAL_S: Final = 0.3
"""Interval at which an ended life asks whether its successor still runs what was meant for it."""

DOUBT_CHECK_INTERVAL_S: Final = 0.02
"""Interval at which a start checks whether the worker has answered a list call again."""

MAX_REFUSED_CONNECTIONS: Final = 3
"""Refused connections without an answer in between after which the worker gets no starts."""

TOKEN_STEP: Final = 10_000
"""Added to the fencing token when the worker has seen a higher one.  Tokens are wall-clock
milliseconds, so a clock that was set back gives a newer process a lower token."""

SLOW_STOP_S: Final = 1.5
"""Age at which a stop without a listed outcome is logged."""

MAX_CONCURRENT_CALLS: Final = 8
"""Limit of start and pace calls in flight."""

MAX_CONCURRENT_STOPS: Final = 16
"""Limit of stop calls in flight, separate so that other calls do not delay stops."""

FINAL_STOPS_TIMEOUT_S: Final = 1.2
"""How long an agent that shuts down waits for its stops to be confirmed."""

CLAIM_EXPIRED: Final = "claim_expired"
"""Reason of a start that was given up because its leader may have ended its claim."""

ListSuccessor = Callable[[int], Awaitable[Result[LifeView, CallFailure]]]
"""Lists the runs of whichever life is at the address; takes a fencing token."""

UNKNOWN_TIME_S: Final = -1.0
"""Logged as the duration of an event that has not happened."""


def _stop_times(run: RunnerRun) -> tuple[float, float]:
    """Return the seconds since a stop was requested, and until it was confirmed."""
    stop_s = now() - run.stop_requested_at if run.stop_requested_at else UNKNOWN_TIME_S
    confirmed_s = (
        run.stop_confirmed_at - run.stop_requested_at if run.stop_confirmed_at else UNKNOWN_TIME_S
    )
    return stop_s, confirmed_s


class FencingToken:
    """Fencing token of this process; grows with each life of the worker.

    Another life of the same id has seen no token and accepts calls that were sent to its
    predecessor.  The first call of this process with the grown token ends that.

    A worker that refuses the token may have met another process of this agent, which has decided on
    the starts that were ordered before.  Therefore only list calls raise it, and these starts are
    outdated.

    :ivar valid_since: since when the worker accepts the token after having refused it; infinite
        while it does not.  On the clock that also counts while the machine is suspended.
    """

    value: int
    valid_since: float

    def __init__(self, value: int) -> None:
        self.value = value
        self.valid_since = -math.inf

    def renew(self) -> None:
        """Raise the token for the next life of the worker."""
        self.value += 1

    def increase(self) -> None:
        """Raise the token after the worker refused a list call because it was too low."""
        self.valid_since = math.inf
        self.value += TOKEN_STEP
        log_event("WARNING", "token_raised", token=self.value)

    def accepted(self, value: int) -> bool:
        """Record that the worker has accepted the token ``value`` of a list call.

        The first one that is accepted after a refusal may equal the token of another process, whose
        late calls the worker then carries out.  Therefore it is raised once more.

        :return: whether ``value`` is above the tokens of all other processes so far.
        """
        if self.valid_since < math.inf:
            return True
        if value == self.value:
            self.valid_since = awake_now()
            self.renew()
        return False


class RunnerLife:
    """One worker life: watches its runs and carries out the leader's orders.

    :ivar has_ended: whether this life is known to have ended.
    :ivar unsettled: whether this life has ended, and its successor may run what was meant for it.
    :ivar in_doubt: whether the latest list call has failed.
    :ivar on_change: called when there is something new to report.
    """

    registry: RunRegistry
    has_ended: bool
    unsettled: bool
    in_doubt: bool
    on_change: Callable[[], None]
    _metrics: Metrics
    _max_stop_s: float
    _worker: RunWorker
    _list_successor: ListSuccessor | None
    _lease: RunnerLease
    _token: FencingToken
    _pace: PaceControl
    _calls: asyncio.Semaphore
    _stops: Slots
    _tasks: set["asyncio.Task[None]"]
    _pending_stops: set["asyncio.Task[None]"]
    _acknowledged: int
    _start_pauses: int
    _superseded: bool
    _refusals: int
    _exit_announced: bool
    _not_responding: bool
    _reported_at: float
    _answered_at: float
    _ended_at: float
    _end_stored: asyncio.Event
    _lease_renewed: asyncio.Event

    def __init__(
        self,
        info: WorkerInfo,
        worker: RunWorker,
        lease: RunnerLease,
        token: FencingToken,
        on_change: Callable[[], None],
        kill_grace_s: float,
        zone_gate: ZoneGate | None = None,
        metrics: Metrics | None = None,
        list_successor: ListSuccessor | None = None,
    ) -> None:
        """Create a life that is not watched yet.

        :param list_successor: without it, any start that no list of this life has shown may run on
            its successor.
        """
        self._max_stop_s = kill_grace_s + KILL_GRACE_MARGIN_S
        self.registry = RunRegistry(info, zone_gate, self._max_stop_s)
        self.has_ended = False
        self.unsettled = False
        self.in_doubt = False
        self.on_change = on_change
        self._metrics = metrics or Metrics()
        self._worker = worker
        self._list_successor = list_successor
        self._lease = lease
        self._token = token
        self._pace = PaceControl()
        self._calls = asyncio.Semaphore(MAX_CONCURRENT_CALLS)
        self._stops = Slots(MAX_CONCURRENT_STOPS)
        self._tasks = set()
        self._pending_stops = set()
        self._acknowledged = 0
        self._start_pauses = 0
        self._superseded = False
        self._refusals = 0
        self._exit_announced = False
        self._not_responding = False
        self._reported_at = -1e9
        self._answered_at = now()
        self._ended_at = 0.0
        self._end_stored = asyncio.Event()
        self._lease_renewed = asyncio.Event()

    @property
    def not_responding(self) -> bool:
        """Whether the worker is unresponsive and the leases of all its runs have expired."""
        return self._not_responding

    @property
    def refuses(self) -> bool:
        """Whether the worker refuses connections."""
        return self._refusals >= MAX_REFUSED_CONNECTIONS

    async def adopt(self) -> CallFailure | None:
        """List the worker's runs without renewing its lease; return the failure, if any."""
        while True:
            sent_at, token = now(), self._token.value
            found = await self._worker.hold(token, 0, 0, 0)
            if isinstance(found, Err):
                if found.err_value is CallFailure.FENCED:
                    self._token.increase()
                return found.err_value
            if self._token.accepted(token):
                self._apply_view(found.ok_value, sent_at)
                return None

    async def watch(self) -> None:
        """List runs and outcomes and renew the worker's lease until the life is settled."""
        delay_s = MIN_LIST_DELAY_S
        just_listed = False
        while not self.has_ended:
            self._log_slow_stops()
            if self._must_stop_inherited():
                self._stop_inherited()
            sent_at, token = now(), self._token.value
            acknowledged = self._acknowledgement if just_listed else 0
            # A call that is refused renews nothing, but would count as a renewal.
            lease_ms = 0 if self._refusals else self._lease.worker_lease_ms(awake_now())
            returns_at_once = not lease_ms or self._acknowledgement > acknowledged
            found = await self._worker.hold(
                token,
                acknowledged,
                lease_ms,
                0 if returns_at_once else self._list_wait_ms(sent_at),
            )
            just_listed = isinstance(found, Ok)
            if isinstance(found, Ok) and not self._token.accepted(token):
                continue
            if isinstance(found, Ok):
                self._acknowledged = max(self._acknowledged, acknowledged)
                has_new_ends = self._apply_view(found.ok_value, sent_at)
                delay_s = MIN_LIST_DELAY_S if has_new_ends else min(2 * delay_s, MAX_LIST_DELAY_S)
                if self._acknowledgement:
                    continue
                just_listed = bool(lease_ms and not found.ok_value.ended)
                if not lease_ms:
                    await self._wait_for_lease()
                elif found.ok_value.ended:
                    await self._wait_for_next_list(delay_s)
                continue
            failure = found.err_value
            if failure is CallFailure.OTHER_LIFE and not await self._fence_successor():
                failure = CallFailure.NO_ANSWER
            self._handle_failure(failure)
            if not self.has_ended:
                await asyncio.sleep(RETRY_DELAY_S)
        await self._wait_until_settled()

    @property
    def _acknowledgement(self) -> int:
        """Number up to which outcomes are stored and not acknowledged; 0 if there are none.

        Sent only right after a list of this life, since the next life numbers its outcomes anew
        and would discard those that nobody has read.
        """
        stored = self.registry.stored_through
        return stored if stored > self._acknowledged else 0

    def _list_wait_ms(self, at: float) -> int:
        """Return how long a list call sent at ``at`` may wait for an end."""
        if self.in_doubt:
            return 0
        settling_ms = (self.registry.next_settling_at() - at) * 1000
        return int(min(max(settling_ms + 1, 0), LIST_WAIT_MS))

    async def _fence_successor(self) -> bool:
        """Let the successor refuse calls that were sent to this life and are still under way.

        Must precede the report that this life has ended, after which its tasks start elsewhere.
        Sets :attr:`unsettled` if the successor may have carried out any of those calls.

        :return: whether the successor is known to refuse them.
        """
        self._superseded = True
        self._token.renew()
        if self._list_successor is None:
            answer = await self._worker.hold(self._token.value, 0, 0, 0)
            if answer.err() in (CallFailure.NO_ANSWER, CallFailure.REFUSED):
                return False
            # The successor of a life without a known start has another id and refuses its calls.
            same_id = started_ms(self.registry.info.worker) is not None
            self._settle(self.registry.unlisted_starts() if same_id else set())
            return True
        token = self._token.value
        found = await self._list_successor(token)
        if isinstance(found, Err):
            if found.err_value is CallFailure.FENCED:
                self._token.increase()
            return found.err_value is CallFailure.OTHER_LIFE
        if not self._token.accepted(token):
            return False
        if found.ok_value.life == self.registry.info.worker:
            return False
        self._settle(self._runs_of_successor(found.ok_value))
        return True

    def _settle(self, may_go_on: set[RunName]) -> None:
        """Leave the runs unsettled that the successor may have begun; the others have ended."""
        # A life that does not respond has been reported with all its runs.
        if may_go_on and not self._not_responding:
            self.unsettled = True
            self.registry.lose_except(may_go_on)

    def _runs_of_successor(self, successor: LifeView) -> set[RunName]:
        """Return the runs that the successor has begun before it is met."""
        view = successor.view
        names = view.names
        if names:
            self._metrics.count("runs_on_successor_total", len(names))
            log_event(
                "WARNING",
                "runs_on_successor",
                worker=self.registry.info.worker,
                successor=successor.life,
                running=len(view.running),
                ended=len(view.ended),
            )
        return names

    async def _wait_until_settled(self) -> None:
        """Wait until the leases of all that the successor may run have expired.

        Cancelled once the successor is met.
        """
        if not self.unsettled:
            return
        self._lease.inherit_runs(awake_now())
        until = self._lease.expiry_bound + max(LOSS_MARGIN_S, self._max_stop_s)
        while self.unsettled and (remaining_s := until - awake_now()) > 0:
            if self._must_stop_inherited():
                self._stop_inherited()
            await asyncio.sleep(min(UNSETTLED_LIST_INTERVAL_S, remaining_s + RETRY_DELAY_S))
            await self._list_unsettled()
        self.unsettled = False

    async def _list_unsettled(self) -> None:
        """Leave those runs unsettled that a life at the address still lists."""
        if self._list_successor is None:
            return
        found = await self._list_successor(self._token.value)
        if isinstance(found, Ok):
            listed = found.ok_value.view.names
        elif found.err_value is CallFailure.OTHER_LIFE:
            listed = set()
        else:
            return
        self.registry.lose_except(listed)
        self.unsettled = bool(listed)

    def inherit_runs(self, last: RunRegistry) -> None:
        """Record that what this life has listed was begun on calls for the last life."""
        self.registry.inherit_ends(last)
        if self.registry.runs:
            self._lease.inherit_runs(awake_now())

    def _must_stop_inherited(self) -> bool:
        """Return whether inherited runs have to be stopped to end with the agent's lease."""
        longest_s = (LIST_WAIT_MS / 1000) + RETRY_DELAY_S + self._max_stop_s
        return self._lease.inherited_runs_outlast(awake_now() + longest_s)

    def _stop_inherited(self) -> None:
        for run in list(self.registry.runs.values()):
            if run.phase is not RunPhase.STOPPING:
                log_event("WARNING", "inherited_run_stopped", task=run.task, attempt=run.attempt)
                self._begin_stop(run)

    @contextmanager
    def starts_paused(self) -> Iterator[None]:
        """Send no start while another life may be at the address and is being met."""
        self._start_pauses += 1
        try:
            yield
        finally:
            self._start_pauses -= 1

    async def _wait_for_lease(self) -> None:
        """Wait until the agent has a lease, for as long as a list call waits otherwise.

        A list call that waits without a lease would delay the first one that renews the worker's.
        """
        self._lease_renewed.clear()
        if self._lease.remaining_s(awake_now()):
            return
        try:
            async with asyncio.timeout(LIST_WAIT_MS / 1000):
                await self._lease_renewed.wait()
        except TimeoutError:
            return

    def lease_renewed(self) -> None:
        """Record that the leader has renewed the agent's lease."""
        self._lease_renewed.set()

    async def _wait_for_next_list(self, max_s: float) -> None:
        """Wait until an outcome is stored, between :data:`MIN_LIST_DELAY_S` and ``max_s``."""
        self._end_stored.clear()
        await asyncio.sleep(MIN_LIST_DELAY_S)
        try:
            async with asyncio.timeout(max_s - MIN_LIST_DELAY_S):
                await self._end_stored.wait()
        except TimeoutError:
            return

    def stored(self, name: RunName) -> None:
        """Record that the leader has stored an outcome."""
        self.registry.stored(name, now())
        self._end_stored.set()

    def _apply_view(self, view: WorkerView, sent_at: float) -> bool:
        """Apply a list from the worker; return whether it contains a new outcome."""
        regained = self._not_responding or self.refuses
        self._answered_at = now()
        if self.has_ended:
            self._record_list_after_end(view)
        self._refusals = 0
        self._superseded = False
        self.in_doubt = False
        if regained:
            self._not_responding = False
            log_event("INFO", "worker_regained", worker=self.registry.info.worker)
            self.on_change()
        self._lease.update_clock(view.clock_ms, awake_now())
        runs = dict(self.registry.runs)
        new = self.registry.apply_view(view, sent_at)
        for end in new:
            self._log_end(end, runs.get((end.task, end.attempt)))
        self._repeat_stops(view, sent_at)
        self._control_pace()
        # Progress reported late would make a run look slow to the leader.
        if new or now() - self._reported_at >= PROGRESS_REPORT_INTERVAL_S:
            self._reported_at = now()
            self.on_change()
        return bool(new)

    def _record_list_after_end(self, view: WorkerView) -> None:
        """Count and log a list of a life that counts as ended."""
        self._metrics.count("ended_lives_heard_total", by="list")
        log_event(
            "WARNING",
            "ended_life_heard",
            worker=self.registry.info.worker,
            by="list",
            ended_s=now() - self._ended_at,
            runs=len(view.running),
        )

    def _repeat_stops(self, view: WorkerView, sent_at: float) -> None:
        """Stop listed runs that a confirmed stop should have ended, or recorded as not started.

        :param sent_at: when the list was requested.
        """
        for item in view.running:
            run = self.registry.runs.get((item.task, item.attempt))
            if run is None or run.phase is not RunPhase.STOPPING or run.stop_pending:
                continue
            if run.stop_confirmed_at and sent_at <= run.stop_confirmed_at + self._max_stop_s:
                continue
            event = "stop_repeated" if run.stop_confirmed_at else "end_disproved"
            if not run.stop_confirmed_at:
                self._metrics.count("ended_runs_listed_total")
            log_event("WARNING", event, task=run.task, attempt=run.attempt)
            self._begin_stop(run)

    def _log_end(self, end: RunEnded, run: RunnerRun | None) -> None:
        stop_s, confirmed_s = (
            _stop_times(run) if run is not None else (UNKNOWN_TIME_S, UNKNOWN_TIME_S)
        )
        log_event(
            "INFO",
            "run_end_seen",
            task=end.task,
            attempt=end.attempt,
            how=end.kind,
            number=end.number,
            reason=end.reason or "-",
            stop_s=stop_s,
            confirmed_s=confirmed_s,
        )

    def _log_slow_stops(self) -> None:
        """Log each slow stop once."""
        at = now()
        for run in self.registry.runs.values():
            if (
                run.slow_stop_logged
                or not run.stop_requested_at
                or at - run.stop_requested_at <= SLOW_STOP_S
            ):
                continue
            run.slow_stop_logged = True
            stop_s, confirmed_s = _stop_times(run)
            log_event(
                "WARNING",
                "stop_slow",
                task=run.task,
                attempt=run.attempt,
                stop_s=stop_s,
                confirmed_s=confirmed_s,
                lease_left_s=self._lease.remaining_s(awake_now()),
            )

    def _handle_failure(self, failure: CallFailure) -> None:
        self.in_doubt = True
        if failure is CallFailure.FENCED:
            # The worker belongs to the process that the leader listens to.
            if self._lease.remaining_s(awake_now()):
                self._token.increase()
        elif failure is CallFailure.OTHER_LIFE:
            self.end("other_life")
        elif failure is CallFailure.REFUSED:
            # The next call may reach another life, before its first heartbeat arrives.
            self._token.renew()
            self._handle_refusal()
        else:
            self._handle_no_answer()

    def announce_exit(self) -> None:
        """Record that the worker exits; the life ends once it refuses connections."""
        self._exit_announced = True

    def _handle_refusal(self) -> None:
        self._refusals += 1
        if self._exit_announced and self.refuses:
            self.end("left")
            return
        if self._refusals == MAX_REFUSED_CONNECTIONS:
            log_event(
                "WARNING",
                "worker_refuses",
                worker=self.registry.info.worker,
                runs=len(self.registry.runs),
                lease_left_s=self._lease.expiry_bound - awake_now(),
            )
            self.on_change()
        self._handle_no_answer()

    def _handle_no_answer(self) -> None:
        at = awake_now()
        self._lease.record_unanswered(at)
        if self._lease.all_expired(at) and not self._not_responding:
            # The worker may still be running but unreachable; its leases have expired.
            self._not_responding = True
            info = self.registry.info
            log_event("WARNING", "worker_silent", worker=info.worker, runs=len(self.registry.runs))
            self.on_change()

    def end(self, reason: str) -> None:
        """Mark the life and all its runs as ended."""
        if self.has_ended:
            return
        self.has_ended = True
        self._ended_at = now()
        log_event(
            "WARNING",
            "worker_ended",
            worker=self.registry.info.worker,
            reason=reason,
            runs=len(self.registry.runs),
            lease_left_s=max(0.0, self._lease.expiry_bound - awake_now()),
            last_answer_s=now() - self._answered_at,
            unlisted=self.registry.count_unlisted(),
        )
        self.on_change()

    async def finish_stops(self) -> None:
        """Wait up to :data:`FINAL_STOPS_TIMEOUT_S` for pending stops to be confirmed."""
        if not self._pending_stops:
            return
        _, pending = await asyncio.wait(self._pending_stops, timeout=FINAL_STOPS_TIMEOUT_S)
        if pending:
            log_event(
                "WARNING",
                "stops_unconfirmed",
                worker=self.registry.info.worker,
                stops=len(pending),
            )

    async def close(self) -> None:
        """Cancel all calls and close the worker's client."""
        for run in self.registry.runs.values():
            if run.calling:
                self._log_start(run, "cancelled")
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._worker.close()

    # Orders

    def start(
        self,
        order: StartOrder,
        allowed_until: float = math.inf,
        claimed_until: float = math.inf,
        basis: OrderBasis = UNKNOWN_BASIS,
    ) -> None:
        """Carry out a start order; repeated orders have no effect on a known run.

        :param allowed_until: until when the worker may be called; see :class:`RunnerRun`.
        :param claimed_until: until when the claim lasts; see :class:`RunnerRun`.
        :param basis: what the order is based on, for the log.
        """
        outdated = basis.reported_at < self._token.valid_since
        run = None
        if not outdated:
            run = self.registry.accept(order, now(), allowed_until, claimed_until)
        if run is not None:
            run.trace.basis = basis
            if order.target_ms:
                self._control_pace()
            self._spawn(self._start(run, order))
        elif (order.task, order.attempt) in self.registry.ends:
            self.registry.report_again((order.task, order.attempt))
            self.on_change()
        elif not self.knows(order):
            outdated |= self.registry.is_settled((order.task, order.attempt), now())
            event = "start_outdated" if outdated else "start_deferred"
            log_event("INFO", event, task=order.task, attempt=order.attempt)

    def knows(self, order: StartOrder) -> bool:
        """Return whether the run of a start order is known and has not ended."""
        return (order.task, order.attempt) in self.registry.runs

    def stop(self, order: StopOrder) -> None:
        """Carry out a stop order, also for an unknown run, so that it cannot start later."""
        name = (order.task, order.attempt)
        run = self.registry.runs.get(name)
        if run is None:
            if name in self.registry.ends:
                return
            run = self.registry.runs[name] = RunnerRun(*name, RunPhase.STOPPING)
        elif run.phase is RunPhase.STOPPING:
            return
        self._begin_stop(run)

    def _begin_stop(self, run: RunnerRun) -> None:
        run.phase = RunPhase.STOPPING
        run.stop_requested_at = run.stop_requested_at or now()
        run.stop_pending = True
        task = self._spawn(self._confirm_stop(run))
        self._pending_stops.add(task)
        task.add_done_callback(self._pending_stops.discard)

    def _spawn(self, work: Coroutine[None, None, None]) -> "asyncio.Task[None]":
        task = spawn(work, "worker-call")
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def _start(self, run: RunnerRun, order: StartOrder) -> None:
        reason = "no_answer"
        for _ in range(MAX_START_TRIES):
            async with self._start_slot():
                if run.phase is not RunPhase.STARTING or self.has_ended:
                    self._log_start(run, reason)
                    return
                if run.trace.basis.reported_at < self._token.valid_since:
                    reason = StartAnswer.FENCED
                    break
                if self._is_cut_off:
                    # A start may be carried out without an answer, so each call would postpone
                    # the time at which all runs of this life are known to have ended.
                    reason = "worker_mute"
                    break
                if not self.registry.usage_known or not self.registry.has_room(NO_RESOURCES):
                    # The runs, this one included, may exceed a capacity that has shrunk.
                    reason = StartAnswer.NO_ROOM
                    break
                barred = self.registry.zone_gate.refusal(run.allowed_until, awake_now())
                if barred is not None:
                    reason = barred
                    break
                if awake_now() >= self._claim_end(run):
                    reason = CLAIM_EXPIRED
                    break
                run.calling = True
                run.trace.call_leaves(awake_now())
                found = await self._worker.start(self._start_call(run, order))
                run.calling = False
            if isinstance(found, Ok):
                self._lease.update_clock(found.ok_value.clock_ms, awake_now())
                answer = found.ok_value.answer
                if answer is StartAnswer.STARTED:
                    self.registry.started(run)
                    self.on_change()
                    self._log_start(run, answer)
                    await self._apply_initial_pace(run, order)
                    return
                reason = answer
                if answer is not StartAnswer.TOO_LATE:
                    break
                continue
            reason = found.err_value
            if found.err_value is CallFailure.OTHER_LIFE:
                self._log_start(run, reason)
                self.end("other_life")
                return
            run.maybe_sent = run.maybe_sent or found.err_value is CallFailure.NO_ANSWER
            await asyncio.sleep(RETRY_DELAY_S)
        await self._abandon_start(run, reason)

    @asynccontextmanager
    async def _start_slot(self) -> AsyncIterator[None]:
        """Wait until a start may be called, and hold a slot for it."""
        await self._wait_until_listed()
        await self._calls.acquire()
        while self._awaits_list:
            self._calls.release()
            await self._wait_until_listed()
            await self._calls.acquire()
        try:
            yield
        finally:
            self._calls.release()

    async def _wait_until_listed(self) -> None:
        """Wait while a start might reach another life, unless the worker is unresponsive."""
        while True:
            if not self._awaits_list:
                return
            await asyncio.sleep(DOUBT_CHECK_INTERVAL_S)

    @property
    def _awaits_list(self) -> bool:
        """Whether the worker may have crashed, so that a start might reach its next life."""
        doubtful = self.in_doubt or self._superseded or self._start_pauses > 0
        return doubtful and not self.has_ended and not self._is_cut_off

    @property
    def _is_cut_off(self) -> bool:
        """Whether no start may reach the worker, which has not answered for a while.

        Once it is reported gone its tasks start elsewhere, so they must not start here later.
        """
        if self._not_responding or self.refuses or self._exit_announced:
            return True
        return self._lease.unresponsive(awake_now())

    def _claim_end(self, run: RunnerRun) -> float:
        """Return until when the leader keeps the claims here, by what is known of its reports."""
        return max(run.claimed_until, self._lease.until)

    def _start_call(self, run: RunnerRun, order: StartOrder) -> StartCall:
        at = awake_now()
        within_s = min(START_DEADLINE_S, run.allowed_until + START_MARGIN_S - at)
        return StartCall(
            order.task,
            order.attempt,
            order.payload,
            order.saved,
            order.ticket,
            self._lease.start_deadline_ms(at, within_s, self._claim_end(run)),
            self._token.value,
        )

    def _log_start(self, run: RunnerRun, answer: str) -> None:
        """Log, once, a start of which a call has left.

        :param answer: the worker's answer, or why there is none.
        """
        if run.trace.logged or not run.trace.calls:
            return
        run.trace.logged = True
        log_event(
            "INFO",
            "start_called",
            task=run.task,
            attempt=run.attempt,
            answer=answer,
            **run.trace.fields(awake_now()),
            lease_left_s=self._lease.remaining_s(awake_now()),
        )

    async def _abandon_start(self, run: RunnerRun, reason: str) -> None:
        log_event(
            "WARNING",
            "start_given_up",
            task=run.task,
            attempt=run.attempt,
            reason=reason,
            maybe_sent=run.maybe_sent,
            **run.trace.fields(awake_now()),
            lease_left_s=self._lease.remaining_s(awake_now()),
        )
        run.trace.logged = True
        if run.phase is not RunPhase.STARTING:
            return
        if reason == StartAnswer.FENCED:
            # Lists show it if an earlier call was carried out; otherwise its order is repeated.
            self.registry.forget(run)
            return
        if not run.maybe_sent:
            self.registry.refuse(run.name, reason)
            self.on_change()
            return
        run.refusal = reason
        self._begin_stop(run)

    async def _confirm_stop(self, run: RunnerRun) -> None:
        """Retry the stop call until the worker confirms it; the outcome comes with a later list."""
        tries = 0
        while self._takes_stops and self.registry.runs.get(run.name) is run:
            if self._not_responding:
                # The run counts as ended; it is stopped if the worker responds again.
                await asyncio.sleep(RETRY_DELAY_S)
                continue
            async with self._stops.slot(tries):
                found = await self._worker.stop(run.task, run.attempt, self._token.value)
            tries += 1
            if isinstance(found, Ok):
                run.stop_confirmed_at = now()
                run.stop_pending = False
                return
            if found.err_value is CallFailure.OTHER_LIFE:
                self.end("other_life")
                return
            await asyncio.sleep(RETRY_DELAY_S)

    @property
    def _takes_stops(self) -> bool:
        """Whether a stop may end a run here, or on the successor that may have begun it."""
        return self.unsettled or not self.has_ended

    # Pace

    def learn_interference(self, interference: list[InterferenceEstimate]) -> None:
        """Store the interference estimates that the leader sends for images on this worker."""
        self._pace.learn(interference)

    def _control_pace(self) -> None:
        """Set the pace of best-effort runs from the tail latencies of latency-critical runs."""
        runs = list(self.registry.runs.values())
        tails = [
            TailLatency(run.task, run.order.image, run.measurement, run.order.target_ms)
            for run in runs
            if run.order is not None and run.order.target_ms and run.measurement >= 0
        ]
        self._pace.awaits_tail = self.registry.awaits_tail(now())
        self._pace.update(
            tails, self.registry.filling_usage(), now(), self.registry.filling_demand()
        )
        for run in runs:
            if run.order is None or not run.order.best_effort or run.phase is not RunPhase.RUNNING:
                continue
            percent = self._pace.percent(run.order.image)
            # Small changes are skipped to save calls, except to a full stop or full speed.
            reaches_limit = percent in (0, 100) and percent != run.pace_percent
            if abs(run.pace_percent - percent) >= MIN_PACE_CHANGE_PERCENT or reaches_limit:
                self._record_pace(run, percent)
                self._spawn(self._set_pace(run, percent))

    async def _apply_initial_pace(self, run: RunnerRun, order: StartOrder) -> None:
        """Throttle a new best-effort run at once instead of after the next list.

        Six runs that started together at full speed drove a tail from 0.6 to 1.7 times its target
        within that half second.
        """
        if order.best_effort:
            self._pace.begin(order.image, self.registry.filling_demand())
        percent = self._pace.percent(order.image)
        if order.best_effort and percent < run.pace_percent:
            self._record_pace(run, percent)
            await self._set_pace(run, percent)

    def _record_pace(self, run: RunnerRun, percent: int) -> None:
        log_event(
            "INFO",
            "pace",
            task=run.task,
            attempt=run.attempt,
            before=run.pace_percent,
            percent=percent,
            worst=self._pace.worst,
        )
        run.pace_percent = percent

    async def _set_pace(self, run: RunnerRun, percent: int) -> None:
        async with self._calls:
            if self.has_ended:
                return
            found = await self._worker.pace(run.task, run.attempt, percent, self._token.value)
        if isinstance(found, Err) and run.pace_percent == percent:
            # The call may have taken effect; the next update sets the pace again.
            run.pace_percent = UNKNOWN_PACE
