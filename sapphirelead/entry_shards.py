"""Tracks which shards an entry schedules, and their open jobs.

Shards are assigned by rendezvous hashing over the region's live entries.  Ownership only reduces
conflicts: two entries may both consider themselves owner until they know of each other, and the
conditions on every row write keep that safe.
"""

from collections import Counter
from collections.abc import Iterable, Set

import xxhash

from sapphirelead.entry_job_rows import StoredJob, shard_of
from sapphirelead.model_job import JobState


def owner_of(shard: int, entries: Iterable[str]) -> str:
    """Return the entry that schedules ``shard``, the one with the highest hash of the pair.

    Adding or removing an entry reassigns only that entry's shards.

    >>> owner_of(3, ["a", "b"]) == owner_of(3, ["b", "a"])
    True
    """
    return max(
        entries, key=lambda entry: (xxhash.xxh64_intdigest(f"{shard}/{entry}".encode()), entry)
    )


class ShardView:
    """Open jobs of the shards that this entry schedules, as last read or committed.

    :ivar owned: shards scheduled here.
    :ivar jobs: open jobs by key.
    :ivar since: loop time at which each job was first seen in its current state.
    """

    owned: frozenset[int]
    jobs: dict[str, StoredJob]
    since: dict[str, float]
    _shards: int
    _queued: Counter[str]

    def __init__(self, shards: int) -> None:
        self.owned = frozenset()
        self.jobs = {}
        self.since = {}
        self._shards = shards
        self._queued = Counter()

    def queued_of(self, team: str) -> int:
        """Return the number of the team's queued jobs."""
        return self._queued[team]

    def teams_queued(self) -> Set[str]:
        """Return the teams that have queued jobs."""
        return {team for team, count in self._queued.items() if count}

    def set_live(self, own: str, live: Iterable[str]) -> frozenset[int]:
        """Recompute ownership; drop jobs of shards no longer owned; return the shards gained."""
        entries = {own, *live}
        owned = frozenset(shard for shard in range(self._shards) if owner_of(shard, entries) == own)
        gained = owned - self.owned
        if owned != self.owned:
            self.owned = owned
            for key in [key for key in self.jobs if not self.owns(key)]:
                self._forget(key)
        return gained

    def owns(self, key: str) -> bool:
        """Whether the job's shard is scheduled here."""
        return shard_of(key, self._shards) in self.owned

    def put(self, stored: StoredJob, at: float) -> None:
        """Store a job unless a newer version is known; remove it if it ended."""
        key = stored.job.spec.key
        if not self.owns(key):
            return
        known = self.jobs.get(key)
        if known is not None and known.row.version > stored.row.version:
            return
        if stored.job.ended:
            self._forget(key)
            return
        if known is None or known.job.state is not stored.job.state:
            self.since[key] = at
        self._count(known, -1)
        self._count(stored, 1)
        self.jobs[key] = stored

    def replace_shard(self, shard: int, found: list[StoredJob], started_at: float) -> None:
        """Apply a full scan of a shard; jobs missing from it are dropped.

        Jobs first seen after the scan started are kept: the scan may have passed their position.
        """
        seen = {stored.job.spec.key for stored in found}
        for key in list(self.jobs):
            gone = shard_of(key, self._shards) == shard and key not in seen
            if gone and self.since.get(key, 0.0) < started_at:
                self._forget(key)
        for stored in found:
            self.put(stored, started_at)

    def in_state(self, state: JobState) -> list[StoredJob]:
        """Return the open jobs in ``state``."""
        return [stored for stored in self.jobs.values() if stored.job.state is state]

    def _count(self, stored: StoredJob | None, change: int) -> None:
        if stored is not None and stored.job.state is JobState.QUEUED:
            self._queued[stored.job.spec.team] += change

    def _forget(self, key: str) -> None:
        self._count(self.jobs.pop(key, None), -1)
        self.since.pop(key, None)
