"""Identity of one life of a worker: one process of it, from its start to its end.

A worker may start again under the id that it had.  Its new life holds no runs, and its clock, its
fencing token and its numbers of heartbeats and of ended runs start anew.  So whatever is kept about
a worker is kept by life, and only the platform's adapters know ids.

A life is named by the worker's id and its start, or by the id alone if its start is unknown.
"""

from typing import Final, NewType

WorkerLife = NewType("WorkerLife", str)
"""Name of a life; equal names mean the same life."""

NO_LIFE: Final = WorkerLife("")

_SEPARATOR: Final = "/"


def make_life(worker_id: str, started_ms: int | None) -> WorkerLife:
    """Return the name of a life.

    :param worker_id: id of the worker, without a slash.
    :param started_ms: start of the life as Unix time in milliseconds; ``None`` if unknown.

    >>> make_life("i-7f3a", 1796239785584)
    'i-7f3a/1796239785584'
    >>> make_life("i-7f3a", None)
    'i-7f3a'
    """
    return WorkerLife(worker_id if started_ms is None else f"{worker_id}{_SEPARATOR}{started_ms}")


def worker_id(life: WorkerLife) -> str:
    """Return the id of the worker, which its other lives may share.

    >>> worker_id(make_life("i-7f3a", 1796239785584))
    'i-7f3a'
    """
    return life.partition(_SEPARATOR)[0]


def started_ms(life: WorkerLife) -> int | None:
    """Return the start of a life as Unix time in milliseconds; ``None`` if unknown.

    >>> started_ms(make_life("i-7f3a", 1796239785584)), started_ms(make_life("i-7f3a", None))
    (1796239785584, None)
    """
    started = life.partition(_SEPARATOR)[2]
    return int(started) if started else None


def is_other_life(life: WorkerLife, other: WorkerLife) -> bool:
    """Return whether two names mean different lives of the same worker.

    >>> is_other_life(make_life("i-7f3a", 2), make_life("i-7f3a", 1))
    True
    >>> is_other_life(make_life("i-7f3a", 1), make_life("i-7f3a", 1))
    False
    >>> is_other_life(make_life("i-51c0", 2), make_life("i-7f3a", 1))
    False
    """
    return life != other and worker_id(life) == worker_id(other)
