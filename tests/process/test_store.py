"""The platform table is down or slow, or applies writes without a response."""

import asyncio
from pathlib import Path
from typing import Any, Final

import pytest

from bench.harness import Cluster, Response

WRITE_FAULTS: dict[str, dict[str, Any]] = {
    **{f"{n} answers lost": {"lose_answers": n} for n in (1, 2, 3, 6)},
    **{f"{n} dropped before the effect": {"drop_before": n} for n in (1, 2, 3)},
    "dropped and lost": {"drop_before": 1, "lose_answers": 2},
    "slow": {"delay_ms": 250},
}


@pytest.mark.parametrize("name", WRITE_FAULTS)
async def test_job_is_accepted_and_run_once_when_responses_are_lost(
    tmp_path: Path, name: str
) -> None:
    """Guards against lost or repeated jobs when writes or their responses are lost.

    The client repeats the submission with the same key until it is accepted.  The lost response
    may be that of the acceptance, the claim or the completion.
    """
    async with Cluster.running(tmp_path, instances=2) as cluster:
        await cluster.fault(match="rollover", **WRITE_FAULTS[name])
        for _ in range(8):
            if (await cluster.submit("rollover", input={"work_ms": 100})).ok:
                break
        job = await cluster.wait_job("rollover")
        assert job["state"] == "done"
        assert len(cluster.seen("task_start", "rollover")) == 1


REFUSAL_TIMEOUT_S = 1.5


@pytest.mark.parametrize(
    "name", ["1 answers lost", "3 answers lost", "1 dropped before the effect"]
)
async def test_response_to_a_single_submission_matches_its_outcome(
    tmp_path: Path, name: str
) -> None:
    """Guards against a "not run" response for a job that exists; any other job completes."""
    async with Cluster.running(tmp_path) as cluster:
        await cluster.fault(match="rollover", **WRITE_FAULTS[name])
        answer = await cluster.submit("rollover")
        if answer.outcome == "not_run":
            assert await cluster.job("rollover") is None
        else:
            assert (await cluster.wait_job("rollover"))["state"] == "done"


OUTAGES: dict[str, tuple[float, dict[str, Any]]] = {
    "shorter than the lease": (0.8, {"down": True}),
    "longer than the lease": (3.0, {"down": True}),
    "longer than the lease, hanging": (3.0, {"down": True, "hang": True}),
    "longer, and held writes take effect late": (
        3.0,
        {"down": True, "hang": True, "late_apply": True},
    ),
}


@pytest.mark.parametrize("name", OUTAGES)
async def test_outage_of_the_table(tmp_path: Path, name: str) -> None:
    """Guards against failed requests and repeated jobs while the table alone is down.

    Service requests are served, new jobs are refused promptly with a retry delay, and the running
    job takes effect once.
    """
    seconds, fault = OUTAGES[name]
    async with Cluster.running(tmp_path, instances=2) as cluster:
        await cluster.submit("k", input={"work_ms": 1500})
        await cluster.holder_of("k")
        await cluster.fault(only="/table", **fault)
        outage = asyncio.create_task(asyncio.sleep(seconds))
        served = 0
        new: list[asyncio.Task[Response]] = []
        while not outage.done():
            served += (await cluster.serve(f"m{served}")).outcome == "done"
            if served % 20 == 1:
                new.append(asyncio.create_task(cluster.submit(f"new{served}")))
        answers = await asyncio.wait_for(asyncio.gather(*new), REFUSAL_TIMEOUT_S)
        await cluster.fault()
        refused = [answer for answer in answers if answer.outcome == "not_run"]
        assert served > 0
        assert seconds < 1 or refused
        assert all("Retry-After" in answer.headers for answer in refused)
        assert (await cluster.wait_job("k"))["state"] == "done"
        assert len(cluster.seen("effect", "k")) == 1
        await cluster.wait_live(2)
        assert (await cluster.submit("later")).ok
        assert (await cluster.wait_job("later"))["state"] == "done"


async def test_outage_of_the_whole_platform_never_runs_a_job_twice(tmp_path: Path) -> None:
    """Guards against a second run when table and object store are down past the lease.

    No checkpoint can be stored: a non-idempotent job may end as unknown, an idempotent one runs
    again.
    """
    async with Cluster.running(tmp_path, instances=2) as cluster:
        for key, idempotent in (("once", False), ("again", True)):
            await cluster.submit(key, idempotent=idempotent, input={"work_ms": 1500})
            await cluster.holder_of(key)
        await cluster.fault(down=True)
        await asyncio.sleep(4.0)
        await cluster.fault()
        assert (await cluster.wait_job("again"))["state"] == "done"
        assert (await cluster.wait_job("once"))["state"] in ("done", "unknown")
        assert len(cluster.seen("task_start", "once")) == 1


PRODUCTION_LEASE: Final = {
    "lease_seconds": 20.0,
    "margin_seconds": 5.0,
    "renew_interval_seconds": 2.0,
    "beat_interval_seconds": 1.0,
    "silence_seconds": 3.0,
}


async def test_load_on_the_table_stays_within_its_budget(tmp_path: Path) -> None:
    """Guards against table load beyond the limits: when idle, in a burst of jobs, after an outage.

    Uses the production lease settings.  The stand-in refuses requests beyond 400 writes or 2,000
    reads a second.
    """
    loads: dict[str, dict[str, float]] = {}
    async with Cluster.running(tmp_path, entries=2, instances=3, lease=PRODUCTION_LEASE) as cluster:
        loads["calm"] = await cluster.table_load(4.0)
        wave = [
            asyncio.create_task(cluster.submit(f"k{n}", cluster.entries[n % 2], cpu=100))
            for n in range(300)
        ]
        loads["wave"] = await cluster.table_load(2.0)
        await asyncio.gather(*wave)
        await cluster.fault(down=True)
        await asyncio.sleep(3.0)
        await cluster.fault()
        loads["after an outage"] = await cluster.table_load(2.0)
        for n in range(300):
            assert (await cluster.wait_job(f"k{n}"))["state"] == "done"
    print(loads)
    for load in loads.values():
        assert load["writes_refused"] == load["reads_refused"] == 0
        assert load["writes"] <= 300
        assert load["reads"] <= 1500
    assert loads["calm"]["writes"] <= 4
    assert loads["calm"]["reads"] <= 10


async def test_service_starts_and_answers_while_the_table_is_down(tmp_path: Path) -> None:
    """Guards against an entry that cannot start, or serve requests, during a table outage."""
    async with Cluster.running(tmp_path, entries=2) as cluster:
        await cluster.fault(down=True)
        entry = cluster.entries[0]
        await entry.proc.kill()
        entry.proc = await cluster.spawn_entry(entry.name)
        await cluster.wait_ready(entry)
        await cluster.wait_live(1, entry)
        assert (await cluster.serve("m", entry=entry)).outcome == "done"
