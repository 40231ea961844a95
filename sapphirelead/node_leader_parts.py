"""The optional parts of one term of leadership, switched on and off by the configuration.

A part that is switched on after the stored state has been loaded starts without its predecessor's
state, which only improves decisions.
"""

from collections.abc import Sequence

from sapphirelead.admission.leader import LeaderAdmission
from sapphirelead.fairness.right import ShareRight
from sapphirelead.fairness.sharing import FairSharing
from sapphirelead.lengths.part import LengthsPart
from sapphirelead.metrics import Metrics
from sapphirelead.node_leader_rows import LeaderRows, StateRow
from sapphirelead.ports import Row, Write
from sapphirelead.preemption.review import Preemption
from sapphirelead.preemption.rights import PreemptionRight, PriorityRight
from sapphirelead.sched_core import Scheduler
from sapphirelead.sched_fleet import Run
from sapphirelead.sched_parts import (
    ALL_OFF,
    AdmissionConfig,
    LengthsConfig,
    PartsConfig,
    PreemptionConfig,
    SharingConfig,
)
from sapphirelead.sched_scan_order import ScanOrder


class LeaderParts:
    """Creates the parts, and stores and restores their state.

    :ivar config: options in force.
    :ivar admission: ``None`` while it is off.
    :ivar preemption: ``None`` while it is off.
    """

    config: PartsConfig
    admission: LeaderAdmission | None
    preemption: Preemption | None
    _sched: Scheduler
    _metrics: Metrics
    _rows: LeaderRows
    _lengths: LengthsPart | None

    def __init__(self, sched: Scheduler, metrics: Metrics) -> None:
        self.config = ALL_OFF
        self.admission = None
        self.preemption = None
        self._sched = sched
        self._metrics = metrics
        self._rows = LeaderRows(())
        self._lengths = None

    def set_config(self, config: PartsConfig) -> None:
        """Switch parts on or off, and change the options of those that stay on."""
        if config == self.config:
            return
        self.config = config
        self._set_lengths(config.lengths)
        self._set_sharing(config.sharing)
        self._set_admission(config.admission)
        self._set_preemption(config.preemption)
        if self.preemption is not None:
            self.preemption.set_right(self._right())
        self._rows = self._rows.with_parts(self._state_rows())

    def _state_rows(self) -> list[StateRow]:
        """Return the parts that are on and keep state."""
        found: list[StateRow] = []
        if self._sched.sharing is not None:
            found.append(self._sched.sharing)
        if self._lengths is not None:
            found.append(self._lengths)
        if self.admission is not None:
            found.append(self.admission)
        if self.preemption is not None:
            found.append(self.preemption.history)
        return found

    def _set_lengths(self, config: LengthsConfig | None) -> None:
        """Switch the forecasts of run times on or off; what they have learnt outlasts a change."""
        if config is None:
            if self._lengths is not None:
                self._lengths.switch_off()
            self._lengths = None
        elif self._lengths is not None:
            self._lengths.lengths.config = config
        else:
            self._lengths = LengthsPart(config, self._sched)
            self._lengths.switch_on()
            self._metrics.gauge("length_pairs", self._length_pairs)
            self._metrics.gauge("length_error_ratio", self._length_error_ratio)

    def _length_pairs(self) -> float:
        return self._lengths.lengths.pairs if self._lengths is not None else 0.0

    def _length_error_ratio(self) -> float:
        return self._lengths.lengths.error_ratio if self._lengths is not None else 1.0

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

    def _set_admission(self, config: AdmissionConfig | None) -> None:
        if config is None:
            if self.admission is not None:
                self.admission.stop()
            self.admission = None
        elif self.admission is None:
            self.admission = LeaderAdmission(self._sched, self._metrics, config)
        else:
            self.admission.config = config

    def _set_preemption(self, config: PreemptionConfig | None) -> None:
        if config is None and self.preemption is not None:
            self._sched.observers.remove(self.preemption)
            self.preemption.close()
            self.preemption = None
        elif config is not None and self.preemption is not None:
            self.preemption.history.set_config(config)
        elif config is not None:
            self.preemption = Preemption(self._sched, self._metrics, config)
            self._sched.observers.append(self.preemption)

    def _right(self) -> PreemptionRight:
        """Return who may stop whom: by guaranteed shares too while sharing is on."""
        priority = PriorityRight(lambda: self._sched.policies)
        sharing = self._sched.sharing
        if sharing is None:
            return priority
        return ShareRight(priority, lambda: self._sched.policies, sharing)

    def after_plan(self, at: float, wall_ms: int, scan_order: ScanOrder) -> None:
        """Let the parts act on what a planning pass has left waiting."""
        if self.preemption is not None:
            self.preemption.review(at, wall_ms, scan_order.was_scanned)

    def close(self) -> None:
        """Withdraw what the parts export, at the end of the term."""
        if self._sched.sharing is not None:
            self._sched.sharing.close()

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
