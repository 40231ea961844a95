"""TOML files with the line of each key, for error messages.

``tomllib`` returns no positions, so a second pass over the text records the line of each header and
key.  A key that it does not recognise, for example inside a multi-line value, is reported at the
line of the nearest enclosing key or table.
"""

import re
import tomllib
from dataclasses import dataclass
from pathlib import Path
from typing import Any, Final

from result import Err, Ok, Result

from sapphirelead.errors import Code, Failure
from sapphirelead.model_config import KeyPath

HEADER: Final = re.compile(r"\s*(\[\[?)\s*([^\[\]]+?)\s*\]\]?\s*(?:#.*)?$")
KEY: Final = re.compile(r"\s*((?:[\w-]+|\"[^\"]*\"|'[^']*')(?:\s*\.\s*[\w\"'-]+)*)\s*=")
SUBKEY: Final = re.compile(r"[{,]\s*([\w-]+)\s*=")
PART: Final = re.compile(r"\"([^\"]*)\"|'([^']*)'|([\w-]+)")


@dataclass(frozen=True, slots=True)
class TomlFile:
    """A decoded file.

    :ivar lines: line number of each header and key, by its path.
    """

    name: str
    data: dict[str, Any]
    lines: dict[KeyPath, int]

    def line_of(self, path: KeyPath) -> int:
        """Return the line of ``path`` or its nearest enclosing key or table; 0 if unknown."""
        for end in range(len(path), 0, -1):
            if path[:end] in self.lines:
                return self.lines[path[:end]]
        return 0

    def where(self, path: KeyPath) -> str:
        """Return ``file:line`` of ``path``, or only the file if the line is unknown."""
        line = self.line_of(path)
        return f"{self.name}:{line}" if line else self.name


def read_toml(path: str) -> Result[TomlFile, Failure]:
    """Read and decode a file."""
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as exc:
        hint = "specify a readable UTF-8 file"
        return Err(Failure(Code.SETTINGS_INVALID, f"cannot read {path}: {exc}", hint))
    return parse_toml(path, text)


def parse_toml(name: str, text: str) -> Result[TomlFile, Failure]:
    """Decode ``text``, the content of the file ``name``."""
    try:
        data = tomllib.loads(text)
    except tomllib.TOMLDecodeError as exc:
        return Err(
            Failure(Code.SETTINGS_INVALID, f"{name}: {exc}", "fix the TOML syntax at that position")
        )
    return Ok(TomlFile(name, data, find_lines(text)))


def find_lines(text: str) -> dict[KeyPath, int]:
    """Return the line number of each header and key.

    >>> find_lines("a = 1\\n[[rules]]\\nname = 'x'\\n[rules.when]\\nload = { below = 1 }")
    ... # doctest: +NORMALIZE_WHITESPACE
    {('a',): 1, ('rules', 0): 2, ('rules', 0, 'name'): 3, ('rules', 0, 'when'): 4,
     ('rules', 0, 'when', 'load'): 5, ('rules', 0, 'when', 'load', 'below'): 5}
    """
    lines: dict[KeyPath, int] = {}
    counts: dict[KeyPath, int] = {}
    table: KeyPath = ()
    for number, line in enumerate(text.splitlines(), start=1):
        header = HEADER.match(line)
        if header:
            table = _resolve(_split(header[2]), counts, header[1] == "[[")
            lines.setdefault(table, number)
            continue
        key = KEY.match(line)
        if key:
            path = (*table, *_split(key[1]))
            lines.setdefault(path, number)
            for sub in SUBKEY.finditer(line, key.end()):
                lines.setdefault((*path, sub[1]), number)
    return lines


def _split(dotted: str) -> list[str]:
    return [part[0] or part[1] or part[2] for part in PART.findall(dotted)]


def _resolve(parts: list[str], counts: dict[KeyPath, int], is_array: bool) -> KeyPath:
    path: KeyPath = ()
    for depth, part in enumerate(parts, start=1):
        path = (*path, part)
        if is_array and depth == len(parts):
            counts[path] = counts.get(path, 0) + 1
        if path in counts:
            path = (*path, counts[path] - 1)
    return path
