"""Service for durable jobs: submit, read, cancel, list and stream events.

Any entry serves any job, from its row in the table.  An entry that did not commit a job's end
itself detects it by polling the row, with a delay that grows between reads.
"""

import asyncio
from collections.abc import AsyncIterator, Callable
from dataclasses import replace
from datetime import UTC, datetime
from typing import Final

from result import Err, Ok, Result

from sapphirelead.clock import now
from sapphirelead.entry_job_notifier import JobNotifier
from sapphirelead.entry_job_rows import JobRows, StoredJob
from sapphirelead.entry_ports import ConfigService, Links, Members
from sapphirelead.entry_table import EntryTable
from sapphirelead.entry_watch import WatchTails, event_position
from sapphirelead.errors import Code, Failure
from sapphirelead.model_job import Job, JobSpec
from sapphirelead.policy_placement import fits_any_instance
from sapphirelead.sched_zones import all_evacuated
from sapphirelead.wire_messages import WatchEvent

MIN_POLL_INTERVAL_S: Final = 0.2
MAX_POLL_INTERVAL_S: Final = 2.0
MAX_CANCEL_ATTEMPTS: Final = 5

ZONES_EVACUATED: Final = Failure(
    Code.NO_INSTANCE,
    "every availability zone with instances is evacuated",
    "submit again when operators have restored a zone",
)


class Jobs:
    """Implements :class:`~sapphirelead.entry_ports.JobService`."""

    _table: EntryTable
    _rows: JobRows
    _notifier: JobNotifier
    _members: Members
    _tails: WatchTails
    _config: ConfigService
    _queued_of: Callable[[str], int]

    def __init__(
        self,
        table: EntryTable,
        rows: JobRows,
        notifier: JobNotifier,
        members: Members,
        links: Links,
        config: ConfigService,
        queued_of: Callable[[str], int],
    ) -> None:
        self._table = table
        self._rows = rows
        self._notifier = notifier
        self._members = members
        self._tails = WatchTails()
        self._config = config
        self._queued_of = queued_of
        links.on(WatchEvent, self._tails.add)

    async def submit(self, spec: JobSpec, rule: str) -> Result[Job, Failure]:
        """Commit a new job, or return the existing one if ``spec`` repeats its submission."""
        views = self._members.live()
        if views and not fits_any_instance(spec.resources, views):
            return Err(_impossible(spec))
        if all_evacuated((view.zone for view in views), self._evacuated()):
            return await self._join_or_refuse(spec, ZONES_EVACUATED)
        if not self._table.up:
            return Err(Failure(Code.STORE_UNAVAILABLE, "the table is down", "submit again later"))
        if self._over_quota(spec.team):
            return await self._join_or_refuse(spec, _over_quota_failure(spec))
        job = Job(spec, rule=rule, submitted_ms=_wall_ms())
        created = await self._rows.create(job)
        if isinstance(created, Err):
            if created.err_value.code is Code.STORE_CONFLICT:
                return await self._join(spec)
            return created
        self._notifier.publish_committed(created.ok_value)
        return Ok(job)

    async def get(self, key: str, wait_s: float) -> Result[Job | None, Failure]:
        """Read a job, waiting up to ``wait_s`` seconds for its end."""
        deadline = now() + wait_s
        poll_delay_s = MIN_POLL_INTERVAL_S
        while True:
            found = await self._rows.read(key)
            if isinstance(found, Err):
                return found
            stored = found.ok_value
            left = deadline - now()
            if stored is None or stored.job.ended or left <= 0:
                return Ok(stored.job if stored is not None else None)
            ended = await self._notifier.wait_end(key, min(poll_delay_s, left))
            if ended is not None:
                return Ok(ended.job)
            poll_delay_s = min(poll_delay_s * 1.5, MAX_POLL_INTERVAL_S)

    async def cancel(self, key: str) -> Result[Job, Failure]:
        """Request a job's cancellation; an ended job is returned unchanged."""
        for _ in range(MAX_CANCEL_ATTEMPTS):
            found = await self._rows.read(key)
            if isinstance(found, Err):
                return found
            stored = found.ok_value
            if stored is None:
                return Err(Failure(Code.NOT_FOUND, f"no job has the key {key!r}"))
            if stored.job.ended or stored.job.cancel_requested:
                return Ok(stored.job)
            moved = await self._cancel_once(stored)
            if isinstance(moved, Ok) or moved.err_value.code is not Code.STORE_CONFLICT:
                return moved
        return Err(
            Failure(Code.STORE_CONFLICT, f"job {key!r} changed concurrently", "cancel again")
        )

    async def _cancel_once(self, stored: StoredJob) -> Result[Job, Failure]:
        stepped = stored.job.request_cancel()
        if isinstance(stepped, Err):
            return stepped
        moved = await self._rows.move(stored, stepped.ok_value)
        if isinstance(moved, Err):
            return moved
        self._notifier.publish_committed(moved.ok_value)
        return Ok(moved.ok_value.job)

    async def list_jobs(self, ended: bool, after: str, limit: int) -> Result[list[Job], Failure]:
        """List open or ended jobs."""
        return await self._rows.scan_all_shards(ended, after, limit)

    async def events(self, key: str) -> AsyncIterator[WatchEvent]:
        """Yield events of a watch, from the oldest buffered, until the job has ended."""
        position = (0, 0)
        while True:
            tail = self._tails.tail(key)
            tail.changed.clear()
            for event in tail.after(position):
                position = event_position(event)
                yield event
            try:
                async with asyncio.timeout(MAX_POLL_INTERVAL_S):
                    await tail.changed.wait()
                continue
            except TimeoutError:
                found = await self._rows.read(key)
            if isinstance(found, Ok) and (found.ok_value is None or found.ok_value.job.ended):
                for event in tail.after(position):
                    yield event
                return

    def _evacuated(self) -> frozenset[str]:
        return frozenset(self._config.current.document.evacuated_zones)

    def _over_quota(self, team: str) -> bool:
        """Return whether the team's queued jobs have reached its quota.

        Counts of other entries are as of their last lease round, so concurrent submissions through
        several entries can exceed the quota.
        """
        policy = self._config.current.document.teams.get(team)
        bound = policy.queued_jobs if policy is not None else 0
        return bound > 0 and self._queued_of(team) >= bound

    async def _join_or_refuse(self, spec: JobSpec, refusal: Failure) -> Result[Job, Failure]:
        """Return the existing job of a repeated key; refuse a new job."""
        found = await self._rows.read(spec.key)
        if isinstance(found, Err):
            return found
        return Err(refusal) if found.ok_value is None else await self._join(spec)

    async def _join(self, spec: JobSpec) -> Result[Job, Failure]:
        found = await self._rows.read(spec.key)
        if isinstance(found, Err):
            return found
        stored = found.ok_value
        if stored is None:
            return Err(Failure(Code.STORE_CONFLICT, f"job {spec.key!r} changed", "submit again"))
        if not same_request(stored.job.spec, spec):
            return Err(
                Failure(
                    Code.KEY_REUSED,
                    f"key {spec.key!r} already names another job",
                    "use a new key for a new job",
                )
            )
        return Ok(stored.job)


def same_request(existing: JobSpec, requested: JobSpec) -> bool:
    """Return whether ``requested`` repeats ``existing``; the deadlines may differ."""
    return replace(requested, deadline_ms=existing.deadline_ms) == existing


def _over_quota_failure(spec: JobSpec) -> Failure:
    return Failure(
        Code.QUOTA,
        f"team {spec.team!r} has reached its queued_jobs quota",
        "submit again when some jobs have started, or request a higher quota",
    )


def _impossible(spec: JobSpec) -> Failure:
    want = spec.resources
    return Failure(
        Code.IMPOSSIBLE,
        f"no instance is large enough for cpu_millicores={want.cpu_millicores} "
        f"memory_mb={want.memory_mb} accelerators={want.accelerators}",
        "request fewer resources, or split the job",
    )


def _wall_ms() -> int:
    return int(datetime.now(UTC).timestamp() * 1000)
