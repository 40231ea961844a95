"""Tests an entry's membership and the inputs of rules derived from it, on a paused clock."""

import asyncio
from collections.abc import Callable
from dataclasses import replace
from typing import Any

import msgspec
import pytest

from bench.bench_decision import make_view
from sapphirelead.entry_members import EntryMembers
from sapphirelead.entry_ports import Channel, InstanceView, Stamp
from sapphirelead.entry_situation import EntrySituation, SlowdownEstimate, sum_batch
from sapphirelead.model_job import JobSpec, Kind
from sapphirelead.model_resources import Resources
from sapphirelead.settings import EntrySettings
from sapphirelead.wire_messages import Announce, AnyMessage, Heartbeat, HeartbeatAck, ServiceSample
from tests.unit.test_membership import ANNOUNCE, HEARTBEAT

pytestmark = pytest.mark.looptime

SETTINGS = EntrySettings.model_validate(
    {"id": "e1", "zone": "z1", "platform": {"table_url": "http://127.0.0.1:1"}}
)


class FakeLinks:
    """Records acknowledgements and the incarnations they were sent to."""

    def __init__(self) -> None:
        self.handlers: dict[Any, Callable[[Any], None]] = {}
        self.acks: list[tuple[str, int, int, bool]] = []
        self.current: dict[str, str] = {}

    def on(self, kind: type[AnyMessage], handler: Callable[[Any], None]) -> None:
        self.handlers[kind] = handler

    def set_current(self, instance: str, incarnation: str) -> None:
        self.current[instance] = incarnation

    def send_now(
        self, instance: str, channel: Channel, message: AnyMessage, incarnation: str = ""
    ) -> bool:
        assert isinstance(message, HeartbeatAck) and channel is Channel.CONTROL
        self.acks.append((incarnation, message.counter, message.committed, message.fenced))
        return True

    def receive(self, message: Announce | Heartbeat, **changes: Any) -> None:
        self.handlers[type(message)](msgspec.structs.replace(message, **changes))


async def test_acknowledgements_carry_the_committed_counter() -> None:
    links = FakeLinks()
    members = EntryMembers.from_settings(SETTINGS, links, Stamp("e1", "r"))
    links.receive(HEARTBEAT)
    assert links.acks == [], "an instance that was not announced must announce itself"
    links.receive(ANNOUNCE)
    links.receive(HEARTBEAT, counter=1)
    members.set_committed("i1", "a", 1)
    members.set_committed("i1", "a", 1)
    links.receive(HEARTBEAT, counter=2)
    members.mark_fenced("i1", "a")
    links.receive(HEARTBEAT, counter=3)
    links.receive(ANNOUNCE, incarnation="b")
    links.receive(HEARTBEAT, counter=4)
    links.receive(HEARTBEAT, incarnation="b", counter=1)
    expected = [
        ("a", 1, 0, False),
        ("a", 1, 1, False),
        ("a", 2, 1, False),
        ("a", 3, 0, True),
        # None for the replaced incarnation: told that it is fenced, it would announce itself again
        # and displace its successor.
        ("b", 1, 0, False),
    ]
    assert links.acks == expected and links.current == {"i1": "b"}


async def test_listeners_are_notified_of_timeout_and_recovery() -> None:
    links = FakeLinks()
    members = EntryMembers.from_settings(SETTINGS, links, Stamp("e1", "r"))
    notified: list[bool] = []
    members.on_view(lambda _view, live: notified.append(live))
    await members.start()
    links.receive(ANNOUNCE)
    await asyncio.sleep(SETTINGS.lease.silence_seconds + 1)
    assert notified == [True, False] and members.live() == []
    links.receive(HEARTBEAT)
    assert notified[-1] and [view.id for view in members.live()] == ["i1"]
    await asyncio.sleep(SETTINGS.lease.silence_seconds * 25)
    assert members.all() == []
    await members.stop()


def report(counter: int, p50_ms: float, count: int = 100) -> InstanceView:
    sample = ServiceSample("checks", count, 0, p50_ms, p50_ms * 2)
    return replace(make_view(0, 0), counter=counter, latency=(sample,))


def test_slowdown_is_relative_to_the_baseline() -> None:
    estimate = SlowdownEstimate()
    assert estimate.of("checks") == 1.0
    for counter in range(1, 21):
        estimate.observe(report(counter, 10.0))
    assert estimate.of("checks") == pytest.approx(1.0, abs=0.05)
    for counter in range(21, 41):
        estimate.observe(report(counter, 20.0))
        estimate.observe(report(counter, 20.0))
    assert estimate.of("checks") == pytest.approx(2.0, abs=0.2)
    estimate.observe(report(99, 900.0, count=1))
    assert estimate.of("checks") < 2.2, "reports with few requests are ignored"


CAPACITY = Resources(1000, 100)
BATCH: dict[str, tuple[list[Resources], int, tuple[float, float]]] = {
    "nobody": ([], 0, (1.0, 0.0)),
    "half used": ([Resources(500, 100)], 1, (0.5, 1.0)),
    "the scarcest resource counts": ([Resources(900, 20)], 1, (0.8, 1.0)),
    "one of two unresponsive": ([Resources(1000, 100)], 2, (0.0, 0.5)),
}


@pytest.mark.parametrize("name", BATCH)
def test_batch_state_sums_the_live_instances(name: str) -> None:
    free, known, expected = BATCH[name]
    views = [replace(make_view(0, 0), capacity=CAPACITY, free=free_amount) for free_amount in free]
    state = sum_batch(views, known)
    assert (state.load, state.healthy_share) == pytest.approx(expected)


async def test_job_situation_shows_store_queue_and_health() -> None:
    links = FakeLinks()
    members = EntryMembers.from_settings(SETTINGS, links, Stamp("e1", "r"))
    links.receive(ANNOUNCE)
    links.receive(HEARTBEAT)
    situation = EntrySituation("z1", members, lambda: False, lambda: 7)
    seen = situation.of_job(JobSpec("k", Kind.BATCH, "rollover", "team", CAPACITY, urgent=True))
    assert (seen.store_up, seen.queue_length, seen.load, seen.urgent) == (False, 7, 0.5, True)
