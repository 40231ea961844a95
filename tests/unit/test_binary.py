"""The zipapp runs as a single process without children and stops on SIGTERM."""

import zipapp
from pathlib import Path

from bench.check_binary import measure

PACKAGE = Path(__file__).parents[2] / "sapphirelead"


async def test_zipapp_runs_as_single_process(tmp_path: Path) -> None:
    """Guards against a parent loader process, which would receive SIGTERM instead of the entry."""
    source = tmp_path / "source"
    for module in PACKAGE.rglob("*.py"):
        copy = source / "sapphirelead" / module.relative_to(PACKAGE)
        copy.parent.mkdir(parents=True, exist_ok=True)
        copy.write_bytes(module.read_bytes())
    file = tmp_path / "sapphirelead.pyz"
    zipapp.create_archive(source, file, "/usr/bin/env python3.11", "sapphirelead.main:run")
    start = await measure(file, tmp_path)
    assert (start.max_children, start.same_process, start.exit_code) == (0, True, 0)
