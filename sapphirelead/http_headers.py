"""Filters out headers that are not forwarded to the next HTTP connection.

These are the hop-by-hop fields of RFC 9110, section 7.6.1, and ``Host`` and ``Content-Length``,
which the next connection sets itself.
"""

from collections.abc import Mapping, Set
from typing import Final

HOP_BY_HOP: Final = frozenset(
    {
        "connection",
        "content-length",
        "host",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)


def end_to_end(headers: Mapping[str, str], dropped: Set[str] = HOP_BY_HOP) -> dict[str, str]:
    """Return ``headers`` without those in ``dropped``, a set of lower-case names."""
    return {name: value for name, value in headers.items() if name.lower() not in dropped}
