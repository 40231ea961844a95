"""Sessions of two agents with a worker whose session numbers start anew when it restarts."""

from typing import Any, cast

import pytest
from result import Err, Ok, Result

from sapphirelead.agent_worker import WorkerSession
from sapphirelead.errors import Failure
from sapphirelead.ports import WorkerView


class RestartingWorker:
    """A worker that counts its sessions."""

    def __init__(self) -> None:
        self.session = 0

    async def open_session(self, incarnation: str) -> Result[WorkerView, Failure]:
        self.session += 1
        return await self.view()

    async def view(self) -> Result[WorkerView, Failure]:
        return Ok(WorkerView(self.session, 0.0, ()))


@pytest.mark.asyncio
async def test_a_session_is_replaced_although_the_worker_has_restarted_in_between() -> None:
    """Guards against two agents that both start tasks on a worker, under equal session numbers."""
    worker = RestartingWorker()
    replaced: list[str] = []
    first = WorkerSession(cast(Any, worker), lambda: replaced.append("first"))
    second = WorkerSession(cast(Any, worker), lambda: replaced.append("second"))
    await first.open("agent/1")
    worker.session = 0
    await second.open("agent/2")
    assert isinstance(await first.view(), Err)
    assert replaced == ["first"]
