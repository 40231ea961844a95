"""Copies of the configuration that entries send to each other, and whom to ask for one.  No I/O.

A row of a thousand routes compresses to about a tenth, so that a copy crosses a slow link within a
fraction of the time that the store's answer takes there.

Invariants:

- A copy is used only if it is complete, decodes, and has the version that it is said to have.
- At most one request is outstanding; each peer is asked again only after all others.
"""

import hashlib
import math
import zlib
from collections.abc import Callable, Iterable
from typing import Final

from result import Err, Ok, Result

from sapphirelead.errors import Failure
from sapphirelead.node_messages import ConfigCopy
from sapphirelead.sched_config import QueueConfig

RETRY_S: Final = 0.3
"""Time after which another peer is asked; a multiple of the round trip of a copy on a slow link."""

MAX_RETRY_S: Final = 1.2
"""Bounds the growing time between requests, so that a link full of other transfers is not loaded
with further copies."""

MAX_CONFIG_BYTES: Final = 8_000_000
"""Maximum size of a decompressed configuration, which bounds the memory that a copy can take."""

COMPRESSION_LEVEL: Final = 1
"""Fastest level: rows repeat the same keys, and entries have a fraction of a processor."""

DIGEST_BYTES: Final = 16

DecodeConfig = Callable[[bytes], Result[QueueConfig, Failure]]


def digest_of(row: bytes) -> bytes:
    """Return the digest by which a damaged copy is recognized."""
    return hashlib.blake2b(row, digest_size=DIGEST_BYTES).digest()


def copy_of(version: int, row: bytes) -> ConfigCopy:
    """Return a copy of the row of a configuration version."""
    return ConfigCopy(version, zlib.compress(row, COMPRESSION_LEVEL), digest_of(row))


def row_of(copy: ConfigCopy) -> Result[bytes, str]:
    """Return the row that a copy holds; the error says why it cannot be used.

    >>> row_of(copy_of(3, b"abc"))
    Ok(b'abc')
    >>> row_of(ConfigCopy(3, b"abc", b"")).is_err()
    True
    """
    unpacker = zlib.decompressobj()
    try:
        row = unpacker.decompress(copy.data, MAX_CONFIG_BYTES)
    except zlib.error as exc:
        return Err(f"not decompressed: {exc}")
    if not unpacker.eof:
        return Err(f"truncated, or larger than {MAX_CONFIG_BYTES} bytes")
    if digest_of(row) != copy.digest:
        return Err("the digest differs")
    return Ok(row)


def config_of(copy: ConfigCopy, decode: DecodeConfig) -> Result[tuple[QueueConfig, bytes], str]:
    """Return the configuration of a copy and its row; the error says why it cannot be used."""
    row = row_of(copy)
    if isinstance(row, Err):
        return row
    decoded = decode(row.ok_value)
    if isinstance(decoded, Err):
        return Err(str(decoded.err_value))
    if decoded.ok_value.version != copy.version:
        return Err(f"the row has version {decoded.ok_value.version}")
    return Ok((decoded.ok_value, row.ok_value))


class CopyRequests:
    """Decides when to ask which peer for a newer configuration.

    :ivar wanted: version that is asked for; 0 for none.
    """

    wanted: int
    _holders: dict[str, int]
    _asked: dict[str, float]
    _due_at: float
    _delay_s: float

    def __init__(self) -> None:
        self.wanted = 0
        self._holders = {}
        self._asked = {}
        self._due_at = 0.0
        self._delay_s = RETRY_S

    def record_holder(self, peer: str, version: int) -> None:
        """Record the version that a peer has said to hold."""
        self._holders[peer] = max(version, self._holders.get(peer, 0))

    def want(self, version: int, at: float) -> None:
        """Begin to ask for a version; a later one does not restart the delay."""
        if self.wanted == 0:
            self._due_at = at
            self._delay_s = RETRY_S
            self._asked = {}
        self.wanted = max(self.wanted, version)

    def stop(self) -> None:
        """Stop asking, because the version has arrived."""
        self.wanted = 0

    def next_peer(self, peers: Iterable[str], at: float) -> str:
        """Return the peer to ask now; empty for none.

        Peers asked longest ago go first, and among those not asked yet the known holders.

        :param peers: entries that can be asked.
        """
        if not self.wanted or at < self._due_at:
            return ""
        peer = min(peers, key=self._rank, default="")
        if peer:
            self._asked[peer] = at
            self._due_at = at + self._delay_s
            self._delay_s = min(2 * self._delay_s, MAX_RETRY_S)
        return peer

    def _rank(self, peer: str) -> tuple[float, bool, str]:
        lacks = self._holders.get(peer, 0) < self.wanted
        return self._asked.get(peer, -math.inf), lacks, peer
