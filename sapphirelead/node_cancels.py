"""Cancellations that an entry has taken and no leader has confirmed yet.

A caller waits for less time than a leader that has fallen behind may need.  Its cancellation goes
on without it, until a leader has stored it or says that there is no such job; cancelling is
idempotent.
"""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any, Final

from sapphirelead.logs import log_event
from sapphirelead.node_messages import Reply, ReplyKind

KEPT_S: Final = 30.0
"""How long a cancellation is passed on: the longest deadline that a caller may set."""

KEPT_MOST: Final = 1_000
"""Jobs whose cancellation is passed on at a time; each takes one message every few seconds."""

SETTLED: Final = frozenset({ReplyKind.OK, ReplyKind.ABSENT})
"""Replies after which there is nothing left to cancel."""


class PendingCancels:
    """One task for each job that is being cancelled at an entry."""

    _tasks: dict[str, "asyncio.Task[Reply]"]

    def __init__(self) -> None:
        self._tasks = {}

    def join(
        self, job_id: str, carry_out: Callable[[], Coroutine[Any, Any, Reply]]
    ) -> "asyncio.Task[Reply] | None":
        """Return the cancellation of a job, begun by ``carry_out`` if none is in progress.

        ``None`` where :data:`KEPT_MOST` jobs are being cancelled already.
        """
        task = self._tasks.get(job_id)
        if task is not None:
            return task
        if len(self._tasks) >= KEPT_MOST:
            log_event("WARNING", "cancel_refused", job=job_id, pending=len(self._tasks))
            return None
        task = asyncio.create_task(carry_out(), name="cancel")
        self._tasks[job_id] = task
        task.add_done_callback(lambda ended: self._ended(job_id, ended))
        return task

    async def settled(self, patience_s: float) -> None:
        """Wait for the end of those in progress, for ``patience_s`` at most."""
        if self._tasks:
            await asyncio.wait(list(self._tasks.values()), timeout=max(patience_s, 0.0))

    async def stop(self) -> None:
        """Give up what is not settled; the process ends."""
        tasks = list(self._tasks.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _ended(self, job_id: str, task: "asyncio.Task[Reply]") -> None:
        del self._tasks[job_id]
        if task.cancelled():
            log_event("WARNING", "cancel_given_up", job=job_id, reason="the entry ends")
        elif (exc := task.exception()) is not None:
            log_event("ERROR", "cancel_given_up", job=job_id, reason=repr(exc))
        elif task.result().kind not in SETTLED:
            log_event("WARNING", "cancel_given_up", job=job_id, reason=task.result().detail)
