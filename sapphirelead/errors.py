"""Errors as values.

Errors that are reported to a caller or operator are :class:`Failure` values in ``result.Err``.
Their codes are stable across versions, so scripts and alerts may match them.  Exceptions are
reserved for violated invariants, which stop the process.
"""

from dataclasses import dataclass
from enum import StrEnum


class Code(StrEnum):
    """Stable identifiers of failures; docs/OPERATIONS.md describes how to resolve each."""

    BAD_REQUEST = "SL-100"
    TOO_LARGE = "SL-101"
    UNPROCESSABLE = "SL-102"
    NOT_FOUND = "SL-103"
    UNAUTHORIZED = "SL-104"
    KEY_REUSED = "SL-105"
    CONFIG_INVALID = "SL-200"
    CONFIG_CONFLICT = "SL-201"
    SETTINGS_INVALID = "SL-202"
    CONFIG_BEHIND = "SL-203"
    OVERLOADED = "SL-300"
    NO_INSTANCE = "SL-301"
    DEADLINE = "SL-302"
    REFUSED_BY_RULE = "SL-303"
    QUOTA = "SL-304"
    IMPOSSIBLE = "SL-305"
    DRAINING = "SL-306"
    NO_LEADER = "SL-307"
    TOO_LATE = "SL-308"
    STORE_UNAVAILABLE = "SL-400"
    STORE_CONFLICT = "SL-401"
    STORE_AMBIGUOUS = "SL-402"
    WORKER_UNAVAILABLE = "SL-410"
    TARGET_FAILED = "SL-420"
    LOST = "SL-500"
    ILLEGAL_MOVE = "SL-501"
    HOLDERS_LOST = "SL-502"
    WORKERS_CRASHED = "SL-503"
    TASK_FAILED = "SL-504"


class Outcome(StrEnum):
    """What is known about the effect of a request after its final response."""

    DONE = "done"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class Failure:
    """A failure, with a hint for resolving it.

    :ivar code: stable identifier.
    :ivar message: what happened, with the field or object concerned.
    :ivar hint: what to do next, or empty.
    """

    code: Code
    message: str
    hint: str = ""

    def __str__(self) -> str:
        return f"{self.code}: {self.message}" + (f" ({self.hint})" if self.hint else "")
