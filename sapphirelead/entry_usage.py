"""Resource usage and queued jobs by team, over all entries of the region.

An entry counts the jobs of its own shards and publishes the sums in its record of the lease row.
For other entries it uses what they last published, which may be some lease rounds old.
"""

from sapphirelead.entry_lease import LeaseManager
from sapphirelead.entry_lease_rows import EntryRecord
from sapphirelead.entry_ports import Stamp
from sapphirelead.entry_shards import ShardView
from sapphirelead.entry_start import JobStarter
from sapphirelead.model_job import JobState
from sapphirelead.model_resources import NO_RESOURCES, Resources


class TeamUsage:
    """Resource usage and queued jobs by team."""

    _stamp: Stamp
    _shards: ShardView
    _starter: JobStarter
    _leases: LeaseManager

    def __init__(
        self, stamp: Stamp, shards: ShardView, starter: JobStarter, leases: LeaseManager
    ) -> None:
        self._stamp = stamp
        self._shards = shards
        self._starter = starter
        self._leases = leases

    def queued_of(self, team: str) -> int:
        """Return a team's queued jobs: own shards as known now, others as last published."""
        others = (rec.usage.get(team) for rec in self._others())
        published = sum(amounts[3] for amounts in others if amounts is not None)
        return self._shards.queued_of(team) + published

    def own(self) -> dict[str, Resources]:
        """Return resources held by claimed or offered jobs of the own shards, by team."""
        used: dict[str, Resources] = {}
        for key, stored in self._shards.jobs.items():
            if stored.job.state is JobState.CLAIMED or self._starter.is_placing(key):
                spec = stored.job.spec
                used[spec.team] = used.get(spec.team, NO_RESOURCES) + spec.resources
        return used

    def publish(self, own: dict[str, Resources]) -> None:
        """Publish resource usage and queued jobs of the own shards to other entries."""
        published: dict[str, list[int]] = {}
        for team in own.keys() | self._shards.teams_queued():
            held = own.get(team, NO_RESOURCES)
            queued = self._shards.queued_of(team)
            published[team] = [held.cpu_millicores, held.memory_mb, held.accelerators, queued]
        self._leases.usage = published

    def across_entries(self, own: dict[str, Resources]) -> dict[str, Resources]:
        """Return resources held by team: own shards from ``own``, others as last published."""
        used = dict(own)
        for record in self._others():
            for team, amounts in record.usage.items():
                used[team] = used.get(team, NO_RESOURCES) + Resources(*amounts[:3])
        return used

    def _others(self) -> list[EntryRecord]:
        live = self._leases.live_entries
        return [record for name, record in live.items() if name != self._stamp.sender]
