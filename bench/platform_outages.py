"""Faults of the platform soak that strike many processes or connections at one moment."""

import asyncio
import random
from typing import Final

from bench.platform_callers import Callers
from bench.platform_site import Node, Site

ENTRY_DOWNTIMES_S: Final = (0.5, 1.0, 5.0, 6.0, 7.0, 10.0)
"""Shorter than, as long as and longer than a lease of 6 s."""

LEADER_HEAD_START_S: Final = 0.5
"""Time by which the leader's entry is back before or after the others."""

AGENT_DOWNTIMES_S: Final = (0.1, 1.0)
SECOND_KILL_AFTER_S: Final = (0.0, 3.0)
"""Time from the return of all entries to a second kill."""

REFUSAL_DURATIONS_S: Final = (0.6, 5.0)
KILL_AFTER_REFUSAL_S: Final = (1.0, 3.0)


async def kill_all_entries(site: Site, _: Callers, rng: random.Random) -> None:
    """Kill all entries at once, sometimes twice in quick succession."""
    await site.restart_together(_entry_downtimes(site, rng))
    if rng.random() < 1 / 3:
        await asyncio.sleep(rng.uniform(*SECOND_KILL_AFTER_S))
        await site.restart_together(_entry_downtimes(site, rng))


async def kill_all_processes(site: Site, _: Callers, rng: random.Random) -> None:
    """Kill all entries with a third of the agents or all of them; the workers run on."""
    count = rng.choice([_third_of(len(site.agents)), len(site.agents)])
    agents = rng.sample(site.agents, count)
    downtimes = [(agent, rng.uniform(*AGENT_DOWNTIMES_S)) for agent in agents]
    await site.restart_together([*_entry_downtimes(site, rng), *downtimes])


async def reset_all_connections(site: Site, _: Callers, rng: random.Random) -> None:
    """Kill all entries at once and reset all connections of the agents, which run on."""
    await site.restart_together(_entry_downtimes(site, rng), reset=True)


async def refuse_workers(site: Site, _: Callers, rng: random.Random) -> None:
    """Refuse the connections to one worker or a third of them, which run on."""
    workers = rng.sample(site.workers, rng.choice([1, _third_of(len(site.workers))]))
    seconds = rng.uniform(*REFUSAL_DURATIONS_S)
    await asyncio.gather(*(site.refuse_worker(worker, seconds) for worker in workers))


async def kill_all_after_refusals(site: Site, _: Callers, rng: random.Random) -> None:
    """Refuse the connections to a third of the workers, then kill all entries and agents.

    The new agents reach workers again whose runs the old ones may have reported as ended.
    """
    workers = rng.sample(site.workers, _third_of(len(site.workers)))
    seconds = rng.uniform(*REFUSAL_DURATIONS_S)
    refusing = [asyncio.create_task(site.refuse_worker(worker, seconds)) for worker in workers]
    await asyncio.sleep(rng.uniform(*KILL_AFTER_REFUSAL_S))
    downtimes = [(agent, rng.uniform(*AGENT_DOWNTIMES_S)) for agent in site.agents]
    await site.restart_together([*_entry_downtimes(site, rng), *downtimes])
    await asyncio.gather(*refusing)


def _entry_downtimes(site: Site, rng: random.Random) -> list[tuple[Node, float]]:
    """Draw how long the entries are down: the leader's as the others, or the first or last back."""
    downtime = rng.choice(ENTRY_DOWNTIMES_S)
    shift = rng.choice([0.0, -LEADER_HEAD_START_S, LEADER_HEAD_START_S])
    leader = site.leader_entry()
    return [(entry, downtime + (shift if entry is leader else 0.0)) for entry in site.entries]


def _third_of(count: int) -> int:
    return max(1, count // 3)
