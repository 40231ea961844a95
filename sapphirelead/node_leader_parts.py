"""The optional parts of one term of leadership, switched on and off by the configuration.

A part that is switched on after the stored state has been loaded starts without its predecessor's
state, which only improves decisions.
"""

from collections.abc import Sequence

from sapphirelead.metrics import Metrics
from sapphirelead.node_leader_rows import LeaderRows, StateRow
from sapphirelead.ports import Row, Write
from sapphirelead.sched_core import Scheduler
from sapphirelead.sched_parts import ALL_OFF, PartsConfig


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
        self._rows = self._rows.with_parts(self._state_rows())

    def _state_rows(self) -> list[StateRow]:
        """Return the parts that are on and keep state."""
        return []

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
