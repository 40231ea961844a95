"""The durable side of an entry, put together: table, leases, configuration, jobs, scheduling."""

from dataclasses import dataclass

from sapphirelead.entry_config import ConfigKeeper
from sapphirelead.entry_job_board import JobBoard
from sapphirelead.entry_job_rows import JobRows
from sapphirelead.entry_jobs import Jobs
from sapphirelead.entry_lease import LeaseKeeper
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
    """The parts, in the order in which they are started."""

    table: EntryTable
    leases: LeaseKeeper
    config: ConfigKeeper
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
        """Put the parts together inside the running loop.

        :param control: ``host:port`` at which peers reach this entry's control lane.
        """
        store = EntryTable.from_settings(settings.platform, table)
        leases = LeaseKeeper(settings, stamp, control, store, members, links)
        config = ConfigKeeper(stamp, settings.zone, store, members, links, leases)
        rows = JobRows(store, settings.shards)
        if metrics is not None:
            rows.on_move = JobMeter(metrics).count_transition
        board = JobBoard()
        moves = JobMoves(rows, board, links, config, stamp)
        starter = JobStarter(stamp, rows, board, moves, leases, links, config)
        scheduler = Scheduler(
            stamp, store, rows, board, moves, leases, starter, members, links, config
        )
        reconciler = Reconciler(scheduler, starter, moves, leases, members, links)
        jobs = Jobs(store, rows, board, members, links, config, scheduler.usage.queued_of)
        return cls(store, leases, config, jobs, moves, scheduler, reconciler)

    def start(self) -> None:
        """Start every part."""
        self.table.start()
        self.leases.start()
        self.config.start()
        self.scheduler.start()
        self.reconciler.start()

    async def stop(self) -> None:
        """Stop in reverse: no new claims, moves in progress committed, then leave the region."""
        await self.reconciler.stop()
        await self.scheduler.stop()
        await self.moves.stop()
        await self.config.stop()
        await self.leases.stop()
        await self.table.stop()
