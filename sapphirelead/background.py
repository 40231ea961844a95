"""Background tasks: kept referenced, ended together, never failing in silence."""

import asyncio
import os
import traceback
from collections.abc import Callable, Coroutine
from typing import Any, Final

from sapphirelead.logs import log_event


class Background:
    """Tasks of one owner.

    An exception that escapes a task is a broken invariant: it is logged and handed to ``on_crash``,
    because a loop that has ended unseen (beats, lease checks) is worse than a stopped process.
    """

    _tasks: set[asyncio.Task[None]]
    _on_crash: Callable[[BaseException], None]

    def __init__(self, on_crash: Callable[[BaseException], None]) -> None:
        self._tasks = set()
        self._on_crash = on_crash

    def spawn(self, work: Coroutine[Any, Any, None], name: str) -> asyncio.Task[None]:
        """Run ``work`` until it ends or :meth:`close` is called."""
        task = asyncio.create_task(work, name=name)
        self._tasks.add(task)
        task.add_done_callback(self._ended)
        return task

    async def close(self) -> None:
        """Cancel what still runs and wait for its end."""
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
"""Exit code of a process that met a broken invariant."""


def _end_process(exc: BaseException) -> None:
    os._exit(EXIT_INVARIANT_VIOLATED)


_CRITICAL_TASKS: Final = Background(_end_process)


def spawn(work: Coroutine[Any, Any, None], name: str) -> asyncio.Task[None]:
    """Run a task without which the process is of no use; an exception in it ends the process.

    Otherwise the process would look alive and do nothing: it listens, but no message is handled
    any more.  After its restart it begins from what is stored.
    """
    return _CRITICAL_TASKS.spawn(work, name)
