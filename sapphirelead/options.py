"""The options that the command line hands down."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Options:
    """Arguments of one invocation.

    :ivar command: words of the subcommand, for instance ``("config", "apply")``.
    """

    command: tuple[str, ...]
    config: str = ""
    file: str = ""
    name: str = ""
    url: str = ""
    token_file: str = ""
    json: bool = False
    wait: bool = False
    once: bool = False
