"""Builds the durable part of an entry: table, leases, configuration, jobs and scheduling."""

from dataclasses import dataclass

from sapphirelead.entry_config import ConfigManager
from sapphirelead.entry_job_notifier import JobNotifier
from sapphirelead.entry_job_rows import JobRows
from sapphirelead.entry_jobs import Jobs
from sapphirelead.entry_lease import LeaseManager
from sapphirelead.entry_moves import JobMoves
from sapphirelead.entry_ports import Links, Members, Stamp
from sapphirelead.entry_reconcile import Reconciler
from sapphirelead.entry_scheduler import Scheduler
from sapphirelead.entry_start import JobStarter
from sapphirelead.entry_table import EntryTable
from sapphirelead.metrics import Metrics
from sapphirelead.metrics_jobs import JobMeter
from sapphirelead.ports import Table
from sapphirelead.settings import EntrySettings


@dataclass(frozen=True, slots=True)
class EntryCore:
    """The durable components of an entry."""

    table: EntryTable
    leases: LeaseManager
    config: ConfigManager
    jobs: Jobs
    moves: JobMoves
    scheduler: Scheduler
    reconciler: Reconciler

    @classmethod
    def from_settings(
        cls,
        settings: EntrySettings,
        stamp: Stamp,
        control: str,
        table: Table,
        members: Members,
        links: Links,
        metrics: Metrics | None = None,
    ) -> "EntryCore":
        """Build the components inside the running event loop.

        :param control: ``host:port`` at which peers reach this entry's control channel.
        """
        store = EntryTable.from_settings(settings.platform, table)
        leases = LeaseManager(settings, stamp, control, store, members, links)
        config = ConfigManager(stamp, settings.zone, store, members, links, leases)
        rows = JobRows(store, settings.shards)
        if metrics is not None:
            rows.on_move = JobMeter(metrics).count_transition
        notifier = JobNotifier()
        moves = JobMoves(rows, notifier, links, config, stamp)
        starter = JobStarter(stamp, rows, notifier, moves, leases, links, config)
        scheduler = Scheduler(
            stamp, store, rows, notifier, moves, leases, starter, members, links, config
        )
        reconciler = Reconciler(scheduler, starter, moves, leases, members, links)
        jobs = Jobs(store, rows, notifier, members, links, config, scheduler.usage.queued_of)
        return cls(store, leases, config, jobs, moves, scheduler, reconciler)

    def start(self) -> None:
        """Start every component."""
        self.table.start()
        self.leases.start()
        self.config.start()
        self.scheduler.start()
        self.reconciler.start()

    async def stop(self) -> None:
        """Stop in reverse order; transitions may finish before the entry leaves its lease row."""
        await self.reconciler.stop()
        await self.scheduler.stop()
        await self.moves.stop()
        await self.config.stop()
        await self.leases.stop()
        await self.table.stop()
