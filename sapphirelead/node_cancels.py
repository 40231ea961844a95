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

PENDING_CANCEL_TIMEOUT_S: Final = 30.0
"""How long a cancellation is passed on."""

MAX_PENDING_CANCELS: Final = 1_000
"""Jobs whose cancellation is passed on at a time; bounds the messages to the leader."""

CONFIRMED_KINDS: Final = frozenset({ReplyKind.OK, ReplyKind.ABSENT})
"""Replies after which there is nothing left to cancel."""


class PendingCancels:
    """At most two tasks for each job that is being cancelled: one passed on, and one after it."""

    _tasks: dict[str, list["asyncio.Task[Reply]"]]

    def __init__(self) -> None:
        self._tasks = {}

    def join(
        self, job_id: str, carry_out: Callable[[], Coroutine[Any, Any, Reply]]
    ) -> "asyncio.Task[Reply] | None":
        """Return a cancellation of a job that no leader has been asked for yet.

        ``None`` where :data:`MAX_PENDING_CANCELS` jobs are being cancelled already.

        :param carry_out: passes the cancellation on.
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
        """Wait for the end of those in progress, for ``timeout_s`` at most."""
        if tasks := self._all_tasks():
            await asyncio.wait(tasks, timeout=max(timeout_s, 0.0))

    async def stop(self) -> None:
        """Give up what is not settled; the process ends."""
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
            log_event("WARNING", "cancel_given_up", job=job_id, reason="the entry ends")
        elif (exc := task.exception()) is not None:
            log_event("ERROR", "cancel_given_up", job=job_id, reason=repr(exc))
        elif task.result().kind not in CONFIRMED_KINDS:
            log_event("WARNING", "cancel_given_up", job=job_id, reason=task.result().detail)


async def _run_after(
    first: "asyncio.Task[Reply]", carry_out: Callable[[], Coroutine[Any, Any, Reply]]
) -> Reply:
    """Wait for another cancellation of the job; carry out a second one unless it was stored."""
    await asyncio.wait({first})
    if not first.cancelled() and first.exception() is None and first.result().kind is ReplyKind.OK:
        return first.result()
    return await carry_out()
