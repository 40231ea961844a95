"""Background tasks: strong references, joint cancellation, and reporting of exceptions."""

import asyncio
import os
import traceback
from collections.abc import Callable, Coroutine
from typing import Any, Final

from sapphirelead.logs import log_event


class Background:
    """A group of background tasks with one owner.

    An exception that escapes a task is logged and passed to ``on_crash``, so that loops such as
    heartbeats and lease checks cannot stop unnoticed.
    """

    _tasks: set[asyncio.Task[None]]
    _on_crash: Callable[[BaseException], None]

    def __init__(self, on_crash: Callable[[BaseException], None]) -> None:
        self._tasks = set()
        self._on_crash = on_crash

    def spawn(self, work: Coroutine[Any, Any, None], name: str) -> asyncio.Task[None]:
        """Run ``work`` as a task until it ends or :meth:`close` cancels it."""
        task = asyncio.create_task(work, name=name)
        self._tasks.add(task)
        task.add_done_callback(self._ended)
        return task

    async def close(self) -> None:
        """Cancel the running tasks, except the current one, and wait for them to end."""
        tasks = [task for task in self._tasks if task is not asyncio.current_task()]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _ended(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if task.cancelled():
            return
        exc = task.exception()
        if exc is not None:
            frames = traceback.extract_tb(exc.__traceback__)
            where = f"{frames[-1].filename}:{frames[-1].lineno}" if frames else "-"
            log_event("ERROR", "task_crashed", task=task.get_name(), error=repr(exc), where=where)
            self._on_crash(exc)


EXIT_INVARIANT_VIOLATED: Final = 70
"""Exit code after an unhandled exception in a task started by :func:`spawn`."""


def _end_process(exc: BaseException) -> None:
    os._exit(EXIT_INVARIANT_VIOLATED)


_CRITICAL_TASKS: Final = Background(_end_process)


def spawn(work: Coroutine[Any, Any, None], name: str) -> asyncio.Task[None]:
    """Run a task that the process cannot work without; an exception in it ends the process.

    Otherwise the process would keep listening but no longer handle messages.  After a restart it
    recovers from the stored state.
    """
    return _CRITICAL_TASKS.spawn(work, name)
