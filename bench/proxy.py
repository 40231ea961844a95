"""A TCP proxy in the test process that injects network faults between two processes.

Each accepted connection is a :class:`_Pipe` with two directions.  Faults of existing connections do
not affect later ones, as with a middlebox that has lost its connection table.
"""

import asyncio
import contextlib
from typing import Final

CHUNK: Final = 65_536


class _Pipe:
    """A proxied connection.

    :ivar blackholed: whether data in both directions is dropped while the connection stays open.
    :ivar half_open: whether the server has lost the connection without the client's knowledge.
    :ivar sent_in_vain: whether the client has sent data since.
    """

    def __init__(self, client: asyncio.StreamWriter, server: asyncio.StreamWriter) -> None:
        self.writers = {"up": server, "down": client}
        self.blackholed = False
        self.half_open = False
        self.sent_in_vain = False

    def cut(self) -> None:
        for writer in self.writers.values():
            writer.transport.abort()


class Proxy:
    """Listens on :attr:`port` and forwards connections to the given address.

    :ivar delay_s: delay of each chunk.
    :ivar refusing: whether new connections are reset after they have been accepted; see
        :meth:`close_port` for connections that the system refuses.
    :ivar flowing: set for each direction that is not stalled.
    :ivar forwarded_bytes: number of bytes forwarded in each direction.
    """

    port: int
    delay_s: float
    refusing: bool
    flowing: dict[str, asyncio.Event]
    forwarded_bytes: dict[str, int]

    def __init__(self, target_port: int, host: str) -> None:
        self.delay_s = 0.0
        self.refusing = False
        self.flowing = {"up": asyncio.Event(), "down": asyncio.Event()}
        self.thaw()
        self.forwarded_bytes = {"up": 0, "down": 0}
        self._target = (host, target_port)
        self._pipes: set[_Pipe] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._server: asyncio.Server | None = None
        self._server_up = asyncio.Event()
        self._server_up.set()

    @classmethod
    async def start(cls, target_port: int, host: str = "127.0.0.1") -> "Proxy":
        """Listen on a free port in front of ``target_port``."""
        proxy = cls(target_port, host)
        proxy._server = await asyncio.start_server(proxy._accept, host, 0)
        proxy.port = int(proxy._server.sockets[0].getsockname()[1])
        return proxy

    def close_port(self) -> None:
        """Reset all connections, and let the system refuse new ones until :meth:`open_port`."""
        if self._server is not None:
            self._server.close()
            self._server = None
        self.cut()

    async def open_port(self) -> None:
        """Accept connections again after :meth:`close_port`."""
        self._server = await asyncio.start_server(self._accept, self._target[0], self.port)

    async def stop(self) -> None:
        """Reset all connections and stop listening."""
        self.close_port()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def cut(self) -> None:
        """Reset every open connection."""
        for pipe in list(self._pipes):
            pipe.cut()

    def blackhole_existing(self) -> None:
        """Drop all further data of open connections; new ones are not affected."""
        for pipe in self._pipes:
            pipe.blackholed = True

    def lose_server(self) -> None:
        """Behave as if the server's machine had lost its power, until :meth:`regain_server`.

        Nothing is answered or reset meanwhile, and new connections wait.
        """
        self._server_up.clear()
        for pipe in self._pipes:
            pipe.blackholed = pipe.half_open = True

    def regain_server(self) -> None:
        """Connect the waiting connections to the server, which resets what it does not know.

        Lost connections on which the client sends nothing stay open.
        """
        self._server_up.set()
        for pipe in list(self._pipes):
            if pipe.sent_in_vain:
                pipe.cut()

    def freeze(self, direction: str) -> None:
        """Stall the direction ``up`` (to the server) or ``down`` until :meth:`thaw`."""
        self.flowing[direction].clear()

    def thaw(self) -> None:
        """Forward data again, including that received while stalled."""
        for flowing in self.flowing.values():
            flowing.set()

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            if self.refusing:
                raise ConnectionRefusedError
            await self._server_up.wait()
            up_reader, up_writer = await asyncio.open_connection(*self._target)
        except OSError:
            writer.transport.abort()
            return
        pipe = _Pipe(writer, up_writer)
        self._pipes.add(pipe)
        directions = [("up", reader), ("down", up_reader)]
        tasks = [
            asyncio.create_task(self._pump(pipe, direction, source))
            for direction, source in directions
        ]
        self._tasks.update(tasks)
        try:
            await asyncio.wait(tasks)
        finally:
            self._tasks.difference_update(tasks)
            self._pipes.discard(pipe)
            pipe.cut()

    async def _pump(self, pipe: _Pipe, direction: str, source: asyncio.StreamReader) -> None:
        writer = pipe.writers[direction]
        with contextlib.suppress(OSError):
            while data := await source.read(CHUNK):
                await self.flowing[direction].wait()
                if self.delay_s:
                    await asyncio.sleep(self.delay_s)
                if pipe.half_open and direction == "up":
                    pipe.sent_in_vain = True
                    if self._server_up.is_set():
                        pipe.cut()
                if not pipe.blackholed:
                    writer.write(data)
                    self.forwarded_bytes[direction] += len(data)
                    await writer.drain()
            # A blackholed connection does not propagate a close either.
            if not pipe.blackholed:
                writer.write_eof()
