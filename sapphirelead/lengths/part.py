"""Connects the forecasts of run times with the scheduler: what it observes, stores and logs."""

import math
from typing import Final, NamedTuple

import msgspec

from sapphirelead.lengths.learned import LearnedLengths, PairKey, PairLengths
from sapphirelead.lengths.samples import is_known_slow, is_learnable, log_ratio_of
from sapphirelead.lengths.stored import decode_pairs, encode_changed, encode_pairs
from sapphirelead.logs import log_event
from sapphirelead.sched_core import Scheduler
from sapphirelead.sched_fleet import Run, RunKey
from sapphirelead.sched_job import EndKind
from sapphirelead.sched_lengths import DeclaredLengths
from sapphirelead.sched_parts import LengthsConfig

ENCODE_INTERVAL_S: Final = 5.0
"""Minimum time between two new forms of the row.

Under load each end changes it, and 40 KB a second would take up a tenth of a slow link, while the
ends of a few seconds are worth little."""

MAX_ENCODED_PAIRS: Final = 5
"""Pairs whose stored form is renewed with a transaction, which takes less than 1 ms."""


class _Claimed(NamedTuple):
    """What was known when a run was claimed.

    :ivar forecast: median of the logarithm of the ratio; ``None`` if unknown.
    :ivar slow: the worker was known to be slow.  The end of a run may clear it of that.
    """

    forecast: float | None
    slow: bool


UNKNOWN_CLAIM: Final = _Claimed(None, False)


class LengthsPart:
    """Observes runs, and keeps the row ``fleet/lengths``.

    :ivar lengths: what has been learnt.
    """

    key: Final = "fleet/lengths"
    lengths: LearnedLengths
    _sched: Scheduler
    _claimed: dict[RunKey, _Claimed]
    _encoded: bytes | None
    _encoded_at: float

    def __init__(self, config: LengthsConfig, sched: Scheduler) -> None:
        self.lengths = LearnedLengths(config)
        self._sched = sched
        self._claimed = {}
        self._encoded = None
        self._encoded_at = -math.inf

    def switch_on(self) -> None:
        """Let the scheduler use the forecasts, and learn from its runs."""
        self._sched.observers.append(self)
        self._sched.lengths = self.lengths

    def switch_off(self) -> None:
        """Let the scheduler use the declared estimates again."""
        self._sched.observers.remove(self)
        self._sched.lengths = DeclaredLengths()

    # Runs

    def claimed(self, run: Run, queue: str, at: float) -> None:
        """Remember what is forecast for a run, by which the forecast is judged when it ends."""
        if not is_learnable(run):
            return
        key = (queue, run.step.image)
        self.lengths.touch(key)
        forecast = self.lengths.forecast(key)
        track = self._sched.fleet.instance(run.agent).track
        self._claimed[run.key] = _Claimed(forecast, is_known_slow(track, at, forecast or 0.0))

    def ended(self, run: Run, queue: str, kind: EndKind, at: float) -> None:
        """Learn from a run that ended well."""
        claimed = self._claimed.pop(run.key, UNKNOWN_CLAIM)
        instance = self._sched.fleet.instances.get(run.agent)
        if kind is not EndKind.DONE or not queue or instance is None or claimed.slow:
            return
        if run.isolated or self._sched.quarantine.is_suspect(run.ref):
            return
        key = (queue, run.step.image)
        log_ratio = log_ratio_of(run, instance, at, self.lengths.forecast(key) or 0.0)
        if log_ratio is None:
            return
        changed = self.lengths.record(key, log_ratio, claimed.forecast, 1 / run.step.tasks)
        if changed is not None:
            _log_in_use(key, changed)

    # State

    def encode(self, at: float) -> bytes | None:
        """Return the stored form, put together anew once in :data:`ENCODE_INTERVAL_S`."""
        encode_changed(self.lengths, MAX_ENCODED_PAIRS)
        if at - self._encoded_at >= ENCODE_INTERVAL_S:
            self._encoded = encode_pairs(self.lengths)
            self._encoded_at = at
        return self._encoded

    def restore(self, data: bytes, age_s: float) -> None:
        """Take over what a predecessor has learnt; an unreadable row is logged and ignored."""
        try:
            pairs = decode_pairs(data)
        except msgspec.DecodeError as exc:
            log_event("ERROR", "part_row_unreadable", row=self.key, reason=str(exc))
            return
        for stored in pairs:
            self.lengths.restore(*stored.restored(self.lengths.config.half_life_ends))


def _log_in_use(key: PairKey, pair: PairLengths) -> None:
    log_event(
        "INFO",
        "lengths_in_use",
        queue=key[0],
        image=key[1],
        in_use=pair.in_use,
        ratio=round(math.exp(pair.log_ratio(0.5)), 3),
        ends=pair.ends,
        declared_error=round(pair.score.declared, 3),
        learned_error=round(pair.score.learned, 3),
    )
