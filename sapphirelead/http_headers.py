"""Headers that belong to one HTTP connection and are never passed on to the next.

They are the hop-by-hop fields of RFC 9110, section 7.6.1, with those that the next connection sets
anew: ``Host`` and ``Content-Length``.
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
    """Return ``headers`` without those of the lower-case names in ``dropped``."""
    return {name: value for name, value in headers.items() if name.lower() not in dropped}
