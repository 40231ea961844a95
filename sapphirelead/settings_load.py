"""Reading a process's settings: TOML file, checked model, then the files that it names.

Each failure names the file, the key and, where it can be found, the line.  A process that would
listen beyond loopback without a token and keys is refused, unless its settings accept that in
words: a port left open by oversight looks exactly like one left open on purpose.
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
    """Check decoded settings; the failure lists every wrong key."""
    try:
        return Ok(model.model_validate(file.data))
    except ValidationError as exc:
        text = "; ".join(_describe(file, error["loc"], error["msg"]) for error in exc.errors())
        hint = "see docs/CONFIGURATION.md for each key and its unit"
        return Err(Failure(Code.SETTINGS_INVALID, text, hint))


def prepare(settings: S) -> Result[S, Failure]:
    """Check what needs more than the file itself, and set up logs."""
    setup_logs(settings.log)
    host = settings.bind_host if isinstance(settings, EntrySettings) else "127.0.0.1"
    return check_exposure(host, settings.security).map(lambda _: settings)


def check_exposure(host: str, security: SecuritySettings) -> Result[None, Failure]:
    """Refuse to listen beyond loopback without a token and keys."""
    if is_loopback(host) or security.unprotected == UNPROTECTED:
        return Ok(None)
    missing = [key for key in ("operator_token_file", "keys_file") if not getattr(security, key)]
    if not missing:
        return Ok(None)
    text = f"bind_host {host} is beyond loopback, but security.{' and security.'.join(missing)} "
    hint = f'set them (`sapphirelead keys new`), or security.unprotected = "{UNPROTECTED}"'
    return Err(Failure(Code.SETTINGS_INVALID, f"{text}not set", hint))


def is_loopback(host: str) -> bool:
    """Return whether only this machine can reach ``host``.

    >>> is_loopback("127.0.0.2"), is_loopback("::1"), is_loopback("0.0.0.0"), is_loopback("a.b")
    (True, True, False, False)
    """
    try:
        return ipaddress.ip_address(host).is_loopback
    except ValueError:
        return host == "localhost"


def read_token(path: str) -> Result[str, Failure]:
    """Read a token file; no file named means that no token is wanted."""
    if not path:
        return Ok("")
    try:
        token = Path(path).read_text(encoding="utf-8").strip()
    except (OSError, UnicodeDecodeError) as exc:
        hint = "write the operators' token into it, readable by this process only"
        return Err(Failure(Code.SETTINGS_INVALID, f"cannot read the token: {exc}", hint))
    if not token:
        return Err(Failure(Code.SETTINGS_INVALID, f"{path} is empty", "write a token into it"))
    return Ok(token)


def _describe(file: TomlFile, loc: tuple[str | int, ...], message: str) -> str:
    key = ".".join(str(part) for part in loc)
    return f"{file.where(loc)}: {key}: {message}"
