"""Checks the logs of a platform soak run for what no history of its workers shows."""

from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Final

from bench.checker import Violation
from sapphirelead.model_worker_life import WorkerLife, is_other_life
from sapphirelead.sched_end_history import UNSEEN_ENDS

UNCLAIMED_RUN: Final = " event=run_unclaimed "
RUNNING: Final = "running"


def runs_listed_by_next_lives(logs: Iterable[Path]) -> Iterator[Violation]:
    """A run that counts as lost with a worker's life is not listed by another life of that worker.

    :param logs: log files of the entries.
    """
    for log in logs:
        for line in log.read_text().splitlines():
            if UNCLAIMED_RUN in line and _is_listed_by_next_life(_fields(line)):
                yield Violation("listed_by_next_life", f"{log.stem}: {line}")


def _fields(line: str) -> dict[str, str]:
    return dict(part.split("=", 1) for part in line.split() if "=" in part)


def _is_listed_by_next_life(fields: dict[str, str]) -> bool:
    if fields["phase"] != RUNNING:
        # An agent also reports a stop of a run that its worker has never listed.
        return False
    lists, ended_on = WorkerLife(fields["worker"]), WorkerLife(fields["ended_on"])
    return fields["ended"] in UNSEEN_ENDS and is_other_life(lists, ended_on)
