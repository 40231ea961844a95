"""Tests that batch is throttled if it interferes with services or exceeds the instance's size."""

import asyncio
from typing import Any

import pytest

from sapphirelead.agent_samples import (
    MAX_INTERVALS_PER_REPORT,
    MIN_REQUESTS_PER_REPORT,
    LatencyWindow,
)
from sapphirelead.model_resources import Resources
from sapphirelead.wire_messages import Checkpointed, ConfigPush, Heartbeat, ServiceRequest
from tests.unit.agent_fakes import ENTRY, Rig, start

pytestmark = pytest.mark.looptime


def push(version: int, document: dict[str, Any]) -> ConfigPush:
    return ConfigPush(version=version, document=document, **ENTRY)


def request(name: str) -> ServiceRequest:
    return ServiceRequest(
        request_id=name,
        attempt=1,
        service="check",
        budget_ms=1000,
        headers={},
        body=b"",
        **ENTRY,
    )


async def serve(rig: Rig, seconds: float, interference: float) -> None:
    """Send 40 requests per second to a target whose latency grows with the running tasks."""
    for number in range(int(seconds * 40)):
        running = (rig.worker.tasks[key].info for key in rig.worker.running())
        rig.target.delay_s = 0.02 * (1 + interference * sum(info.throttle for info in running) / 4)
        rig.links.deliver(request(f"{asyncio.get_running_loop().time()}.{number}"))
        await asyncio.sleep(0.025)


@pytest.mark.parametrize(
    ("interference", "share", "evicted"),
    [
        pytest.param(0.2, 1.0, False, id="quiet"),
        pytest.param(2.0, 0.5, False, id="throttled"),
        pytest.param(20.0, 0.25, True, id="evicted"),
    ],
)
async def test_interference(interference: float, share: float, evicted: bool) -> None:
    async with Rig() as rig:
        await serve(rig, 20.0, interference)
        for key in "ab":
            await rig.send(start(key), 0.1)
        await serve(rig, 40.0, interference)
        shares = {rig.worker.tasks[key].info.throttle for key in rig.worker.running()}
        assert shares and max(shares) <= share + 0.1 and min(shares) >= min(share, 0.25) - 0.01
        assert bool(rig.links.got(Checkpointed)) == evicted
        sample = rig.links.got(Heartbeat)[-1]
        assert sample.services[0].count > 0 and sample.classes[0].tasks == len(rig.worker.running())


@pytest.mark.parametrize(
    ("usage", "throttle", "evicted"),
    [
        pytest.param(Resources(1000, 1000), 1.0, set(), id="as declared"),
        pytest.param(Resources(9000, 1000), 1000 / 9000, set(), id="processors"),
        pytest.param(Resources(1000, 9000), 1.0, {"a"}, id="memory"),
    ],
)
async def test_wrong_declarations(usage: Resources, throttle: float, evicted: set[str]) -> None:
    """Guards against a job that uses nine times what it declares."""
    async with Rig() as rig:
        for key in "ab":
            await rig.send(start(key), 0.1)
        rig.worker.change("a", usage=usage)
        await asyncio.sleep(2.0)
        assert {m.key for m in rig.links.got(Checkpointed)} == evicted
        assert rig.worker.tasks["a"].info.throttle == pytest.approx(throttle)
        assert rig.links.got(Heartbeat)[-1].free.cpu_millicores <= 3000


async def test_task_that_uses_what_it_declared_again_gets_its_full_speed_back() -> None:
    """Guards against a task that is slowed for its whole life by one burst of processor use."""
    async with Rig() as rig:
        await rig.send(start("a"), 0.1)
        rig.worker.change("a", usage=Resources(9000, 1000))
        await asyncio.sleep(2.0)
        rig.worker.change("a", usage=Resources(1000, 1000))
        await asyncio.sleep(5.0)
        assert rig.worker.tasks["a"].info.throttle < 1.0, "it may be the cap that keeps its use low"
        await asyncio.sleep(10.0)
        assert rig.worker.tasks["a"].info.throttle == 1.0
        rig.worker.change("a", usage=Resources(9000, 1000))
        await asyncio.sleep(30.0)
        assert rig.worker.tasks["a"].info.throttle == pytest.approx(1000 / 9000)


async def test_rule_sets_a_share_and_a_late_lower_version_changes_nothing() -> None:
    rules = [{"name": "slow", "then": {"throttle_share": 0.5}}]
    async with Rig() as rig:
        await rig.send(push(2, {"rules": rules}))
        await rig.send(push(1, {}))
        await rig.send(push(3, {"nonsense": 1}))
        await rig.send(start("a", rule="slow"))
        assert rig.worker.tasks["a"].info.throttle == 0.5
        assert rig.links.got(Heartbeat)[-1].config_version == 2


async def test_few_requests_are_accumulated_over_several_intervals() -> None:
    window = LatencyWindow("check")
    reports = []
    for number in range(2 * MAX_INTERVALS_PER_REPORT):
        window.add(0.1, True)
        reports.append(window.report(float(number + 1)))
    assert [r.count for r in reports if r] == [MAX_INTERVALS_PER_REPORT, MAX_INTERVALS_PER_REPORT]
    for _ in range(MIN_REQUESTS_PER_REPORT):
        window.add(0.1, True)
    assert window.report(99.0) is not None


async def test_few_slow_answers_keep_the_throttle() -> None:
    """Guards against releasing a throttle because a slow target completes few requests."""
    async with Rig() as rig:
        await serve(rig, 20.0, 4.0)
        await rig.send(start("a"), 0.1)
        await serve(rig, 10.0, 4.0)
        initial_share = rig.worker.tasks["a"].info.throttle
        assert initial_share < 1.0
        for number in range(10):
            rig.target.delay_s = 0.2
            rig.links.deliver(request(f"few-{number}"))
            await asyncio.sleep(0.9)
            assert rig.worker.tasks["a"].info.throttle <= initial_share


async def test_unattributed_slowdown_is_logged(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a slowdown that leads to no action and leaves no trace in the log."""
    lines: list[dict[str, Any]] = []

    def record(_level: str, event: str, /, **fields: Any) -> None:
        lines.append({"event": event, **fields})

    async with Rig() as rig:
        await serve(rig, 20.0, 0.0)
        monkeypatch.setattr("sapphirelead.agent_throttle.log_event", record)
        await serve(rig, 4.0, 0.0)
        assert not lines
        for number in range(80):
            rig.target.delay_s = 0.2
            rig.links.deliver(request(f"slow{number}"))
            await asyncio.sleep(0.025)
        await asyncio.sleep(2.0)
    line, *_ = lines
    assert (line["event"], line["suspect"], line["running"]) == ("slowdown_unblamed", "-", 0)
    assert (
        line["tail_ms"] > 5 * 20 > line["usual_ms"] and line["requests"] >= MIN_REQUESTS_PER_REPORT
    )


async def test_batch_is_throttled_in_time_when_answers_are_few() -> None:
    """Guards against a late throttle when batch slows a service so much that few answers arrive."""
    lag_s = 0.5
    async with Rig() as rig:
        await rig.send(push(2, {"interference": {"report_lag_seconds": lag_s}}))
        await serve(rig, 20.0, 0.0)
        await rig.send(start("a"), 0.1)
        started_at = asyncio.get_running_loop().time()
        number = 0
        while rig.worker.tasks["a"].info.throttle >= 1.0:
            rig.target.delay_s = 0.2
            rig.links.deliver(request(f"few{number}"))
            number += 1
            await asyncio.sleep(0.125)
            assert (
                asyncio.get_running_loop().time() - started_at
                <= (MAX_INTERVALS_PER_REPORT + 1) * lag_s + 0.5
            )
