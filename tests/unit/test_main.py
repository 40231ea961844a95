"""Command line: parsing, exit codes and error messages."""

import asyncio
from pathlib import Path

import pytest

from sapphirelead.dev import run_dev
from sapphirelead.main import run_with
from sapphirelead.options import Options


@pytest.mark.parametrize(
    ("line", "code", "printed"),
    [
        ("", 2, "Usage:"),
        ("jobs", 2, "sapphirelead --help"),
        ("config check", 2, "Usage:"),
        ("jobs list --limit=many", 2, "--limit wants a whole number, not 'many'"),
        ("standin table --settings=x", 2, "--settings wants JSON"),
        ("entry --config=none.toml", 1, "cannot read none.toml"),
        ("agent --config=none.toml", 1, "cannot read none.toml"),
        ("runner --config=none.toml", 1, "cannot read none.toml"),
        ("queues submit nightly a1", 2, "Usage:"),
        ("queues submit nightly a1 none.json", 1, "cannot read none.json"),
        ("config check none.toml", 1, "cannot read none.toml"),
        ("config check {bad}", 1, "bad.toml:3: rule 'b': rules.1: can never decide"),
        ("config check {bad} --json", 1, '"line": 3'),
        ("rules check {good}", 0, "ok, 0 services, 1 rules"),
        ("config check {good} --json", 0, '"ok": true'),
        ("config reference", 0, "| `lease.lease_seconds` |"),
        ("keys new {dir}/keys", 0, "entry.keys"),
        ("keys new {good}", 1, "cannot write keys"),
    ],
)
def test_command_line(
    tmp_path: Path, capsys: pytest.CaptureFixture[str], line: str, code: int, printed: str
) -> None:
    good, bad = tmp_path / "good.toml", tmp_path / "bad.toml"
    good.write_text('[[rules]]\nname = "a"\n')
    bad.write_text('[[rules]]\nname = "a"\n[[rules]]\nname = "b"\n')
    argv = line.format(good=good, bad=bad, dir=tmp_path).split()
    assert run_with(argv) == code
    out, err = capsys.readouterr()
    assert printed in out + err


async def test_worked_example_passes(capsys: pytest.CaptureFixture[str]) -> None:
    assert await run_dev(Options(("dev",), once=True)) == 0
    assert "NOT AS PROMISED" not in capsys.readouterr().out


async def test_used_port_is_reported(capsys: pytest.CaptureFixture[str]) -> None:
    """The HTTP port is already in use by another process."""
    async with asyncio.timeout(60):
        server = await asyncio.start_server(lambda _r, _w: None, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        assert await run_dev(Options(("dev",), once=True, port=port)) == 1
        server.close()
    assert "give another --port" in capsys.readouterr().out
