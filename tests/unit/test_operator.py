"""The operators' commands, run against an operator API with fake services."""

import asyncio
import json
from collections.abc import AsyncIterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, cast

import aiohttp
import pytest
from aiohttp import web
from aiohttp.test_utils import TestServer
from result import Err, Ok, Result

from sapphirelead.entry_admin import AdminPorts, admin_app_routes
from sapphirelead.entry_ports import (
    AuditRecord,
    ConfigService,
    InstanceView,
    JobService,
    Links,
    Members,
    MemberVersion,
    Stamp,
)
from sapphirelead.errors import Code, Failure
from sapphirelead.main import run_with
from sapphirelead.metrics import Metrics
from sapphirelead.model_config import Config, ConfigDocument
from sapphirelead.model_job import Job, JobSpec, Kind
from sapphirelead.model_resources import Resources
from sapphirelead.wire_messages import AnyMessage, Drain

TOKEN = "s3cret"
RULES = '[services.checks]\n[[rules]]\nname = "shed"\nwhen.load = { at_least = 0.9 }\n'


@dataclass
class FakeConfig:
    current: Config = field(default_factory=lambda: Config(4, ConfigDocument()))
    conflicting_version: int = 0
    store_up: bool = True

    async def apply(
        self, raw: Any, base_version: int, author: str, reason: str
    ) -> Result[Config, Failure]:
        if not self.store_up:
            return Err(Failure(Code.STORE_UNAVAILABLE, "the table is down", "apply again"))
        if self.conflicting_version:
            self.current = Config(self.conflicting_version, self.current.document)
            return Err(
                Failure(Code.CONFIG_CONFLICT, f"version {self.conflicting_version} is in force")
            )
        self.current = Config(base_version + 1, ConfigDocument.model_validate(raw))
        return Ok(self.current)

    async def history(self, after: int, limit: int) -> Result[list[AuditRecord], Failure]:
        return Ok([AuditRecord(4, 0, "asha", "storm", "config apply")][:limit])

    def status(self) -> list[MemberVersion]:
        return [MemberVersion("e1", "entry", "z1", self.current.version)]


class FakeJobs:
    async def list_jobs(self, ended: bool, after: str, limit: int) -> Result[list[Job], Failure]:
        spec = JobSpec("ended" if ended else "open", Kind.BATCH, "rollover", "kochi", Resources(1))
        return Ok([Job(spec)])


class FakeMembers:
    view = InstanceView(
        id="i1", incarnation="a", zone="z1", rack="r1", capacity=Resources(8), free=Resources(4),
        slots=8, slots_used=2, connections=64, connections_used=2, tasks=1,
        services=frozenset({"checks"}), draining=False, fenced=False, counter=1, heard_at=0.0,
        config_version=4,
    )  # fmt: skip

    def get(self, instance: str) -> InstanceView | None:
        return self.view if instance == "i1" else None

    def all(self) -> list[InstanceView]:
        return [self.view]

    live = all


@dataclass
class FakeLinks:
    sent: list[tuple[str, AnyMessage]] = field(default_factory=list)

    async def send(self, instance: str, channel: str, message: AnyMessage) -> bool:
        self.sent.append((instance, message))
        return True


@dataclass
class Shell:
    """Runs command lines against an entry's operator API."""

    url: str
    token_file: str
    config: FakeConfig
    links: FakeLinks

    async def run(self, line: str) -> int:
        argv = [*line.split(), f"--url={self.url}", f"--token-file={self.token_file}"]
        return await asyncio.to_thread(run_with, argv)


@pytest.fixture
async def shell(tmp_path: Path) -> AsyncIterator[Shell]:
    config, links = FakeConfig(), FakeLinks()
    ports = AdminPorts(
        stamp=Stamp("e1", "x"),
        zone="z1",
        token=TOKEN,
        jobs=cast(JobService, FakeJobs()),
        config=cast(ConfigService, config),
        members=cast(Members, FakeMembers()),
        links=cast(Links, links),
        metrics=Metrics(),
        zones=("z1",),
    )
    app = web.Application()
    app.add_routes(admin_app_routes(ports))
    (tmp_path / "token").write_text(TOKEN)
    (tmp_path / "wrong").write_text("guess-\N{SNOWMAN}")
    (tmp_path / "rules.toml").write_text(RULES)
    (tmp_path / "far.toml").write_text(RULES + 'then.zones = ["z9"]\n')
    async with TestServer(app) as server:
        yield Shell(str(server.make_url("/")), str(tmp_path / "token"), config, links)


@pytest.mark.parametrize(
    ("line", "code", "printed"),
    [
        ("config show", 0, '"version": 4'),
        ("config status", 0, "e1       entry  z1    4"),
        ("config history", 0, "1970-01-01T00:00:00+00:00  asha"),
        ("audit --limit=0", 1, "limit: must be from 1"),
        ("audit --json", 0, '"reason": "storm"'),
        ("config apply {dir}/rules.toml --base=4 --reason=storm --wait", 0, "in force at every"),
        ("config apply {dir}/rules.toml", 3, "give --base=N"),
        ("config apply {dir}/rules.toml --base=current", 0, "version 5 is accepted"),
        ("config apply {dir}/none.toml", 1, "cannot read"),
        ("rules explain load=0.95", 0, "=> (default): no rule matches"),
        ("rules explain --file={dir}/rules.toml load=0.95", 0, "=> shed: every condition holds"),
        ("config apply {dir}/none.toml --json", 1, '"code": "SL-202"'),
        ("config apply {dir}/far.toml --base=4", 1, "unknown availability zone 'z9'"),
        ("rules explain load", 1, "'load' is no pair"),
        ("rules explain weight=1", 1, "unknown field 'weight'"),
        ("jobs list", 0, "open  batch  rollover"),
        ("jobs list --ended", 0, "ended  batch  rollover"),
        ("instances list", 0, "live   2/8    1      4"),
        ("instances drain i1", 0, "draining: true"),
        ("instances drain i9", 1, "no instance 'i9'"),
        ("status", 0, "slots_used: 2"),
    ],
)
async def test_command_prints_and_exits(
    shell: Shell,
    tmp_path: Path,
    capsys: pytest.CaptureFixture[str],
    line: str,
    code: int,
    printed: str,
) -> None:
    assert await shell.run(line.format(dir=tmp_path)) == code
    out, err = capsys.readouterr()
    assert printed in out + err


async def test_conflicting_change_reports_version_in_force(
    shell: Shell, tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    """A change based on an outdated version is rejected with its own exit code, and not applied."""
    shell.config.conflicting_version = 5
    assert await shell.run(f"config apply {tmp_path}/rules.toml --base=4") == 3
    assert "version 5 is in force" in capsys.readouterr().err
    assert shell.config.current.document.rules == []


@pytest.mark.parametrize(
    ("store_up", "token", "code", "printed"),
    [(False, "token", 1, "the table is down"), (True, "wrong", 5, "no valid operator token")],
)
async def test_refused_apply_reports_reason(
    shell: Shell, tmp_path: Path, capsys: pytest.CaptureFixture[str], store_up: bool, token: str,
    code: int, printed: str,
) -> None:  # fmt: skip
    shell.config.store_up = store_up
    shell.token_file = str(tmp_path / token)
    assert await shell.run(f"config apply {tmp_path}/rules.toml --base=4") == code
    assert printed in capsys.readouterr().err


async def test_entry_validates_document(shell: Shell) -> None:
    """The operator API rejects rules that can never match, and names the rule."""
    body = {
        "document": {"rules": [{"name": "a"}, {"name": "b"}]},
        "base_version": 4,
        "author": "script",
    }
    headers = {"Authorization": f"Bearer {TOKEN}"}
    url = f"{shell.url}v1/admin/config"
    async with aiohttp.ClientSession() as session:
        response = await session.post(url, json=body, headers=headers)
        problem = json.loads(await response.read())
        assert (response.status, problem["code"]) == (422, "SL-200")
        assert problem["problems"][0]["rule"] == "b"
        no_token = await session.post(url, json=body)
        assert no_token.status == 401
        not_json = await session.post(url, data=b"{", headers=headers)
        assert not_json.status == 400
        metrics = await session.get(f"{shell.url}metrics")
        assert metrics.status == 200


async def test_drain_reaches_the_agent(shell: Shell) -> None:
    await shell.run("instances drain i1 --reason=disk")
    instance, message = shell.links.sent[0]
    assert instance == "i1"
    assert isinstance(message, Drain)
    assert message.reason == "disk"


async def test_unreachable_entry_has_own_exit_code(
    shell: Shell, capsys: pytest.CaptureFixture[str]
) -> None:
    shell.url = "http://127.0.0.1:1"
    assert await shell.run("status") == 4
    assert "name a live entry" in capsys.readouterr().err
