"""Processes under test, port allocation and polling for conditions."""

import asyncio
import contextlib
import itertools
import os
import signal
import socket
import sys
from asyncio.subprocess import Process
from collections.abc import Awaitable, Callable
from pathlib import Path
from time import monotonic
from typing import Any, Final, TypeVar

T = TypeVar("T")
POLL_INTERVAL_S: Final = 0.03
START_TIMEOUT_S: Final = 20.0


# Below the range of ephemeral ports.
PORT_CANDIDATES: Final = itertools.cycle(range(12_000, 31_000))
_reserved_sockets: Final[list[socket.socket]] = []


def free_port() -> int:
    """Return a TCP port that no other test process uses.

    The UDP port of the same number stays bound until this process ends, which reserves the TCP port
    against concurrent test processes until the started process binds it.
    """
    for port in PORT_CANDIDATES:
        held = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        with socket.socket() as probe:
            try:
                held.bind(("127.0.0.1", port))
                probe.bind(("127.0.0.1", port))
            except OSError:
                held.close()
                continue
        _reserved_sockets.append(held)
        return port
    raise AssertionError("unreachable: the ports repeat")


async def wait_until(
    what: str, condition: Callable[[], Awaitable[T | None]], timeout_s: float = START_TIMEOUT_S
) -> T:
    """Poll ``condition`` until it returns a true value, and return that.

    :raises AssertionError: after ``timeout_s``.
    """
    deadline = monotonic() + timeout_s
    while not (found := await condition()):
        if monotonic() > deadline:
            raise AssertionError(f"timed out after {timeout_s} s: {what}")
        await asyncio.sleep(POLL_INTERVAL_S)
    return found


class Proc:
    """A child process whose output is appended to a log file."""

    name: str
    log: Path
    _proc: Process

    def __init__(self, name: str, log: Path, proc: Process) -> None:
        self.name = name
        self.log = log
        self._proc = proc

    @classmethod
    async def spawn(
        cls, name: str, folder: Path, *args: str, env: dict[str, str] | None = None
    ) -> "Proc":
        """Start ``python -m`` with ``args`` and append its output to ``name.log``.

        :param env: environment variables in addition to those of this process.
        """
        log = folder / f"{name}.log"
        with log.open("ab") as out:
            proc = await asyncio.create_subprocess_exec(
                sys.executable, "-m", *args, stdout=out, stderr=out, env=os.environ | (env or {})
            )
        return cls(name, log, proc)

    @property
    def pid(self) -> int:
        """Process id."""
        return self._proc.pid

    @property
    def running(self) -> bool:
        """Whether the process has not exited."""
        return self._proc.returncode is None

    @property
    def code(self) -> int | None:
        """Exit code, or ``None`` while the process runs."""
        return self._proc.returncode

    def send(self, signum: signal.Signals) -> None:
        """Send a signal."""
        with contextlib.suppress(ProcessLookupError):
            self._proc.send_signal(signum)

    def pause(self) -> None:
        """Suspend the process by SIGSTOP."""
        self.send(signal.SIGSTOP)

    def resume(self) -> None:
        """Resume the process by SIGCONT."""
        self.send(signal.SIGCONT)

    async def kill(self) -> None:
        """Kill the process and wait for its exit."""
        self.send(signal.SIGKILL)
        await self._proc.wait()

    async def stop(self, timeout_s: float = 10.0) -> int:
        """Stop the process by SIGTERM, or by SIGKILL after the timeout; return the exit code."""
        self.send(signal.SIGCONT)
        self.send(signal.SIGTERM)
        with contextlib.suppress(TimeoutError):
            return await asyncio.wait_for(self._proc.wait(), timeout_s)
        await self.kill()
        return -9

    async def wait_for_line(self, start: str) -> str:
        """Wait for a line that begins with ``start`` and return it."""

        async def find() -> str | None:
            if not self.running:
                raise AssertionError(f"{self.name} ended: {self.tail()}")
            lines = self.log.read_text().splitlines()
            return next((line for line in lines if line.startswith(start)), None)

        return await wait_until(f"{self.name} prints {start!r}", find)

    def last_line(self, part: str) -> str:
        """Return the last line of the log that contains ``part``, or an empty string."""
        lines = reversed(self.log.read_text().splitlines())
        return next((line for line in lines if part in line), "")

    def tail(self, lines: int = 25) -> str:
        """Return the last lines of the log."""
        return "\n".join(self.log.read_text().splitlines()[-lines:])


def to_toml(table: dict[str, Any]) -> str:
    """Encode a nested dictionary as TOML with inline tables."""
    return "\n".join(f"{key} = {_toml_value(value)}" for key, value in table.items()) + "\n"


def _toml_value(value: Any) -> str:
    if isinstance(value, dict):
        return "{" + ", ".join(f"{k} = {_toml_value(v)}" for k, v in value.items()) + "}"
    if isinstance(value, list):
        return "[" + ", ".join(map(_toml_value, value)) + "]"
    if isinstance(value, bool):
        return str(value).lower()
    return f'"{value}"' if isinstance(value, str) else str(value)
