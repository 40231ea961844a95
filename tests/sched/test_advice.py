"""Requests to the advice service on fleets with more workers than one request may name."""

import asyncio

import pytest
from result import Ok, Result

from sapphirelead.errors import Failure
from sapphirelead.metrics import Metrics
from sapphirelead.model_worker_life import WorkerLife
from sapphirelead.node_leader_advice import AdviceDispatcher
from sapphirelead.node_ports import AdviceAnswer
from sapphirelead.sched_advice import MAX_WORKERS_PER_REQUEST, TicketTable
from sapphirelead.sched_planner import AdviceRequest, plan
from sapphirelead.sched_spec import AdvicePolicy, QueuePolicy
from tests.sched.fakes import Agents, job, scheduler

KEY = ("a1", 0, 0)
WORKERS = [WorkerLife(f"w{number}") for number in range(MAX_WORKERS_PER_REQUEST + 60)]


def test_advice_is_requested_for_every_worker_of_a_large_fleet() -> None:
    """Guards against truncating the list of workers before answered ones are removed."""
    sched = scheduler()
    agents = Agents(sched)
    for worker in WORKERS:
        agents.report(worker)
    policy = QueuePolicy("svc", advice=AdvicePolicy())
    sched.submit(job("a1", policy=policy), lambda *_: None)
    asked = [ask.workers for number in range(4) for ask in plan(sched, 0.1 * number, 0)]
    assert all(len(workers) <= MAX_WORKERS_PER_REQUEST for workers in asked)
    named = [worker for workers in asked for worker in workers]
    assert sorted(named) == sorted(f"w-{worker}" for worker in WORKERS)


def test_first_requests_go_before_renewals() -> None:
    table = TicketTable()
    first = table.start_request(KEY, WORKERS, 0.0)
    table.add_tickets(KEY, dict.fromkeys(first, "ticket"), expires_at=2.0)
    second = table.start_request(KEY, WORKERS, 3.0)
    assert set(second) >= set(WORKERS[MAX_WORKERS_PER_REQUEST:])
    assert len(second) == MAX_WORKERS_PER_REQUEST


def test_refused_worker_is_not_requested_again() -> None:
    table = TicketTable()
    table.start_request(KEY, WORKERS[:3], 0.0)
    table.add_tickets(KEY, {WorkerLife("w1"): "ticket"}, expires_at=2.0)
    assert table.start_request(KEY, WORKERS[:3], 0.5) == []
    assert table.start_request(KEY, WORKERS[:3], 1.5) == ["w1"]


class SlowAdvice:
    """An advice service that handles one call at a time, in 0.1 s.

    :ivar asked: the steps of all calls, in order.
    """

    def __init__(self) -> None:
        self.asked: list[str] = []
        self._turn = asyncio.Lock()

    async def ask(
        self, step: str, workers: list[WorkerLife], policy: AdvicePolicy
    ) -> Result[AdviceAnswer, Failure]:
        self.asked.append(step)
        async with self._turn:
            await asyncio.sleep(0.1)
        return Ok(AdviceAnswer())


async def ask_beside_urgent_requests(priority: int, seconds: float) -> list[str]:
    """Return the calls while more requests of the highest priority arrive than are answered."""
    sched = scheduler()
    service = SlowAdvice()
    dispatcher = AdviceDispatcher(sched, service, Metrics(), lambda: None)
    policies = {
        name: QueuePolicy("svc", priority=number, advice=AdvicePolicy())
        for name, number in {"urgent": 0, "other": priority}.items()
    }
    for name, policy in policies.items():
        sched.submit(job(name, policy=policy), lambda *_: None)
    dispatcher.start()
    dispatcher.put([AdviceRequest(("urgent", 0, 0), WORKERS[:1], policies["urgent"])] * 20)
    dispatcher.put([AdviceRequest(("other", 0, 0), WORKERS[:1], policies["other"])])
    for _ in range(round(seconds / 0.05)):
        dispatcher.put([AdviceRequest(("urgent", 0, 0), WORKERS[:1], policies["urgent"])])
        await asyncio.sleep(0.05)
    dispatcher.stop()
    return service.asked


@pytest.mark.asyncio
@pytest.mark.looptime
@pytest.mark.parametrize("priority", [1, 9, 1000])
async def test_request_of_a_low_priority_is_sent_beside_urgent_ones(priority: int) -> None:
    """Guards against jobs that never get a ticket while requests of a higher priority go on."""
    asked = await ask_beside_urgent_requests(priority, seconds=6.0)
    assert "other.0.0" in asked
    assert asked.index("other.0.0") >= 20, "the urgent ones that were there before it go first"
