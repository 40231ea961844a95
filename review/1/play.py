"""An agent is killed and its worker is lost for good meanwhile: are its tasks run again?"""

import asyncio
import os
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from standins import BOUNDS, CORES, Record, Site

WORKERS = 8
ESTIMATE = {"count": 8, "cpu": 3500, "mem_mb": 512, "estimate_ms": 5400}
WORK_S = 5.4
JOBS = 10
KILL_AT_S, LOST_AFTER_S, DOWN_S = 3.0, 0.2, 0.5
IDLE_S = 3.0


async def lose_worker(site: Site) -> None:
    """Kill the agent beside the busiest worker, lose that worker, and start the agent again."""
    worker = max(site.workers, key=lambda item: len(item.runs))
    agent = next(process for process in site.processes if process.name == worker.name)
    site.record("agent_killed", agent=agent.name)
    await agent.kill()
    await asyncio.sleep(LOST_AFTER_S)
    site.record("worker_lost", worker=worker.id, runs=sorted(task for task, _ in worker.runs))
    await worker.crash()
    await asyncio.sleep(DOWN_S - LOST_AFTER_S)
    await agent.start()
    site.record("agent_started", agent=agent.name)


async def judge(site: Site, accepted: list[str], done: set[str]) -> list[str]:
    """Apply LOST: a job with tasks to do, nothing running for 3 s, and room for it twice over."""
    idle_since = dict.fromkeys(accepted, time.monotonic())
    until = time.monotonic() + IDLE_S + 0.5
    lost: set[str] = set()
    while time.monotonic() < until:
        at = time.monotonic()
        runs = [task for worker in site.workers for task, _ in worker.runs]
        live = sum(1 for worker in site.workers if not worker.gone)
        calm = len(runs) * ESTIMATE["cpu"] < CORES * live / 2
        for job_id in accepted:
            left = ESTIMATE["count"] - sum(task.startswith(job_id) for task in done)
            if not calm or not left or any(task.startswith(job_id) for task in runs):
                idle_since[job_id] = at
            elif at - idle_since[job_id] >= IDLE_S:
                lost.add(job_id)
        await asyncio.sleep(0.05)
    broken = []
    for job_id in accepted:
        status, body = await site.call("GET", f"/estimate/{job_id}")
        state = body.get("state", "")
        ended = sum(task.startswith(job_id) for task in done)
        site.record("judged", job=job_id, done=ended, status=status, state=state)
        if job_id in lost or status != 200:
            broken.append(f"{job_id}: {status} {state}, {ended} of {ESTIMATE['count']} tasks done")
    return broken


async def play(record: Record, trouble: bool) -> int:
    async with Site.running(record, entries=3, workers=WORKERS) as site:
        done: set[str] = set()

        async def watch() -> None:
            while True:
                for worker in site.workers:
                    done.update(end[1] for end in worker.ended if end[3] == "done")
                await asyncio.sleep(0.01)

        watching = asyncio.create_task(watch())
        handed_in = [site.submit("estimate", [ESTIMATE], WORK_S) for _ in range(JOBS)]
        accepted = [job_id for job_id in await asyncio.gather(*handed_in) if job_id]
        await asyncio.sleep(KILL_AT_S)
        if trouble:
            await lose_worker(site)
        # The last lease at the lost worker ends within ``hold_max_ms``.
        await asyncio.sleep(BOUNDS["hold_max_ms"] / 1000 + BOUNDS["finish_s"])
        broken = await judge(site, accepted, done)
        watching.cancel()
        record("verdict", broken=broken)
        print(f"{len(accepted)} jobs accepted, {len(broken)} break LOST")
        for line in broken:
            print(f"  {line}")
        return 1 if broken else 0


def main() -> int:
    record = Record(Path(__file__).resolve().parent / "record.txt")
    try:
        return asyncio.run(play(record, os.environ.get("TROUBLE", "1") != "0"))
    except Exception as exc:
        record("not_run", reason=repr(exc))
        print(f"could not run: {exc!r}", file=sys.stderr)
        return 2
    finally:
        record.close()


if __name__ == "__main__":
    sys.exit(main())
