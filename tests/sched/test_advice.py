"""Requests to the advice service on fleets with more workers than one request may name."""

from sapphirelead.model_worker_life import WorkerLife
from sapphirelead.sched_advice import MAX_WORKERS_PER_REQUEST, TicketTable
from sapphirelead.sched_planner import plan
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
