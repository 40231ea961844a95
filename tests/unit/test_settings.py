"""Settings errors name file, line and key; non-loopback addresses need keys or consent."""

from pathlib import Path

import pytest

from sapphirelead.settings import UNPROTECTED, AgentSettings, EntrySettings, SecuritySettings
from sapphirelead.settings_load import check_exposure, load_settings, read_token

ENTRY = 'id = "e1"\nzone = "z1"\n[platform]\ntable_url = "http://127.0.0.1:1"\n'


@pytest.mark.parametrize(
    ("text", "where"),
    [
        (ENTRY + "writes = 4\n", ":5: platform.writes: Extra inputs"),
        (ENTRY + "[lease]\nlease_seconds = 0\n", ":6: lease.lease_seconds: Input should be"),
        (ENTRY + "[lease]\nlease_seconds = 5\n", ":5: lease: Value error, lease_seconds must be"),
        (ENTRY + "[lease]\nsilence_seconds = 1\n", ":5: lease: Value error, silence_seconds must"),
        ('id = "e1"\n', ": zone: Field required"),
        ('id = "e1"\nid = "e2"\n', "(at line 2"),
        ("http_port = 70000\n" + ENTRY, ":1: http_port: "),
        ("drain_seconds = 3\n" + ENTRY + "[fleet]\n", "drain_seconds must be at least 4"),
        (ENTRY + "[fleet]\nlink_port = 0\n", ":6: fleet.link_port: "),
        (ENTRY + "[fleet.times]\nlease_seconds = 1\n", ":6: fleet.times.lease_seconds: "),
        (ENTRY + 'limits = { body_bytes = "x" }\n', "limits"),
    ],
)
def test_error_names_file_line_and_key(tmp_path: Path, text: str, where: str) -> None:
    path = tmp_path / "entry.toml"
    path.write_text(text)
    message = load_settings(str(path), EntrySettings).unwrap_err().message
    assert str(path) in message
    assert where in message


def test_missing_file_is_named() -> None:
    assert "nowhere.toml" in load_settings("nowhere.toml", AgentSettings).unwrap_err().message


@pytest.mark.parametrize(
    ("host", "security", "accepted"),
    [
        ("127.0.0.1", SecuritySettings(), True),
        ("0.0.0.0", SecuritySettings(), False),
        ("10.0.0.1", SecuritySettings(operator_token_file="t"), False),
        ("10.0.0.1", SecuritySettings(keys_file="k"), False),
        ("10.0.0.1", SecuritySettings(operator_token_file="t", keys_file="k"), True),
        ("10.0.0.1", SecuritySettings(unprotected=UNPROTECTED), True),
    ],
)
def test_listening_beyond_loopback_needs_token_and_keys_or_consent(
    host: str, security: SecuritySettings, accepted: bool
) -> None:
    assert check_exposure(host, security).is_ok() is accepted


@pytest.mark.parametrize(("text", "ok"), [("secret\n", True), ("\n", False)])
def test_token_file_must_hold_a_token(tmp_path: Path, text: str, ok: bool) -> None:
    path = tmp_path / "token"
    path.write_text(text)
    assert read_token(str(path)).is_ok() is ok
