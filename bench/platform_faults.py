"""The faults that the platform soak injects into a site, selected by function name.

Each fault records its duration and the affected nodes, and restores the site before it returns.
Faults may overlap; a lock per process ensures that only one of them signals it at a time.
"""

import asyncio
import random
import signal
from collections.abc import Callable, Coroutine
from typing import Any, Final

from bench.platform_callers import Callers, make_poison_job
from bench.platform_outages import (
    kill_all_after_refusals,
    kill_all_entries,
    kill_all_processes,
    refuse_workers,
    reset_all_connections,
)
from bench.platform_site import WORKER_CPU, WORKER_MEM_MB, ZONES, Site
from bench.platform_standin_worker import Behaviour, Capacity, Crash
from bench.proxy import Proxy

Fault = Callable[[Site, Callers, random.Random], Coroutine[Any, Any, None]]

OUTAGE_DURATIONS_S: Final = (0.5, 2.0, 5.0)
CAPACITY_CHANGE_DURATIONS_S: Final = (0.5, 2.0, 5.0, 8.0)
MALFORMED_HEARTBEATS: Final = (
    b"\xff\xfe\x00",
    b"{}",
    b'{"service": 7, "addr": "127.0.0.1:1"}',
    b'{"service": "svc", "addr": "127.0.0.1:1", "state": "unheard-of", "seq": 1}',
    b'{"service": "other", "addr": "no address", "state": "ready", "seq": "x"}',
)


# Planned operations.


async def rolling_entries(site: Site, _: Callers, rng: random.Random) -> None:
    """Restart all entries in random order, about a second apart; restarts may overlap."""
    restarts = []
    for entry in rng.sample(site.entries, len(site.entries)):
        restarts.append(asyncio.create_task(site.restart(entry, signal.SIGTERM)))
        await asyncio.sleep(rng.uniform(0.9, 1.2))
    await asyncio.gather(*restarts)


async def rolling_agents(site: Site, _: Callers, rng: random.Random) -> None:
    """Restart all agents in random order; restarts may overlap."""
    restarts = []
    for agent in rng.sample(site.agents, len(site.agents)):
        restarts.append(asyncio.create_task(site.restart(agent, signal.SIGTERM)))
        await asyncio.sleep(rng.uniform(0.2, 1.0))
    await asyncio.gather(*restarts)


async def stop_entry(site: Site, _: Callers, rng: random.Random) -> None:
    """Restart one entry by SIGTERM."""
    await site.restart(rng.choice(site.entries), signal.SIGTERM)


async def reload(site: Site, _: Callers, rng: random.Random) -> None:
    """Change the settings files of three nodes and send them SIGHUP."""
    for node in rng.sample([*site.entries, *site.agents], 3):
        await site.reload(node)


async def configure(_: Site, callers: Callers, rng: random.Random) -> None:
    """Publish one configuration, or several in quick succession."""
    for _number in range(rng.choice([1, 1, 5])):
        await callers.configure()
        await asyncio.sleep(rng.uniform(0.05, 0.6))


async def drain_worker(site: Site, _: Callers, rng: random.Random) -> None:
    """Drain a worker and start a new one in its place."""
    await site.replace(rng.choice(site.workers), signal.SIGTERM)


async def foreign_writer(site: Site, _: Callers, rng: random.Random) -> None:
    """Send malformed heartbeats to agents and write malformed rows to the store."""
    for body in MALFORMED_HEARTBEATS:
        await site.send_heartbeat(rng.choice(site.agents), body)
    await site.write_row("op", "unheard-of", b"\xff\xfe")
    await site.write_row("servers", "i-foreign", b'{"state": 7}')


async def evacuate_zones(site: Site, _: Callers, rng: random.Random) -> None:
    """Evacuate one zone or all of them, for a moment or for longer than the bound."""
    zones = rng.choice([rng.sample(ZONES, 1), rng.sample(ZONES, 1), list(ZONES), ["nowhere"]])
    seconds = rng.choice([0.05, 3.0, 8.0])
    await site.write_row("op", "evacuate/", b"{}")
    await asyncio.gather(*(site.evacuate(zone, seconds) for zone in zones))


# Unplanned faults.


async def kill_entry(site: Site, _: Callers, rng: random.Random) -> None:
    """Kill one or two entries."""
    chosen = rng.sample(site.entries, rng.choice([1, 1, 2]))
    await asyncio.gather(*(site.restart(entry, signal.SIGKILL) for entry in chosen))


async def kill_agent(site: Site, _: Callers, rng: random.Random) -> None:
    """Kill one or two agents."""
    chosen = rng.sample(site.agents, rng.choice([1, 1, 2]))
    await asyncio.gather(*(site.restart(agent, signal.SIGKILL) for agent in chosen))


async def pause_node(site: Site, _: Callers, rng: random.Random) -> None:
    """Suspend an entry or an agent, for less or more than the failure detection timeout."""
    await site.pause(rng.choice([*site.entries, *site.agents]), rng.choice([0.5, 1.5, 4.0]))


async def pause_worker(site: Site, _: Callers, rng: random.Random) -> None:
    """Suspend a worker."""
    await site.pause(rng.choice(site.workers), rng.choice([0.5, 2.0, 5.0]))


async def kill_worker(site: Site, _: Callers, rng: random.Random) -> None:
    """Kill a worker and start a new one in its place."""
    await site.replace(rng.choice(site.workers), signal.SIGKILL)


async def return_worker(site: Site, _: Callers, rng: random.Random) -> None:
    """Let a worker die in silence and return under its id at once."""
    worker = rng.choice([worker for worker in site.workers if worker.settings.worker_id])
    crash = Crash(rng.uniform(0.05, 1.0), rng.choice([0.0, rng.uniform(0.0, 0.5)]))
    await site.return_worker(worker, crash)


async def bad_worker(site: Site, _: Callers, rng: random.Random) -> None:
    """Stall a worker's tasks, drop, delay or reject its requests, or lose its responses."""
    worker = rng.choice(site.workers)
    kinds: list[tuple[str, Any]] = [
        ("/behave", Behaviour(frozen=True)),
        ("/behave", Behaviour(late_orders=4, late_s=rng.choice([0.8, 2.0, 4.0]))),
        ("/faults", {"lose_answers": 4, "only": "/run"}),
        ("/faults", {"drop_before": 4, "only": "/run"}),
        ("/faults", {"down": True, "only": "/run-start"}),
    ]
    path, body = rng.choice(kinds)
    with site.fault(f"worker {path} {body}", worker.name):
        await site.post_to_worker(worker, path, body)
        await asyncio.sleep(rng.choice(OUTAGE_DURATIONS_S))
        await site.post_to_worker(worker, "/behave", Behaviour())
        await site.post_to_worker(worker, "/faults", {})


async def bad_store(site: Site, _: Callers, rng: random.Random) -> None:
    """Make the store unavailable or slow, or lose requests or responses."""
    kinds: list[dict[str, Any]] = [
        {"down": True},
        {"down": True, "hang": True},
        {"down": True, "hang": True, "late_apply": True},
        {"lose_answers": rng.randint(1, 8), "drop_before": rng.randint(0, 3)},
        {"delay_ms": rng.randint(50, 250)},
    ]
    faults = rng.choice(kinds)
    with site.fault(f"store {faults}"):
        await site.store_fault(**faults)
        await asyncio.sleep(rng.choice(OUTAGE_DURATIONS_S))
        await site.store_fault()


async def picky_store(site: Site, _: Callers, rng: random.Random) -> None:
    """Make the store reject or ignore requests of some nodes and serve the others."""
    chosen = rng.sample([*site.entries, *site.agents], rng.choice([1, 2, 4]))
    with site.fault(f"store refuses {[node.name for node in chosen]}"):
        await site.refuse(chosen, rng.choice([503, 429, 0]))
        await asyncio.sleep(rng.choice(OUTAGE_DURATIONS_S))
        await site.refuse([])


async def forgetful_store(site: Site, _: Callers, __: random.Random) -> None:
    """Truncate the store's change feed."""
    with site.fault("history forgotten"):
        await site.forget_history()


async def bad_connections(site: Site, _: Callers, rng: random.Random) -> None:
    """Delay, reset, blackhole or stall in one direction connections to the store and to workers."""
    links: list[tuple[str, Proxy]] = [
        *((node.name, node.store_proxy) for node in (*site.entries, *site.agents)),
        *((worker.name, worker.proxy) for worker in site.workers),
    ]
    chosen = rng.sample(links, rng.choice([1, 3]))
    kind = rng.choice(["delay", "cut", "silence", "up", "down"])
    with site.fault(f"connections {kind} {[name for name, _ in chosen]}"):
        for _name, proxy in chosen:
            _disrupt(proxy, kind)
        await asyncio.sleep(rng.choice(OUTAGE_DURATIONS_S))
        for _name, proxy in chosen:
            proxy.delay_s = 0.0
            proxy.thaw()


def _disrupt(proxy: Proxy, kind: str) -> None:
    match kind:
        case "delay":
            proxy.delay_s = 0.15
        case "cut":
            proxy.cut()
        case "silence":
            proxy.blackhole_existing()
        case _:
            proxy.freeze(kind)


# Tasks and workers that are no fault of the deployment, so none is recorded.


async def poison_task(_: Site, callers: Callers, rng: random.Random) -> None:
    """Submit a job whose task crashes every worker that starts it."""
    await callers.submit_job(make_poison_job(rng), rng)


async def capacity_change(site: Site, _: Callers, rng: random.Random) -> None:
    """Change a worker's capacity once or several times, down to nothing, and restore it."""
    worker = rng.choice(site.workers)
    for _number in range(rng.choice([1, 1, 3])):
        cpu = rng.choice([0, 500, 1_000, 2_000, 2 * WORKER_CPU])
        await site.set_capacity(worker, Capacity(cpu, rng.choice([100, WORKER_MEM_MB])))
        await asyncio.sleep(rng.choice(CAPACITY_CHANGE_DURATIONS_S))
    await site.set_capacity(worker, Capacity(WORKER_CPU, WORKER_MEM_MB))


PLANNED_FAULTS: Final[tuple[Fault, ...]] = (
    rolling_entries,
    rolling_agents,
    stop_entry,
    reload,
    configure,
    drain_worker,
    foreign_writer,
)

DISRUPTIONS: Final[tuple[Fault, ...]] = (
    *PLANNED_FAULTS,
    kill_entry,
    kill_agent,
    pause_node,
    pause_worker,
    kill_worker,
    bad_worker,
    bad_store,
    picky_store,
    forgetful_store,
    bad_connections,
    evacuate_zones,
)

OUTAGES: Final[tuple[Fault, ...]] = (
    kill_all_entries,
    kill_all_processes,
    reset_all_connections,
    refuse_workers,
    kill_all_after_refusals,
)

FAULTS: Final[dict[str, Fault]] = {
    fault.__name__: fault
    for fault in (*DISRUPTIONS, *OUTAGES, return_worker, poison_task, capacity_change)
}
