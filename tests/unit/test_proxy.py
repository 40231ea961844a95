"""The fault proxy of process tests."""

import asyncio
import contextlib

from bench.proxy import Proxy

HOST = "127.0.0.1"


class EchoServer:
    """A server that sends back what it receives, and may be restarted on its port."""

    def __init__(self) -> None:
        self.port = 0
        self._server: asyncio.Server | None = None
        self._writers: list[asyncio.StreamWriter] = []

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._echo, HOST, self.port)
        self.port = self._server.sockets[0].getsockname()[1]

    def crash(self) -> None:
        """Reset all connections and stop listening."""
        assert self._server is not None
        self._server.close()
        for writer in self._writers:
            writer.transport.abort()

    async def _echo(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.append(writer)
        while data := await reader.read(100):
            writer.write(data)


async def call(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bytes:
    writer.write(b"x")
    return await reader.read(100)


async def is_silent(reader: asyncio.StreamReader) -> bool:
    """Return whether a connection neither delivers anything nor ends."""
    try:
        await asyncio.wait_for(reader.read(100), 0.1)
    except TimeoutError:
        return True
    return False


async def has_ended(reader: asyncio.StreamReader) -> bool:
    """Return whether a connection ends without further data."""
    with contextlib.suppress(ConnectionResetError):
        return await reader.read(100) == b""
    return True


async def test_a_lost_server_is_silent_and_resets_what_it_does_not_know() -> None:
    """Guards against a crash in silence that clients notice at once because connections end."""
    server = EchoServer()
    await server.start()
    proxy = await Proxy.start(server.port)
    idle = await asyncio.open_connection(HOST, proxy.port)
    busy = await asyncio.open_connection(HOST, proxy.port)
    assert await call(*idle) == await call(*busy) == b"x"
    proxy.lose_server()
    server.crash()
    busy[1].write(b"x")
    fresh = await asyncio.open_connection(HOST, proxy.port)
    fresh[1].write(b"y")
    assert await is_silent(idle[0]) and await is_silent(busy[0]) and await is_silent(fresh[0])
    await server.start()
    proxy.regain_server()
    assert await fresh[0].read(100) == b"y"
    assert await has_ended(busy[0])
    assert await is_silent(idle[0])
    idle[1].write(b"x")
    assert await has_ended(idle[0])
    for _, writer in (idle, busy, fresh):
        writer.close()
    await proxy.stop()
    server.crash()
