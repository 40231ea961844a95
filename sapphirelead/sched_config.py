"""Queue configuration: routes from request paths to queues, and queue policies."""

from dataclasses import dataclass, field

from sapphirelead.sched_parts import ALL_OFF, PartsConfig
from sapphirelead.sched_spec import QueuePolicy


@dataclass(frozen=True, slots=True)
class Route:
    """Routes requests to ``host`` whose path starts with ``prefix`` to ``queue``."""

    host: str
    prefix: str
    queue: str


@dataclass(frozen=True, slots=True)
class QueueConfig:
    """A complete version of the queue configuration.

    :ivar version: increases with every accepted change; 0 before the first.
    :ivar routes: routes by host, longest prefix first.
    :ivar queues: policies by queue name.
    :ivar body_bytes: maximum size of a request body; 0 for no limit.
    :ivar parts: options of the scheduler's optional parts.
    """

    version: int = 0
    routes: dict[str, tuple[Route, ...]] = field(default_factory=dict)
    queues: dict[str, QueuePolicy] = field(default_factory=dict)
    body_bytes: int = 0
    parts: PartsConfig = ALL_OFF

    @classmethod
    def from_routes(
        cls,
        version: int,
        routes: list[Route],
        queues: dict[str, QueuePolicy],
        body_bytes: int = 0,
        parts: PartsConfig = ALL_OFF,
    ) -> "QueueConfig":
        """Create a configuration with ``routes`` indexed for :meth:`match`."""
        by_host: dict[str, list[Route]] = {}
        for route in routes:
            by_host.setdefault(route.host, []).append(route)
        indexed = {
            host: tuple(sorted(found, key=lambda route: -len(route.prefix)))
            for host, found in by_host.items()
        }
        return cls(version, indexed, queues, body_bytes, parts)

    def match(self, host: str, path: str) -> Route | None:
        """Return the route with the longest matching prefix, or ``None``.

        >>> routes = [Route("h", "/a", "x"), Route("h", "/a/b", "y")]
        >>> config = QueueConfig.from_routes(1, routes, {})
        >>> config.match("h", "/a/b/1").queue, config.match("h", "/c")
        ('y', None)
        """
        for route in self.routes.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None
