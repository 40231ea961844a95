"""Random failures of all kinds together, over a list of fixed seeds; outside CI.

Usage:
  soak [--seeds LIST] [--seconds N] [--folder DIR]

Options:
  --seeds LIST   Seeds, separated by commas [default: 1,2,3,4,5].
  --seconds N    How long failures are injected for each seed [default: 12].
  --folder DIR   Where settings, logs and histories go [default: soak-runs].

For each seed a deployment of two entries and three instances gets a steady stream of jobs and
requests while processes are killed, frozen and replaced and connections and the table misbehave.
Then everything is mended, every job must end, and the checker judges the whole history.  The
failures and their order follow from the seed; their exact moments do not, since the processes are
real.
"""

import asyncio
import contextlib
import itertools
import random
import sys
from collections import Counter
from collections.abc import Callable, Coroutine
from pathlib import Path
from time import monotonic
from typing import Any, Final

from docopt import docopt

from bench.harness import Cluster

Failure = Callable[[Cluster, random.Random], Coroutine[Any, Any, None]]
RECOVERY_TIMEOUT_S: Final = 40.0


async def kill_agent(cluster: Cluster, rng: random.Random) -> None:
    """Kill an agent and start another, at once or after its lease has expired."""
    instance = rng.choice(cluster.instances)
    await instance.agent.kill()
    await asyncio.sleep(rng.choice([0.0, 3.0]))
    instance.agent = await cluster.spawn_agent(instance.name)


async def pause_agent(cluster: Cluster, rng: random.Random) -> None:
    """Suspend an agent for less or more than its lease."""
    await _pause(rng.choice(cluster.instances).agent, rng)


async def kill_worker(cluster: Cluster, rng: random.Random) -> None:
    """Kill a worker and start another."""
    await cluster.replace_worker(rng.choice(cluster.instances))


async def kill_entry(cluster: Cluster, rng: random.Random) -> None:
    """Kill an entry and start another."""
    entry = rng.choice(cluster.entries)
    await entry.proc.kill()
    entry.proc = await cluster.spawn_entry(entry.name)


async def stop_agent(cluster: Cluster, rng: random.Random) -> None:
    """Stop an agent by SIGTERM and start another."""
    instance = rng.choice(cluster.instances)
    await instance.agent.stop(40)
    instance.agent = await cluster.spawn_agent(instance.name)


async def pause_entry(cluster: Cluster, rng: random.Random) -> None:
    """Suspend an entry."""
    await _pause(rng.choice(cluster.entries).proc, rng)


async def break_connections(cluster: Cluster, rng: random.Random) -> None:
    """Blackhole or reset existing connections of a third of the proxies."""
    for proxy in rng.sample(cluster.proxies, len(cluster.proxies) // 3):
        rng.choice([proxy.blackhole_existing, proxy.cut])()


async def freeze_connections(cluster: Cluster, rng: random.Random) -> None:
    """Stall one direction of connections for a while, in a third of the proxies."""
    chosen = rng.sample(cluster.proxies, len(cluster.proxies) // 3)
    for proxy in chosen:
        proxy.freeze(rng.choice(["up", "down"]))
    await asyncio.sleep(rng.uniform(0.2, 3.0))
    for proxy in chosen:
        proxy.thaw()


async def break_table(cluster: Cluster, rng: random.Random) -> None:
    """Make the table unavailable or slow, or lose requests or responses."""
    hang, late = rng.random() < 0.5, rng.random() < 0.5
    kinds: list[dict[str, Any]] = [
        {"down": True, "hang": hang, "late_apply": late, "only": "/table"},
        {"lose_answers": rng.randint(1, 8), "drop_before": rng.randint(0, 3)},
        {"delay_ms": rng.randint(50, 400)},
    ]
    await cluster.fault(**rng.choice(kinds))
    await asyncio.sleep(rng.uniform(0.3, 3.5))
    await cluster.fault()


async def _pause(proc: Any, rng: random.Random) -> None:
    proc.pause()
    await asyncio.sleep(rng.choice([0.5, 1.2, 2.5, 4.0]))
    proc.resume()


FAILURES: Final[list[Failure]] = [
    kill_agent,
    pause_agent,
    kill_worker,
    kill_entry,
    stop_agent,
    pause_entry,
    break_connections,
    freeze_connections,
    break_table,
]


async def submit_jobs(cluster: Cluster, rng: random.Random, accepted: set[str]) -> None:
    """Submit jobs until cancelled, retrying each under its key until it is accepted."""
    for number in itertools.count():
        key = f"k{number}"
        script = {"work_ms": rng.choice([50, 300, 1500])}
        idempotent, cpu = rng.random() < 0.5, rng.choice([500, 1000, 2500])
        for _ in range(5):
            entry = rng.choice(cluster.entries)
            response = await cluster.submit(
                key, entry, idempotent=idempotent, cpu=cpu, input=script
            )
            if response.ok:
                accepted.add(key)
                break
            await asyncio.sleep(0.3)
        if rng.random() < 0.1:
            await cluster.cancel(key, rng.choice(cluster.entries))
        await asyncio.sleep(rng.uniform(0.0, 0.3))


async def send_requests(cluster: Cluster, rng: random.Random) -> None:
    """Send service requests until cancelled."""
    for number in itertools.count():
        entry = rng.choice(cluster.entries)
        await cluster.serve(f"m{number}", rng.choice([2, 20]), rng.choice([0, 90_000]), entry)
        await asyncio.sleep(0.02)


async def run_seed(seed: int, seconds: float, folder: Path) -> bool:
    """Run one seed; raise ``AssertionError`` or ``TimeoutError`` if a guarantee was violated."""
    rng = random.Random(seed)
    folder.mkdir(parents=True)
    accepted: set[str] = set()
    with contextlib.redirect_stdout(sys.stderr):
        async with Cluster.running(folder, entries=2, instances=3) as cluster:
            load = [
                asyncio.create_task(submit_jobs(cluster, random.Random(seed), accepted)),
                asyncio.create_task(send_requests(cluster, random.Random(seed))),
            ]
            until = monotonic() + seconds
            injected: Counter[str] = Counter()
            while monotonic() < until:
                chosen = rng.sample(FAILURES, rng.choice([1, 1, 2]))
                injected.update(failure.__name__ for failure in chosen)
                await asyncio.gather(*(failure(cluster, rng) for failure in chosen))
                await asyncio.sleep(rng.uniform(0.0, 1.5))
            await _cancel_tasks(load)
            repaired_at = monotonic()
            await cluster.wait_live(len(cluster.instances))
            live_s = monotonic() - repaired_at
            states = [
                (await cluster.wait_job(key, timeout_s=RECOVERY_TIMEOUT_S))["state"]
                for key in accepted
            ]
            ended_s = monotonic() - repaired_at
            outcomes = Counter(
                e["outcome"] for e in cluster.caller_events if e["event"] == "answer"
            )
    faults = " ".join(f"{name}={count}" for name, count in sorted(injected.items()))
    ends = " ".join(f"{state}={count}" for state, count in sorted(Counter(states).items()))
    answers = " ".join(f"{outcome}={count}" for outcome, count in sorted(outcomes.items()))
    print(
        f"seed={seed} ok live_s={live_s:.1f} ended_s={ended_s:.1f} | {ends} | {answers} | {faults}"
    )
    return True


async def _cancel_tasks(load: list[asyncio.Task[None]]) -> None:
    for task in load:
        task.cancel()
    await asyncio.gather(*load, return_exceptions=True)


def main() -> int:
    """Run every seed and return 0 if all guarantees held in all of them."""
    args = docopt(__doc__)
    bad = []
    for seed in map(int, args["--seeds"].split(",")):
        folder = Path(args["--folder"]) / str(seed)
        try:
            asyncio.run(run_seed(seed, float(args["--seconds"]), folder))
        except (AssertionError, TimeoutError) as exc:
            bad.append(seed)
            print(f"seed={seed} FAILED {exc}")
        sys.stdout.flush()
    print(f"failed seeds: {bad or 'none'}")
    return 1 if bad else 0


if __name__ == "__main__":
    sys.exit(main())
