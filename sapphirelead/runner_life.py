"""One life of the worker beside an agent: its calls, and what becomes of each run.

Calls may be lost, answered late, or carried out seconds after they were given up on.  So

- a start carries a deadline of its own, after which the worker refuses it;
- a start without an answer is repeated; once it is given up on, a confirmed stop of the same run
  seals it, and it counts as never started only when a list asked for after that does not show it;
- one list is asked for at a time, so that no older list overtakes a newer one.
"""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Final

from result import Err, Ok

from sapphirelead.background import spawn
from sapphirelead.clock import awake_now, now
from sapphirelead.logs import log_event
from sapphirelead.node_messages import (
    RunEnded,
    RunPhase,
    ServingPress,
    StartOrder,
    StopOrder,
    WorkerInfo,
)
from sapphirelead.node_ports import (
    CallFailure,
    RunWorker,
    StartAnswer,
    StartCall,
    WorkerView,
)
from sapphirelead.runner_lease import RunnerLease
from sapphirelead.runner_pace import PaceControl, TailLatency
from sapphirelead.runner_registry import UNKNOWN_PACE, RunName, RunnerRun, RunRegistry
from sapphirelead.runner_slots import Slots
from sapphirelead.sched_timing import START_DEADLINE_S

LIST_WAIT_MS: Final = 450
"""How long a list call waits for an end; the worker's figures are renewed every half second."""

MIN_LIST_PAUSE_S: Final = 0.04
"""Pause after a list that shows ends.  The worker answers at once while it has ends that have not
been noted, so that list calls would follow each other while an end is being stored."""

MAX_LIST_PAUSE_S: Final = 0.32
"""The pause doubles up to this while the lists show no end that is new, and ends as soon as an end
is stored: while the leader is behind with storing, asking the worker on tells nothing."""

PROGRESS_REPORT_INTERVAL_S: Final = 0.4
"""Time after which a list without a new end is reported all the same, for the progress in it.  Just
under the time of a list call."""

MIN_PACE_CHANGE_PERCENT: Final = 4
"""Least change of the pace that is sent, in percent."""

MAX_START_TRIES: Final = 3
"""Tries of a start before it is given up on and sealed."""

RETRY_DELAY_S: Final = 0.1
"""Pause before a call is repeated."""

MAX_REFUSED_CONNECTIONS: Final = 3
"""Refused connections in a row that mean that the worker's process is gone."""

TOKEN_STEP: Final = 10_000
"""Added to the fencing token where the worker has seen a higher one.  Tokens are times of day in
milliseconds; a clock that was set back between two processes of this agent leaves the newer one
behind by a few seconds."""

SLOW_STOP_S: Final = 1.5
"""A stop whose end is not listed within this is logged."""

MAX_CONCURRENT_CALLS: Final = 8
"""Starts and changes of pace in flight."""

MAX_CONCURRENT_STOPS: Final = 16
"""Stops in flight: a stop is due within seconds, whatever the worker does with other calls."""

FINAL_STOPS_TIMEOUT_S: Final = 1.2
"""How long an agent that ends waits for the confirmation of its stops: two tries."""

KILL_GRACE_MARGIN_S: Final = 0.1
"""Added to the longest time of a stop; covers late timers of the worker."""

UNKNOWN_TIME_S: Final = -1.0
"""Logged in place of a time for what has not happened."""


def _stop_times(run: RunnerRun) -> tuple[float, float]:
    """Return how long ago a stop was asked for, and how long its confirmation took."""
    stop_s = now() - run.stop_requested_at if run.stop_requested_at else UNKNOWN_TIME_S
    confirmed_s = (
        run.stop_confirmed_at - run.stop_requested_at if run.stop_confirmed_at else UNKNOWN_TIME_S
    )
    return stop_s, confirmed_s


class FencingToken:
    """The token of this process; grows where a worker has seen a higher one."""

    value: int

    def __init__(self, value: int) -> None:
        self.value = value

    def increase(self) -> None:
        """Take a higher token."""
        self.value += TOKEN_STEP
        log_event("WARNING", "token_raised", token=self.value)


class RunnerLife:
    """One life of the worker.

    :ivar over: set once the life is known to be over.
    """

    registry: RunRegistry
    over: bool
    on_change: Callable[[], None]
    _kill_grace_s: float
    _worker: RunWorker
    _lease: RunnerLease
    _token: FencingToken
    _pace: PaceControl
    _calls: asyncio.Semaphore
    _stops: Slots
    _tasks: set["asyncio.Task[None]"]
    _pending_stops: set["asyncio.Task[None]"]
    _refusals: int
    _silent: bool
    _reported_at: float
    _end_stored: asyncio.Event

    def __init__(
        self,
        info: WorkerInfo,
        worker: RunWorker,
        lease: RunnerLease,
        token: FencingToken,
        on_change: Callable[[], None],
        kill_grace_s: float,
    ) -> None:
        self.registry = RunRegistry(info)
        self.over = False
        self.on_change = on_change
        self._kill_grace_s = kill_grace_s
        self._worker = worker
        self._lease = lease
        self._token = token
        self._pace = PaceControl()
        self._calls = asyncio.Semaphore(MAX_CONCURRENT_CALLS)
        self._stops = Slots(MAX_CONCURRENT_STOPS)
        self._tasks = set()
        self._pending_stops = set()
        self._refusals = 0
        self._silent = False
        self._reported_at = -1e9
        self._end_stored = asyncio.Event()

    @property
    def silent(self) -> bool:
        """Whether everything must have lapsed while the worker gave no answer."""
        return self._silent

    async def adopt(self) -> CallFailure | None:
        """List what runs there, without extending its lease; ``None`` where that worked."""
        sent_at = now()
        found = await self._worker.hold(self._token.value, 0, 0, 0)
        if isinstance(found, Err):
            if found.err_value is CallFailure.FENCED:
                self._token.increase()
            return found.err_value
        self._apply_view(found.ok_value, sent_at)
        return None

    async def watch(self) -> None:
        """List runs and ends, and renew the lease, until the life is over."""
        pause = MIN_LIST_PAUSE_S
        while not self.over:
            self._log_slow_stops()
            sent_at = now()
            found = await self._worker.hold(
                self._token.value,
                self.registry.stored_through,
                self._lease.worker_lease(awake_now()),
                LIST_WAIT_MS,
            )
            if isinstance(found, Ok):
                has_new_ends = self._apply_view(found.ok_value, sent_at)
                pause = MIN_LIST_PAUSE_S if has_new_ends else min(2 * pause, MAX_LIST_PAUSE_S)
                if found.ok_value.ended:
                    await self._pause(pause)
                continue
            self._handle_failure(found.err_value)
            if not self.over:
                await asyncio.sleep(RETRY_DELAY_S)

    async def _pause(self, max_s: float) -> None:
        """Wait for an end to be stored, for :data:`MIN_LIST_PAUSE_S` at least."""
        self._end_stored.clear()
        await asyncio.sleep(MIN_LIST_PAUSE_S)
        try:
            async with asyncio.timeout(max_s - MIN_LIST_PAUSE_S):
                await self._end_stored.wait()
        except TimeoutError:
            return

    def stored(self, name: RunName) -> None:
        """Note that the leader has stored an end."""
        self.registry.stored(name)
        self._end_stored.set()

    def _apply_view(self, view: WorkerView, sent_at: float) -> bool:
        """Take a list over; return whether it shows an end that is new."""
        self._refusals = 0
        if self._silent:
            self._silent = False
            log_event("INFO", "worker_regained", worker=self.registry.info.worker)
            self.on_change()
        self._lease.update_clock(view.clock_ms, awake_now())
        runs = dict(self.registry.runs)
        new = self.registry.apply_view(view, sent_at)
        for end in new:
            self._log_end(end, runs.get((end.task, end.attempt)))
        self._repeat_stops(view, sent_at)
        self._control_pace()
        # Each list with news goes to the leader at once: progress that is reported half a second
        # late looks like a run at half speed.
        if new or now() - self._reported_at >= PROGRESS_REPORT_INTERVAL_S:
            self._reported_at = now()
            self.on_change()
        return bool(new)

    def _repeat_stops(self, view: WorkerView, sent_at: float) -> None:
        """Stop what is listed and should not run.

        That is a run whose confirmed stop should have ended it by then, or one that counted as
        never started.

        :param sent_at: when the call that brought the list was sent.
        """
        for item in view.running:
            run = self.registry.runs.get((item.task, item.attempt))
            if run is None or run.phase is not RunPhase.STOPPING or run.stop_pending:
                continue
            if (
                run.stop_confirmed_at
                and sent_at <= run.stop_confirmed_at + self._kill_grace_s + KILL_GRACE_MARGIN_S
            ):
                continue
            event = "stop_repeated" if run.stop_confirmed_at else "end_disproved"
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
        """Log each stop that takes long, once; its end is logged with the same times."""
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
        if failure is CallFailure.FENCED:
            self._token.increase()
        elif failure is CallFailure.OTHER_LIFE:
            self.end("other_life")
        elif failure is CallFailure.REFUSED:
            self._refusals += 1
            if self._refusals >= MAX_REFUSED_CONNECTIONS:
                self.end("connection_refused")
        else:
            self._handle_no_answer()

    def _handle_no_answer(self) -> None:
        at = awake_now()
        self._lease.note_unanswered(at)
        if self._lease.all_expired(at) and not self._silent:
            # It may live on behind a fault of the path, but all its leases have run out.
            self._silent = True
            info = self.registry.info
            log_event("WARNING", "worker_silent", worker=info.worker, runs=len(self.registry.runs))
            self.on_change()

    def end(self, reason: str) -> None:
        """Note that the life is over, with all it ran."""
        if self.over:
            return
        self.over = True
        log_event(
            "WARNING",
            "worker_ended",
            worker=self.registry.info.worker,
            reason=reason,
            runs=len(self.registry.runs),
        )
        self.on_change()

    async def finish_stops(self) -> None:
        """Wait for the stops on their way, for a while: nobody else may come to send them."""
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
        """Stop all calls."""
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._worker.close()

    # Orders

    def start(self, order: StartOrder) -> None:
        """Carry out a start order; a repeated one changes nothing."""
        run = self.registry.accept(order)
        if run is not None:
            self._spawn(self._start(run, order))
        elif (order.task, order.attempt) in self.registry.ends:
            self.registry.report_again((order.task, order.attempt))
            self.on_change()

    def stop(self, order: StopOrder) -> None:
        """Carry out a stop order; a run that is not known here is sealed as well."""
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
            async with self._calls:
                if run.phase is not RunPhase.STARTING or self.over:
                    return
                if self._lease.unresponsive(awake_now()):
                    # A start may be carried out without an answer, so it would move the time on at
                    # which the runs of this life are known to be over.
                    reason = "worker_mute"
                    break
                found = await self._worker.start(self._start_call(order))
            if isinstance(found, Ok):
                self._lease.update_clock(found.ok_value.clock_ms, awake_now())
                answer = found.ok_value.answer
                if answer is StartAnswer.STARTED:
                    self.registry.started(run)
                    self.on_change()
                    await self._apply_initial_pace(run, order)
                    return
                reason = answer
                if answer is StartAnswer.FENCED:
                    self._token.increase()
                elif answer is not StartAnswer.TOO_LATE:
                    break
                continue
            reason = found.err_value
            if found.err_value is CallFailure.OTHER_LIFE:
                self.end("other_life")
                return
            run.maybe_sent = run.maybe_sent or found.err_value is CallFailure.NO_ANSWER
            await asyncio.sleep(RETRY_DELAY_S)
        await self._abandon_start(run, reason)

    def _start_call(self, order: StartOrder) -> StartCall:
        return StartCall(
            order.task,
            order.attempt,
            order.payload,
            order.saved,
            order.ticket,
            self._lease.start_deadline(awake_now(), START_DEADLINE_S),
            self._token.value,
        )

    async def _abandon_start(self, run: RunnerRun, reason: str) -> None:
        log_event(
            "WARNING",
            "start_given_up",
            task=run.task,
            attempt=run.attempt,
            reason=reason,
            maybe_sent=run.maybe_sent,
        )
        if run.phase is not RunPhase.STARTING:
            return
        if not run.maybe_sent:
            self.registry.refuse(run.name, reason)
            self.on_change()
            return
        run.refusal = reason
        self._begin_stop(run)

    async def _confirm_stop(self, run: RunnerRun) -> None:
        """Stop a run until the worker confirms it; the list then tells how it ended."""
        tries = 0
        while not self.over and self.registry.runs.get(run.name) is run:
            async with self._stops.slot(tries):
                found = await self._worker.stop(run.task, run.attempt, self._token.value)
            tries += 1
            if isinstance(found, Ok):
                run.stop_confirmed_at = now()
                run.stop_pending = False
                return
            if found.err_value is CallFailure.FENCED:
                self._token.increase()
            elif found.err_value is CallFailure.OTHER_LIFE:
                self.end("other_life")
                return
            await asyncio.sleep(RETRY_DELAY_S)

    # Pace

    def learn_interference(self, interference: list[ServingPress]) -> None:
        """Take over what the fleet has learnt of the pairs of images here."""
        self._pace.learn(interference)

    def _control_pace(self) -> None:
        """Slow the filling runs that press on the tail of a serving one."""
        runs = list(self.registry.runs.values())
        tails = [
            TailLatency(run.task, run.order.image, run.figure, run.order.target_ms)
            for run in runs
            if run.order is not None and run.order.target_ms and run.figure >= 0
        ]
        self._pace.update(
            tails, self.registry.filling_usage(), now(), self.registry.filling_demand()
        )
        for run in runs:
            if run.order is None or not run.order.fills or run.phase is not RunPhase.RUNNING:
                continue
            percent = self._pace.percent(run.order.image)
            # Small changes are left out: each costs a call.
            last_step = percent in (0, 100) and percent != run.paced
            if abs(run.paced - percent) >= MIN_PACE_CHANGE_PERCENT or last_step:
                self._record_pace(run, percent)
                self._spawn(self._set_pace(run, percent))

    async def _apply_initial_pace(self, run: RunnerRun, order: StartOrder) -> None:
        """Slow a new filling task at once where its neighbours are slowed.

        It would else work at full speed until the next list; six that started together drove a
        tail from 0.6 to 1.7 times its target within that half second.
        """
        if order.fills:
            self._pace.begin(order.image, self.registry.filling_demand())
        percent = self._pace.percent(order.image)
        if order.fills and percent < run.paced:
            self._record_pace(run, percent)
            await self._set_pace(run, percent)

    def _record_pace(self, run: RunnerRun, percent: int) -> None:
        log_event(
            "INFO",
            "pace",
            task=run.task,
            attempt=run.attempt,
            before=run.paced,
            percent=percent,
            worst=self._pace.worst,
        )
        run.paced = percent

    async def _set_pace(self, run: RunnerRun, percent: int) -> None:
        async with self._calls:
            found = await self._worker.pace(run.task, run.attempt, percent, self._token.value)
        if isinstance(found, Err) and run.paced == percent:
            # Unknown whether it works now; the next look sets it again.
            run.paced = UNKNOWN_PACE
