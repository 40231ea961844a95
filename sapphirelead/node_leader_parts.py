"""The optional parts of one term of leadership, switched on and off by the configuration.

A part that is switched on after the stored state has been loaded starts without its predecessor's
state, which only improves decisions.
"""

from collections.abc import Sequence

from sapphirelead.fairness.sharing import FairSharing
from sapphirelead.metrics import Metrics
from sapphirelead.node_leader_rows import LeaderRows, StateRow
from sapphirelead.ports import Row, Write
from sapphirelead.sched_core import Scheduler
from sapphirelead.sched_fleet import Run
from sapphirelead.sched_parts import ALL_OFF, PartsConfig, SharingConfig


class LeaderParts:
    """Creates the parts, and stores and restores their state.

    :ivar config: options in force.
    """

    config: PartsConfig
    _sched: Scheduler
    _metrics: Metrics
    _rows: LeaderRows

    def __init__(self, sched: Scheduler, metrics: Metrics) -> None:
        self.config = ALL_OFF
        self._sched = sched
        self._metrics = metrics
        self._rows = LeaderRows(())

    def set_config(self, config: PartsConfig) -> None:
        """Switch parts on or off, and change the options of those that stay on."""
        if config == self.config:
            return
        self.config = config
        self._set_sharing(config.sharing)
        self._rows = self._rows.with_parts(self._state_rows())

    def _set_sharing(self, config: SharingConfig | None) -> None:
        sched, sharing = self._sched, self._sched.sharing
        if sharing is not None and config is not None:
            sharing.set_config(config)
        elif sharing is not None:
            sched.observers.remove(sharing)
            sched.sharing = None
            sharing.close()
        elif config is not None:
            sharing = FairSharing(config, self._service_of, self._metrics)
            for run in sched.fleet.runs.values():
                job = sched.jobs.get(run.ref.job_id)
                queue = job.spec.queue if job is not None else ""
                sharing.claimed(run, queue, max(run.claimed_at, sched.began_at))
            sched.observers.append(sharing)
            sched.sharing = sharing

    def _service_of(self, run: Run, queue: str) -> str:
        """Return the service of a run's queue."""
        job = self._sched.jobs.get(run.ref.job_id)
        return self._sched.policy_of(job).service if job is not None else ""

    def close(self) -> None:
        """Withdraw what the parts export, at the end of the term."""
        if self._sched.sharing is not None:
            self._sched.sharing.close()

    def _state_rows(self) -> list[StateRow]:
        """Return the parts that are on and keep state."""
        return [self._sched.sharing] if self._sched.sharing is not None else []

    @property
    def keys(self) -> Sequence[str]:
        """Keys of the rows to read when a term begins."""
        return self._rows.keys

    def restore(self, rows: Sequence[Row], led_s: float) -> None:
        """Hand the rows that were read to the parts, after the jobs have been loaded."""
        self._rows.restore(rows, led_s)

    def writes(self, at: float, led_s: float, last: bool = False) -> list[Write]:
        """Return the writes of the rows that are due and have changed."""
        return self._rows.writes(at, led_s, last)
