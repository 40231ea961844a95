"""Refusals at a follower, without a call to the leader, and the messages that they need."""

import random
import time
from collections.abc import Iterator

import msgspec
import pytest
from loguru import logger

from sapphirelead.admission.follower import (
    MAX_IDS,
    MAX_UNSENT,
    MEMORY_S,
    SETTLE_S,
    FollowerAdmission,
    ForwardedIds,
)
from sapphirelead.admission.notices import NOTICE_VALID_S, pack_ids
from sapphirelead.errors import Code
from sapphirelead.metrics import Metrics
from sapphirelead.node_codec import decode_node, encode_node
from sapphirelead.node_messages import (
    AdmissionNotice,
    ClosedQueue,
    EntryAddress,
    LeaderHeartbeat,
    Refusals,
    Reply,
    ReplyKind,
)
from sapphirelead.sched_job import encode_spec
from sapphirelead.sched_spec import JobSpec, QueuePolicy, StepSpec
from tests.sched.admission_world import POLICY, STEP, World

EPOCH = 3
CLOSED = ClosedQueue("q", 0, 5.0, 2.28, (1_000.0, 0.0, 0.0, 0.0), 4.0, 0.5)
POLICIES = {"q": POLICY}


@pytest.fixture(autouse=True)
def _without_log() -> Iterator[None]:
    logger.disable("sapphirelead")
    yield
    logger.enable("sapphirelead")


class Follower:
    """A follower that has just been told of a closed queue."""

    def __init__(self, settled: bool = True) -> None:
        self.at = 100.0
        self.admission = FollowerAdmission(Metrics(lambda: self.at), lambda: self.at)
        self.admission.switch(True)
        if settled:
            self.at += SETTLE_S
        self.notice()

    def notice(self, *closed: ClosedQueue, version: int = 1, returning: bytes = b"") -> None:
        """Receive a notice, by default that of the closed queue."""
        notice = AdmissionNotice(version, list(closed or (CLOSED,)), returning)
        self.admission.on_notice(EPOCH, notice)

    def submit(
        self,
        job_id: str = "a",
        step: StepSpec = STEP,
        ticket: str = "",
        epoch: int = EPOCH,
        policy: QueuePolicy = POLICY,
    ) -> Reply | None:
        """Submit a job; ``None`` if it is forwarded."""
        job = encode_spec(JobSpec(job_id, "q", "", (step,), policy))
        return self.admission.check(job_id, job, ticket, epoch, {"q": policy})


def test_a_job_like_a_refused_one_is_refused_at_once() -> None:
    """Guards against a call to the leader for each caller of a closed queue."""
    follower = Follower()
    reply = follower.submit()
    assert reply is not None
    assert reply.code == Code.TOO_LATE
    assert 4.0 <= reply.retry_after_s <= 4.5 and reply.ticket


def test_a_follower_never_says_that_a_job_has_not_run() -> None:
    """Guards against a false refusal of a job that another entry has brought to the leader."""
    reply = Follower().submit("accepted-elsewhere")
    assert reply is not None and reply.kind is ReplyKind.UNKNOWN


def test_a_refusal_takes_less_than_20_ms() -> None:
    """Guards against refusals that cost as much as the work."""
    follower, times = Follower(), []
    for number in range(500):
        began = time.perf_counter()
        assert follower.submit(f"a{number}") is not None
        times.append(time.perf_counter() - began)
    assert sorted(times)[450] < 0.020


def test_an_old_notice_refuses_nothing() -> None:
    """Guards against refusals by what the leader may have changed since."""
    follower = Follower()
    follower.at += NOTICE_VALID_S
    assert follower.submit() is None


def test_a_notice_of_another_leader_refuses_nothing() -> None:
    """Guards against refusals in the name of a leader that has been replaced."""
    assert Follower().submit(epoch=EPOCH + 1) is None
    follower = Follower()
    follower.admission.on_notice(EPOCH - 1, AdmissionNotice(9, []))
    assert follower.submit() is not None, "a late message of an earlier leader"
    follower.admission.on_notice(EPOCH + 1, None)
    assert follower.submit("b", epoch=EPOCH + 1) is None


def test_the_leader_in_this_process_decides_itself() -> None:
    """Guards against refusals by an outdated notice at an entry that leads by now."""
    assert Follower().submit(epoch=0) is None


def test_a_forwarded_submission_is_forwarded_again() -> None:
    """Guards against "not run" for a job that the leader may have accepted."""
    follower = Follower()
    follower.admission.on_notice(EPOCH, None)
    assert follower.submit("known") is None
    follower.at += MEMORY_S - 1.0
    follower.notice()
    assert follower.submit("known") is None
    assert follower.submit("other") is not None


def test_nothing_is_refused_before_the_ids_are_complete() -> None:
    """Guards against "not run" for a job that this entry forwarded before it was restarted."""
    follower = Follower(settled=False)
    assert follower.submit() is None


def test_nothing_is_refused_after_ids_have_been_dropped() -> None:
    """Guards against "not run" for a job whose id did not fit into memory."""
    ids = ForwardedIds(-SETTLE_S)
    for number in range(MAX_IDS):
        ids.add(f"a{number}", 0.0)
    assert not ids.may_contain("b", 0.0)
    ids.add("one too many", 1.0)
    assert ids.may_contain("b", 1.0)
    assert ids.may_contain("one too many", MEMORY_S)


@pytest.mark.parametrize("ticket", ["0", "1.2.3.x"])
def test_a_caller_with_a_ticket_is_forwarded(ticket: str) -> None:
    """Guards against refusing a caller whose place the leader knows."""
    assert Follower().submit(ticket=ticket) is None


def test_a_caller_that_returns_through_another_entry_is_forwarded() -> None:
    """Guards against callers that lose their place by the choice of a load balancer."""
    follower = Follower()
    follower.notice(version=2, returning=pack_ids(["returns"]))
    assert follower.submit("returns") is None
    assert follower.submit("comes") is not None


@pytest.mark.parametrize(
    "step",
    [
        StepSpec(tasks=10, cpu_millicores=900, estimate_ms=1_280),
        StepSpec(tasks=10, cpu_millicores=1_000, estimate_ms=9_000),
        StepSpec(tasks=10, cpu_millicores=1_000, estimate_ms=1_280, label="ssd"),
        StepSpec(cpu_millicores=1_000, lasting=True),
        StepSpec(cpu_millicores=1_000, estimate_ms=1_280, fills=True),
    ],
)
def test_a_job_that_may_find_room_or_can_wait_is_forwarded(step: StepSpec) -> None:
    """Guards against refusing a job that the leader would accept."""
    assert Follower().submit(step=step) is None


def test_a_job_of_a_higher_priority_is_forwarded() -> None:
    """Guards against refusals by a notice from before a change of the configuration."""
    follower = Follower()
    follower.notice(msgspec.structs.replace(CLOSED, priority=2))
    assert follower.submit() is None


def test_refusals_of_one_entry_are_spread_over_its_part_of_the_places() -> None:
    """Guards against entries that tell all their callers the same time."""
    random.seed(1)
    follower = Follower()
    told = [follower.submit(f"a{number}") for number in range(40)]
    times = [reply.retry_after_s for reply in told if reply is not None]
    assert len(times) == 40
    for second in range(4, 24):
        assert sum(second <= retry_s < second + 1 for retry_s in times) <= 3


def test_the_leader_is_told_of_each_refusal_twice() -> None:
    """Guards against places that a leader does not know of because it skipped a message."""
    follower = Follower()
    reply = follower.submit()
    assert reply is not None
    for waited_s in (0.4, 0.8):
        follower.at += 0.4
        sent = follower.admission.take_refusals(EPOCH)
        assert sent is not None
        (caller,) = sent.callers
        assert caller.job_id == "a"
        assert caller.due_s == pytest.approx(reply.retry_after_s - waited_s)
    assert follower.admission.take_refusals(EPOCH) is None


def test_refusals_are_bounded_while_the_leader_cannot_be_told() -> None:
    """Guards against memory and messages that grow with the callers of a burst."""
    follower = Follower()
    refused = sum(follower.submit(f"a{number}") is not None for number in range(2 * MAX_UNSENT))
    assert refused == MAX_UNSENT


def test_switched_off_nothing_is_recorded_or_refused() -> None:
    """Guards against effects of a part that is not configured."""
    follower = Follower()
    follower.admission.switch(False)
    follower.notice()
    assert follower.submit() is None
    assert follower.admission.take_refusals(EPOCH) is None


def test_a_caller_refused_by_a_follower_keeps_its_place_at_the_leader() -> None:
    """Guards against newcomers that overtake callers of other entries."""
    world = World()
    world.advance(3.0, per_s=30.0)
    notice = world.admission.notice(world.at, 3)
    assert notice is not None
    follower = Follower()
    follower.admission.on_notice(EPOCH, notice)
    reply = follower.submit("mine")
    assert reply is not None
    sent = follower.admission.take_refusals(EPOCH)
    assert sent is not None
    world.admission.refused_elsewhere(sent.callers, world.at)
    later = world.admission.notice(world.at, 3)
    assert later is not None and later.closed[0].retry_s >= reply.retry_after_s
    world.advance(reply.retry_after_s, per_s=30.0)
    assert world.submit(world.job("newcomer")) is not None
    assert world.submit(world.job("mine")) is None


def test_a_leader_names_a_queue_only_while_it_would_refuse() -> None:
    """Guards against followers that refuse after the overload."""
    world = World()
    world.advance(3.0, per_s=30.0)
    assert world.admission.notice(world.at, 3) is not None
    world.advance(40.0)
    assert world.admission.notice(world.at, 3) is None


# Entries of other versions


class EarlierHeartbeat(msgspec.Struct, array_like=True, tag="LeaderBeat", frozen=True):
    """A leader's heartbeat before it carried the admission state."""

    epoch: int
    leader: str
    serving: bool
    store_ok: bool
    config_version: int
    entries_version: int
    entries: list[EntryAddress] | None = None
    strongest: float = 0.0
    leader_ms: int = 0
    newest_config: int = 0


def test_entries_of_the_previous_version_understand_heartbeats() -> None:
    """Guards against an entry that loses its leader during an upgrade."""
    notice = AdmissionNotice(1, [CLOSED], pack_ids(["a"]))
    new = LeaderHeartbeat(EPOCH, "e1", True, True, 1, 1, admission=notice)
    old = msgspec.msgpack.decode(encode_node(new), type=EarlierHeartbeat)
    assert old == EarlierHeartbeat(EPOCH, "e1", True, True, 1, 1)
    read = decode_node(msgspec.msgpack.encode(old), "e1")
    assert read == LeaderHeartbeat(EPOCH, "e1", True, True, 1, 1)
    assert decode_node(encode_node(new), "e1") == new


def test_refusals_cross_the_wire() -> None:
    """Guards against messages that the leader cannot decode."""
    follower = Follower()
    follower.submit()
    sent = follower.admission.take_refusals(EPOCH)
    assert isinstance(sent, Refusals)
    assert decode_node(encode_node(sent), "e2") == sent
