"""The durable part of an entry with an in-memory table and simulated agents."""

import asyncio
import inspect
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Concatenate, ParamSpec

from sapphirelead.entry_core import EntryCore
from sapphirelead.model_job import JobState
from sapphirelead.wire_messages import Accepted, AnyMessage, Offer, Start, Started
from tests.unit.fakes import FakeNet, MemoryTable, head, make_core, make_spec


def accepting(instance: str, message: AnyMessage) -> list[AnyMessage]:
    """Replies of an agent that accepts every offer and starts every task."""
    if isinstance(message, Offer):
        return [Accepted(**head(instance), offer_id=message.offer_id)]
    if isinstance(message, Start):
        return [Started(**head(instance), key=message.key, epoch=message.epoch)]
    return []


@dataclass
class World:
    """The durable part of one entry, an in-memory table and one registered instance ``a``."""

    core: EntryCore
    net: FakeNet
    memory: MemoryTable


P = ParamSpec("P")


def in_world(
    test: Callable[Concatenate[World, P], Awaitable[None]],
) -> Callable[P, Awaitable[None]]:
    """Set up the world inside the test, because fixtures run before the loop's clock is paused."""

    async def run(*args: P.args, **kwargs: P.kwargs) -> None:
        net = FakeNet()
        net.answer = accepting
        net.heartbeat("a", "i1", 1)
        memory = MemoryTable()
        core = make_core(memory, net)
        core.start()
        await until(lambda: ("a", "i1") in net.committed)
        world = World(core, net, memory)
        try:
            await test(world, *args, **kwargs)
        finally:
            await world.core.stop()

    signature = inspect.signature(test)
    run.__name__ = test.__name__
    run.__doc__ = test.__doc__
    others = [p for name, p in signature.parameters.items() if name != "world"]
    run.__signature__ = signature.replace(parameters=others)  # type: ignore[attr-defined]
    return run


async def until(condition: Callable[[], bool], limit_s: float = 30.0) -> None:
    deadline = asyncio.get_running_loop().time() + limit_s
    while not condition():
        assert asyncio.get_running_loop().time() < deadline, "condition not met"
        await asyncio.sleep(0.02)


def sent(net: FakeNet, instance: str, kind: type) -> list[AnyMessage]:
    return [message for message in net.sent[instance] if isinstance(message, kind)]


async def started(core: EntryCore, net: FakeNet, key: str, idempotent: bool = False) -> None:
    assert (await core.jobs.submit(make_spec(key, idempotent=idempotent), "")).is_ok()
    await until(lambda: bool(sent(net, "a", Start)))


async def state_of(core: EntryCore, key: str) -> JobState:
    job = (await core.jobs.get(key, 0)).unwrap()
    assert job is not None
    return job.state
