"""Connections of a list call whose caller is cancelled."""

import asyncio

import pytest

import sapphirelead.platform.worker as worker_module
from sapphirelead.model_worker_life import WorkerLife


class HangingWorker:
    """A client whose list call gets no answer."""

    def __init__(self) -> None:
        self.closed = False

    async def list_any_life(self, fencing_token: int) -> None:
        await asyncio.sleep(60)

    async def close(self) -> None:
        self.closed = True


@pytest.mark.asyncio
async def test_a_cancelled_list_call_closes_its_connections(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a descriptor that is lost each time a life is met while it is fenced."""
    client = HangingWorker()
    monkeypatch.setattr(worker_module.PlatformWorker, "connect", lambda *_: client)
    call = asyncio.create_task(worker_module.list_life(WorkerLife("w1/0"), "127.0.0.1:1", 1))
    await asyncio.sleep(0.01)
    call.cancel()
    await asyncio.gather(call, return_exceptions=True)
    assert client.closed
