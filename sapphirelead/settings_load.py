"""Loads and validates the settings of a process.

Each failure names the file, the key and, if known, the line.  Listening on a non-loopback address
without a token and keys is refused unless ``security.unprotected`` explicitly allows it.
"""

import ipaddress
from pathlib import Path
from typing import TypeVar

from pydantic import ValidationError
from result import Err, Ok, Result

from sapphirelead.errors import Code, Failure
from sapphirelead.logs import setup_logs
from sapphirelead.settings import (
    UNPROTECTED,
    AgentSettings,
    EntrySettings,
    Model,
    RunnerSettings,
    SecuritySettings,
)
from sapphirelead.settings_toml import TomlFile, read_toml

M = TypeVar("M", bound=Model)
S = TypeVar("S", EntrySettings, AgentSettings, RunnerSettings)


def load_settings(path: str, model: type[M]) -> Result[M, Failure]:
    """Read the settings of one process from ``path``."""
    return read_toml(path).and_then(lambda file: check_settings(file, model))


def check_settings(file: TomlFile, model: type[M]) -> Result[M, Failure]:
    """Validate decoded settings; the failure lists all invalid keys."""
    try:
        return Ok(model.model_validate(file.data))
    except ValidationError as exc:
        text = "; ".join(_describe(file, error["loc"], error["msg"]) for error in exc.errors())
        hint = "see docs/CONFIGURATION.md for each key and its unit"
        return Err(Failure(Code.SETTINGS_INVALID, text, hint))


def prepare(settings: S) -> Result[S, Failure]:
    """Set up logging and check that the listening address is protected."""
    setup_logs(settings.log)
    host = settings.bind_host if isinstance(settings, EntrySettings) else "127.0.0.1"
    return check_exposure(host, settings.security).map(lambda _: settings)


def check_exposure(host: str, security: SecuritySettings) -> Result[None, Failure]:
    """Refuse a non-loopback address without a token and keys."""
    if is_loopback(host) or security.unprotected == UNPROTECTED:
        return Ok(None)
    missing = [key for key in ("operator_token_file", "keys_file") if not getattr(security, key)]
    if not missing:
        return Ok(None)
    text = f"bind_host {host} is not loopback, but security.{' and security.'.join(missing)} "
    hint = f'set them (`sapphirelead keys new`), or security.unprotected = "{UNPROTECTED}"'
    return Err(Failure(Code.SETTINGS_INVALID, f"{text}not set", hint))


def is_loopback(host: str) -> bool:
    """Return whether ``host`` is a loopback address.

    >>> is_loopback("127.0.0.2"), is_loopback("::1"), is_loopback("0.0.0.0"), is_loopback("a.b")
    (True, True, False, False)
    """
    try:
        return ipaddress.ip_address(host).is_loopback
    except ValueError:
        return host == "localhost"


def read_token(path: str) -> Result[str, Failure]:
    """Read a token file; return an empty token for an empty path."""
    if not path:
        return Ok("")
    try:
        token = Path(path).read_text(encoding="utf-8").strip()
    except (OSError, UnicodeDecodeError) as exc:
        hint = "write the operators' token into it, readable only by this process"
        return Err(Failure(Code.SETTINGS_INVALID, f"cannot read the token file: {exc}", hint))
    if not token:
        return Err(
            Failure(Code.SETTINGS_INVALID, f"token file {path} is empty", "write a token into it")
        )
    return Ok(token)


def _describe(file: TomlFile, loc: tuple[str | int, ...], message: str) -> str:
    key = ".".join(str(part) for part in loc)
    return f"{file.where(loc)}: {key}: {message}"
