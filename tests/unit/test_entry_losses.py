"""Durable jobs whose holders are lost, told apart from jobs that fail."""

from collections.abc import Awaitable, Callable
from dataclasses import replace

import pytest
from loguru import logger

from sapphirelead.entry_job_rows import open_key, shard_of
from sapphirelead.model_config import JobClassPolicy
from sapphirelead.model_job import Job, JobSpec, JobState, Kind
from sapphirelead.wire_messages import Checkpointed, Completed, OutcomeAnswer, Start
from tests.unit.entry_world import World, in_world, sent, until
from tests.unit.fakes import head, make_core, make_spec

pytestmark = [pytest.mark.asyncio, pytest.mark.looptime]

MAX_LOSSES = 5
MAX_ATTEMPTS = JobClassPolicy().max_attempts

Report = Callable[[World, int], Awaitable[None]]


async def task_unknown(world: World, epoch: int) -> None:
    """The instance's present incarnation does not know the task."""
    world.net.deliver(OutcomeAnswer(**head("a"), key="j", epoch=epoch, claim_outcome="lost"))


async def worker_restarted(world: World, epoch: int) -> None:
    """The worker no longer lists the task, and its agent is still there."""
    world.net.deliver(Checkpointed(**head("a"), key="j", epoch=epoch, checkpoint="", reason="lost"))


async def instance_fenced(world: World, epoch: int) -> None:
    """The instance is silent until it is fenced, and returns under another incarnation."""
    world.net.unresponsive.add("a")
    await until(lambda: world.net.views["a"].fenced)
    await until(lambda: all(job.epoch != epoch or not job.holder for job in open_jobs(world)))
    world.net.unresponsive.clear()
    world.net.heartbeat("a", f"i{epoch + 1}", 1)


def open_jobs(world: World) -> list[Job]:
    return [stored.job for stored in world.core.scheduler.shards.jobs.values()]


async def read(world: World) -> Job:
    job = (await world.core.jobs.get("j", 0)).unwrap()
    assert job is not None
    return job


async def submit(world: World, spec: JobSpec) -> None:
    assert (await world.core.jobs.submit(spec, "")).is_ok()


async def start_of(world: World, epoch: int) -> Start:
    """Wait for the start of the claim ``epoch``."""

    def starts() -> list[Start]:
        found = [message for message in sent(world.net, "a", Start) if isinstance(message, Start)]
        return [message for message in found if message.epoch == epoch]

    await until(lambda: bool(starts()))
    return starts()[0]


async def lose(world: World, report: Report, first: int, last: int) -> None:
    """Lose the holders of the claims ``first`` to ``last``."""
    for epoch in range(first, last + 1):
        await start_of(world, epoch)
        await report(world, epoch)


async def until_ended(world: World) -> Job:
    await until(lambda: not open_jobs(world))
    return await read(world)


@pytest.mark.parametrize("report", [task_unknown, worker_restarted, instance_fenced])
@in_world
async def test_job_is_not_set_aside_for_lost_instances(world: World, report: Report) -> None:
    """Guards against an innocent job that is given up because instances around it fail."""
    await submit(world, make_spec("j", idempotent=True))
    await lose(world, report, 1, MAX_ATTEMPTS)
    last = await start_of(world, MAX_ATTEMPTS + 1)
    done = Completed(**head("a", last.claimed_by), key="j", epoch=last.epoch, ok=True)
    world.net.deliver(done)
    job = await until_ended(world)
    assert (job.state, job.attempts) == (JobState.DONE, 0)


@pytest.mark.parametrize("report", [task_unknown, worker_restarted, instance_fenced])
@in_world
async def test_job_that_keeps_losing_its_holders_is_set_aside(world: World, report: Report) -> None:
    """Guards against a poison task that takes down one instance after the other."""
    await submit(world, make_spec("j", idempotent=True))
    await lose(world, report, 1, MAX_LOSSES)
    job = await until_ended(world)
    assert (job.state, job.epoch) == (JobState.SET_ASIDE, MAX_LOSSES)
    assert job.reason.startswith(f"SL-502: {MAX_LOSSES} holders were lost")


@in_world
async def test_losses_are_counted_across_entries(world: World) -> None:
    """Guards against a count that each successor begins anew, so that no bound holds."""
    await submit(world, make_spec("j", idempotent=True))
    await lose(world, task_unknown, 1, MAX_LOSSES - 1)
    await start_of(world, MAX_LOSSES)
    await world.core.stop()
    world.net.handlers.clear()
    world.core = make_core(world.memory, world.net, "e2")
    world.core.start()
    await until(lambda: bool(open_jobs(world)))
    await worker_restarted(world, MAX_LOSSES)
    job = await until_ended(world)
    assert (job.state, job.epoch) == (JobState.SET_ASIDE, MAX_LOSSES)


@in_world
async def test_watch_outlives_any_number_of_lost_holders(world: World) -> None:
    """Guards against a watch that ends because instances fail during its long life, at once or at
    its first own failure afterwards."""
    losses = 2 * MAX_LOSSES
    await submit(world, replace(make_spec("j", idempotent=True), kind=Kind.WATCH))
    await lose(world, task_unknown, 1, losses)
    await start_of(world, losses + 1)
    world.net.deliver(Completed(**head("a"), key="j", epoch=losses + 1, ok=False))
    await start_of(world, losses + 2)
    assert (await read(world)).attempts == 1


@in_world
async def test_checkpoint_ends_a_series_of_losses(world: World) -> None:
    """Guards against a long job that is given up although it makes progress between losses."""
    await submit(world, make_spec("j", idempotent=True))
    await lose(world, task_unknown, 1, MAX_LOSSES - 1)
    await start_of(world, MAX_LOSSES)
    saved = Checkpointed(**head("a"), key="j", epoch=MAX_LOSSES, checkpoint="c1", reason="evicted")
    world.net.deliver(saved)
    await lose(world, task_unknown, MAX_LOSSES + 1, 2 * MAX_LOSSES - 1)
    resumed = await start_of(world, 2 * MAX_LOSSES)
    assert resumed.checkpoint == "c1"


@in_world
async def test_losses_do_not_use_up_the_attempts_of_a_failing_job(world: World) -> None:
    """Guards against the two counts being added up, or one of them hiding the other."""
    await submit(world, make_spec("j", idempotent=True))
    await lose(world, task_unknown, 1, MAX_LOSSES - 1)
    for epoch in range(MAX_LOSSES, MAX_LOSSES + MAX_ATTEMPTS):
        await start_of(world, epoch)
        assert (await read(world)).state is JobState.CLAIMED
        failed = Completed(**head("a"), key="j", epoch=epoch, ok=False, reason="bad input")
        world.net.deliver(failed)
    job = await until_ended(world)
    assert (job.state, job.attempts) == (JobState.SET_ASIDE, MAX_ATTEMPTS)
    assert job.reason == "bad input"


@in_world
async def test_count_is_in_the_row_while_the_job_is_open(world: World) -> None:
    await submit(world, make_spec("j", idempotent=True))
    await lose(world, task_unknown, 1, 2)
    await start_of(world, 3)
    row = world.memory.get(open_key(shard_of("j", 16), "j"))
    assert row.value is not None
    assert (row.value["losses"], row.value["attempts"]) == (2, 0)


@pytest.mark.parametrize("report", [task_unknown, worker_restarted, instance_fenced])
@in_world
async def test_each_lost_holder_is_logged_once(world: World, report: Report) -> None:
    """Guards against an operator who cannot follow a job to the instances that were lost."""
    lines: list[str] = []
    sink = logger.add(lambda line: lines.append(str(line)), format="{message}")
    await submit(world, make_spec("j", idempotent=True))
    await lose(world, report, 1, 2)
    await start_of(world, 3)
    logger.remove(sink)
    lost = [line for line in lines if line.startswith("event=claim_lost")]
    expected = [f"event=claim_lost job=j epoch={n} instance=a losses={n} " for n in (1, 2)]
    assert [line.partition("reason=")[0] for line in lost] == expected


@in_world
async def test_job_is_started_elsewhere_after_a_loss(world: World) -> None:
    """Guards against a poison task that takes the same instance down again and again."""
    world.net.heartbeat("b", "i1", 1)
    await until(lambda: ("b", "i1") in world.net.committed)
    await submit(world, make_spec("j", idempotent=True))
    await lose(world, task_unknown, 1, 1)
    await until(lambda: bool(sent(world.net, "b", Start)))
    job = await read(world)
    assert (job.losses, job.tried) == (1, ("a",))
