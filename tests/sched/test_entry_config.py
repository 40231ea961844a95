"""Tests of the configuration version that an entry uses."""

import zmq.asyncio

from sapphirelead.node_entry import EntryNode, FleetEntry
from sapphirelead.node_messages import EntryAddress
from sapphirelead.sched_config import QueueConfig, Route
from sapphirelead.sched_timing import Bounds
from tests.sched.fakes import POLICY, NoAdvice
from tests.unit.fakes import MemoryTable


async def test_older_configuration_is_ignored() -> None:
    """Guards against a slow reply that restores an older version, and with it a removed route."""
    node = EntryNode(EntryAddress("e1", "127.0.0.1", 1), "z", Bounds())
    ctx = zmq.asyncio.Context()
    try:
        entry = FleetEntry(node, MemoryTable(), NoAdvice(), ctx)
        for version, queue in ((2, "new"), (1, "old"), (2, "same"), (3, "newer")):
            entry.set_config(
                QueueConfig.from_routes(version, [Route("h", "/q/", queue)], {queue: POLICY})
            )
            assert entry.config.version == max(2, version)
            assert list(entry.config.queues) == ["newer" if version == 3 else "new"]
    finally:
        ctx.destroy(linger=0)
