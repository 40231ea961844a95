"""The program that the users' platform starts, as a process."""

import asyncio
import os
import signal
from pathlib import Path

from bench.procs import Proc, wait_until
from sapphirelead.platform.main import EXIT_SETTINGS


async def test_sighup_during_startup_does_not_terminate_the_process(tmp_path: Path) -> None:
    """A node is gone, with no line in its log, after a change of the settings files.

    The signal that says so came while the process was still starting: its libraries take a part of
    a second to load, more on a slow machine.  Until a handler stands the signal ends a process.
    Here the start is held up where it reads its settings, which come through a pipe.
    """
    pipe = tmp_path / "node.toml"
    os.mkfifo(pipe)
    variables = {"SAPPHIRELEAD_NODE_FILE": str(pipe)}
    proc = await Proc.spawn("node", tmp_path, "sapphirelead.platform", env=variables)
    writer = await asyncio.to_thread(pipe.open, "w")
    proc.send(signal.SIGHUP)
    writer.close()

    async def ended() -> bool:
        return not proc.running

    await wait_until("the process refuses empty settings", ended)
    assert proc.code == EXIT_SETTINGS, proc.tail()
