"""Applies the state transitions of jobs that agents report.

A report may reach any entry, late, repeated, or after the job changed state.  It is applied by
reading the row, computing the next state and committing it under the row's version; a conflict is
retried.  A report is acknowledged only once its transition is committed or the row shows that it no
longer applies.  Agents repeat unacknowledged reports, so none is lost.
"""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any, Final

from result import Err, Result

from sapphirelead.entry_job_notifier import JobNotifier
from sapphirelead.entry_job_rows import JobRows, StoredJob
from sapphirelead.entry_ports import Channel, ConfigService, Links, Stamp
from sapphirelead.errors import Code, Failure
from sapphirelead.logs import log_event
from sapphirelead.model_config import JobClassPolicy
from sapphirelead.model_job import Holder, Job, JobState
from sapphirelead.ports import Condition
from sapphirelead.wire_messages import Checkpointed, Completed, EndAck

MAX_COMMIT_ATTEMPTS: Final = 5

Transition = Callable[[Job], Result[Job, Failure]]


class JobMoves:
    """Applies state transitions and acknowledges reports."""

    _rows: JobRows
    _notifier: JobNotifier
    _links: Links
    _config: ConfigService
    _stamp: Stamp
    _running: dict[tuple[str, str, int], "asyncio.Task[None]"]

    def __init__(
        self,
        rows: JobRows,
        notifier: JobNotifier,
        links: Links,
        config: ConfigService,
        stamp: Stamp,
    ) -> None:
        self._rows = rows
        self._notifier = notifier
        self._links = links
        self._config = config
        self._stamp = stamp
        self._running = {}
        links.on(Completed, self._on_completed)
        links.on(Checkpointed, self._on_checkpointed)

    def max_attempts(self, job: Job) -> int:
        """Return the maximum number of failed attempts for a job of this class."""
        policy = self._config.current.document.job_classes.get(job.spec.job_class)
        return (policy or JobClassPolicy()).max_attempts

    def run_once(self, name: str, key: str, epoch: int, work: Coroutine[Any, Any, None]) -> None:
        """Run ``work`` in the background unless work of the same name, key and epoch is running."""
        work_id = (name, key, epoch)
        if work_id in self._running:
            work.close()
            return
        task = asyncio.create_task(work, name=f"{name}:{key}")
        self._running[work_id] = task
        task.add_done_callback(lambda _: self._running.pop(work_id, None))

    async def stop(self) -> None:
        """Wait up to 1 s for transitions in progress, then cancel them; agents repeat reports."""
        tasks = list(self._running.values())
        if tasks:
            _, late = await asyncio.wait(tasks, timeout=1.0)
            for task in late:
                task.cancel()

    async def apply(
        self, key: str, epoch: int, transition: Transition, guards: tuple[Condition, ...] = ()
    ) -> bool:
        """Apply ``transition`` to the claim at ``epoch``; return whether it is settled.

        Settled means committed, or no longer applicable: the row is at another epoch or ended.
        """
        for _ in range(MAX_COMMIT_ATTEMPTS):
            found = await self._rows.read(key)
            if isinstance(found, Err):
                return False
            stored = found.ok_value
            if stored is None or stored.job.ended or stored.job.epoch != epoch:
                return True
            if stored.job.state is not JobState.CLAIMED:
                return True
            moved = await self._move(stored, transition, guards)
            if moved is not None:
                return moved
        return False

    async def _move(
        self, stored: StoredJob, transition: Transition, guards: tuple[Condition, ...]
    ) -> bool | None:
        """Commit one transition; ``None`` means that the row changed and must be read again."""
        updated = transition(stored.job)
        if isinstance(updated, Err):
            log_event("WARNING", "move_refused", reason=updated.err_value.message)
            return True
        moved = await self._rows.move(stored, updated.ok_value, guards)
        if isinstance(moved, Err):
            return None if moved.err_value.code is Code.STORE_CONFLICT else False
        _log_loss(stored.job, moved.ok_value.job)
        self._notifier.publish_committed(moved.ok_value)
        return True

    async def release_unstarted(self, key: str, epoch: int, reporter: Holder, reason: str) -> None:
        """Requeue a claim whose holder, ``reporter``, reports that it never started."""

        def transition(job: Job) -> Result[Job, Failure]:
            if job.holder != reporter:
                return Err(Failure(Code.ILLEGAL_MOVE, f"{reporter} does not hold {key!r}"))
            return job.release_unstarted(epoch, reason)

        await self.apply(key, epoch, transition)

    def _on_completed(self, message: Completed) -> None:
        self.run_once("end", message.key, message.epoch, self._completed(message))

    def _on_checkpointed(self, message: Checkpointed) -> None:
        self.run_once("end", message.key, message.epoch, self._checkpointed(message))

    async def _completed(self, message: Completed) -> None:
        def transition(job: Job) -> Result[Job, Failure]:
            if job.holder is None or job.holder.instance != message.sender:
                return Err(Failure(Code.ILLEGAL_MOVE, f"{message.sender} does not hold {job!r}"))
            if message.ok:
                return job.complete(message.epoch, message.result)
            return job.fail(message.epoch, message.reason, self.max_attempts(job))

        if await self.apply(message.key, message.epoch, transition):
            await self._acknowledge(message.sender, message.key, message.epoch)

    async def _checkpointed(self, message: Checkpointed) -> None:
        def transition(job: Job) -> Result[Job, Failure]:
            if job.holder is None or job.holder.instance != message.sender:
                return Err(Failure(Code.ILLEGAL_MOVE, f"{message.sender} does not hold {job!r}"))
            if message.checkpoint:
                return job.checkpointed(message.epoch, message.checkpoint)
            if job.cancel_requested:
                return job.stopped(message.epoch)
            return job.lose_holder(message.epoch, message.reason)

        if await self.apply(message.key, message.epoch, transition):
            await self._acknowledge(message.sender, message.key, message.epoch)

    async def _acknowledge(self, instance: str, key: str, epoch: int) -> None:
        ack = EndAck(
            **self._stamp.head(self._config.current.version),
            key=key,
            epoch=epoch,
        )
        await self._links.send(instance, Channel.CONTROL, ack)


def _log_loss(before: Job, after: Job) -> None:
    """Log the instance that was lost, if the transition records a loss."""
    if after.losses <= before.losses or before.holder is None:
        return
    log_event(
        "WARNING",
        "claim_lost",
        job=after.spec.key,
        epoch=after.epoch,
        instance=before.holder.instance,
        losses=after.losses,
        reason=after.reason,
    )
