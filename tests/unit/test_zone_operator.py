"""The operators' commands for zones, and what services and jobs of one task do about them."""

from dataclasses import replace
from typing import Any

import pytest
from aiohttp import web
from aiohttp.test_utils import TestClient, TestServer
from result import Err, Ok, Result

from sapphirelead.entry_admin_zones import ZonesApi
from sapphirelead.errors import Code, Failure
from sapphirelead.main import parse_options, run_with
from sapphirelead.model_config import Config, ConfigDocument
from sapphirelead.model_config_diff import describe_changes
from sapphirelead.options import Exit
from sapphirelead.policy_rules_check import check_document
from tests.unit.fakes import make_view


class FakeConfig:
    """A configuration service that commits changes.

    :ivar conflicts: number of the next changes that another change precedes.
    """

    def __init__(self) -> None:
        self.current = Config(1, ConfigDocument())
        self.audit: list[tuple[int, str, str]] = []
        self.conflicts = 0

    async def apply(
        self, raw: Any, base_version: int, author: str, reason: str
    ) -> Result[Config, Failure]:
        if self.conflicts:
            self.conflicts -= 1
            version = self.current.version + 1
            other: dict[str, Any] = {"evacuated_zones": {"other": {}}}
            self.current = Config(version, ConfigDocument.model_validate(other))
        if base_version != self.current.version:
            return Err(Failure(Code.CONFIG_CONFLICT, "another change came first"))
        self.current = Config(base_version + 1, ConfigDocument.model_validate(raw))
        self.audit.append((self.current.version, author, reason))
        return Ok(self.current)


class FakeMembers:
    """Two instances, in zones ``a`` and ``b``."""

    def all(self) -> list[Any]:
        return [replace(make_view("i1"), zone="a"), replace(make_view("i2"), zone="b")]


async def client(config: FakeConfig, zones: tuple[str, ...] = ()) -> TestClient[Any, Any]:
    api = ZonesApi(config, FakeMembers(), zones)  # type: ignore[arg-type]
    app = web.Application()
    app.router.add_get("/zones", api.list_zones)
    app.router.add_post("/zones/{zone}/evacuate", api.evacuate)
    app.router.add_post("/zones/{zone}/restore", api.restore)
    found: TestClient[Any, Any] = TestClient(TestServer(app))
    await found.start_server()
    return found


WHO = {"author": "ana", "reason": "power works"}


async def test_an_evacuation_is_a_change_with_author_and_reason() -> None:
    config = FakeConfig()
    http = await client(config)
    answer = await (await http.post("/zones/a/evacuate", json=WHO)).json()
    assert answer == {"zone": "a", "evacuated": True, "version": 2}
    assert config.audit == [(2, "ana", "power works")]
    rows = (await (await http.get("/zones")).json())["zones"]
    assert [(row["zone"], row["evacuated"], row["reason"]) for row in rows] == [
        ("a", True, "power works"),
        ("b", False, ""),
    ]
    answer = await (await http.post("/zones/a/restore", json=WHO)).json()
    assert answer == {"zone": "a", "evacuated": False, "version": 3}
    assert not config.current.document.evacuated_zones
    await http.close()


async def test_repeated_requests_change_nothing() -> None:
    config = FakeConfig()
    http = await client(config)
    for _ in range(2):
        assert (await http.post("/zones/a/evacuate", json=WHO)).status == 200
    assert (await http.post("/zones/b/restore", json=WHO)).status == 200
    assert config.current.version == 2
    await http.close()


@pytest.mark.parametrize("conflicts", [1, 2, 3])
async def test_a_change_at_the_same_time_is_kept(conflicts: int) -> None:
    """Guards against an evacuation that undoes another operator's change."""
    config = FakeConfig()
    config.conflicts = conflicts
    http = await client(config)
    status = (await http.post("/zones/a/evacuate", json=WHO)).status
    assert status == (409 if conflicts == 3 else 200)
    zones = {"other"} | ({"a"} if conflicts < 3 else set())
    assert set(config.current.document.evacuated_zones) == zones
    await http.close()


@pytest.mark.parametrize(
    ("path", "body", "status"),
    [
        ("/zones/nowhere/evacuate", WHO, 404),
        ("/zones/nowhere/restore", WHO, 200),
        ("/zones/a%20b/evacuate", WHO, 404),
        ("/zones/a/evacuate", {}, 400),
        ("/zones/a/evacuate", {**WHO, "author": ""}, 400),
        ("/zones/a/evacuate", {**WHO, "more": 1}, 400),
    ],
)
async def test_invalid_requests_are_rejected(path: str, body: Any, status: int) -> None:
    config = FakeConfig()
    http = await client(config, ("a", "b"))
    assert (await http.post(path, json=body)).status == status
    assert config.current.version == 1
    await http.close()


def test_the_audit_trail_names_the_zone() -> None:
    after = ConfigDocument.model_validate({"evacuated_zones": {"a": {"reason": "works"}}})
    assert any("evacuated_zones.a" in line for line in describe_changes(ConfigDocument(), after))


def test_a_document_that_evacuates_an_unknown_zone_is_rejected() -> None:
    raw: dict[str, Any] = {"evacuated_zones": {"nowhere": {}}}
    assert check_document(raw).is_ok()
    assert check_document(raw, ("a",)).is_err()
    assert check_document({"evacuated_zones": {"a b": {}}}).is_err()


@pytest.mark.parametrize("words", [["zones", "list"], ["zones", "evacuate", "a"]])
def test_commands_report_an_unreachable_entry(words: list[str]) -> None:
    assert run_with([*words, "--url=http://127.0.0.1:9"]) == Exit.UNREACHABLE


def test_commands_name_the_zone_and_who() -> None:
    from docopt import docopt

    import sapphirelead.main as main

    argv = ["zones", "evacuate", "east-1", "--author=ana", "--reason=works"]
    options = parse_options(docopt(main.__doc__ or "", argv=argv))
    assert (options.command, options.zone) == (("zones", "evacuate"), "east-1")
    assert (options.author, options.reason) == ("ana", "works")
