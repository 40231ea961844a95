"""Write-ahead journal of job changes, with snapshots and compaction.

Each batch writes journal rows with the changed state only, because each job's whole progress would
be more than the link of a small entry carries.  Once the journal exceeds
``COMPACTION_THRESHOLD_ROWS``, each batch also snapshots the jobs with the oldest unsnapshotted
changes and removes journal rows that no job needs.

Invariants:

- Every change is in the journal or in a snapshot with a later sequence number.
- A snapshot names the newest journal row that it contains; on loading, only later rows are applied.
- A higher sequence number is a later change; gaps are allowed.
"""

from collections.abc import Iterator
from typing import Any, Final

import msgspec

from sapphirelead.logs import log_event
from sapphirelead.ports import Row, Write
from sapphirelead.sched_batch import Batch
from sapphirelead.sched_job import (
    Job,
    JobDelta,
    decode_deltas,
    decode_spec,
    encode_deltas,
    encode_spec,
)

SPEC_PREFIX: Final = "job/"
SNAPSHOT_PREFIX: Final = "run/"
JOURNAL_PREFIX: Final = "log/"
DATA_FIELD: Final = "data"
SEQ_FIELD: Final = "seq"

DECODE_ERRORS: Final = (msgspec.DecodeError, LookupError, TypeError, ValueError)
"""Raised on decoding a damaged row or one of another version."""

MAX_ROW_BYTES: Final = 40_000
"""Limit for the changes in one journal row; the store accepts 64 KB."""

ESTIMATED_DELTA_BYTES: Final = 300
"""Estimated size of a job's changes without its tasks."""

COMPACTION_THRESHOLD_ROWS: Final = 256
"""Journal length above which compaction runs."""

MAX_SNAPSHOTS_PER_BATCH: Final = 3
"""Limit for whole jobs in one transaction, some 5 KB each."""

MAX_REMOVALS_PER_BATCH: Final = 30
"""Limit for removed rows; a transaction of the store holds at most 100 entries."""


class Journal:
    """Sequence numbers of the stored journal rows, and of each job's oldest needed row."""

    _seq: int
    _rows: dict[int, None]
    _first_unsnapshotted: dict[str, int]

    def __init__(self) -> None:
        self._seq = 0
        self._rows = {}
        self._first_unsnapshotted = {}

    @property
    def length(self) -> int:
        """Number of stored journal rows."""
        return len(self._rows)

    def writes(self, batch: Batch, jobs: dict[str, Job]) -> list[Write]:
        """Return the rows that store ``batch``."""
        writes = [
            Write(SPEC_PREFIX + spec.job_id, {DATA_FIELD: encode_spec(spec)})
            for spec in batch.specs
        ]
        for chunk in _chunks(batch.deltas):
            self._seq += 1
            self._rows[self._seq] = None
            for delta in chunk:
                self._first_unsnapshotted.setdefault(delta.job_id, self._seq)
            writes.append(Write(_journal_key(self._seq), {DATA_FIELD: encode_deltas(chunk)}))
        for job_id in batch.removed:
            self._first_unsnapshotted.pop(job_id, None)
            writes.append(Write(SPEC_PREFIX + job_id, None))
            writes.append(Write(SNAPSHOT_PREFIX + job_id, None))
        if len(self._rows) > COMPACTION_THRESHOLD_ROWS:
            writes.extend(self._compact(jobs))
        return writes

    def _compact(self, jobs: dict[str, Job]) -> Iterator[Write]:
        """Snapshot the jobs with the oldest changes, and remove rows that no job needs."""
        candidates = sorted(self._first_unsnapshotted.items(), key=lambda item: item[1])
        for job_id, _ in candidates[:MAX_SNAPSHOTS_PER_BATCH]:
            del self._first_unsnapshotted[job_id]
            job = jobs.get(job_id)
            if job is not None:
                value = {DATA_FIELD: job.encode(), SEQ_FIELD: self._seq}
                yield Write(SNAPSHOT_PREFIX + job_id, value)
        # The snapshots precede the removals, so they are stored in the same or an earlier
        # transaction.
        needed = min(self._first_unsnapshotted.values(), default=self._seq)
        removable = [seq for seq in self._rows if seq < needed][:MAX_REMOVALS_PER_BATCH]
        for seq in removable:
            del self._rows[seq]
            yield Write(_journal_key(seq), None)

    @classmethod
    def load(
        cls, specs: list[Row], snapshots: list[Row], rows: list[Row]
    ) -> tuple["Journal", dict[str, Job]]:
        """Rebuild the jobs and the journal's index from the stored rows."""
        journal = cls()
        snapshot_values = {row.key[len(SNAPSHOT_PREFIX) :]: row.value or {} for row in snapshots}
        jobs: dict[str, Job] = {}
        snapshot_seqs: dict[str, int] = {}
        for row in specs:
            job_id = row.key[len(SPEC_PREFIX) :]
            snapshot = snapshot_values.get(job_id)
            decoded = _decode(job_id, row, snapshot)
            if decoded is not None:
                jobs[job_id], snapshot_seqs[job_id] = decoded
        for row in sorted(rows, key=lambda item: item.key):
            if row.key[len(JOURNAL_PREFIX) :].isdecimal():
                journal._replay(row, jobs, snapshot_seqs)
            else:
                log_event("ERROR", "journal_row_misplaced", key=row.key)
        return journal, jobs

    def _replay(self, row: Row, jobs: dict[str, Job], snapshot_seqs: dict[str, int]) -> None:
        seq = int(row.key[len(JOURNAL_PREFIX) :])
        self._seq = max(self._seq, seq)
        self._rows[seq] = None
        try:
            deltas = decode_deltas((row.value or {})[DATA_FIELD])
        except DECODE_ERRORS as exc:
            log_event("ERROR", "journal_row_unreadable", seq=seq, reason=str(exc))
            return
        for delta in deltas:
            job = jobs.get(delta.job_id)
            if job is not None and seq > snapshot_seqs[delta.job_id]:
                _apply(job, delta, seq)
                self._first_unsnapshotted.setdefault(delta.job_id, seq)


def _chunks(deltas: list[JobDelta]) -> Iterator[list[JobDelta]]:
    """Split changes into chunks of at most ``MAX_ROW_BYTES``, by their estimated size."""
    chunk: list[JobDelta] = []
    size = 0
    for delta in deltas:
        length = ESTIMATED_DELTA_BYTES + 80 * len(delta.tasks)
        if chunk and size + length > MAX_ROW_BYTES:
            yield chunk
            chunk, size = [], 0
        chunk.append(delta)
        size += length
    if chunk:
        yield chunk


def _journal_key(seq: int) -> str:
    return f"{JOURNAL_PREFIX}{seq:014d}"


def _apply(job: Job, delta: JobDelta, seq: int) -> None:
    try:
        job.apply(delta)
    except LookupError as exc:
        log_event("ERROR", "journal_row_unreadable", seq=seq, job=delta.job_id, reason=repr(exc))


def _decode(job_id: str, row: Row, snapshot: dict[str, Any] | None) -> tuple[Job, int] | None:
    """Return a job and the newest journal row it contains, or ``None`` if it is unreadable."""
    try:
        spec = decode_spec((row.value or {})[DATA_FIELD])
        return (
            (Job.decode(spec, snapshot[DATA_FIELD]), int(snapshot[SEQ_FIELD]))
            if snapshot
            else (Job.accept(spec), 0)
        )
    except DECODE_ERRORS as exc:
        # Skips rows that are damaged or of another version; they stay in the store for operators.
        log_event("ERROR", "job_unreadable", job=job_id, reason=str(exc))
        return None
