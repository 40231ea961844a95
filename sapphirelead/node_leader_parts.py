"""The optional parts of one term of leadership, switched on and off by the configuration.

A part that is switched on after the stored state has been loaded starts without its predecessor's
state, which only improves decisions.
"""

from collections.abc import Sequence

from sapphirelead.lengths.part import LengthsPart
from sapphirelead.metrics import Metrics
from sapphirelead.node_leader_rows import LeaderRows, StateRow
from sapphirelead.ports import Row, Write
from sapphirelead.sched_core import Scheduler
from sapphirelead.sched_parts import ALL_OFF, LengthsConfig, PartsConfig


class LeaderParts:
    """Creates the parts, and stores and restores their state.

    :ivar config: options in force.
    """

    config: PartsConfig
    _sched: Scheduler
    _metrics: Metrics
    _rows: LeaderRows
    _lengths: LengthsPart | None

    def __init__(self, sched: Scheduler, metrics: Metrics) -> None:
        self.config = ALL_OFF
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
        self._rows = self._rows.with_parts(self._state_rows())

    def _state_rows(self) -> list[StateRow]:
        """Return the parts that are on and keep state."""
        return [part for part in (self._lengths,) if part is not None]

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
