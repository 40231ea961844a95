"""Storage of jobs as rows of the table.

An open job is the row ``jobs/<shard>/<key>`` and an ended one ``done/<shard>/<key>``.  One
transaction moves a job from the first to the second, so a scan of open jobs does not read ended
ones.
"""

from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Any, Final

import msgspec
import xxhash
from result import Err, Ok, Result

from sapphirelead.entry_table import (
    OPS_FIELD,
    Change,
    EntryTable,
    Unit,
    absent,
    commit_failure,
)
from sapphirelead.errors import Failure
from sapphirelead.model_job import Job
from sapphirelead.ports import CommitStatus, Condition, Row

OPEN_PREFIX: Final = "jobs"
DONE_PREFIX: Final = "done"


@dataclass(frozen=True, slots=True)
class StoredJob:
    """A job and the row that it was read from."""

    job: Job
    row: Row


def shard_of(key: str, shards: int) -> int:
    """Return the shard of a job key.

    >>> shard_of("rollover-1", 16) == shard_of("rollover-1", 16)
    True
    """
    return int(xxhash.xxh64_intdigest(key.encode())) % shards


def open_key(shard: int, key: str) -> str:
    """Return the row key of an open job."""
    return f"{OPEN_PREFIX}/{shard:04d}/{key}"


def done_key(shard: int, key: str) -> str:
    """Return the row key of an ended job."""
    return f"{DONE_PREFIX}/{shard:04d}/{key}"


def encode_job(job: Job) -> dict[str, Any]:
    """Return the row value of ``job``."""
    value = msgspec.to_builtins(job)
    assert isinstance(value, dict)
    return value


def decode_job(row: Row) -> Job | None:
    """Return the job in ``row``, or ``None`` if the row is absent."""
    if row.value is None:
        return None
    return msgspec.convert(row.value, Job)


class JobRows:
    """Reads and conditionally updates job rows.

    :ivar on_move: called with the old and the new job after each committed update.
    """

    shards: int
    on_move: Callable[[Job, Job], None]
    _table: EntryTable

    def __init__(self, table: EntryTable, shards: int) -> None:
        self._table = table
        self.shards = shards
        self.on_move = lambda _before, _after: None

    async def read(self, key: str) -> Result[StoredJob | None, Failure]:
        """Read an open or ended job.

        The open row is read first, so a job that ends between the two reads is found by the second.
        """
        shard = shard_of(key, self.shards)
        for row_key in (open_key(shard, key), done_key(shard, key)):
            found = await self._table.row(row_key)
            if isinstance(found, Err):
                return found
            job = decode_job(found.ok_value)
            if job is not None:
                return Ok(StoredJob(job, found.ok_value))
        return Ok(None)

    async def scan_open(self, shard: int) -> Result[list[StoredJob], Failure]:
        """Read every open job of a shard."""
        found = await self._table.scan_all(f"{OPEN_PREFIX}/{shard:04d}/")
        if isinstance(found, Err):
            return found
        return Ok(_decoded(found.ok_value))

    async def scan_all_shards(
        self, ended: bool, after: str, limit: int
    ) -> Result[list[Job], Failure]:
        """Read up to ``limit`` jobs of all shards in row order, after the job ``after``."""
        prefix = DONE_PREFIX if ended else OPEN_PREFIX
        make_key = done_key if ended else open_key
        start = make_key(shard_of(after, self.shards), after) if after else ""
        found = await self._table.scan(f"{prefix}/", start, limit)
        if isinstance(found, Err):
            return found
        return Ok([stored.job for stored in _decoded(found.ok_value)])

    async def create(self, job: Job) -> Result[StoredJob, Failure]:
        """Commit a new job, unless its key is in use by an open or ended job."""
        shard = shard_of(job.spec.key, self.shards)
        change = Change(absent(open_key(shard, job.spec.key)), encode_job(job))
        guard = Condition(done_key(shard, job.spec.key), 0)
        commit = await self._table.commit(Unit((change,), (guard,)))
        if commit.status is not CommitStatus.COMMITTED:
            return Err(commit_failure(commit))
        return Ok(StoredJob(job, Row(change.row.key, commit.version, change.value)))

    async def move(
        self, stored: StoredJob, job: Job, guards: tuple[Condition, ...] = ()
    ) -> Result[StoredJob, Failure]:
        """Commit the next value of a job, if its row is unchanged since it was read."""
        unit = self._unit(stored, job, guards)
        commit = await self._table.commit(unit)
        if commit.status is not CommitStatus.COMMITTED:
            return Err(commit_failure(commit))
        self.on_move(stored.job, job)
        last = unit.changes[-1]
        # Ids of earlier operations are kept: another entry may still be resolving one.
        ops = (stored.row.value or {}).get(OPS_FIELD, [])
        value = {**(last.value or {}), OPS_FIELD: ops}
        return Ok(StoredJob(job, replace(last.row, version=commit.version, value=value)))

    def _unit(self, stored: StoredJob, job: Job, guards: tuple[Condition, ...]) -> Unit:
        if not job.ended:
            return Unit((Change(stored.row, encode_job(job)),), guards)
        key = job.spec.key
        ended = absent(done_key(shard_of(key, self.shards), key))
        return Unit((Change(stored.row, None), Change(ended, encode_job(job))), guards)


def _decoded(rows: list[Row]) -> list[StoredJob]:
    return [StoredJob(job, row) for row in rows if (job := decode_job(row)) is not None]
