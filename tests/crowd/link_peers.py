"""An entry process with lowered limits, and peers that speak ZMTP to its hub as they like."""

import asyncio
import contextlib
import itertools
import struct
from collections.abc import AsyncIterator
from pathlib import Path
from typing import Any, Final

import aiohttp
import psutil

from bench.platform_site import FRONT_PORT, LINK_PORT, Node, Site
from bench.procs import to_toml, wait_until
from sapphirelead.node_codec import encode_node
from sapphirelead.node_messages import AnyNodeMessage, LeaderQuery

MEMORY_MB: Final = 150
MAX_FDS: Final = 400
RESERVED_FDS: Final = 200
"""Descriptors of ``max_fds`` that are not for sockets."""

HOST: Final = "jobs.example"
GREETING: Final = b"\xff" + bytes(8) + b"\x7f\x03\x00" + b"NULL".ljust(20, b"\0") + bytes(32)
MORE: Final = 0x01
LONG: Final = 0x02
COMMAND: Final = 0x04
WRITE_TIMEOUT_S: Final = 10.0

_numbers: Final = itertools.count(1)
_open_peers: Final[set["Peer"]] = set()


def frame(body: bytes, flags: int = 0) -> bytes:
    """Return a ZMTP frame."""
    return frame_header(len(body), flags) + body


def frame_header(size: int, flags: int = 0) -> bytes:
    """Return the header of a ZMTP frame whose body has ``size`` bytes."""
    if size > 255:
        return struct.pack(">BQ", flags | LONG, size)
    return struct.pack(">BB", flags, size)


def ready(identity: bytes) -> bytes:
    """Return the command that ends the handshake of a dealer."""
    fields = {b"Socket-Type": b"DEALER", b"Identity": identity}
    body = b"\x05READY"
    for name, value in fields.items():
        body += struct.pack(">B", len(name)) + name + struct.pack(">I", len(value)) + value
    return frame(body, COMMAND)


class Peer:
    """A connection to a hub; it reads nothing of its own accord.

    It stays open until :meth:`close`, also if nothing else refers to it.
    """

    _reader: asyncio.StreamReader
    _writer: asyncio.StreamWriter

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._reader = reader
        self._writer = writer
        _open_peers.add(self)

    @classmethod
    async def connect(cls, host: str, handshake: bool = True) -> "Peer":
        """Connect to the hub, under an identity of its own if there is a handshake."""
        peer = cls(*await asyncio.open_connection(host, LINK_PORT, limit=1 << 16))
        if handshake:
            await peer._shake_hands(f"peer/{next(_numbers)}".encode())
        return peer

    async def _shake_hands(self, identity: bytes) -> None:
        async with asyncio.timeout(WRITE_TIMEOUT_S):
            await self.send(GREETING)
            await self._reader.readexactly(len(GREETING))
            await self.send(ready(identity))
            header = await self._reader.readexactly(2)
            await self._reader.readexactly(header[1])

    async def send(self, data: bytes) -> bool:
        """Write; return whether the hub still takes bytes."""
        try:
            async with asyncio.timeout(WRITE_TIMEOUT_S):
                self._writer.write(data)
                await self._writer.drain()
        except (OSError, TimeoutError):
            return False
        return True

    async def receive(self) -> bytes:
        """Wait for bytes; empty if the hub has closed the connection."""
        try:
            return await self._reader.read(1 << 16)
        except OSError:
            return b""

    def close(self) -> None:
        """Reset the connection."""
        _open_peers.discard(self)
        self._writer.transport.abort()


class CrowdSite(Site):
    """A site whose nodes are told the limits of this module."""

    def _write_settings(self, name: str, host: str, store: str) -> None:
        super()._write_settings(name, host, store)
        path = self.folder / f"{name}.toml"
        limits: dict[str, Any] = {"limits": {"memory_mb": MEMORY_MB, "max_fds": MAX_FDS}}
        path.write_text(path.read_text() + to_toml(limits))


@contextlib.asynccontextmanager
async def running_entry(folder: Path, routes: int = 1) -> AsyncIterator[Node]:
    """Run an entry that leads, with its store, and serves ``routes`` queues.

    Peers that are still connected at the end are disconnected.
    """
    async with CrowdSite.running(folder, entries=1, agents=0) as site:
        await site.publish({"version": 2, "routes": [route(number) for number in range(routes)]})
        entry = site.entries[0]
        await wait_until("the entry answers a caller", lambda: answers_caller(entry))
        try:
            yield entry
        finally:
            for peer in list(_open_peers):
                peer.close()


def route(number: int) -> dict[str, Any]:
    """Return a route of the configuration; the first one serves :data:`HOST`."""
    host = f"r{number}.{HOST}" if number else HOST
    return {"name": f"q{number}", "host": host, "prefix": "/", "service": "s"}


async def answers_caller(entry: Node) -> bool:
    """Whether the entry accepts a job."""
    url = f"http://{entry.host}:{FRONT_PORT}/{next(_numbers):016x}"
    body = {"spec": "", "steps": [{"count": 1}]}
    with contextlib.suppress(aiohttp.ClientError, TimeoutError):
        timeout = aiohttp.ClientTimeout(total=5)
        async with (
            aiohttp.ClientSession(headers={"Host": HOST}, timeout=timeout) as http,
            http.post(url, json=body) as response,
        ):
            return response.status == 200
    return False


async def answers_peer(entry: Node) -> bool:
    """Whether the entry's hub answers a message of an ordinary peer."""
    try:
        peer = await Peer.connect(entry.host)
    except OSError:
        return False
    try:
        await peer.send(frame(encode(LeaderQuery("a1"))))
        async with asyncio.timeout(5):
            found = b""
            while b"Leads" not in found:
                found += await peer.receive() or b"Leads closed"
            return b"closed" not in found
    except (OSError, TimeoutError):
        return False
    finally:
        peer.close()


def encode(message: AnyNodeMessage) -> bytes:
    """Return a message between nodes as bytes."""
    return encode_node(message)


def peak_mb(entry: Node) -> float:
    """Return the largest resident size of the process so far."""
    status = Path(f"/proc/{entry.proc.pid}/status").read_text()
    line = next(line for line in status.splitlines() if line.startswith("VmHWM"))
    return int(line.split()[1]) / 1024


def open_fds(entry: Node) -> int:
    """Return the number of descriptors that the process has open."""
    return psutil.Process(entry.proc.pid).num_fds()


async def check_unharmed(entry: Node, sampled_fds: int = 0) -> None:
    """Check that the entry lives within its limits, and serves a caller and a peer."""

    async def serves() -> bool:
        assert entry.proc.running, entry.proc.tail()
        return await answers_peer(entry) and await answers_caller(entry)

    await wait_until("the entry answers a peer and a caller", serves)
    peak, fds = peak_mb(entry), max(sampled_fds, open_fds(entry))
    assert peak < MEMORY_MB, f"{peak:.0f} MB at most, {MEMORY_MB} MB allowed"
    assert fds < MAX_FDS - RESERVED_FDS, f"{fds} descriptors"
