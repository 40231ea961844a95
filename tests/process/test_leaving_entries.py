"""Rolling restarts of entries while callers keep their connections open."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass

import aiohttp
import msgspec

from sapphirelead.http_guard import HttpGuard
from sapphirelead.http_limits import HttpLimits
from sapphirelead.node_leaving import leave
from sapphirelead.platform.ingress import Ingress
from sapphirelead.platform.node_file import Address
from tests.process.test_fleet import HOST, Fleet, fleet

FIRST_CALLER_PORT = 24_450
SUBMISSION = msgspec.json.encode({"spec": "x", "steps": [{"count": 1, "cpu": 100}]})
DEADLINE_MS = 3_000


@dataclass
class CallerFleet:
    """A fleet whose entries also accept HTTP requests."""

    made: Fleet
    ingresses: dict[str, Ingress]
    ports: dict[str, int]
    session: aiohttp.ClientSession

    async def submit(self, entry: str, job_id: str) -> int:
        """Submit a job over a connection that may be open already; return the status."""
        url = f"http://{HOST}:{self.ports[entry]}/q/{job_id}"
        headers = {"Host": "h", "X-Deadline-Ms": str(DEADLINE_MS)}
        async with self.session.post(url, data=SUBMISSION, headers=headers) as answer:
            await answer.read()
            return answer.status

    async def stop(self, entry: str) -> None:
        """Stop an entry as its process does."""
        await leave(self.made.entries[entry], self.ingresses[entry])
        await self.made.entries[entry].stop()


@asynccontextmanager
async def caller_fleet() -> AsyncIterator[CallerFleet]:
    """Run a fleet that accepts HTTP requests."""
    async with fleet() as made, aiohttp.ClientSession() as session:
        limits = HttpLimits.from_machine(300, 4_100)
        ingresses = {
            name: Ingress(entry, HttpGuard(limits, entry.metrics))
            for name, entry in made.entries.items()
        }
        ports = {}
        for number, (name, ingress) in enumerate(ingresses.items()):
            ports[name] = FIRST_CALLER_PORT + 2 * number
            address = Address(HOST, ports[name])
            await ingress.start(address, Address(HOST, ports[name] + 1))
        yield CallerFleet(made, ingresses, ports, session)


async def test_a_submission_at_a_leaving_entry_gets_an_answer() -> None:
    """Guards against closing a connection with an unanswered request in a rolling restart.

    A submission at a leaving entry may wait for a leader until its deadline.
    """
    async with caller_fleet() as site:
        leader = await site.made.leader()
        await asyncio.sleep(1)
        first, second = (name for name in site.made.entries if name != leader)
        assert await site.submit(first, "a0") == 200
        stops = [asyncio.create_task(site.stop(first))]
        await asyncio.sleep(1.05)
        stops.append(asyncio.create_task(site.stop(second)))
        await asyncio.sleep(1.05)
        stops.append(asyncio.create_task(site.stop(leader)))
        await asyncio.sleep(0.05)
        assert await site.submit(first, "a1") in (200, 503, 504)
        await asyncio.gather(*stops)


async def test_a_stopping_leader_leads_until_a_successor_is_available() -> None:
    """Guards against a leader that resigns in favour of an entry that is shutting down itself."""

    async with caller_fleet() as site:
        leader = await site.made.leader()
        await asyncio.sleep(1)
        others = [name for name in site.made.entries if name != leader]
        stops = [asyncio.create_task(site.stop(name)) for name in others]
        await asyncio.sleep(0.5)
        stops.append(asyncio.create_task(site.stop(leader)))
        await asyncio.sleep(0.5)
        assert await site.submit(others[0], "a1") == 200
        await asyncio.gather(*stops[:2])
        back = await site.made.start_entry(others[0])
        async with asyncio.timeout(1.5):
            while back.serving_leader() is None:
                await asyncio.sleep(0.02)
        await site.made.until_state(others[0], "a1", "completed", 5)
        await asyncio.gather(*stops)
