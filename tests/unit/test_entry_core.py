"""Tests the durable part of an entry with an in-memory table and simulated agents."""

import asyncio
from dataclasses import replace
from typing import Any

import pytest

from sapphirelead.entry_job_rows import done_key, open_key, shard_of
from sapphirelead.entry_scheduler import MAX_OFFERS_PER_TICK
from sapphirelead.errors import Code
from sapphirelead.model_config import CONFIG_KEY
from sapphirelead.model_job import JobState
from sapphirelead.model_resources import Resources
from sapphirelead.ports import Row
from sapphirelead.wire_messages import (
    AnyMessage,
    Checkpointed,
    Completed,
    Offer,
    OutcomeAnswer,
    OutcomeQuery,
    Refused,
    Start,
    Stop,
)
from tests.unit.entry_world import World, accepting, in_world, sent, started, state_of, until
from tests.unit.fakes import FakeNet, head, make_core, make_spec

pytestmark = [pytest.mark.asyncio, pytest.mark.looptime]


@in_world
async def test_completed_job_moves_from_open_to_done_rows(world: World) -> None:
    core = world.core
    net = world.net
    memory = world.memory
    await started(core, net, "j")
    net.deliver(Completed(**head("a"), key="j", epoch=1, ok=True, result=42))
    job = (await core.jobs.get("j", 5)).unwrap()
    assert job is not None
    assert (job.state, job.result, job.epoch) == (JobState.DONE, 42, 1)
    shard = shard_of("j", 16)
    assert open_key(shard, "j") not in memory.data
    assert done_key(shard, "j") in memory.data


@in_world
async def test_repeated_key_returns_the_job_and_other_content_is_rejected(world: World) -> None:
    core = world.core
    net = world.net
    await started(core, net, "j")
    again = await core.jobs.submit(make_spec("j"), "")
    assert again.unwrap().spec.key == "j"
    other = await core.jobs.submit(make_spec("j", cpu=500), "")
    assert other.unwrap_err().code is Code.KEY_REUSED


@in_world
async def test_rule_makes_a_queued_job_urgent_and_quota_limits_the_queue(world: World) -> None:
    core, net = world.core, world.net
    net.answer = lambda _instance, _message: []
    document = {
        "teams": {"team": {"queued_jobs": 2}},
        "rules": [
            {
                "name": "hurry",
                "when": {"job_class": {"eq": "rollover"}},
                "then": {"urgent": True},
            }
        ],
    }
    for key in ("a", "b"):
        assert (await core.jobs.submit(make_spec(key), "")).is_ok()
    assert (await core.config.apply(document, 0, "asha", "bound")).is_ok()
    await until(lambda: any(offer.urgent for offer in sent(net, "a", Offer)))  # type: ignore[union-attr]
    assert (await core.jobs.submit(make_spec("c"), "")).unwrap_err().code is Code.QUOTA
    assert (await core.jobs.submit(make_spec("a"), "")).is_ok()


@in_world
async def test_stop_during_scheduler_wakeup_is_not_swallowed(world: World) -> None:
    """Guards against a cancellation that is swallowed when the scheduler is woken at the same time,
    after which the process would never stop."""
    world.core.scheduler._wake.set()
    async with asyncio.timeout(5):
        await world.core.stop()


@in_world
async def test_impossible_job_is_rejected_on_submit(world: World) -> None:
    core = world.core
    refused = await core.jobs.submit(make_spec("big", cpu=1_000_000), "")
    assert refused.unwrap_err().code is Code.IMPOSSIBLE


@in_world
async def test_jobs_are_neither_placed_nor_taken_while_all_zones_are_evacuated(
    world: World,
) -> None:
    """Guards against offers in an evacuated zone, and against callers that wait in vain."""
    core = world.core
    zones = {view.zone for view in world.net.live()}
    assert (await core.jobs.submit(make_spec("first"), "")).is_ok()
    raw: dict[str, Any] = {"evacuated_zones": {zone: {} for zone in zones}}
    assert (await core.config.apply(raw, core.config.current.version, "ana", "works")).is_ok()
    refused = await core.jobs.submit(make_spec("second"), "")
    assert refused.unwrap_err().code is Code.NO_INSTANCE
    assert (await core.jobs.submit(make_spec("first"), "")).is_ok()
    assert (await core.config.apply({}, core.config.current.version, "ana", "done")).is_ok()
    assert (await core.jobs.submit(make_spec("second"), "")).is_ok()


@in_world
async def test_jobs_without_room_do_not_keep_others_from_being_placed(world: World) -> None:
    """Guards against jobs that are never offered to the free instance because as many jobs as a
    tick places wait in front of them for one that is full."""
    core, net = world.core, world.net
    net.views["a"] = replace(net.views["a"], free=Resources(1000, 4096))
    for number in range(MAX_OFFERS_PER_TICK):
        assert (await core.jobs.submit(make_spec(f"large{number}", cpu=2000), "")).is_ok()
    assert (await core.jobs.submit(make_spec("small"), "")).is_ok()
    await until(lambda: bool(sent(net, "a", Start)), limit_s=5.0)
    assert [start.key for start in sent(net, "a", Start)] == ["small"]  # type: ignore[union-attr]
    net.views["a"] = replace(net.views["a"], free=Resources(4000, 4096))
    await until(lambda: len(sent(net, "a", Start)) > 1, limit_s=2.0)


@in_world
async def test_job_without_room_is_tried_again_beside_a_team_at_its_quota(world: World) -> None:
    """Guards against a job that is never tried again because jobs beyond their team's quota, which
    are never placed, count as jobs to try first."""
    core, net = world.core, world.net
    document = {"teams": {"other": {"cpu_millicores": 1}}}
    assert (await core.config.apply(document, 0, "asha", "bound")).is_ok()
    net.views["a"] = replace(net.views["a"], free=Resources(1000, 4096))
    for number in range(MAX_OFFERS_PER_TICK + 1):
        spec = replace(make_spec(f"other{number}"), team="other")
        assert (await core.jobs.submit(spec, "")).is_ok()
    assert (await core.jobs.submit(make_spec("large", cpu=2000), "")).is_ok()
    await asyncio.sleep(1.0)
    net.views["a"] = replace(net.views["a"], free=Resources(4000, 4096))
    await until(lambda: bool(sent(net, "a", Start)), limit_s=2.0)


@pytest.mark.parametrize(
    ("report", "idempotent", "expected", "epoch"),
    [
        (Completed(**head("a"), key="j", epoch=1, ok=False), False, JobState.FAILED, 1),
        (Completed(**head("a"), key="j", epoch=1, ok=False), True, JobState.CLAIMED, 2),
        (Completed(**head("a"), key="j", epoch=9, ok=True), False, JobState.CLAIMED, 1),
        (Completed(**head("b"), key="j", epoch=1, ok=True), False, JobState.CLAIMED, 1),
        (
            Checkpointed(**head("a"), key="j", epoch=1, checkpoint="c", reason="evicted"),
            False,
            JobState.CLAIMED,
            2,
        ),
        (
            Checkpointed(**head("a"), key="j", epoch=1, checkpoint="", reason="lost"),
            False,
            JobState.UNKNOWN,
            1,
        ),
        (
            Refused(**head("a"), offer_id="", key="j", epoch=1, reason="late"),
            False,
            JobState.CLAIMED,
            2,
        ),
        (
            Refused(**head("a", "i0"), offer_id="", key="j", epoch=1, reason="late"),
            False,
            JobState.CLAIMED,
            1,
        ),
        (
            OutcomeAnswer(**head("a"), key="j", epoch=1, claim_outcome="never_started"),
            False,
            JobState.CLAIMED,
            2,
        ),
        (
            OutcomeAnswer(**head("a"), key="j", epoch=1, claim_outcome="lost"),
            False,
            JobState.UNKNOWN,
            1,
        ),
        (
            OutcomeAnswer(**head("a"), key="j", epoch=1, claim_outcome="lost"),
            True,
            JobState.CLAIMED,
            2,
        ),
    ],
)
@in_world
async def test_report_applies_transition_to_claim(
    world: World, report: AnyMessage, idempotent: bool, expected: JobState, epoch: int
) -> None:
    core = world.core
    net = world.net
    await started(core, net, "j", idempotent)
    net.deliver(report)
    await asyncio.sleep(1.0)
    job = (await core.jobs.get("j", 0)).unwrap()
    assert job is not None
    assert (job.state, job.epoch) == (expected, epoch)


@in_world
async def test_evicted_job_resumes_from_its_checkpoint(world: World) -> None:
    core = world.core
    net = world.net
    await started(core, net, "j")
    net.deliver(Checkpointed(**head("a"), key="j", epoch=1, checkpoint="c1", reason="evicted"))
    await until(lambda: len(sent(net, "a", Start)) == 2)
    resumed = sent(net, "a", Start)[1]
    assert isinstance(resumed, Start)
    assert (resumed.epoch, resumed.checkpoint) == (2, "c1")


@pytest.mark.parametrize(
    ("idempotent", "expected"), [(False, JobState.UNKNOWN), (True, JobState.QUEUED)]
)
@in_world
async def test_fenced_holder_loses_its_claims(
    world: World, idempotent: bool, expected: JobState
) -> None:
    """An instance that fails is fenced after lease and margin.  An idempotent job is queued again;
    any other is reported unknown, because a second run could repeat its effects."""
    core = world.core
    net = world.net
    await started(core, net, "j", idempotent)
    net.unresponsive.add("a")
    await asyncio.sleep(4.0)
    assert await state_of(core, "j") is JobState.CLAIMED
    await asyncio.sleep(4.0)
    assert await state_of(core, "j") is expected
    assert net.views["a"].fenced


@in_world
async def test_fenced_incarnation_never_registers_again(world: World) -> None:
    """An agent that was paused past its lease and sends heartbeats again must not be registered
    under its old incarnation, because its claims may have been reassigned."""
    net = world.net
    net.unresponsive.add("a")
    await until(lambda: net.views["a"].fenced)
    net.unresponsive.clear()
    net.committed.clear()
    net.heartbeat("a", "i1", 50)
    await asyncio.sleep(2.0)
    assert net.views["a"].fenced
    assert net.committed == {}
    net.heartbeat("a", "i2", 1)
    await until(lambda: ("a", "i2") in net.committed)


@in_world
async def test_restarted_agent_adopts_its_task_under_the_same_epoch(world: World) -> None:
    """After a restart of the agent, a task that its worker kept running must not be started again:
    the claim moves to the new incarnation and the task's end is accepted."""
    core = world.core
    net = world.net

    def restarted(instance: str, message: AnyMessage) -> list[AnyMessage]:
        if isinstance(message, OutcomeQuery):
            answer = OutcomeAnswer(
                **head(instance, "i2"),
                key=message.key,
                epoch=message.epoch,
                claim_outcome="running",
            )
            return [answer]
        return []

    await started(core, net, "j")
    net.answer = restarted
    net.heartbeat("a", "i2", 1)

    def adopted() -> bool:
        starts = [start for start in sent(net, "a", Start) if isinstance(start, Start)]
        return any(start.claimed_by == "i2" and start.epoch == 1 for start in starts)

    await until(adopted)
    net.deliver(Completed(**head("a", "i2"), key="j", epoch=1, ok=True))
    assert (await core.jobs.get("j", 5)).unwrap().state is JobState.DONE  # type: ignore[union-attr]


@in_world
async def test_cancelled_claim_is_stopped_and_ends_cancelled(world: World) -> None:
    core = world.core
    net = world.net
    await started(core, net, "j")
    await core.jobs.cancel("j")
    await until(lambda: bool(sent(net, "a", Stop)))
    net.deliver(Checkpointed(**head("a"), key="j", epoch=1, checkpoint="", reason="cancelled"))
    await until(lambda: not core.scheduler.shards.jobs)
    assert await state_of(core, "j") is JobState.CANCELLED


@in_world
async def test_claim_is_released_when_its_start_was_not_sent(world: World) -> None:
    """If the connection fails between claim and start, the start was not sent and the job can be
    queued again safely."""
    core = world.core
    net = world.net

    def disconnecting(instance: str, message: AnyMessage) -> list[AnyMessage]:
        if isinstance(message, Offer) and len(sent(net, "a", Offer)) == 1:
            net.unresponsive.add("a")
            asyncio.get_running_loop().call_later(2.0, net.unresponsive.clear)
        return accepting(instance, message)

    net.answer = disconnecting
    await core.jobs.submit(make_spec("j"), "")
    await until(lambda: bool(sent(net, "a", Start)))
    start = sent(net, "a", Start)[0]
    assert isinstance(start, Start)
    assert start.epoch == 2


@in_world
async def test_concurrent_config_changes_yield_one_conflict(
    world: World,
) -> None:
    """Two concurrent changes of the same version must not both be accepted, because one of them
    would be rejected silently."""
    core = world.core
    outcomes = await asyncio.gather(
        core.config.apply({"rules": [{"name": "one"}]}, 0, "asha", "first"),
        core.config.apply({"rules": [{"name": "two"}]}, 0, "binu", "second"),
    )
    assert sorted(outcome.is_ok() for outcome in outcomes) == [False, True]
    rejected = next(outcome for outcome in outcomes if outcome.is_err())
    assert rejected.unwrap_err().code is Code.CONFIG_CONFLICT
    assert "version 1 is in force" in rejected.unwrap_err().message
    records = (await core.config.history(0, 10)).unwrap()
    assert [record.version for record in records] == [1]
    accepted = (
        next(outcome for outcome in outcomes if outcome.is_ok()).unwrap().document.rules[0].name
    )
    assert any(accepted in change for change in records[0].changes)


@in_world
async def test_conflict_reports_a_version_that_was_not_polled_yet(world: World) -> None:
    """A conflict with another entry's recent change must report that version, not the older one
    that this entry polled last."""
    other = make_core(world.memory, FakeNet(), "e2")
    other.start()
    assert (await other.config.apply({"rules": [{"name": "one"}]}, 0, "asha", "")).is_ok()
    rejected = await world.core.config.apply({"rules": [{"name": "two"}]}, 0, "binu", "")
    assert "version 1 is in force" in rejected.unwrap_err().message
    assert world.core.config.current.version == 1
    await other.stop()


@in_world
async def test_lower_configuration_version_is_ignored(world: World) -> None:
    core = world.core
    core.config.observe(5, {"rules": [{"name": "five"}]})
    core.config.observe(4, {"rules": [{"name": "four"}]})
    assert core.config.current.version == 5


@in_world
async def test_a_version_that_is_rejected_here_confirms_no_zones(world: World) -> None:
    """Guards against starts by an entry that cannot read what a newer release has evacuated."""
    core = world.core
    reads: list[float] = []
    core.config.on_read(reads.append)
    await core.config._poll()
    assert len(reads) == 1
    newer = {"version": 7, "document": {"unknown_to_this_release": {}}}
    world.memory.data[CONFIG_KEY] = Row(CONFIG_KEY, 99, newer)
    await core.config._poll()
    assert len(reads) == 1
    newer = {"version": 8, "document": {}}
    world.memory.data[CONFIG_KEY] = Row(CONFIG_KEY, 100, newer)
    await core.config._poll()
    assert len(reads) == 2


@in_world
async def test_two_entries_never_both_claim_a_job(world: World) -> None:
    """Two entries that both consider themselves owner of every shard, as just after a start, must
    not both start a job."""
    net = world.net
    second = make_core(world.memory, net, "e2")
    second.start()
    cores = [world.core, second]
    for core in cores:
        core.leases.live_entries = {}
        core.scheduler.shards.set_live(core.leases._stamp.sender, [])
    for number in range(20):
        assert (await cores[number % 2].jobs.submit(make_spec(f"j{number}", cpu=100), "")).is_ok()
    await until(lambda: len(sent(net, "a", Start)) >= 20)
    await asyncio.sleep(2.0)
    starts = [start for start in sent(net, "a", Start) if isinstance(start, Start)]
    assert sorted((s.key, s.epoch) for s in starts) == sorted((f"j{n}", 1) for n in range(20))
    await second.stop()
