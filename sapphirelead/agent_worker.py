"""The agent's access to the worker: one session, the worker's clock, and task leases in its terms.

A worker obeys the newest session only, and its list of tasks names that session.  Sessions grow.

- A higher one than the agent's own: the agent was paused, and a newer one has taken the worker over
  and owns the instance.  The agent must stop.
- A lower one: the worker itself was restarted and has forgotten its sessions and its tasks.  The
  agent opens a session again, and finds in the list what is left.
"""

import asyncio
from collections.abc import Callable
from typing import Final, TypeVar

from result import Err, Ok, Result

from sapphirelead.clock import now
from sapphirelead.errors import Code, Failure
from sapphirelead.logs import log_event
from sapphirelead.model_lease import WorkerClock
from sapphirelead.ports import TaskSpec, Worker, WorkerView

T = TypeVar("T")

NO_SESSION: Final = -1
_CLOSED: Final = Err(Failure(Code.WORKER_UNAVAILABLE, "no session with the worker"))


class WorkerSession:
    """Calls to the worker under the agent's present session.

    :ivar healthy: whether the worker answered the last call.
    """

    healthy: bool
    _worker: Worker
    _session: int
    _clock: WorkerClock
    _incarnation: str
    _open_lock: asyncio.Lock
    _on_replaced: Callable[[], None]

    def __init__(self, worker: Worker, on_replaced: Callable[[], None]) -> None:
        self._worker = worker
        self._on_replaced = on_replaced
        self._session = NO_SESSION
        self._incarnation = ""
        self._open_lock = asyncio.Lock()
        self._clock = WorkerClock(0.0, 0.0)
        self.healthy = False

    async def open(self, incarnation: str) -> Result[WorkerView, Failure]:
        """Take the worker over; until that has succeeded every other call fails."""
        async with self._open_lock:
            self._session = NO_SESSION
            self._incarnation = incarnation
            opened = self._record_view(await self._worker.open_session(incarnation))
            if isinstance(opened, Ok):
                self._session = opened.ok_value.session
            return opened

    async def view(self) -> Result[WorkerView, Failure]:
        """List tasks, and find out whether the session still holds."""
        session = self._session
        if session == NO_SESSION:
            return await self.open(self._incarnation) if self._incarnation else _CLOSED
        viewed = self._record_view(await self._worker.view())
        if not isinstance(viewed, Ok) or viewed.ok_value.session == session:
            return viewed
        if session != self._session:
            return _CLOSED
        if viewed.ok_value.session > session:
            self._session = NO_SESSION
            self._incarnation = ""
            self._on_replaced()
            return _CLOSED
        log_event("WARNING", "worker_restarted", session=viewed.ok_value.session)
        return await self.open(self._incarnation)

    def lease_until(self, deadline: float) -> float:
        """Return the worker time that comes no later than loop time ``deadline``."""
        return self._clock.convert(deadline)

    async def start(self, spec: TaskSpec) -> Result[None, Failure]:
        """Start a task."""
        session = self._session
        if session == NO_SESSION:
            return _CLOSED
        return self._check_reachable(await self._worker.start(session, spec))

    async def renew(self, leases: dict[str, float]) -> Result[None, Failure]:
        """Move the leases of tasks, given in worker time."""
        session = self._session
        if session == NO_SESSION:
            return _CLOSED
        return self._check_reachable(await self._worker.renew(session, leases))

    async def throttle(self, key: str, share: float) -> Result[None, Failure]:
        """Limit a task to ``share`` of its processors."""
        session = self._session
        if session == NO_SESSION:
            return _CLOSED
        return self._check_reachable(await self._worker.throttle(session, key, share))

    async def checkpoint_stop(self, key: str) -> Result[str, Failure]:
        """Stop a task at an exact checkpoint and return its object key."""
        session = self._session
        if session == NO_SESSION:
            return _CLOSED
        return self._check_reachable(await self._worker.checkpoint_stop(session, key))

    async def stop(self, key: str) -> Result[None, Failure]:
        """Stop a task where it is."""
        session = self._session
        if session == NO_SESSION:
            return _CLOSED
        return self._check_reachable(await self._worker.stop(session, key))

    async def remove(self, key: str) -> Result[None, Failure]:
        """Make the worker forget an ended task."""
        session = self._session
        if session == NO_SESSION:
            return _CLOSED
        return self._check_reachable(await self._worker.remove(session, key))

    def _record_view(self, answer: Result[WorkerView, Failure]) -> Result[WorkerView, Failure]:
        self.healthy = isinstance(answer, Ok)
        if isinstance(answer, Ok):
            self._clock = WorkerClock(answer.ok_value.clock, now())
        return answer

    def _check_reachable(self, answer: Result[T, Failure]) -> Result[T, Failure]:
        unreachable = (Code.WORKER_UNAVAILABLE, Code.STORE_CONFLICT)
        if isinstance(answer, Err) and answer.err_value.code in unreachable:
            # A conflict is explained by the next view; until then nothing may be started.
            self.healthy = False
        return answer
