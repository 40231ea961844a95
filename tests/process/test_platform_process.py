"""Tests of ``sapphirelead.platform`` as a process."""

import asyncio
import os
import signal
from pathlib import Path

from bench.procs import Proc, wait_until
from sapphirelead.platform.main import EXIT_SETTINGS


async def test_sighup_during_startup_does_not_terminate_the_process(tmp_path: Path) -> None:
    """Guards against SIGHUP ending a process that has not installed its signal handlers yet.

    The settings file is a pipe, which blocks the start until the signal has been sent.
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

    await wait_until("the process rejects empty settings", ended)
    assert proc.code == EXIT_SETTINGS, proc.tail()
