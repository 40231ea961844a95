"""The optional parts of one term of leadership, switched on and off by the configuration.

A part that is switched on after the stored state has been loaded starts without its predecessor's
state, which only improves decisions.
"""

from collections.abc import Sequence

from sapphirelead.admission.leader import LeaderAdmission
from sapphirelead.metrics import Metrics
from sapphirelead.node_leader_rows import LeaderRows, StateRow
from sapphirelead.ports import Row, Write
from sapphirelead.sched_core import Scheduler
from sapphirelead.sched_parts import ALL_OFF, AdmissionConfig, PartsConfig


class LeaderParts:
    """Creates the parts, and stores and restores their state.

    :ivar config: options in force.
    :ivar admission: admission control; ``None`` while it is off.
    """

    config: PartsConfig
    admission: LeaderAdmission | None
    _sched: Scheduler
    _metrics: Metrics
    _rows: LeaderRows

    def __init__(self, sched: Scheduler, metrics: Metrics) -> None:
        self.config = ALL_OFF
        self.admission = None
        self._sched = sched
        self._metrics = metrics
        self._rows = LeaderRows(())

    def set_config(self, config: PartsConfig) -> None:
        """Switch parts on or off, and change the options of those that stay on."""
        if config == self.config:
            return
        self.config = config
        self._set_admission(config.admission)
        self._rows = self._rows.with_parts(self._state_rows())

    def _state_rows(self) -> list[StateRow]:
        """Return the parts that are on and keep state."""
        return [self.admission] if self.admission is not None else []

    def _set_admission(self, config: AdmissionConfig | None) -> None:
        if config is None:
            if self.admission is not None:
                self.admission.stop()
            self.admission = None
        elif self.admission is None:
            self.admission = LeaderAdmission(self._sched, self._metrics, config)
        else:
            self.admission.config = config

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
