"""Cancellations that an entry has accepted and no leader has confirmed yet.

A cancellation continues after its caller's timeout, until a leader has stored it or reports that
there is no such job.  Cancelling is idempotent.
"""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any, Final

from sapphirelead.logs import log_event
from sapphirelead.node_messages import Reply, ReplyKind

PENDING_CANCEL_TIMEOUT_S: Final = 30.0
"""Time after which an unconfirmed cancellation is abandoned."""

MAX_PENDING_CANCELS: Final = 1_000
"""Bound on jobs with pending cancellations; limits the messages to the leader."""

CONFIRMED_KINDS: Final = frozenset({ReplyKind.OK, ReplyKind.ABSENT})
"""Reply kinds that end a cancellation."""


class PendingCancels:
    """The pending cancellations: per job, at most one task in progress and one queued after it."""

    _tasks: dict[str, list["asyncio.Task[Reply]"]]

    def __init__(self) -> None:
        self._tasks = {}

    def join(
        self, job_id: str, carry_out: Callable[[], Coroutine[Any, Any, Reply]]
    ) -> "asyncio.Task[Reply] | None":
        """Start or join a cancellation of a job, and return its task.

        A caller joins only a cancellation that has not been sent to a leader, since the reply to
        one in progress may predate its request.  Returns ``None`` if :data:`MAX_PENDING_CANCELS`
        jobs have pending cancellations.

        :param carry_out: forwards the cancellation to the leader.
        """
        tasks = self._tasks.get(job_id)
        if tasks is None:
            if len(self._tasks) >= MAX_PENDING_CANCELS:
                log_event("WARNING", "cancel_refused", job=job_id, pending=len(self._tasks))
                return None
            tasks = self._tasks[job_id] = []
        if len(tasks) == 2:
            return tasks[1]
        work = _run_after(tasks[0], carry_out) if tasks else carry_out()
        task = asyncio.create_task(work, name="cancel")
        tasks.append(task)
        task.add_done_callback(lambda ended: self._on_done(job_id, ended))
        return task

    async def wait_all(self, timeout_s: float) -> None:
        """Wait up to ``timeout_s`` for the pending cancellations to end."""
        if tasks := self._all_tasks():
            await asyncio.wait(tasks, timeout=max(timeout_s, 0.0))

    async def stop(self) -> None:
        """Abandon the pending cancellations."""
        tasks = self._all_tasks()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _all_tasks(self) -> list["asyncio.Task[Reply]"]:
        return [task for tasks in self._tasks.values() for task in tasks]

    def _on_done(self, job_id: str, task: "asyncio.Task[Reply]") -> None:
        self._tasks[job_id].remove(task)
        if not self._tasks[job_id]:
            del self._tasks[job_id]
        if task.cancelled():
            log_event("WARNING", "cancel_given_up", job=job_id, reason="process is stopping")
        elif (exc := task.exception()) is not None:
            log_event("ERROR", "cancel_given_up", job=job_id, reason=repr(exc))
        elif task.result().kind not in CONFIRMED_KINDS:
            log_event("WARNING", "cancel_given_up", job=job_id, reason=task.result().detail)


async def _run_after(
    first: "asyncio.Task[Reply]", carry_out: Callable[[], Coroutine[Any, Any, Reply]]
) -> Reply:
    """Wait for an earlier cancellation of the job, and carry out another unless it was stored."""
    await asyncio.wait({first})
    if not first.cancelled() and first.exception() is None and first.result().kind is ReplyKind.OK:
        return first.result()
    return await carry_out()
