"""Stops tasks, at a checkpoint or, if their progress is not needed, immediately.

The order is repeated until the worker's response or list shows the outcome, so lost responses are
harmless.  A task that ended by itself before the order took effect keeps its own outcome.

The worker writes the checkpoint after it has stopped the task.  A stopped task without a checkpoint
is therefore rechecked for ``CHECKPOINT_TIMEOUT_S`` before the checkpoint is considered lost.
"""

import asyncio
from collections.abc import Callable
from typing import Final

from result import Ok, Result

from sapphirelead.agent_task_table import ClaimOutcome, Phase, StopOrder, Task, TaskOutcome
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
    """Executes stop orders.

    :ivar finish: called with each stopped task and its outcome.
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
        """Stop ``task``; one that is still starting is stopped once it runs."""
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
        while not task.outcome:
            # The order may have become a cancellation while the checkpoint was being written.
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
        """Return the outcome, or ``None`` if the task still runs or its state is unknown."""
        if isinstance(answer, Ok) and answer.ok_value:
            return TaskOutcome(
                ClaimOutcome.STOPPED, reason=order.reason, checkpoint=answer.ok_value
            )
        viewed = await self._session.view()
        if not isinstance(viewed, Ok):
            return None
        info = find_task(viewed.ok_value.tasks, task)
        if info is None:
            return TaskOutcome(ClaimOutcome.STOPPED, reason=LOST)
        outcome = outcome_of(info)
        if outcome and outcome.claim_outcome is ClaimOutcome.STOPPED:
            return TaskOutcome(
                ClaimOutcome.STOPPED, reason=order.reason, checkpoint=outcome.checkpoint
            )
        return outcome


def _lacks_checkpoint(outcome: TaskOutcome) -> bool:
    return outcome.claim_outcome is ClaimOutcome.STOPPED and not outcome.checkpoint


def find_task(tasks: tuple[TaskInfo, ...], task: Task) -> TaskInfo | None:
    """Return the worker's record of ``task`` with the same epoch, if any."""
    return next((i for i in tasks if i.task_id == task.key and i.epoch == task.epoch), None)


def outcome_of(info: TaskInfo) -> TaskOutcome | None:
    """Return the outcome that the worker reports, or ``None`` while the task runs."""
    match info.state:
        case TaskState.SUCCEEDED:
            return TaskOutcome(ClaimOutcome.COMPLETED, result=info.result)
        case TaskState.FAILED:
            return TaskOutcome(ClaimOutcome.FAILED, result=info.result, reason=info.reason)
        case TaskState.STOPPED:
            return TaskOutcome(ClaimOutcome.STOPPED, reason=info.reason, checkpoint=info.checkpoint)
        case TaskState.RUNNING:
            return None
