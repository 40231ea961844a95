"""Tests tasks on an instance: starts, outcomes, stops, claims, restarts, leases and fencing."""

import asyncio
from typing import Any

import pytest

from sapphirelead.ports import TaskState
from sapphirelead.sched_zones import ZONE_EVACUATED
from sapphirelead.wire_messages import (
    Accepted,
    Amount,
    Checkpointed,
    Completed,
    ConfigPush,
    Drain,
    EndAck,
    Heartbeat,
    OutcomeAnswer,
    OutcomeQuery,
    Refused,
    Started,
    Stop,
    WatchEvent,
)
from tests.unit.agent_fakes import ENTRY, FakeWorker, Rig, offer, start

pytestmark = pytest.mark.looptime


def ack(key: str, epoch: int = 1) -> EndAck:
    return EndAck(key=key, epoch=epoch, **ENTRY)


async def test_a_task_runs_from_offer_to_acknowledged_end() -> None:
    async with Rig() as rig:
        await rig.send(offer("a"))
        assert [m.offer_id for m in rig.links.got(Accepted)] == ["o-a"]
        await rig.send(start("a"))
        assert [m.key for m in rig.links.got(Started)] == ["a"]
        rig.worker.change("a", state=TaskState.SUCCEEDED, result=42)
        await asyncio.sleep(3.5)
        ends = rig.links.got(Completed)
        assert len(ends) >= 3 and {(m.ok, m.result) for m in ends} == {(True, 42)}
        await rig.send(ack("a"))
        repeats = len(rig.links.got(Completed))
        await asyncio.sleep(3.0)
        assert len(rig.links.got(Completed)) == repeats
        assert rig.worker.tasks == {}


@pytest.mark.parametrize(
    ("messages", "reason"),
    [
        pytest.param([start("a", claimed_by="earlier")], "claim of an earlier run", id="other run"),
        pytest.param([start("a", kind="service")], "unknown kind", id="kind"),
        pytest.param([start(k) for k in "abcde"], "no room", id="full"),
        pytest.param([start("a", 2), start("a", 1)], "stale epoch", id="stale"),
        pytest.param(
            [start("a", 1), start("a", 2)], "an earlier epoch is stopping", id="still running"
        ),
        pytest.param([Drain(reason="", **ENTRY), start("a")], "draining", id="draining"),
    ],
)
async def test_starts_that_are_refused(messages: list[Any], reason: str) -> None:
    async with Rig() as rig:
        for message in messages:
            await rig.send(message)
        assert [m.reason for m in rig.links.got(Refused)] == [reason]
        assert len(rig.worker.starts) <= len(messages) - 1


def push(version: int, *zones: str) -> ConfigPush:
    """Return a configuration that evacuates these zones."""
    document: dict[str, Any] = {"evacuated_zones": {zone: {} for zone in zones}}
    return ConfigPush(version=version, document=document, **ENTRY)


async def test_nothing_starts_in_an_evacuated_zone_and_what_runs_goes_on() -> None:
    """Guards against an entry that offers work by an older configuration."""
    async with Rig() as rig:
        await rig.send(offer("a"))
        await rig.send(start("a"))
        await rig.send(push(2, rig.agent._settings.zone))
        await rig.send(offer("b"))
        await rig.send(start("b"))
        assert [m.reason for m in rig.links.got(Refused)] == [ZONE_EVACUATED] * 2
        assert list(rig.worker.tasks) == ["a"]
        await rig.send(push(3, "elsewhere"))
        await rig.send(offer("c"))
        await rig.send(start("c"))
        assert list(rig.worker.tasks) == ["a", "c"]


async def test_no_start_without_a_lease() -> None:
    async with Rig() as rig:
        rig.links.committing = False
        await asyncio.sleep(8.0)
        await rig.send(offer("a"))
        await rig.send(start("a"))
        assert {m.reason for m in rig.links.got(Refused)} == {"no lease"}
        assert rig.worker.starts == []


async def test_a_never_started_claim_stays_unstarted() -> None:
    """Guards against running a job twice when a start arrives after the job was queued again."""
    async with Rig() as rig:
        me = rig.agent.incarnation
        await rig.send(OutcomeQuery(key="a", epoch=1, claimed_by=me, **ENTRY))
        await rig.send(start("a", claimed_by=me))
        assert [m.claim_outcome for m in rig.links.got(OutcomeAnswer)] == ["never_started"]
        assert rig.worker.starts == []
        await rig.send(start("a", 2, claimed_by=me))
        assert rig.worker.starts == [("a", 2)]


async def test_a_stop_that_overtakes_its_start_prevents_it() -> None:
    """One entry claims and sends the start; another cancels, and its stop arrives first."""
    async with Rig() as rig:
        me = rig.agent.incarnation
        await rig.send(Stop(key="a", epoch=1, cancel=True, reason="cancelled", **ENTRY))
        await rig.send(start("a", claimed_by=me))
        await rig.send(OutcomeQuery(key="a", epoch=1, claimed_by=me, **ENTRY))
        assert [m.epoch for m in rig.links.got(Refused)] == [1]
        assert [m.claim_outcome for m in rig.links.got(OutcomeAnswer)] == ["never_started"]
        assert rig.worker.starts == []


@pytest.mark.parametrize(
    ("claimed_by", "claim_outcome"), [("earlier", "lost"), ("", "lost"), (None, "never_started")]
)
async def test_outcome_of_an_unknown_claim(claimed_by: str | None, claim_outcome: str) -> None:
    async with Rig() as rig:
        name = rig.agent.incarnation if claimed_by is None else claimed_by
        await rig.send(OutcomeQuery(key="a", epoch=1, claimed_by=name, **ENTRY))
        assert [m.claim_outcome for m in rig.links.got(OutcomeAnswer)] == [claim_outcome]


@pytest.mark.parametrize("lost", ["start", "checkpoint_stop", "stop", "view", "remove"])
async def test_a_lost_answer_of_the_worker_changes_nothing(lost: str) -> None:
    """The worker executes three calls, but their responses are lost."""
    async with Rig() as rig:
        rig.worker.lose[lost] = 3
        await rig.send(start("a"), 2.0)
        await rig.send(Stop(key="a", epoch=1, cancel=lost == "stop", reason="r", **ENTRY), 2.0)
        assert rig.worker.starts == [("a", 1)]
        ends = rig.links.got(Checkpointed)
        assert {m.checkpoint for m in ends} == {"" if lost == "stop" else "c/a"}
        await rig.send(ack("a"), 5.0)
        assert rig.worker.tasks == {} and rig.links.got(Refused) == []


async def test_a_start_that_never_reached_the_worker_is_refused_only_after_its_lease() -> None:
    async with Rig() as rig:
        rig.worker.down = True
        await rig.send(start("a"), 4.0)
        await rig.send(Stop(key="a", epoch=1, cancel=True, reason="r", **ENTRY), 0.5)
        rig.worker.down = False
        await asyncio.sleep(0.3)
        assert rig.links.got(Refused) == []
        await asyncio.sleep(6.0)
        assert len(rig.links.got(Refused)) == 1 and rig.worker.starts == []


@pytest.mark.parametrize("phase", ["starting", "running", "stopping"])
async def test_tasks_of_a_worker_that_is_gone_are_given_back(phase: str) -> None:
    """Guards against claims that are held for as long as the worker of a live agent is down."""
    async with Rig() as rig:
        rig.worker.down = phase == "starting"
        await rig.send(start("a"))
        rig.worker.down = True
        if phase == "stopping":
            await rig.send(Stop(key="a", epoch=1, cancel=False, reason="r", **ENTRY))
        await asyncio.sleep(9.0)
        assert rig.links.got(Checkpointed) == [], "it may still run under its lease"
        await asyncio.sleep(11.0)
        ends = rig.links.got(Checkpointed)
        assert {(end.key, end.checkpoint, end.reason) for end in ends} == {("a", "", "lost")}
        assert rig.links.got(Heartbeat)[-1].free.cpu_millicores == 4000
        await rig.send(ack("a"))
        rig.worker.down = False
        await asyncio.sleep(5.0)
        assert rig.worker.running() == set() and rig.links.got(Refused) == []
        await rig.send(start("b"))
        assert rig.worker.running() == {"b"}


async def test_a_worker_that_is_back_in_time_keeps_its_tasks() -> None:
    async with Rig() as rig:
        await rig.send(start("a"))
        rig.worker.down = True
        await asyncio.sleep(6.0)
        rig.worker.down = False
        await asyncio.sleep(20.0)
        assert rig.worker.running() == {"a"} and rig.links.got(Checkpointed) == []


async def test_store_outage_checkpoints_tasks_before_the_lease_expires() -> None:
    """The table is down for longer than the lease: heartbeats are acknowledged, not committed.

    The task must be checkpointed before the lease expires and reported once it is renewed.
    """
    async with Rig() as rig:
        await rig.send(start("a"))
        rig.links.committing = False
        await asyncio.sleep(6.5)
        assert rig.worker.running() == {"a"}
        await asyncio.sleep(2.0)
        assert rig.worker.running() == set()
        rig.links.committing = True
        await asyncio.sleep(2.0)
        assert {m.checkpoint for m in rig.links.got(Checkpointed)} == {"c/a"}
        await rig.send(ack("a"))
        await rig.send(start("a", 2, checkpoint="c/a"))
        assert rig.worker.starts == [("a", 1), ("a", 2)]


async def test_worker_lease_expires_with_the_agent_lease() -> None:
    """The agent is frozen while a task runs; only the worker's lease can stop the task."""
    async with Rig() as rig:
        await rig.send(start("a"), 5.0)
        rig.worker.delay_s = 100.0
        rig.links.committing = False
        await asyncio.sleep(10.1)
        assert rig.worker.running() == set()


async def test_fence_stops_all_tasks_and_starts_a_new_incarnation() -> None:
    """An entry has fenced the instance; its jobs may be running elsewhere."""
    async with Rig() as rig:
        await rig.send(start("a"))
        before = rig.agent.incarnation
        rig.links.fencing = True
        await asyncio.sleep(2.0)
        assert rig.worker.tasks == {} and rig.links.reopened == 1
        assert rig.agent.incarnation != before
        await rig.send(start("a", 1, claimed_by=before))
        await rig.send(start("a", 2, claimed_by=rig.agent.incarnation))
        assert rig.worker.starts == [("a", 1), ("a", 2)]
        assert rig.links.got(Checkpointed) == []


async def test_restart_adopts_and_admits_nothing_beyond() -> None:
    """The agent is killed and restarted while its worker uses three of four processors."""
    worker = FakeWorker()
    for key in "abc":
        worker.put(key, 3)
    worker.put("done", 1, TaskState.SUCCEEDED, result=7)
    async with Rig(worker) as rig:
        assert {m.result for m in rig.links.got(Completed)} == {7}
        await rig.send(start("d"), 0.3)
        await rig.send(start("e"), 0.3)
        assert [m.key for m in rig.links.got(Refused)] == ["e"]
        await rig.send(OutcomeQuery(key="a", epoch=3, claimed_by="earlier", **ENTRY), 0.1)
        assert [m.claim_outcome for m in rig.links.got(OutcomeAnswer)] == ["running"]
        await rig.send(start("a", 3, claimed_by=rig.agent.incarnation), 12.0)
        assert rig.worker.running() == {"a", "d"}
        assert {m.key for m in rig.links.got(Checkpointed)} == {"b", "c"}


@pytest.mark.parametrize("session", [0, 9])
async def test_session_lost(session: int) -> None:
    """A lower session number means a restarted worker, a higher one another agent."""
    async with Rig() as rig:
        await rig.send(start("a"))
        rig.worker.session = session
        if session == 0:
            rig.worker.tasks.clear()
        await asyncio.sleep(2.0)
        assert rig.agent.stopped.is_set() == (session == 9)
        lost = {(m.key, m.checkpoint, m.reason) for m in rig.links.got(Checkpointed)}
        assert lost == (set() if session == 9 else {("a", "", "lost")})


async def test_drain_checkpoints_and_waits_for_the_acknowledgement() -> None:
    async with Rig() as rig:
        await rig.send(start("a"))
        rig.agent.drain()
        await asyncio.sleep(2.0)
        assert {m.checkpoint for m in rig.links.got(Checkpointed)} == {"c/a"}
        assert not rig.agent.stopped.is_set()
        await rig.send(ack("a"))
        assert rig.agent.stopped.is_set() and not rig.agent.failure


async def test_watch_events_are_forwarded_once() -> None:
    async with Rig() as rig:
        await rig.send(start("w", kind="watch"))
        rig.worker.change("w", events=("x", "y"), first_event=1)
        await asyncio.sleep(1.0)
        rig.worker.change("w", events=("y", "z"), first_event=2)
        await asyncio.sleep(1.0)
        got = [(m.number, m.event) for m in rig.links.got(WatchEvent)]
        assert got == [(1, "x"), (2, "y"), (3, "z")]


@pytest.mark.parametrize(
    ("tasks", "size", "evicted"),
    [
        pytest.param([("a", {}), ("b", {}), ("c", {})], 1000, set(), id="room is there"),
        pytest.param([(k, {}) for k in "abcd"], 1000, {"d"}, id="newest"),
        pytest.param([(k, {}) for k in "abcd"], 3000, {"b", "c", "d"}, id="as many as needed"),
        pytest.param([("a", {}), ("w", {"kind": "watch"})], 4000, None, id="watches stay"),
        pytest.param(
            [("a", {"resources": Amount(3000, 3000)}), ("b", {})],
            2000,
            {"a"},
            id="no more than needed",
        ),
    ],
)
async def test_urgent_offer(tasks: list[Any], size: int, evicted: set[str] | None) -> None:
    async with Rig() as rig:
        for key, changes in tasks:
            await rig.send(start(key, **changes), 0.1)
        await rig.send(offer("u", urgent=True, resources=Amount(size, size)), 0.0)
        # The capacity that the evictions free must not be given to another offer.
        await rig.send(offer("x", resources=Amount(3000, 3000)), 0.5)
        accepted = [m.offer_id for m in rig.links.got(Accepted)]
        assert accepted == ([] if evicted is None else ["o-u"])
        assert {m.key for m in rig.links.got(Checkpointed)} == (evicted or set())


async def test_urgent_offer_is_refused_when_eviction_takes_too_long() -> None:
    async with Rig() as rig:
        for key in "abcd":
            await rig.send(start(key), 0.1)
        rig.worker.delay_s = 9.0
        await rig.send(offer("u", urgent=True), 2.5)
        assert [m.reason for m in rig.links.got(Refused)] == ["eviction took too long"]
