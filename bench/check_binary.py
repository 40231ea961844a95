"""Checks that the packaged file runs as a single process, and measures its start-up.

Guards against a bundler whose loader stays as the parent process and receives SIGTERM instead of
the entry.  The file is started as an entry without a table, cold (nothing unpacked) and warm, and
its process tree is observed until it listens.

Usage: python -m bench.check_binary FILE
"""

import asyncio
import os
import signal
import sys
import tempfile
from dataclasses import dataclass
from pathlib import Path
from time import monotonic
from typing import Final

import psutil

START_TIMEOUT_S: Final = 60.0
POLL_INTERVAL_S: Final = 0.02
SETTLE_DELAY_S: Final = 1.0
MB: Final = 1_000_000

SETTINGS: Final = """
id = "packaged"
zone = "z1"
http_port = 0
control_port = 0
data_port = 0
bulk_port = 0
[platform]
table_url = "http://127.0.0.1:9"
"""


@dataclass(frozen=True, slots=True)
class Start:
    """Measurements of one start of the file.

    :ivar seconds: time until it listened.
    :ivar max_children: highest number of descendants observed.
    :ivar same_process: whether the process that listened is the one that was started.
    :ivar exit_code: exit code after SIGTERM.
    """

    seconds: float
    max_children: int
    same_process: bool
    memory_mb: float
    exit_code: int


async def measure(binary: Path, folder: Path) -> Start:
    """Start the file, wait until it listens, then stop it by SIGTERM."""
    settings = folder / "entry.toml"
    settings.write_text(SETTINGS)
    env = {**os.environ, "SHIV_ROOT": str(folder / "unpacked"), "HOME": str(folder)}
    command = [*_interpreter(binary), str(binary), "entry", "--config", str(settings)]
    started_at = monotonic()
    proc = await asyncio.create_subprocess_exec(
        *command, env=env, stderr=asyncio.subprocess.DEVNULL
    )
    watched = psutil.Process(proc.pid)
    max_seen = 0
    while not _listens(watched):
        max_seen = max(max_seen, len(watched.children(recursive=True)))
        if monotonic() - started_at > START_TIMEOUT_S or proc.returncode is not None:
            raise SystemExit(f"{binary} did not listen; exit code {proc.returncode}")
        await asyncio.sleep(POLL_INTERVAL_S)
    seconds = monotonic() - started_at
    await asyncio.sleep(SETTLE_DELAY_S)
    max_seen = max(max_seen, len(watched.children(recursive=True)))
    memory_mb = watched.memory_info().rss / MB
    same = any(conn.status == psutil.CONN_LISTEN for conn in watched.net_connections())
    proc.send_signal(signal.SIGTERM)
    code = await asyncio.wait_for(proc.wait(), START_TIMEOUT_S)
    return Start(seconds, max_seen, same, memory_mb, code)


def size_mb(path: Path) -> float:
    """Return the total size of a file or folder."""
    files = [path] if path.is_file() else [found for found in path.rglob("*") if found.is_file()]
    return sum(found.lstat().st_size for found in files) / MB


async def run(binary: Path) -> int:
    """Run the check, print its measurements and return the exit code."""
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        cold = await measure(binary, folder)
        warm = await measure(binary, folder)
        unpacked = size_mb(folder / "unpacked") if (folder / "unpacked").exists() else 0.0
    print(f"file                 {size_mb(binary):8.1f} MB")
    print(f"unpacked             {unpacked:8.1f} MB")
    print(f"start, cold          {cold.seconds:8.2f} s")
    print(f"start, warm          {warm.seconds:8.2f} s")
    print(f"memory once started  {warm.memory_mb:8.1f} MB")
    print(f"children, at most    {max(cold.max_children, warm.max_children):8d}")
    print(f"exit code of SIGTERM {warm.exit_code:8d}")
    kept = all(s.same_process and s.max_children == 0 and s.exit_code == 0 for s in (cold, warm))
    print("one process" if kept else "FAILED: not one process, or no clean end")
    return 0 if kept else 1


def _interpreter(binary: Path) -> list[str]:
    """Return the current interpreter for a zip file with a shebang line, nothing for others.

    The ``python3.11`` of the shebang line may be a wrapper script that starts further processes.
    """
    with binary.open("rb") as file:
        return [sys.executable] if file.read(2) == b"#!" else []


def _listens(watched: psutil.Process) -> bool:
    try:
        family = [watched, *watched.children(recursive=True)]
        conns = [conn for proc in family for conn in proc.net_connections()]
    except psutil.NoSuchProcess:
        return False
    # Three channels and the HTTP server, which is bound last.
    return sum(conn.status == psutil.CONN_LISTEN for conn in conns) >= 4


if __name__ == "__main__":
    raise SystemExit(asyncio.run(run(Path(sys.argv[1]).resolve())))
