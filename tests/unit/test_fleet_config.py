"""Queue configuration of the fleet, and its rows in the packed table."""

import asyncio
from typing import Any

import pytest
from result import Result

from sapphirelead.clock import now
from sapphirelead.errors import Code, Failure
from sapphirelead.fleet_config import queue_config
from sapphirelead.fleet_table import PACKED, PackedTable
from sapphirelead.model_config import Config, ConfigDocument
from sapphirelead.model_config_diff import describe_changes
from sapphirelead.policy_rules_check import check_document
from sapphirelead.ports import Commit, CommitStatus, Condition, Row, Txn, Write
from sapphirelead.sched_head import read_head
from sapphirelead.sched_job import encode_spec
from sapphirelead.sched_journal import Journal
from sapphirelead.sched_spec import AdvicePolicy, QueuePolicy
from sapphirelead.sched_timing import HEARTBEAT_INTERVAL_S, LEADER_TIMEOUT_S
from tests.sched.fakes import job
from tests.unit.fakes import MemoryTable

QUEUE = {"service": "checks"}


def test_queue_settings_map_to_scheduling_policies() -> None:
    advice = {"base_ms": 5, "each_ms": 1, "valid_ms": 400}
    raw = {
        "queues": {
            "plain": QUEUE,
            "own": {
                **QUEUE, "priority": 3, "max_failures": 1, "stretch": 1.5, "slack_ms": 7,
                "advice": advice, "largest_task": {"memory_mb": 10},
            },
        }
    }  # fmt: skip
    config = queue_config(Config(4, ConfigDocument.model_validate(raw)))
    assert config.version == 4
    assert config.queues == {
        "plain": QueuePolicy("checks"),
        "own": QueuePolicy("checks", 3, 1, 1.5, 7, AdvicePolicy(5, 1, 400)),
    }


@pytest.mark.parametrize(
    ("raw", "path", "said"),
    [
        ({"queues": {"a b": QUEUE}}, ("queues", "a b", "[key]"), "match pattern"),
        ({"queues": {"q": {}}}, ("queues", "q", "service"), "required"),
        ({"queues": {"q": {**QUEUE, "rank": 1}}}, ("queues", "q", "rank"), "Extra"),
        ({"queues": {"q": {**QUEUE, "priority": -1}}}, ("queues", "q", "priority"), "greater"),
        ({"queues": {"q": {**QUEUE, "max_failures": 0}}}, ("queues", "q", "max_failures"), "great"),
        ({"queues": {"q": {**QUEUE, "stretch": 0.5}}}, ("queues", "q", "stretch"), "greater"),
        (
            {"services": {"photos": {}}, "queues": {"q": QUEUE}},
            ("queues", "q", "service"),
            "unknown service 'checks'; the document declares photos",
        ),
        (
            {"queues": {"q": {**QUEUE, "advice": {"base_ms": 5}}}},
            ("queues", "q", "advice", "valid_ms"),
            "lets nothing start",
        ),
    ],
)
def test_invalid_queue_field_is_reported_with_its_path(
    raw: Any, path: tuple[str, ...], said: str
) -> None:
    (problem,) = check_document(raw).unwrap_err()
    assert problem.path == path
    assert said in problem.message


def test_audit_trail_lists_changed_queue_fields() -> None:
    before = ConfigDocument.model_validate({"queues": {"q": QUEUE}})
    after = ConfigDocument.model_validate({"queues": {"q": {**QUEUE, "priority": 2}}})
    assert describe_changes(before, after) == ("queues.q.priority: unset -> 2",)


async def test_stored_rows_are_read_back_unchanged() -> None:
    plain = MemoryTable()
    table = PackedTable(plain)
    writes = (Write("job/a", {"data": b"\x00\xff"}), Write("job/b", {"data": b"", "seq": 3}))
    commit = await table.commit(Txn("t1", (Condition("job/a", 0),), writes))
    assert commit.status is CommitStatus.COMMITTED
    again = await table.commit(Txn("t2", (Condition("job/a", 0),), writes))
    assert again.status is CommitStatus.CONFLICT
    found = (await table.scan("job/", "", 10)).unwrap()
    assert [(row.key, row.value) for row in found] == [(w.key, w.value) for w in writes]
    assert {row.version for row in found} == {commit.version}
    absent = (await table.rows(["job/none"])).unwrap()[0]
    assert (absent.version, absent.value) == (0, None)
    assert isinstance(((await plain.rows(["job/a"])).unwrap()[0].value or {})[PACKED], str)


class UnresponsiveTable(MemoryTable):
    """A table that responds late to every call."""

    async def commit(self, txn: Txn) -> Commit:
        await asyncio.sleep(2)
        return await super().commit(txn)

    async def rows(self, keys: list[str]) -> Result[list[Row], Failure]:
        await asyncio.sleep(2)
        return await super().rows(keys)


async def test_unresponsive_table_times_out_before_a_heartbeat_is_missed() -> None:
    table = PackedTable(UnresponsiveTable())
    began = now()
    assert (await table.rows(["fleet/head"])).unwrap_err().code is Code.STORE_UNAVAILABLE
    assert now() - began < LEADER_TIMEOUT_S - HEARTBEAT_INTERVAL_S
    commit = await table.commit(Txn("t", (), (Write("job/a", {"data": b"x"}),)))
    assert commit.status is CommitStatus.AMBIGUOUS


async def test_unreadable_row_neither_hides_others_nor_counts_as_absent() -> None:
    """Guards against losing other jobs to a corrupt or foreign row.

    A job with an unreadable snapshot is not loaded, since a restart would repeat completed work.
    """
    plain = MemoryTable()
    table = PackedTable(plain)
    await plain.commit(Txn("t1", (), (Write("job/a", {PACKED: "no base64"}),)))
    for job_id in ("b", "c"):
        await table.commit(
            Txn(job_id, (), (Write(f"job/{job_id}", {"data": encode_spec(job(job_id))}),))
        )
    await plain.commit(Txn("t2", (), (Write("run/b", {"other": 1}),)))
    specs = (await table.scan("job/", "", 10)).unwrap()
    snapshots = (await table.scan("run/", "", 10)).unwrap()
    assert all(row.value for row in (*specs, *snapshots))
    _, jobs = Journal.load(specs, snapshots, [])
    assert list(jobs) == ["c"]


async def test_unreadable_head_row_counts_as_no_leader() -> None:
    plain = MemoryTable()
    await plain.commit(Txn("t1", (), (Write("fleet/head", {"other": 1}),)))
    head = (await read_head(PackedTable(plain))).unwrap()
    assert (head.leader, head.epoch) == ("", head.version) and head.version > 0
