"""The stored form of decayed usage, for the next leader."""

from typing import Annotated, Final

import msgspec

from sapphirelead.fairness.tree import DecayedAverage, ShareTree
from sapphirelead.logs import log_event
from sapphirelead.node_leader_rows import MAX_BYTES

USAGE_KEY: Final = "fleet/usage"

FORMAT_VERSION: Final = 1

MAX_AMOUNT: Final = 2**53
"""Maximum stored amount of a resource; exact as a floating-point number."""

Amount = Annotated[int, msgspec.Meta(ge=0, le=MAX_AMOUNT)]


class UsageEntry(msgspec.Struct, frozen=True, array_like=True):
    """Decayed usage of one queue; that of its organisation follows from the configuration."""

    service: str
    queue: str
    cpu_millicores: Amount
    memory_mb: Amount
    accelerators: Amount


class UsageRow(msgspec.Struct, frozen=True):
    """Decayed usage of all queues, largest first."""

    version: int
    entries: list[UsageEntry]


def encode_usage(trees: dict[str, ShareTree]) -> bytes | None:
    """Return the stored form; the queues with the least usage are left out if it is too large."""
    entries = sorted(
        (entry for service, tree in trees.items() for entry in _entries(service, tree)),
        key=lambda entry: (-entry.cpu_millicores, -entry.memory_mb, entry.service, entry.queue),
    )
    while entries:
        data = _ENCODER.encode(UsageRow(FORMAT_VERSION, entries))
        if len(data) <= MAX_BYTES:
            return data
        entries = entries[: len(entries) * MAX_BYTES // len(data)]
    return None


def _entries(service: str, tree: ShareTree) -> list[UsageEntry]:
    found = []
    for queue, node in tree.queues.items():
        used = node.average.rounded()
        if used.cpu_millicores or used.memory_mb or used.accelerators:
            found.append(
                UsageEntry(service, queue, used.cpu_millicores, used.memory_mb, used.accelerators)
            )
    return found


def decode_usage(data: bytes) -> list[UsageEntry]:
    """Decode a stored form; empty if it is damaged or of another version."""
    try:
        row = _DECODER.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError) as exc:
        log_event("ERROR", "usage_unreadable", reason=str(exc))
        return []
    if row.version != FORMAT_VERSION:
        log_event("ERROR", "usage_unreadable", reason=f"version {row.version}")
        return []
    return row.entries


def decayed(entry: UsageEntry, age_s: float, half_life_s: float) -> DecayedAverage:
    """Return stored usage as it has decayed since."""
    kept = 0.5 ** (age_s / half_life_s)
    return DecayedAverage(
        entry.cpu_millicores * kept, entry.memory_mb * kept, entry.accelerators * kept
    )


_ENCODER: Final = msgspec.msgpack.Encoder()
_DECODER: Final = msgspec.msgpack.Decoder(UsageRow)
