"""HTTP servers that keep their clients within limits.

A :class:`ConnectionGuard` lies between a socket and the HTTP library's protocol.  It charges what
it receives to the budget of the process before it passes it on, and closes connections as
:mod:`sapphirelead.http_limits` decides.  Invariant: a connection is refused with a status only
while its request is incomplete or unhandled, so that no handler has accepted the request.
"""

import asyncio
import contextlib
import logging
import socket
from collections.abc import Awaitable, Callable
from typing import Any, Final

from aiohttp import StreamReader, hdrs, web

from sapphirelead.clock import now
from sapphirelead.http_limits import (
    ACTIVE_BYTES,
    BLOCKED_BYTES,
    BYTES_OF_LINE_AHEAD,
    CHUNKED_BYTES,
    COST_OF_BYTE,
    INCOMPLETE_BYTES,
    MAX_HEAD_ENDS,
    PIPELINED_BYTES,
    Connection,
    HttpLimits,
    MemoryBudget,
    Phase,
    Reason,
    ServerConnections,
)
from sapphirelead.http_refusals import LibraryLogHandler, RefusalLog
from sapphirelead.metrics import Metrics

RECEIVE_BYTES: Final = 32_768
"""Maximum size of one read from a socket."""

RECEIVE_BUFFER_BYTES: Final = 65_536
"""Size of the kernel's receive buffer of a connection."""

PARSER_BUFFER_BYTES: Final = 16_384
"""Size from which the HTTP library stops parsing a body that nobody reads."""

BACKLOG: Final = 512
"""Maximum length of the queue of connections that have not been accepted."""

BACKLOG_SHARE: Final = 1 / 3
"""Maximum length of the same queue relative to the number of connections, because all of it is
accepted at once."""

SWEEP_INTERVAL_S: Final = 1.0
LINE_ENDS: Final = b"\r\n"
HEAD_END: Final = b"\r\n\r\n"
PLAIN_ENCODINGS: Final = frozenset({"", "identity"})

# Data is copied out of it before the next read of any socket.
_RECEIVE_BUFFER: Final = memoryview(bytearray(RECEIVE_BYTES))

Handler = Callable[[Any], Awaitable[web.StreamResponse]]
Problem = Callable[[Reason], web.Response]
"""Builds the response with which a request is rejected."""


class HttpGuard:
    """What the servers of a process share: limits, budget and open connections.

    :ivar limits: limits of the process.
    :ivar budget: charges of the connections of callers and workers.
    :ivar probe_budget: charges of those of probes and metrics, which are answered also while
        callers use up the other budget.
    :ivar refusal_log: counts what is refused.
    :ivar open: the connections of all servers.
    """

    limits: HttpLimits
    budget: MemoryBudget
    probe_budget: MemoryBudget
    refusal_log: RefusalLog
    open: dict[Connection, "ConnectionGuard"]
    _logger: logging.Logger

    def __init__(self, limits: HttpLimits, metrics: Metrics) -> None:
        self.limits = limits
        self.budget = MemoryBudget(limits.memory_bytes)
        self.probe_budget = MemoryBudget(limits.probe_memory_bytes)
        self.refusal_log = RefusalLog(metrics)
        self.open = {}
        self._logger = logging.Logger("http")
        self._logger.addHandler(LibraryLogHandler(self.refusal_log))
        metrics.gauge("http_held_bytes", lambda: self.budget.held + self.probe_budget.held)
        metrics.gauge("http_connections", lambda: len(self.open))

    def library_options(self) -> dict[str, Any]:
        """Return options of the HTTP library's servers."""
        return {
            "auto_decompress": False,
            "logger": self._logger,
            "read_bufsize": PARSER_BUFFER_BYTES,
        }

    def charge(
        self, budget: MemoryBudget, conn: Connection, total: int, progress: bool = False
    ) -> bool:
        """Set the charge of a connection, and return whether it may stay."""
        if conn not in self.open:
            # A handler may end after its connection.
            return False
        budget.update(conn, progress)
        victims = budget.charge(conn, total)
        if not victims:
            return True
        for victim in victims:
            self.refuse(victim, Reason.MEMORY)
        return conn not in victims

    def refuse(self, conn: Connection, reason: Reason) -> None:
        """Close a connection."""
        conn_guard = self.open.get(conn)
        if conn_guard is not None:
            self.refusal_log.count(reason)
            conn_guard.refuse(reason)


class GuardedSite(web.BaseSite):
    """Listens on an address and keeps the clients of a server within the limits.

    :ivar guard: what the servers of the process share.
    :ivar budget: what its connections are charged to.
    :ivar connections: connections of this server.
    :ivar by_protocol: the open connections by the library's protocols.
    """

    guard: HttpGuard
    budget: MemoryBudget
    connections: ServerConnections
    by_protocol: dict[asyncio.BaseProtocol, "ConnectionGuard"]
    _host: str
    _port: int
    _problem: Problem
    _handler: Handler
    _sweep_timer: asyncio.TimerHandle | None

    def __init__(
        self,
        runner: web.BaseRunner,
        guard: HttpGuard,
        address: tuple[str, int],
        connections: int,
        problem: Problem,
        for_probes: bool = False,
    ) -> None:
        """Create a site that is not listening yet.

        :param address: IP address and port.
        :param connections: maximum number of connections.
        :param for_probes: whether the server answers only probes and readers of metrics.
        """
        super().__init__(runner, backlog=max(1, min(BACKLOG, int(connections * BACKLOG_SHARE))))
        self.guard = guard
        self.budget = guard.probe_budget if for_probes else guard.budget
        self.connections = ServerConnections(connections, self.budget)
        self.by_protocol = {}
        self._host, self._port = address
        self._problem = problem
        self._sweep_timer = None

    @property
    def name(self) -> str:
        """URL of the server."""
        return f"http://{self._host}:{self._port}"

    async def start(self) -> None:
        """Listen and serve."""
        await super().start()
        server = self._runner.server
        assert isinstance(server, web.Server)
        self._handler = server.request_handler
        server.request_handler = self._handle
        self._server = await asyncio.get_running_loop().create_server(
            lambda: ConnectionGuard(self, server()),
            sock=_bound_socket(self._host, self._port),
            backlog=self._backlog,
        )
        self._sweep()

    async def stop(self) -> None:
        """Stop listening."""
        if self._sweep_timer is not None:
            self._sweep_timer.cancel()
        await super().stop()

    def problem_bytes(self, reason: Reason) -> bytes:
        """Return a complete response that ends the connection."""
        response = self._problem(reason)
        assert isinstance(response.body, bytes)
        lines = [f"HTTP/1.1 {response.status} {response.reason}", "Connection: close"]
        lines += [f"{name}: {value}" for name, value in response.headers.items()]
        lines.append(f"Content-Length: {len(response.body)}")
        return "\r\n".join(lines).encode() + HEAD_END + response.body

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        conn_guard = self.by_protocol.get(request.protocol)
        if conn_guard is None:
            # The connection has been closed before its request was handled; nothing can be written.
            return web.Response(status=Reason.MEMORY.status)
        conn_guard.begin(request)
        response: web.StreamResponse | None = None
        if conn_guard.conn not in self.guard.open:
            # Refused as its body began; the response has been written.
            return web.Response(status=Reason.MEMORY.status)
        try:
            encoding = request.headers.get(hdrs.CONTENT_ENCODING, "")
            if encoding.lower() in PLAIN_ENCODINGS:
                response = await self._handler(request)
            else:
                self.guard.refusal_log.count(Reason.ENCODING)
                response = self._problem(Reason.ENCODING)
            return response
        finally:
            conn_guard.end(response)

    def _sweep(self) -> None:
        """Close connections that keep the process waiting, and log what was counted."""
        loop = asyncio.get_running_loop()
        waited_before = loop.time() - self.guard.limits.receive_timeout_s
        for conn in self.connections.overdue(waited_before):
            if not conn.blocked:
                self.guard.refuse(conn, Reason.TIMEOUT)
            elif self.guard.open[conn].has_read():
                conn.waited_since = loop.time()
            else:
                self.guard.refuse(conn, Reason.RESPONSE_UNREAD)
        for conn in self.connections.flooding(self.guard.limits.empty_line_bytes):
            self.guard.refuse(conn, Reason.EMPTY_LINES)
        self.guard.refusal_log.flush()
        self._sweep_timer = loop.call_later(SWEEP_INTERVAL_S, self._sweep)


class ConnectionGuard(asyncio.BufferedProtocol):
    """Passes what a client sends on to the HTTP library, within the limits.

    :ivar conn: state on which decisions are made.
    """

    conn: Connection
    _site: GuardedSite
    _guard: HttpGuard
    _protocol: web.RequestHandler
    _transport: asyncio.Transport | None
    _request_bytes: int
    _head_ends: int
    _lines_ahead: int
    _head_tail: bytes
    _head_complete: bool
    _waits_for_more: bool
    _content: StreamReader | None
    _request: web.BaseRequest | None
    _chunked: bool
    _response: web.StreamResponse | None
    _unsent_bytes: int

    def __init__(self, site: GuardedSite, protocol: web.RequestHandler) -> None:
        self.conn = Connection()
        self._site = site
        self._guard = site.guard
        self._protocol = protocol
        self._transport = None
        self._response = None
        self._unsent_bytes = 0
        self._lines_ahead = 0
        self._start_request()

    # Events of the socket.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Admit the connection, or close it."""
        assert isinstance(transport, asyncio.Transport)
        victim = self._site.connections.accept(self.conn)
        if victim is self.conn:
            self._guard.refusal_log.count(Reason.CONNECTIONS)
            transport.abort()
            return
        self._transport = transport
        self._guard.open[self.conn] = self
        self._site.by_protocol[self._protocol] = self
        self._protocol.connection_made(transport)
        if victim is not None:
            self._guard.refuse(victim, Reason.CONNECTIONS)

    def connection_lost(self, exc: Exception | None) -> None:
        """Forget the connection."""
        if self._transport is not None:
            self._forget()
            self._transport = None
            self._protocol.connection_lost(exc)

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer for the next read."""
        return _RECEIVE_BUFFER

    def buffer_updated(self, nbytes: int) -> None:
        """Pass received bytes on if the budget admits them."""
        if self.conn not in self._guard.open:
            return
        data = bytes(_RECEIVE_BUFFER[:nbytes])
        if self.conn.phase in (Phase.IDLE, Phase.ANSWERING):
            self._begin_receiving(data)
        if self._admit(data):
            self._protocol.data_received(data)

    def eof_received(self) -> None:
        """Let the transport close the connection."""

    def pause_writing(self) -> None:
        """The client lets a response wait."""
        conn = self.conn
        conn.blocked = True
        conn.waited_since = now()
        self._site.connections.set_idle(conn, False)
        self._unsent_bytes = self._count_unsent()
        self._protocol.pause_writing()
        if conn in self._guard.open:
            self._charge()

    def resume_writing(self) -> None:
        """The client has read a response."""
        self.conn.blocked = False
        self._protocol.resume_writing()
        if self.conn in self._guard.open:
            self._set_phase(self.conn.phase)
            self._charge()

    def has_read(self) -> bool:
        """Whether the client has read more of a response since the last call."""
        unsent, before = self._count_unsent(), self._unsent_bytes
        self._unsent_bytes = unsent
        return unsent < before

    def _count_unsent(self) -> int:
        return self._transport.get_write_buffer_size() if self._transport else 0

    # Received bytes.

    def _begin_receiving(self, data: bytes) -> None:
        """Take the first bytes after a request into account.

        Empty lines begin no request, but they can belong to one that was sent ahead, and that only
        the library has seen yet.
        """
        conn = self.conn
        if data[0] in LINE_ENDS and not data.strip(LINE_ENDS):
            conn.empty_line_bytes += len(data)
            flooding = conn.empty_line_bytes > self._guard.limits.empty_line_bytes
            conn.pipelining |= flooding and conn.phase is Phase.ANSWERING
            return
        conn.empty_line_bytes = 0
        if conn.phase is Phase.IDLE:
            self._start_request()
            self._set_phase(Phase.RECEIVING)
        else:
            conn.pipelining = True

    def _start_request(self) -> None:
        self._request_bytes = 0
        self._head_ends = 0
        self._head_tail = b""
        self._head_complete = False
        self._waits_for_more = False
        self._content = None
        self._request = None
        self._chunked = False

    def _admit(self, data: bytes) -> bool:
        """Charge received bytes, and return whether the connection stays open."""
        self._request_bytes += len(data)
        self._head_ends += data.count(HEAD_END)
        if self._head_ends > MAX_HEAD_ENDS:
            self.conn.pipelining = True
        if self.conn.pipelining:
            self._lines_ahead += data.count(b"\n")
        if self.conn.phase is Phase.RECEIVING and not self._head_complete:
            self._head_complete = self._ends_head(data)
            self._waits_for_more = not self._head_complete
            size = self._request_bytes
            if not self._head_complete and size > self._guard.limits.head_bytes:
                self._guard.refuse(self.conn, Reason.HEAD)
                return False
        return self._charge(len(data), self.conn.advance(len(data)))

    def _ends_head(self, data: bytes) -> bool:
        """Whether the head is complete with these bytes."""
        # Empty lines before the request are no end.
        data = self._head_tail + data if self._head_tail else data.lstrip(LINE_ENDS)
        if HEAD_END in data:
            return True
        self._head_tail = data[1 - len(HEAD_END) :]
        return False

    def _charge(self, arrived: int = 0, progress: bool = False) -> bool:
        """Charge what the connection costs, and return whether it stays open.

        :param arrived: received bytes that the library has not parsed.
        """
        return self._guard.charge(self._site.budget, self.conn, self._cost(arrived), progress)

    def _cost(self, arrived: int) -> int:
        conn = self.conn
        cost = PIPELINED_BYTES if conn.pipelining else 0
        cost += BYTES_OF_LINE_AHEAD * self._lines_ahead
        cost += BLOCKED_BYTES if conn.blocked else 0
        if conn.phase is Phase.IDLE:
            return cost
        cost += ACTIVE_BYTES
        if self._waits_for_more:
            cost += INCOMPLETE_BYTES + (CHUNKED_BYTES if self._chunked else 0)
        if conn.phase is Phase.DISCARDING:
            return cost
        if self._chunked and self._content is not None:
            return cost + int(COST_OF_BYTE * (self._content.total_bytes + arrived))
        return cost + int(COST_OF_BYTE * self._request_bytes)

    # Requests.

    def begin(self, request: web.BaseRequest) -> None:
        """A handler is about to handle a request."""
        if self.conn.phase is Phase.IDLE:
            # The request was sent ahead.
            self._start_request()
        self.conn.empty_line_bytes = 0
        self._head_complete = True
        self._response = None
        self._content = request.content
        self._request = request
        if request.content.is_eof():
            self._complete()
            return
        self._waits_for_more = True
        self._chunked = hdrs.TRANSFER_ENCODING in request.headers
        self._set_phase(Phase.RECEIVING)
        self._charge()
        request.content.on_eof(self._complete)

    def end(self, response: web.StreamResponse | None) -> None:
        """A handler has ended; ``response`` is ``None`` if it failed."""
        self._response = response
        if self._content is None or self._content.is_eof():
            self._finish()
        else:
            self._set_phase(Phase.DISCARDING)
            self._charge()

    def _complete(self) -> None:
        """A request is complete."""
        self._waits_for_more = False
        if self.conn.phase is Phase.DISCARDING:
            self._finish()
        else:
            self._set_phase(Phase.ANSWERING)
            self._charge()

    def _finish(self) -> None:
        """A request is complete and answered."""
        if self._request is not None:
            self._lines_ahead = max(0, self._lines_ahead - len(self._request.headers) - 2)
        self._start_request()
        self._set_phase(Phase.IDLE)
        if self.conn.pipelining or self.conn.blocked:
            self._charge()
        else:
            self._site.budget.release(self.conn)

    def _set_phase(self, phase: Phase) -> None:
        conn = self.conn
        if phase is not Phase.RECEIVING:
            if not conn.blocked:
                conn.waited_since = None
        elif conn.phase is not Phase.RECEIVING:
            conn.waited_since = now()
        conn.phase = phase
        self._site.connections.set_idle(conn, phase is Phase.IDLE and not conn.blocked)

    # Closing.

    def refuse(self, reason: Reason) -> None:
        """Close the connection, with a response if the client waits for one."""
        self._forget()
        transport = self._transport
        if transport is None:
            return
        unanswered = self._response is None or self._response.prepared
        waiting = self.conn.phase in (Phase.IDLE, Phase.RECEIVING)
        respond = reason.status and waiting and unanswered and not self.conn.blocked
        if respond:
            transport.write(self._site.problem_bytes(reason))
        if self.conn.blocked or (respond and self._count_unsent()):
            transport.abort()
        self._protocol.force_close()
        # The library refers to parsed requests until a garbage collection.
        self._protocol._messages.clear()

    def _forget(self) -> None:
        """Stop counting the connection; requests of it that are unhandled are not handled."""
        self._site.connections.remove(self.conn)
        self._site.by_protocol.pop(self._protocol, None)
        self._guard.open.pop(self.conn, None)


def _bound_socket(host: str, port: int) -> socket.socket:
    sock = socket.socket(socket.AF_INET6 if ":" in host else socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    with contextlib.suppress(OSError):
        # Accepted sockets inherit the size; the kernel otherwise enlarges it up to several MiB.
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    try:
        sock.bind((host, port))
    except OSError:
        sock.close()
        raise
    return sock
