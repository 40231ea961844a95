"""Stopping of tasks: at an exact checkpoint, or where they are.

Algorithm.  The order is given to the worker again and again until the worker's own list shows how
the task ended; an answer that was lost therefore changes nothing.  A task that ended by itself
before the order reached it is reported as it ended.

The worker writes a checkpoint after it has stopped the task, so a stopped task without one may have
one a moment later.  It is taken for lost only after it stayed without for ``CHECKPOINT_TIMEOUT_S``: the
difference decides whether a non-idempotent job resumes or ends as unknown.
"""

import asyncio
from collections.abc import Callable
from typing import Final

from result import Ok, Result

from sapphirelead.agent_task_table import Fate, Phase, StopOrder, Task, TaskOutcome
from sapphirelead.agent_worker import WorkerSession
from sapphirelead.background import Background
from sapphirelead.clock import now
from sapphirelead.errors import Failure
from sapphirelead.logs import log_event
from sapphirelead.ports import TaskInfo, TaskState

RETRY_INTERVAL_S: Final = 0.2
CHECKPOINT_TIMEOUT_S: Final = 2.0
LOST: Final = "lost"

FinishCallback = Callable[[Task, TaskOutcome], None]


class Stopper:
    """Carries stop orders out.

    :ivar finish: called with each task that ended and how.
    """

    _session: WorkerSession
    _background: Background
    finish: FinishCallback

    def __init__(
        self, session: WorkerSession, background: Background, finish: FinishCallback
    ) -> None:
        self._session = session
        self._background = background
        self.finish = finish

    def order(self, task: Task, order: StopOrder) -> None:
        """Stop ``task``; one that is still being started stops right after."""
        if task.phase is Phase.STARTING:
            task.order = task.order or order
        elif task.phase is Phase.RUNNING:
            task.phase = Phase.STOPPING
            task.order = order
            log_event("INFO", "task_stopping", job=task.key, epoch=task.epoch, reason=order.reason)
            self._background.spawn(self._stop(task, order), f"stop-{task.key}")
        elif task.phase is Phase.STOPPING and order.cancel:
            task.order = order

    async def _stop(self, task: Task, order: StopOrder) -> None:
        no_checkpoint_since: float | None = None
        while True:
            # A cancellation may come while a checkpoint is being made.
            order = task.order or order
            answer = await self._send_order(task, order)
            outcome = await self._find_outcome(task, order, answer)
            if (
                outcome
                and _lacks_checkpoint(outcome)
                and not order.cancel
                and outcome.reason != LOST
            ):
                no_checkpoint_since = now() if no_checkpoint_since is None else no_checkpoint_since
                outcome = outcome if now() - no_checkpoint_since >= CHECKPOINT_TIMEOUT_S else None
            if outcome:
                self.finish(task, outcome)
                return
            await asyncio.sleep(RETRY_INTERVAL_S)

    async def _send_order(self, task: Task, order: StopOrder) -> Result[str, Failure]:
        if order.cancel:
            return (await self._session.stop(task.key)).map(lambda _: "")
        return await self._session.checkpoint_stop(task.key)

    async def _find_outcome(
        self, task: Task, order: StopOrder, answer: Result[str, Failure]
    ) -> TaskOutcome | None:
        """Return how the task has ended by now, or ``None`` while it runs or that is unknown."""
        if isinstance(answer, Ok) and answer.ok_value:
            return TaskOutcome(Fate.STOPPED, reason=order.reason, checkpoint=answer.ok_value)
        viewed = await self._session.view()
        if not isinstance(viewed, Ok):
            return None
        info = find_task(viewed.ok_value.tasks, task)
        if info is None:
            return TaskOutcome(Fate.STOPPED, reason=LOST)
        outcome = outcome_of(info)
        if outcome and outcome.fate is Fate.STOPPED:
            return TaskOutcome(Fate.STOPPED, reason=order.reason, checkpoint=outcome.checkpoint)
        return outcome


def _lacks_checkpoint(outcome: TaskOutcome) -> bool:
    return outcome.fate is Fate.STOPPED and not outcome.checkpoint


def find_task(tasks: tuple[TaskInfo, ...], task: Task) -> TaskInfo | None:
    """Return the worker's record of ``task`` at its epoch."""
    return next((i for i in tasks if i.task_id == task.key and i.epoch == task.epoch), None)


def outcome_of(info: TaskInfo) -> TaskOutcome | None:
    """Return how the worker says the task ended, or ``None`` while it runs."""
    match info.state:
        case TaskState.SUCCEEDED:
            return TaskOutcome(Fate.COMPLETED, result=info.result)
        case TaskState.FAILED:
            return TaskOutcome(Fate.FAILED, result=info.result, reason=info.reason)
        case TaskState.STOPPED:
            return TaskOutcome(Fate.STOPPED, reason=info.reason, checkpoint=info.checkpoint)
        case TaskState.RUNNING:
            return None
