"""Log lines and metrics by which an agent shows what it knows of the ends and starts of runs."""

import asyncio
from typing import Any

import pytest

import sapphirelead.runner_life as runner_life
import sapphirelead.runner_service as runner_service
from sapphirelead.clock import now
from tests.sched.fakes import FakeWorker
from tests.sched.test_runner import LEASE_S, life_of, order

pytestmark = pytest.mark.looptime


@pytest.fixture(autouse=True)
def _use_loop_clock(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(runner_life, "awake_now", now)
    monkeypatch.setattr(runner_service, "awake_now", now)


@pytest.fixture
def events(monkeypatch: pytest.MonkeyPatch) -> list[dict[str, Any]]:
    """Return the list to which log events are recorded."""
    found: list[dict[str, Any]] = []

    def record(level: str, event: str, /, **fields: object) -> None:
        found.append({"level": level, "event": event, **fields})

    monkeypatch.setattr(runner_life, "log_event", record)
    monkeypatch.setattr(runner_service, "log_event", record)
    return found


def named(events: list[dict[str, Any]], event: str) -> list[dict[str, Any]]:
    """Return the events with the given name."""
    return [fields for fields in events if fields["event"] == event]


async def test_the_end_of_a_life_is_logged_with_what_is_left_of_its_lease(
    events: list[dict[str, Any]],
) -> None:
    """Guards against a life that ends early, with runs that go on under a lease nobody can see."""
    worker = FakeWorker(work_s=60)
    async with life_of(worker) as (life, lease):
        life.start(order())
        await asyncio.sleep(1)
        worker.not_responding = True
        await asyncio.sleep(2)
        life.end("left")
        (line,) = named(events, "worker_ended")
        assert (line["reason"], line["runs"]) == ("left", 1)
        assert line["lease_left_s"] == pytest.approx(lease.expiry_bound - now())
        # The worker still answers the call in flight.
        wait_s = runner_life.LIST_WAIT_MS / 1000
        assert line["last_answer_s"] == pytest.approx(2.0, abs=wait_s)


async def test_a_life_that_ends_after_its_lease_has_none_left(
    events: list[dict[str, Any]],
) -> None:
    worker = FakeWorker(work_s=60)
    async with life_of(worker) as (life, _):
        worker.not_responding = True
        await asyncio.sleep(2 * LEASE_S)
        life.end("other_life")
        (line,) = named(events, "worker_ended")
        assert line["lease_left_s"] == 0
