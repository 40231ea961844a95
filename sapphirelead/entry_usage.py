"""What each team uses and has queued, over all entries of the region.

An entry counts the jobs of its own shards itself and publishes the sums in its record of the lease
row; of the other entries it knows what they published last, at most some lease rounds ago.
"""

from sapphirelead.entry_lease import LeaseKeeper
from sapphirelead.entry_lease_rows import EntryRecord
from sapphirelead.entry_ports import Stamp
from sapphirelead.entry_shards import ShardView
from sapphirelead.entry_start import JobStarter
from sapphirelead.model_job import JobState
from sapphirelead.model_resources import NO_RESOURCES, Resources


class TeamUsage:
    """Use and queued jobs by team."""

    _stamp: Stamp
    _shards: ShardView
    _starter: JobStarter
    _leases: LeaseKeeper

    def __init__(
        self, stamp: Stamp, shards: ShardView, starter: JobStarter, leases: LeaseKeeper
    ) -> None:
        self._stamp = stamp
        self._shards = shards
        self._starter = starter
        self._leases = leases

    def queued_of(self, team: str) -> int:
        """Return a team's queued jobs: own shards now, others as last published."""
        others = (rec.usage.get(team) for rec in self._others())
        published = sum(amounts[3] for amounts in others if amounts is not None)
        return self._shards.queued_of(team) + published

    def own(self) -> dict[str, Resources]:
        """Return what each team's claimed or offered jobs of the own shards hold."""
        used: dict[str, Resources] = {}
        for key, stored in self._shards.jobs.items():
            if stored.job.state is JobState.CLAIMED or self._starter.has(key):
                spec = stored.job.spec
                used[spec.team] = used.get(spec.team, NO_RESOURCES) + spec.resources
        return used

    def publish(self, own: dict[str, Resources]) -> None:
        """Hand on what other entries need of this one's jobs: use and queued jobs by team."""
        published: dict[str, list[int]] = {}
        for team in own.keys() | self._shards.teams_queued():
            held = own.get(team, NO_RESOURCES)
            queued = self._shards.queued_of(team)
            published[team] = [held.cpu_millicores, held.memory_mb, held.accelerators, queued]
        self._leases.usage = published

    def everywhere(self, own: dict[str, Resources]) -> dict[str, Resources]:
        """Return what each team holds everywhere: own shards now, others as last published."""
        used = dict(own)
        for record in self._others():
            for team, amounts in record.usage.items():
                used[team] = used.get(team, NO_RESOURCES) + Resources(*amounts[:3])
        return used

    def _others(self) -> list[EntryRecord]:
        live = self._leases.live_entries
        return [record for name, record in live.items() if name != self._stamp.sender]
