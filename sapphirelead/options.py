"""Parsed command-line options and exit codes."""

from dataclasses import dataclass
from enum import IntEnum
from typing import Final

BASE_UNSET: Final = -1
BASE_CURRENT: Final = -2


class Exit(IntEnum):
    """Exit codes, which are stable because scripts may match them."""

    OK = 0
    REFUSED = 1
    USAGE = 2
    CONFLICT = 3
    UNREACHABLE = 4
    UNAUTHORIZED = 5


@dataclass(frozen=True, slots=True)
class Options:
    """Arguments of one invocation.

    :ivar command: words of the subcommand, for instance ``("config", "apply")``.
    :ivar file: a file to read, ``-`` for standard input.
    :ivar name: key, id or directory that the command refers to.
    :ivar pairs: ``field=value`` arguments of ``rules explain``.
    :ivar logs: paths of log files.
    :ivar base: version that a change is based on, ``BASE_UNSET`` or ``BASE_CURRENT``.
    """

    command: tuple[str, ...]
    config: str = ""
    file: str = ""
    name: str = ""
    zone: str = ""
    queue: str = ""
    url: str = ""
    token_file: str = ""
    json: bool = False
    wait: bool = False
    once: bool = False
    ended: bool = False
    after: str = ""
    pairs: tuple[str, ...] = ()
    logs: tuple[str, ...] = ()
    base: int = BASE_UNSET
    author: str = ""
    reason: str = ""
    limit: int = 50
    host: str = "127.0.0.1"
    port: int = 0
    history: str = ""
    settings: str = "{}"
