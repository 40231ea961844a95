"""Limits on what the HTTP servers of a process hold for their clients.

The load is a crowd of clients that send much and finish nothing: heads or bodies that stop short of
their end, connections that stay open, responses that are not read.  Every connection with a
request is charged what the request costs, from its first byte to its response, and all charges of
the process together stay within one budget.  When the budget is exceeded, the connections that the
process waits for are closed, the longest without progress first; a connection whose request is
complete and waits for its response is never closed.  When a server has too many connections, idle
ones are closed before those.

All functions are pure over the state of the connections; :mod:`sapphirelead.http_guard` applies the
decisions to sockets.
"""

import resource
from dataclasses import dataclass
from enum import Enum
from typing import Final

MEBIBYTE: Final = 1_048_576

MEMORY_SHARE: Final = 1 / 6
"""Share of the process's memory for requests that are being received or handled."""

DEFAULT_MEMORY_MB: Final = 192
"""Memory of a process whose settings do not name it."""

MAX_DESCRIPTORS: Final = 65_536
"""Maximum that is assumed where the system allows more."""

FILE_DESCRIPTORS: Final = 200
"""Descriptors that are not available for sockets."""

HTTP_SHARE: Final = 0.5
"""Share of the sockets for HTTP clients; the others are for the table, peers and workers."""

PROBE_SHARE: Final = 1 / 16
MAX_PROBE_CONNECTIONS: Final = 64
"""Bounds of a server that only probes and metrics readers use."""

PROBE_SERVERS: Final = 2

PROBE_MEMORY_SHARE: Final = 1 / 8
MIN_PROBE_MEMORY_BYTES: Final = 524_288
"""Budget of these servers relative to that of the others, and its minimum."""

ACTIVE_BYTES: Final = 16_384
"""Cost of a connection with a request, beside the received bytes."""

COST_OF_BYTE: Final = 1.5
"""Cost of a received byte; buffers grow by copying, and freed ones leave gaps."""

INCOMPLETE_BYTES: Final = 65_536
"""Additional cost while a request is incomplete: its receive buffer and parsing."""

CHUNKED_BYTES: Final = 131_072
"""Additional cost of a chunked body that is being received: parsed chunks that are unread."""

PIPELINED_BYTES: Final = 262_144
"""Additional cost of a connection that sends requests ahead: parsed requests and unread bytes."""

MAX_HEAD_ENDS: Final = 2
"""Empty lines in what is received for one request: after its head and after a chunked body; more
belong to requests that are sent ahead."""

BYTES_OF_LINE_AHEAD: Final = 400
"""Cost of a line of a request that is sent ahead, parsed into a header field."""

BLOCKED_BYTES: Final = 65_536
"""Additional cost of a connection whose client lets a response wait."""

PROGRESS_BYTES: Final = 16_384
"""Received bytes that count as progress."""

RETRY_AFTER_S: Final = 1
"""Retry-After of a request that exceeds the budget; charges of stalled requests end at once."""


class Reason(Enum):
    """Why a connection is closed or a request rejected, with the HTTP status of the response.

    The status is 0 if there is no response.
    """

    MEMORY = ("memory", 503, "too much is being received")
    CONNECTIONS = ("connections", 0, "too many connections")
    TIMEOUT = ("timeout", 408, "the request was not received in time")
    HEAD = ("head", 400, "the head of the request is too large")
    EMPTY_LINES = ("empty_lines", 400, "there is no request")
    ENCODING = ("encoding", 415, "compressed bodies are not accepted")
    RESPONSE_UNREAD = ("response_unread", 0, "the response was not read in time")

    @property
    def label(self) -> str:
        """Value of the label ``reason`` in metrics and log lines."""
        return self.value[0]

    @property
    def status(self) -> int:
        """HTTP status."""
        return self.value[1]

    @property
    def message(self) -> str:
        """Explanation for the client."""
        return self.value[2]


class Phase(Enum):
    """What a connection is doing.

    ``RECEIVING``: a request is incomplete.  ``ANSWERING``: it is complete and being handled.
    ``DISCARDING``: it has been answered before it was complete.
    """

    IDLE = "idle"
    RECEIVING = "receiving"
    ANSWERING = "answering"
    DISCARDING = "discarding"


@dataclass(frozen=True, slots=True)
class HttpLimits:
    """Limits of one process.

    :ivar memory_bytes: budget for requests that are being received or handled.
    :ivar connections: connections of a server for callers or workers.
    :ivar probe_connections: connections of a server for probes or metrics.
    :ivar head_bytes: size of a request's head.
    :ivar empty_line_bytes: bytes of empty lines before a request.
    :ivar receive_timeout_s: time within which a request must be complete, and maximum time
        without progress of a client that lets a response wait.
    """

    memory_bytes: int
    connections: int
    probe_connections: int
    head_bytes: int = 32_768
    empty_line_bytes: int = 64
    receive_timeout_s: float = 30.0

    @property
    def probe_memory_bytes(self) -> int:
        """Budget for requests of probes and metrics."""
        return max(MIN_PROBE_MEMORY_BYTES, int(self.memory_bytes * PROBE_MEMORY_SHARE))

    @classmethod
    def from_machine(
        cls, memory_mb: float, max_fds: int, receive_timeout_s: float = 30.0
    ) -> "HttpLimits":
        """Derive the limits from the memory and the descriptors of the process.

        >>> HttpLimits.from_machine(300, 4_100)
        ... # doctest: +NORMALIZE_WHITESPACE
        HttpLimits(memory_bytes=52428800, connections=1822, probe_connections=64,
            head_bytes=32768, empty_line_bytes=64, receive_timeout_s=30.0)
        """
        sockets = max(0, max_fds - FILE_DESCRIPTORS)
        probes = max(1, min(MAX_PROBE_CONNECTIONS, int(sockets * PROBE_SHARE)))
        connections = max(1, int(sockets * HTTP_SHARE) - PROBE_SERVERS * probes)
        memory_bytes = int(memory_mb * MEBIBYTE * MEMORY_SHARE)
        return cls(memory_bytes, connections, probes, receive_timeout_s=receive_timeout_s)


def descriptor_limit() -> int:
    """Return the number of descriptors that the system allows this process."""
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return MAX_DESCRIPTORS if soft == resource.RLIM_INFINITY else min(soft, MAX_DESCRIPTORS)


class Connection:
    """State of one connection.

    :ivar phase: what the connection is doing.
    :ivar charged: bytes of the budget that it holds.
    :ivar waited_since: loop time since when the process has waited for the client; ``None`` if it
        does not.
    :ivar blocked: whether the client lets a response wait.
    :ivar pipelining: whether the client has sent requests ahead.
    :ivar empty_line_bytes: bytes of empty lines received since the last request.
    """

    __slots__ = (
        "_progress_bytes",
        "blocked",
        "charged",
        "empty_line_bytes",
        "phase",
        "pipelining",
        "waited_since",
    )

    def __init__(self) -> None:
        self.phase = Phase.IDLE
        self.charged = 0
        self.waited_since: float | None = None
        self.blocked = False
        self.pipelining = False
        self.empty_line_bytes = 0
        self._progress_bytes = 0

    @property
    def closable(self) -> bool:
        """Whether the connection may be closed for the sake of others although it has a request."""
        phase = self.phase
        incomplete = phase is Phase.RECEIVING or phase is Phase.DISCARDING
        return incomplete or self.blocked or self.pipelining

    def advance(self, received: int) -> bool:
        """Count received bytes; whether they amount to progress."""
        self._progress_bytes += received
        if self._progress_bytes < PROGRESS_BYTES:
            return False
        self._progress_bytes = 0
        return True


class MemoryBudget:
    """Charges of all connections of a process.

    :ivar limit: maximum sum of the charges.
    :ivar held: sum of the charges.
    """

    limit: int
    held: int
    _closable: dict[Connection, None]

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.held = 0
        # Ordered by the time of the last progress.
        self._closable = {}

    def charge(self, conn: Connection, total: int) -> list[Connection]:
        """Set the charge of a connection.

        :return: the connections to close, whose charges have ended; they include ``conn`` itself if
            closing all others is not enough.
        """
        self.held += total - conn.charged
        conn.charged = total
        if self.held <= self.limit:
            return []
        closed = []
        while self.held > self.limit:
            victim = next(iter(self._closable), None) or (conn if total else None)
            if victim is None:
                break
            closed.append(victim)
            self.release(victim)
            if victim is conn:
                break
        return closed

    def release(self, conn: Connection) -> None:
        """End the charge of a connection."""
        self.held -= conn.charged
        conn.charged = 0
        self._closable.pop(conn, None)

    def update(self, conn: Connection, progress: bool = False) -> None:
        """Take a changed state or progress of a connection into account."""
        if not conn.closable:
            self._closable.pop(conn, None)
        elif progress or conn not in self._closable:
            self._closable.pop(conn, None)
            self._closable[conn] = None

    def stalled_longest(self, server: "ServerConnections") -> Connection | None:
        """Return the closable connection of a server that is the longest without progress."""
        return next((conn for conn in self._closable if conn in server.open), None)


class ServerConnections:
    """The connections of one server.

    :ivar limit: maximum number.
    :ivar open: all connections.
    """

    limit: int
    open: set[Connection]
    _budget: MemoryBudget
    _idle: dict[Connection, None]

    def __init__(self, limit: int, budget: MemoryBudget) -> None:
        self.limit = limit
        self.open = set()
        self._budget = budget
        # Ordered by the time of the last response.
        self._idle = {}

    def accept(self, conn: Connection) -> Connection | None:
        """Add a connection; return the one to close, which is ``conn`` if no other can be."""
        self.open.add(conn)
        self._idle[conn] = None
        if len(self.open) <= self.limit:
            return None
        oldest = next(iter(self._idle))
        victim = (self._budget.stalled_longest(self) or conn) if oldest is conn else oldest
        self.remove(victim)
        return victim

    def remove(self, conn: Connection) -> None:
        """Remove a connection that is closed."""
        self.open.discard(conn)
        self._idle.pop(conn, None)
        self._budget.release(conn)

    def set_idle(self, conn: Connection, idle: bool) -> None:
        """Take the end or the start of a request into account."""
        self._idle.pop(conn, None)
        if idle and conn in self.open:
            self._idle[conn] = None

    def overdue(self, waited_before: float) -> list[Connection]:
        """Return the connections that the process has waited for since before a loop time."""
        return [
            conn
            for conn in self.open
            if conn.waited_since is not None and conn.waited_since < waited_before
        ]

    def flooding(self, empty_line_bytes: int) -> list[Connection]:
        """Return the idle connections that have received more bytes of empty lines."""
        return [
            conn
            for conn in self.open
            if conn.empty_line_bytes > empty_line_bytes and conn.phase is Phase.IDLE
        ]
