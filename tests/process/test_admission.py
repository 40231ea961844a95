"""Admission control with real links: followers refuse, and the leader changes during a burst."""

import asyncio

import pytest

from sapphirelead.clock import now
from sapphirelead.errors import Code
from sapphirelead.node_messages import CallKind, Reply, ReplyKind
from sapphirelead.sched_config import QueueConfig, Route
from sapphirelead.sched_job import encode_spec
from sapphirelead.sched_journal import SPEC_PREFIX
from sapphirelead.sched_parts import AdmissionConfig, PartsConfig
from sapphirelead.sched_spec import StepSpec
from tests.process.test_fleet import Fleet, fleet
from tests.sched.fakes import POLICY, job

STEP = StepSpec(tasks=8, cpu_millicores=1_000, estimate_ms=300)
"""Two jobs of it fill the workers, so that they can do about six in a second."""


def switch_on(cluster: Fleet) -> None:
    """Configure admission control at every entry."""
    parts = PartsConfig(admission=AdmissionConfig())
    routes = [Route("h", "/q/", "q")]
    for entry in cluster.entries.values():
        entry.set_config(QueueConfig.from_routes(2, routes, {"q": POLICY}, parts=parts))


async def submit(cluster: Fleet, entry: str, job_id: str) -> tuple[Reply, float]:
    """Submit a job once; return the reply and how long it took."""
    began = now()
    body = encode_spec(job(job_id, STEP))
    reply = await cluster.entries[entry].call(CallKind.SUBMIT, "q", job_id, body, 3.0)
    return reply, now() - began


async def burst(cluster: Fleet, prefix: str, jobs: int) -> dict[str, Reply]:
    """Submit jobs at once through all entries; return the replies by job."""
    names = list(cluster.entries)
    ids = [f"{prefix}{number}" for number in range(jobs)]
    calls = [submit(cluster, names[n % len(names)], name) for n, name in enumerate(ids)]
    return {name: reply for name, (reply, _) in zip(ids, await asyncio.gather(*calls), strict=True)}


def stored(cluster: Fleet) -> set[str]:
    """Return the ids of the stored jobs."""
    return {key.removeprefix(SPEC_PREFIX) for key in cluster.table.data if SPEC_PREFIX in key}


def check(cluster: Fleet, replies: dict[str, Reply]) -> None:
    """Check that exactly what was accepted, or may have been, is stored."""
    for name, reply in replies.items():
        if reply.kind is ReplyKind.OK:
            assert name in stored(cluster), "an accepted job is lost"
        elif reply.kind is ReplyKind.NOT_RUN:
            assert name not in stored(cluster), "a refused job is stored"


async def test_followers_refuse_at_once_what_the_leader_refuses(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a call to the leader for each caller of a closed queue."""
    monkeypatch.setattr("sapphirelead.admission.follower.SETTLE_S", 0.0)
    async with fleet() as cluster:
        switch_on(cluster)
        await asyncio.sleep(2.0)
        replies = await burst(cluster, "first", 60)
        assert sum(reply.kind is ReplyKind.OK for reply in replies.values()) >= 2
        assert {r.code for r in replies.values() if r.kind is not ReplyKind.OK} == {Code.TOO_LATE}
        await asyncio.sleep(0.6)
        leader = await cluster.leader()
        follower = next(name for name in cluster.entries if name != leader)
        times = []
        for number in range(20):
            reply, took_s = await submit(cluster, follower, f"later{number}")
            replies[f"later{number}"] = reply
            times.append(took_s)
        count = cluster.entries[follower].metrics.value
        assert count("admission_refusals_total", queue="q", by="follower") > 0
        assert sorted(times)[10] < 0.020
        await asyncio.sleep(1.0)
        check(cluster, replies)


async def test_a_leader_that_stops_during_a_burst_loses_and_runs_nothing_wrongly() -> None:
    """Guards against losing accepted jobs, or running refused ones, when the leader changes."""
    async with fleet() as cluster:
        switch_on(cluster)
        await asyncio.sleep(2.0)
        bursts = asyncio.gather(burst(cluster, "a", 40), burst(cluster, "b", 40))
        await asyncio.sleep(0.05)
        leader = cluster.entries[await cluster.leader()]
        assert leader.leader is not None
        leader.leader.resign()
        first, second = await bursts
        third = await burst(cluster, "c", 40)
        await asyncio.sleep(2.0)
        for replies in (first, second, third):
            check(cluster, replies)
