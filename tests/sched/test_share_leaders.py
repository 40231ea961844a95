"""Fair sharing over changes of leaders, and faults of the row of usage."""

import asyncio
from collections.abc import Callable

import msgspec
import pytest

import sapphirelead.node_leader as node_leader
import sapphirelead.sched_head as sched_head
from sapphirelead.clock import now
from sapphirelead.fairness.sharing import FairSharing
from sapphirelead.fairness.state_row import FORMAT_VERSION, USAGE_KEY
from sapphirelead.metrics import Metrics
from sapphirelead.model_resources import Resources
from sapphirelead.node_leader import Leader
from sapphirelead.node_leader_rows import MAX_BYTES
from sapphirelead.sched_config import QueueConfig
from sapphirelead.sched_parts import PartsConfig, SharingConfig
from sapphirelead.sched_spec import StepSpec
from sapphirelead.sched_timing import Bounds
from tests.sched.fakes import NoAdvice
from tests.sched.shares import Fleet, Load
from tests.sched.successions import take_head
from tests.sched.test_share_floods import flood
from tests.unit.fakes import MemoryTable

WORKERS = 4


def floods() -> list[Load]:
    """Return two queues of equal weight that each submit more than fits."""
    loads = [flood(tasks=50), flood(tasks=50)]
    for load, name in zip(loads, ("a", "b"), strict=True):
        load.queue = name
        load.jobs_per_s, load.until_s = 6.0, 14.0
    return loads


def sharing_of(fleet: Fleet) -> FairSharing:
    """Return the part that the leader of a fleet has switched on."""
    assert fleet.sched.sharing is not None
    return fleet.sched.sharing


ROWS: dict[str, Callable[[bytes, bytes], bytes | None]] = {
    "stored_before_the_claims": lambda old, new: old,
    "stored_last": lambda old, new: new,
    "missing": lambda old, new: None,
    "damaged": lambda old, new: new[:-3],
}


@pytest.mark.parametrize("row", ROWS)
@pytest.mark.parametrize("changes", [1, 2])
def test_no_queue_gets_more_than_its_share_after_changes_of_leaders(row: str, changes: int) -> None:
    """Guards against a successor that forgets what each queue holds."""
    fleet = Fleet(WORKERS, SharingConfig(), floods()).run(3.0)
    old = sharing_of(fleet).encode(fleet.at)
    fleet.run(1.0)
    for _ in range(changes):
        new = sharing_of(fleet).encode(fleet.at)
        assert old is not None and new is not None
        fleet.succeed(ROWS[row](old, new), 1.0)
        fleet.run(0.4)
    before = dict(fleet.core_s)
    fleet.run(10.0)
    used = {queue: fleet.core_s[queue] - before[queue] for queue in before}
    for queue in used:
        assert used[queue] / sum(used.values()) == pytest.approx(0.5, abs=0.05)


def test_a_successor_counts_the_claims_that_it_reads() -> None:
    """Guards against capacity that counts for nobody after a change of leaders."""
    fleet = Fleet(WORKERS, SharingConfig(), floods()).run(2.0)
    held = {name: node.held for name, node in sharing_of(fleet)._trees["svc"].queues.items()}
    fleet.succeed(None, 0.0)
    successor = sharing_of(fleet)._trees["svc"].queues
    assert {name: node.held for name, node in successor.items()} == held


def part(queues: int = 0) -> FairSharing:
    """Return the part with decayed usage of ``queues`` queues."""
    sharing = FairSharing(SharingConfig(), lambda run, queue: "svc", Metrics(lambda: 0.0))
    if queues:
        entries = [["svc", f"queue-{number:05}", number, 0, 0] for number in range(1, queues + 1)]
        sharing.restore(encoded(entries=entries), 0.0)
    return sharing


def encoded(**fields: object) -> bytes:
    """Return the data of a row with other fields."""
    row = {"version": FORMAT_VERSION, "entries": [["svc", "q", 8000, 0, 0]], **fields}
    return msgspec.msgpack.encode(row)


def decayed_cpu(sharing: FairSharing) -> float:
    """Return the decayed usage of queue ``q``, in millicores."""
    tree = sharing._trees.get("svc")
    return tree.queues["q"].average.cpu_millicores if tree else 0.0


def test_stored_usage_decays_while_it_is_stored() -> None:
    """Guards against a queue that pays for its usage of long ago after a change of leaders."""
    sharing = part()
    sharing.restore(encoded(), 2 * SharingConfig().half_life_s)
    assert decayed_cpu(sharing) == pytest.approx(2000)


DAMAGED = {
    "empty": b"",
    "cut": encoded()[:-2],
    "other_type": msgspec.msgpack.encode([1]),
    "earlier_version": encoded(version=FORMAT_VERSION - 1),
    "later_version": encoded(version=FORMAT_VERSION + 1),
    "negative": encoded(entries=[["svc", "q", -1, 0, 0]]),
    "not_finite": encoded(entries=[["svc", "q", float("inf"), 0, 0]]),
    "too_much": encoded(entries=[["svc", "q", 2**60, 0, 0]]),
    "no_text": encoded(entries=[[b"\xff", "q", 1, 0, 0]]),
}


@pytest.mark.parametrize("data", DAMAGED.values(), ids=DAMAGED)
def test_damaged_usage_counts_as_none_and_is_logged(
    data: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a row of another writer that keeps an entry from leading."""
    events: list[str] = []
    monkeypatch.setattr(
        "sapphirelead.fairness.state_row.log_event",
        lambda _, event, **fields: events.append(event),
    )
    sharing = part()
    sharing.restore(data, 0.0)
    assert decayed_cpu(sharing) == 0
    assert events == ["usage_unreadable"]


def test_the_row_is_bounded_and_keeps_the_largest_usage() -> None:
    """Guards against a row that the leader leaves out for its size."""
    sharing = part(queues=5000)
    data = sharing.encode(0.0)
    assert data is not None and MAX_BYTES / 2 < len(data) <= MAX_BYTES
    names = [entry[1] for entry in msgspec.msgpack.decode(data)["entries"]]
    assert names[0] == "queue-05000"
    assert len(set(names)) == len(names) > 1000


def test_restored_usage_survives_until_the_workers_report() -> None:
    """Guards against usage that is forgotten because there is no capacity to compare it with."""
    sharing = part()
    sharing.restore(encoded(), 0.0)
    assert sharing.encode(0.0) == encoded()


def test_queues_without_usage_are_forgotten() -> None:
    """Guards against memory that grows with every queue name that was ever used."""
    fleet = Fleet(WORKERS, SharingConfig(half_life_s=0.1), [])
    step = StepSpec(cpu_millicores=1000, estimate_ms=200)
    fleet.loads = [Load(f"q{number}", step, 1.0, 1.0) for number in range(30)]
    fleet.run(1.1)
    assert len(sharing_of(fleet)._trees["svc"].queues) == 30
    fleet.run(3.0)
    sharing_of(fleet).encode(fleet.at)
    tree = sharing_of(fleet)._trees["svc"]
    assert not tree.queues and not tree.organisations
    assert tree.capacity == Resources(WORKERS * 32_000, WORKERS * 64_000)


async def lead(table: MemoryTable, name: str, parts: PartsConfig) -> Leader:
    """Return a leader that has loaded its state, as an entry starts it."""
    head = await take_head(table, name)
    leader = Leader(Bounds(), head, table, NoAdvice(), lambda agent, orders: True)
    leader.set_config(QueueConfig(parts=parts))
    await leader.load()
    return leader


@pytest.mark.looptime
async def test_a_leader_hands_usage_on_to_its_successor(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a row that nobody writes or reads, and against one of a part that is off."""
    monkeypatch.setattr(node_leader, "awake_now", now)
    monkeypatch.setattr(sched_head, "awake_now", now)
    table = MemoryTable()
    parts = PartsConfig(sharing=SharingConfig())
    leader = await lead(table, "e1", parts)
    assert leader.sched.sharing is not None
    leader.sched.sharing.restore(encoded(), 0.0)
    rounds = asyncio.create_task(leader.run())
    await leader.finish()
    leader.resign()
    await rounds
    assert USAGE_KEY in table.data
    successor = await lead(table, "e2", parts)
    assert successor.sched.sharing is not None
    assert 6000 < decayed_cpu(successor.sched.sharing) <= 8000
    unshared = await lead(table, "e3", PartsConfig())
    assert unshared.sched.sharing is None and not unshared.parts.keys
