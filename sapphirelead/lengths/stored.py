"""Stored form of what has been learnt about run times.

Holds the most recently used pairs, as many as fit, most recent first.  Each pair keeps its form,
and only some that have changed are encoded at a time: a row of 1,300 pairs with new quantiles would
block the leader for 75 ms.
"""

from typing import Annotated, Final

import msgspec

from sapphirelead.lengths.learned import MAX_NAME_CHARS, LearnedLengths, PairKey, PairLengths
from sapphirelead.lengths.score import ForecastScore
from sapphirelead.lengths.sketch import Summary
from sapphirelead.node_leader_rows import MAX_BYTES

FORM: Final = 1
"""Version of the stored form; another one counts as nothing learnt."""

HEADER_BYTES: Final = 16
"""Upper bound of what encloses the pairs."""

UNITS: Final = 1000
"""Stored units in a unit of a logarithm, an error or a number of steps."""

MAX_STORED: Final = 2**40

LogRatio = Annotated[int, msgspec.Meta(ge=-10 * UNITS, le=10 * UNITS)]
Amount = Annotated[int, msgspec.Meta(ge=0, le=MAX_STORED)]
Name = Annotated[str, msgspec.Meta(max_length=MAX_NAME_CHARS)]


class StoredPair(msgspec.Struct, array_like=True, frozen=True):
    """One pair.

    :ivar median: median of the logarithm of the ratio, in 1/1000.
    :ivar p90: its 90th percentile.
    :ivar ends: number of ends that counted.
    :ivar declared: decayed sum of the errors of the declared estimates, in 1/1000.
    :ivar learned: the same of the forecasts.
    :ivar steps: number of steps judged, in 1/1000.
    """

    queue: str
    image: Name
    median: LogRatio
    p90: LogRatio
    ends: Amount
    declared: Amount
    learned: Amount
    steps: Amount
    in_use: bool

    @classmethod
    def of(cls, key: PairKey, pair: PairLengths) -> "StoredPair":
        """Return the stored form of a pair."""
        return cls(
            *key,
            round(UNITS * pair.log_ratio(0.5)),
            round(UNITS * pair.log_ratio(0.9)),
            min(MAX_STORED, pair.ends),
            _amount(pair.score.declared),
            _amount(pair.score.learned),
            _amount(pair.score.steps),
            pair.in_use,
        )

    def restored(self, half_life_ends: int) -> tuple[PairKey, PairLengths]:
        """Return the pair, with an approximate distribution."""
        summary = Summary(self.median / UNITS, self.p90 / UNITS, min(self.ends, half_life_ends))
        score = ForecastScore(self.declared / UNITS, self.learned / UNITS, self.steps / UNITS)
        pair = PairLengths.from_summary(summary, score, self.ends, self.in_use)
        pair.stored = msgspec.Raw(_ENCODER.encode(self))
        return (self.queue, self.image), pair


class _Stored(msgspec.Struct, array_like=True, frozen=True):
    form: int
    pairs: list[msgspec.Raw]


_ENCODER: Final = msgspec.msgpack.Encoder()
_DECODER: Final = msgspec.msgpack.Decoder(_Stored)
_PAIR_DECODER: Final = msgspec.msgpack.Decoder(StoredPair)


def encode_changed(lengths: LearnedLengths, limit: int) -> None:
    """Renew the stored form of up to ``limit`` pairs that have changed."""
    for key, pair in lengths.take_changed(limit):
        pair.stored = msgspec.Raw(_ENCODER.encode(StoredPair.of(key, pair)))


def encode_pairs(lengths: LearnedLengths) -> bytes | None:
    """Return the stored forms of the most recently used pairs; ``None`` if there are none."""
    found: list[msgspec.Raw] = []
    left = MAX_BYTES - HEADER_BYTES
    for _, pair in lengths.latest_first():
        if pair.stored is None:
            continue
        left -= len(pair.stored)
        if left < 0:
            break
        found.append(pair.stored)
    return _ENCODER.encode(_Stored(FORM, found)) if found else None


def decode_pairs(data: bytes) -> list[StoredPair]:
    """Return the stored pairs, the most recently used first.

    :raises msgspec.DecodeError: if ``data`` is malformed or of another version.
    """
    if len(data) > MAX_BYTES:
        raise msgspec.DecodeError(f"{len(data)} bytes")
    stored = _DECODER.decode(data)
    if stored.form != FORM:
        raise msgspec.ValidationError(f"form {stored.form}")
    return [_PAIR_DECODER.decode(pair) for pair in stored.pairs]


def _amount(value: float) -> int:
    return min(MAX_STORED, round(UNITS * value))
