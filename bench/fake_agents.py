"""Many small agents in one process, for measuring what an entry spends on them.

Usage:
  fake_agents --host=HOST --control=PORT --first=N --count=N [--zone=ZONE]
      [--beat-s=SECONDS] [--run-ms=MS]

Each has a control lane only: it announces itself, beats, takes every offer and reports every start
as completed after ``--run-ms``.  It prints one line ``ready`` and then runs until it is stopped.
"""

import asyncio
import secrets
from typing import Any, Final

import zmq.asyncio
from docopt import docopt
from result import Ok

from sapphirelead.wire_codec import decode
from sapphirelead.wire_messages import (
    Accepted,
    Amount,
    Announce,
    AnyMessage,
    Completed,
    EndAck,
    Heartbeat,
    Offer,
    Start,
    Started,
)
from sapphirelead.wire_sockets import connect_dealer, make_context, send

CAPACITY: Final = Amount(64_000, 250_000, 2)
REPEAT_S: Final = 1.0


class FakeAgent:
    """The control channel of an agent."""

    _name: str
    _incarnation: str
    _zone: str
    _sock: zmq.asyncio.Socket
    _run_s: float
    _counter: int
    _unacked: dict[tuple[str, int], Completed]

    def __init__(self, ctx: zmq.asyncio.Context, args: dict[str, Any], number: int) -> None:
        self._name = f"fake-{number:05d}"
        self._incarnation = secrets.token_hex(4)
        self._zone = args["--zone"] or "z1"
        identity = f"{self._name}|{self._incarnation}|control|1"
        self._sock = connect_dealer(ctx, identity, args["--host"], int(args["--control"]), 5.0)
        self._run_s = int(args["--run-ms"] or 0) / 1000
        self._counter = 0
        self._unacked = {}

    def _head(self) -> dict[str, Any]:
        return {"sender": self._name, "incarnation": self._incarnation, "config_version": 0}

    async def run(self, heartbeat_interval_s: float) -> None:
        """Announce the agent, then send heartbeats until cancelled."""
        announce = Announce(
            **self._head(),
            zone=self._zone,
            rack="r1",
            capacity=CAPACITY,
            slots=8,
            connections=64,
            services=["checks"],
        )
        while not await send(self._sock, announce):
            await asyncio.sleep(0.2)
        receiving = asyncio.create_task(self._receive())
        try:
            while True:
                await send(self._sock, self._make_heartbeat())
                for report in list(self._unacked.values()):
                    await send(self._sock, report)
                await asyncio.sleep(heartbeat_interval_s)
        finally:
            receiving.cancel()

    def _make_heartbeat(self) -> Heartbeat:
        self._counter += 1
        return Heartbeat(
            **self._head(),
            counter=self._counter,
            zone=self._zone,
            draining=False,
            slots_used=2,
            slots=8,
            connections_used=4,
            connections=64,
            free=CAPACITY,
            tasks=10,
        )

    async def _receive(self) -> None:
        while True:
            found = decode(await self._sock.recv())
            if isinstance(found, Ok):
                await self._answer(found.ok_value)

    async def _answer(self, message: AnyMessage) -> None:
        if isinstance(message, Offer):
            await send(self._sock, Accepted(**self._head(), offer_id=message.offer_id))
        elif isinstance(message, Start):
            await send(self._sock, Started(**self._head(), key=message.key, epoch=message.epoch))
            asyncio.get_running_loop().call_later(self._run_s, self._end, message)
        elif isinstance(message, EndAck):
            self._unacked.pop((message.key, message.epoch), None)

    def _end(self, start: Start) -> None:
        done = Completed(**self._head(), key=start.key, epoch=start.epoch, ok=True)
        self._unacked[start.key, start.epoch] = done
        task = asyncio.ensure_future(send(self._sock, done))
        task.add_done_callback(lambda fut: fut.exception())


async def main(args: dict[str, Any]) -> None:
    """Run the agents."""
    ctx = make_context()
    ctx.set(zmq.MAX_SOCKETS, 8192)
    first = int(args["--first"])
    agents = [FakeAgent(ctx, args, first + n) for n in range(int(args["--count"]))]
    heartbeat_interval_s = float(args["--beat-s"] or 1.0)
    print("ready", flush=True)
    async with asyncio.TaskGroup() as group:
        for agent in agents:
            group.create_task(agent.run(heartbeat_interval_s))
            await asyncio.sleep(heartbeat_interval_s / len(agents))


if __name__ == "__main__":
    asyncio.run(main(docopt(__doc__)))
