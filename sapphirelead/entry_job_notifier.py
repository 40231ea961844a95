"""In-process notification of job state changes.

Committed changes are published to listeners, such as the scheduler, and to callers that wait for
the end of a job.  Nothing is stored: a change committed by another entry is found by polling the
row or scanning the shard.
"""

import asyncio
from collections.abc import Callable

from sapphirelead.entry_job_rows import StoredJob
from sapphirelead.logs import log_event
from sapphirelead.model_job import Job

Listener = Callable[[StoredJob], None]


class JobNotifier:
    """Publishes job state changes to listeners and the end of jobs to waiters."""

    _listeners: list[Listener]
    _waiters: dict[str, set["asyncio.Future[StoredJob]"]]

    def __init__(self) -> None:
        self._listeners = []
        self._waiters = {}

    def listen(self, listener: Listener) -> None:
        """Call ``listener`` with every published change."""
        self._listeners.append(listener)

    def publish(self, stored: StoredJob) -> None:
        """Notify listeners of a job's new value, and waiters if it ended."""
        for listener in self._listeners:
            listener(stored)
        if not stored.job.ended:
            return
        for fut in self._waiters.pop(stored.job.spec.key, set()):
            if not fut.done():
                fut.set_result(stored)

    def publish_committed(self, stored: StoredJob) -> None:
        """Publish and log a change that this entry committed."""
        self.publish(stored)
        _log_move(stored.job)

    async def wait_end(self, key: str, timeout_s: float) -> StoredJob | None:
        """Return the ended job, or ``None`` if no end was published within ``timeout_s``."""
        fut: asyncio.Future[StoredJob] = asyncio.get_running_loop().create_future()
        self._waiters.setdefault(key, set()).add(fut)
        try:
            async with asyncio.timeout(timeout_s):
                return await fut
        except TimeoutError:
            return None
        finally:
            waiting = self._waiters.get(key)
            if waiting is not None:
                waiting.discard(fut)
                if not waiting:
                    del self._waiters[key]


def _log_move(job: Job) -> None:
    """Log the current state of a job."""
    log_event(
        "INFO",
        "job_moved",
        job=job.spec.key,
        state=job.state,
        epoch=job.epoch,
        instance=job.holder.instance if job.holder else "",
        reason=job.reason,
        rule=job.rule,
    )
