"""One file starts as one process, without children, and ends when it is told to."""

import zipapp
from pathlib import Path

from bench.check_binary import measure

PACKAGE = Path(__file__).parents[2] / "sapphirelead"


async def test_one_file_is_one_process(tmp_path: Path) -> None:
    """The platform starts the file, counts processes, and stops it with SIGTERM.

    A loader that stays as a parent would take the signal, and the entry would be killed with
    requests in progress.
    """
    source = tmp_path / "source"
    for module in PACKAGE.rglob("*.py"):
        copy = source / "sapphirelead" / module.relative_to(PACKAGE)
        copy.parent.mkdir(parents=True, exist_ok=True)
        copy.write_bytes(module.read_bytes())
    file = tmp_path / "sapphirelead.pyz"
    zipapp.create_archive(source, file, "/usr/bin/env python3.11", "sapphirelead.main:run")
    start = await measure(file, tmp_path)
    assert (start.max_children, start.same_process, start.exit_code) == (0, True, 0)
