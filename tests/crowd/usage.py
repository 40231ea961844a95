"""Measures what a process holds: memory, with the bytes that it has not read yet, and sockets."""

import asyncio
import contextlib
import socket
import struct
from collections.abc import AsyncIterator
from dataclasses import dataclass
from pathlib import Path
from typing import Final

import psutil

from bench.procs import Proc

SAMPLE_INTERVAL_S: Final = 0.02
MEBIBYTE: Final = 1_048_576
SOCKETS_AND_PIPES: Final = ("socket:", "pipe:")


@dataclass
class Usage:
    """The highest values seen.

    :ivar memory_mb: resident memory and received bytes that are still unread, together.
    :ivar sockets: open sockets and pipes.
    """

    memory_mb: float = 0.0
    sockets: int = 0

    def add(self, memory_mb: float, sockets: int) -> None:
        """Take a sample into account."""
        self.memory_mb = max(self.memory_mb, memory_mb)
        self.sockets = max(self.sockets, sockets)


@contextlib.asynccontextmanager
async def measured(proc: Proc, host: str, port: int) -> AsyncIterator[Usage]:
    """Measure a process within the context.

    :param host: address of the listening socket whose unread bytes count.
    """
    usage = Usage()
    sampling = asyncio.create_task(_sample(usage, proc, host, port))
    try:
        yield usage
    finally:
        sampling.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await sampling


async def _sample(usage: Usage, proc: Proc, host: str, port: int) -> None:
    process = psutil.Process(proc.pid)
    while proc.running:
        with contextlib.suppress(psutil.NoSuchProcess):
            held = process.memory_info().rss + _unread_bytes(host, port)
            usage.add(held / MEBIBYTE, _count_sockets(proc.pid))
        await asyncio.sleep(SAMPLE_INTERVAL_S)


def _unread_bytes(host: str, port: int) -> int:
    """Return the bytes in the receive buffers of the connections to an address."""
    (address,) = struct.unpack("=I", socket.inet_aton(host))
    local = f"{address:08X}:{port:04X}"
    rows = (line.split() for line in Path("/proc/net/tcp").read_text().splitlines()[1:])
    listening = "0A"
    return sum(
        int(row[4].rpartition(":")[2], 16)
        for row in rows
        if row[1] == local and row[3] != listening
    )


def _count_sockets(pid: int) -> int:
    count = 0
    with contextlib.suppress(OSError):
        for entry in Path(f"/proc/{pid}/fd").iterdir():
            with contextlib.suppress(OSError):
                count += str(entry.readlink()).startswith(SOCKETS_AND_PIPES)
    return count
