"""The agent's session with the worker, and conversion of lease deadlines to the worker's clock.

A worker accepts calls of the newest session only, and each view names that session.  Session
numbers increase.  A higher number than the agent's own means that another agent has taken the
worker over, and this agent must stop.  A lower number means that the worker was restarted and lost
its sessions; the agent opens a new one.
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
    """Calls to the worker under the agent's current session.

    :ivar healthy: whether the last view or session succeeded and no later call failed because the
        worker was unavailable or the session outdated.
    :ivar leased_until: loop time until which tasks may have got leases at the worker.
    """

    healthy: bool
    leased_until: float
    _worker: Worker
    _session: int
    _clock: WorkerClock
    _incarnation: str
    _open_lock: asyncio.Lock
    _unanswered_since: float | None
    _on_replaced: Callable[[], None]

    def __init__(self, worker: Worker, on_replaced: Callable[[], None]) -> None:
        self._worker = worker
        self._on_replaced = on_replaced
        self._session = NO_SESSION
        self._incarnation = ""
        self._open_lock = asyncio.Lock()
        self._clock = WorkerClock(0.0, 0.0)
        self._unanswered_since = None
        self.healthy = False
        self.leased_until = float("-inf")

    def unanswered_s(self, at: float) -> float:
        """Return for how long the worker has left every call unanswered."""
        return at - self._unanswered_since if self._unanswered_since is not None else 0.0

    async def open(self, incarnation: str) -> Result[WorkerView, Failure]:
        """Open a new session; every other call fails until this has succeeded."""
        async with self._open_lock:
            self._session = NO_SESSION
            self._incarnation = incarnation
            opened = self._record_view(await self._worker.open_session(incarnation))
            if isinstance(opened, Ok):
                self._session = opened.ok_value.session
            return opened

    async def view(self) -> Result[WorkerView, Failure]:
        """List the worker's tasks and check that the session is still the newest."""
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
        """Convert the loop time until which a task is to get a lease to a worker time never later.

        The lease may be granted although the answer is lost, so it is recorded beforehand.
        """
        self.leased_until = max(self.leased_until, deadline)
        return self._clock.convert(deadline)

    async def start(self, spec: TaskSpec) -> Result[None, Failure]:
        """Start a task."""
        session = self._session
        if session == NO_SESSION:
            return _CLOSED
        return self._update_health(await self._worker.start(session, spec))

    async def renew(self, leases: dict[str, float]) -> Result[None, Failure]:
        """Extend the leases of tasks; times are in worker time."""
        session = self._session
        if session == NO_SESSION:
            return _CLOSED
        return self._update_health(await self._worker.renew(session, leases))

    async def throttle(self, key: str, share: float) -> Result[None, Failure]:
        """Limit a task to ``share`` of its CPU."""
        session = self._session
        if session == NO_SESSION:
            return _CLOSED
        return self._update_health(await self._worker.throttle(session, key, share))

    async def checkpoint_stop(self, key: str) -> Result[str, Failure]:
        """Stop a task at a checkpoint and return the object key of the checkpoint."""
        session = self._session
        if session == NO_SESSION:
            return _CLOSED
        return self._update_health(await self._worker.checkpoint_stop(session, key))

    async def stop(self, key: str) -> Result[None, Failure]:
        """Stop a task without a checkpoint."""
        session = self._session
        if session == NO_SESSION:
            return _CLOSED
        return self._update_health(await self._worker.stop(session, key))

    async def remove(self, key: str) -> Result[None, Failure]:
        """Remove an ended task from the worker."""
        session = self._session
        if session == NO_SESSION:
            return _CLOSED
        return self._update_health(await self._worker.remove(session, key))

    def _record_view(self, answer: Result[WorkerView, Failure]) -> Result[WorkerView, Failure]:
        self._record_answer(answer)
        self.healthy = isinstance(answer, Ok)
        if isinstance(answer, Ok):
            self._clock = WorkerClock(answer.ok_value.clock, now())
        return answer

    def _record_answer(self, answer: Result[T, Failure]) -> None:
        if isinstance(answer, Ok) or answer.err_value.code is not Code.WORKER_UNAVAILABLE:
            self._unanswered_since = None
        elif self._unanswered_since is None:
            self._unanswered_since = now()

    def _update_health(self, answer: Result[T, Failure]) -> Result[T, Failure]:
        self._record_answer(answer)
        unhealthy_codes = (Code.WORKER_UNAVAILABLE, Code.STORE_CONFLICT)
        if isinstance(answer, Err) and answer.err_value.code in unhealthy_codes:
            # After a conflict nothing may be started until the next view has checked the session.
            self.healthy = False
        return answer
