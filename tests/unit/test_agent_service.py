"""Tests service requests: one outcome each, within the slots, and no incorrect ``not_run``."""

import asyncio
from typing import Any

import pytest

from sapphirelead.agent_service import MAX_SEEN_ATTEMPTS, AttemptHistory
from sapphirelead.entry_ports import Channel
from sapphirelead.errors import Code, Failure
from sapphirelead.sched_zones import ZONE_EVACUATED
from sapphirelead.wire_messages import (
    BULK_THRESHOLD_BYTES,
    AttemptOutcomeQuery,
    CancelAttempt,
    ConfigPush,
    Drain,
    ServiceAnswer,
    ServiceRequest,
)
from tests.unit.agent_fakes import ENTRY, Rig

pytestmark = pytest.mark.looptime


def request(number: int, **changes: Any) -> ServiceRequest:
    fields: dict[str, Any] = {
        "attempt": 1,
        "service": "check",
        "budget_ms": 1000,
        "headers": {},
        "body": b"q",
        **ENTRY,
    }
    return ServiceRequest(request_id=str(number), **{**fields, **changes})


def answers(rig: Rig) -> list[tuple[str, str]]:
    return [(m.ran, m.reason) for m in rig.links.got(ServiceAnswer)]


@pytest.mark.parametrize(
    ("changes", "failure", "expected"),
    [
        pytest.param({}, None, ("done", ""), id="answered"),
        pytest.param({"service": "x"}, None, ("not_run", "unknown service"), id="service"),
        pytest.param({"budget_ms": 0}, None, ("not_run", "deadline"), id="no time left"),
        pytest.param({"budget_ms": 50}, None, ("unknown", "deadline"), id="time over"),
        pytest.param({}, Code.TARGET_FAILED, ("unknown", "f"), id="target failed"),
        pytest.param({}, Code.NO_INSTANCE, ("not_run", "f"), id="target never saw it"),
    ],
)
async def test_request_outcomes(
    changes: Any, failure: Code | None, expected: tuple[str, str]
) -> None:
    async with Rig() as rig:
        rig.target.failure = Failure(failure, "f") if failure else None
        await rig.send(request(1, **changes))
        assert answers(rig) == [expected]


async def test_slots_are_held_until_the_target_call_ends() -> None:
    """Guards against overloading a slow target with retries while it still processes requests."""
    async with Rig() as rig:
        rig.target.delay_s = 5.0
        for number in range(8):
            await rig.send(request(number), 0.0)
        await rig.send(CancelAttempt(request_id="0", attempt=1, **ENTRY), 2.0)
        await rig.send(request(9), 0.1)
        assert rig.target.busy == 4
        refused = [m.request_id for m in rig.links.got(ServiceAnswer) if m.reason == "full"]
        assert refused == ["4", "5", "6", "7", "9"]
        await asyncio.sleep(4.0)
        await rig.send(request(10), 0.01)
        assert rig.target.busy == 1
        assert [m.request_id for m in rig.links.got(ServiceAnswer)].count("0") == 0


async def test_an_answer_does_not_count_its_own_slot() -> None:
    """Guards against answers that report their own slot as used, so that entries see fewer free."""
    async with Rig() as rig:
        await rig.send(request(1))
        assert [m.slots_used for m in rig.links.got(ServiceAnswer)] == [0]


@pytest.mark.parametrize("repeat", ["request", "fate"])
async def test_lost_answer_is_resent(repeat: str) -> None:
    async with Rig() as rig:
        await rig.send(request(1, body=b"x" * (BULK_THRESHOLD_BYTES + 1)))
        again = (
            request(1)
            if repeat == "request"
            else AttemptOutcomeQuery(request_id="1", attempt=1, **ENTRY)
        )
        await rig.send(again)
        channels = [channel for channel, m in rig.links.sent if isinstance(m, ServiceAnswer)]
        assert channels == [Channel.BULK, Channel.BULK] and len(rig.target.bodies) == 1


@pytest.mark.parametrize(("own", "ran"), [(True, "not_run"), (False, "unknown")])
async def test_an_attempt_declared_not_run_never_runs(own: bool, ran: str) -> None:
    """The entry times out and queries an attempt whose request arrives later."""
    async with Rig() as rig:
        sent_to = rig.agent.incarnation if own else "earlier"
        await rig.send(AttemptOutcomeQuery(request_id="1", attempt=1, sent_to=sent_to, **ENTRY))
        await rig.send(request(1))
        assert [end for end, _ in answers(rig)] == [ran, ran]
        assert rig.target.bodies == []


async def test_drain_finishes_requests_and_refuses_new_ones() -> None:
    async with Rig() as rig:
        rig.target.delay_s = 3.0
        await rig.send(request(1, budget_ms=9000), 0.1)
        await rig.send(Drain(reason="r", **ENTRY), 1.0)
        await rig.send(request(2), 0.1)
        rig.links.connected = False
        assert answers(rig) == [("not_run", "draining")]
        await asyncio.sleep(2.5)
        assert not rig.agent.stopped.is_set()
        rig.links.connected = True
        await asyncio.sleep(0.5)
        assert answers(rig)[1:] == [("done", "")] and rig.agent.stopped.is_set()


async def test_requests_are_refused_while_the_zone_is_evacuated() -> None:
    async with Rig() as rig:
        document: dict[str, Any] = {"evacuated_zones": {rig.agent._settings.zone: {}}}
        await rig.send(ConfigPush(version=2, document=document, **ENTRY), 0.1)
        await rig.send(request(1), 0.1)
        assert answers(rig) == [("not_run", ZONE_EVACUATED)]
        await rig.send(ConfigPush(version=3, document={}, **ENTRY), 0.1)
        await rig.send(request(2), 0.5)
        assert answers(rig)[1:] == [("done", "")]


def test_full_history_is_incomplete() -> None:
    history = AttemptHistory()
    answer = ServiceAnswer(
        request_id="", attempt=1, ran="", status=0, headers={}, body=b"", body_bytes=0, **ENTRY
    )
    for number in range(MAX_SEEN_ATTEMPTS):
        history.add((str(number), 1), answer, 1.0)
    assert history.complete(2.0)
    history.add(("last", 1), answer, 2.0)
    assert not history.complete(3.0) and history.complete(1000.0)


async def test_outcome_query_is_answered_on_the_control_channel() -> None:
    async with Rig() as rig:
        await rig.send(request(1))
        await rig.send(AttemptOutcomeQuery(request_id="1", attempt=1, **ENTRY))
        channels = [channel for channel, m in rig.links.sent if isinstance(m, ServiceAnswer)]
        assert channels == [Channel.DATA, Channel.CONTROL]
