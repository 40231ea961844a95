"""How a leader tells followers which refused callers are due to return.  No I/O.

Answers a load of callers that return through other entries than those that refused them.  A hash
that two ids share only makes a follower forward a submission that it could have refused.
"""

import struct
import zlib
from collections.abc import Iterable
from typing import Final

NOTICE_VALID_S: Final = 1.0
"""Age from which a notice no longer counts; two intervals of heartbeats and a margin."""

MAX_RETURNING: Final = 2_000
"""Ids in a notice, 8 KB; with more, followers forward everything."""

_HASH: Final = struct.Struct("<I")


def hash_of(job_id: str) -> int:
    """Return the hash of a job id."""
    return zlib.crc32(job_id.encode())


def pack_ids(job_ids: Iterable[str]) -> bytes:
    """Return the hashes of job ids, 4 bytes each.

    >>> hash_of("a") in unpack_ids(pack_ids(["a", "b"])), hash_of("c") in unpack_ids(b"")
    (True, False)
    """
    return b"".join(_HASH.pack(hash_of(job_id)) for job_id in job_ids)


def unpack_ids(data: bytes) -> frozenset[int]:
    """Return the hashes; a damaged rest is ignored."""
    whole = len(data) - len(data) % _HASH.size
    return frozenset(number for (number,) in _HASH.iter_unpack(data[:whole]))
