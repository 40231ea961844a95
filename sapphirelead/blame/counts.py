"""Counts the crashes of workers under a task, and tells when the task is given up.

A poison task, or query of death, crashes each worker that starts it.  The count is stored with the
task in the same transaction as the end of the run, so it precedes the next start also across leader
changes.  Pure functions over the count.

Invariants:

- A run that has started, whose worker crashes before the run was observed for
  :data:`SUSPECT_WINDOW_S`, adds one to the count; a gang counts once for each attempt.
- Nothing lowers the count but the task's completion and a run that was observed for longer.  Ends
  within the window leave it as it is: a task that crashes some workers and fails on others would
  otherwise be started without limit.
- No task is started again after :data:`MAX_CRASHES`, excused ones included, once
  :data:`MIN_CRASHES` of them are not excused, or :data:`SUSPECT_CRASHES` if it had the last one
  alone.  A task is given up earlier only if no other task can have caused the last crash.
- One task causes a crash.  Once a task is given up, the crashes under it no longer count for tasks
  that ran beside it.  As that verdict may be wrong, they still decide where those tasks may run.
- A crash does not count for a run that was observed for a while beside one that had just begun, but
  :data:`MAX_SPARED` times at most.
"""

from enum import StrEnum
from typing import Final, NamedTuple

from sapphirelead.model_worker_life import WorkerLife

SUSPECT_CRASHES: Final = 2
"""Crashes from which on a task is suspected and runs apart from others."""

MIN_CRASHES: Final = 3
"""Crashes from which on a task is given up if the last one came while it was alone."""

MAX_CRASHES: Final = 5
"""Crashes at which a task is given up in any case."""

MAX_SPARED: Final = 5
"""Crashes that do not count for a task because others beside it had just begun; bounds the starts
of a task that crashes its workers late."""

SUSPECT_WINDOW_S: Final = 20.0
"""Observed running time after which a crash is not attributed to the start of the run."""


class CrashRecord(NamedTuple):
    """A crash that counts for a task.

    :ivar attempt: attempt of the task that ran on the worker.
    """

    attempt: int
    worker: WorkerLife


class CrashEvidence(StrEnum):
    """What the end of a run says about its task."""

    NONE = "none"
    CLEARS = "clears"
    """The run was observed for longer than the window."""
    CRASH = "crash"
    """Its worker crashed, or was lost together with its agent."""
    CRASH_ALONE = "crash_alone"
    """Its worker crashed, and no other task there can have caused it."""
    EXCUSED = "excused"
    """Its worker crashed, and another task is given up for that."""
    OTHERS_NEWER = "others_newer"
    """Its worker crashed after the run was observed for a while, and others had just begun."""

    @property
    def counts(self) -> bool:
        """Whether the end counts as a crash under the task."""
        return self in (CrashEvidence.CRASH, CrashEvidence.CRASH_ALONE)


def evidence_of(observed_s: float, crashed: bool = False, alone: bool = False) -> CrashEvidence:
    """Return the evidence of the end of a run that may have started.

    :param observed_s: time for which reports showed it running, in seconds.
    :param crashed: whether its worker crashed.
    :param alone: whether no other task there can have caused it.
    """
    if observed_s > SUSPECT_WINDOW_S:
        return CrashEvidence.CLEARS
    if not crashed:
        return CrashEvidence.NONE
    return CrashEvidence.CRASH_ALONE if alone else CrashEvidence.CRASH


def count_after(crashes: int, evidence: CrashEvidence) -> int:
    """Return the count of crashes after the end of a run.

    >>> count_after(1, CrashEvidence.CRASH), count_after(1, CrashEvidence.CLEARS)
    (2, 0)
    """
    if evidence is CrashEvidence.CLEARS:
        return 0
    return crashes + evidence.counts


def is_given_up(crashes: int, evidence: CrashEvidence, excused: int = 0) -> bool:
    """Return whether a task is given up after a crash.

    :param crashes: count including this crash.
    :param excused: further crashes, which another task was found to have caused.

    >>> is_given_up(3, CrashEvidence.CRASH), is_given_up(3, CrashEvidence.CRASH_ALONE)
    (False, True)
    >>> is_given_up(5, CrashEvidence.CRASH), is_given_up(5, CrashEvidence.NONE)
    (True, False)
    >>> is_given_up(2, CrashEvidence.CRASH, excused=3), is_given_up(3, CrashEvidence.CRASH, 2)
    (False, True)
    >>> is_given_up(2, CrashEvidence.CRASH_ALONE, excused=3)
    True
    """
    at_limit = crashes + excused >= MAX_CRASHES
    if evidence is CrashEvidence.CRASH_ALONE:
        return crashes >= MIN_CRASHES or (crashes >= SUSPECT_CRASHES and at_limit)
    return evidence.counts and crashes >= MIN_CRASHES and at_limit


def is_near_limit(crashes: int, excused: int) -> bool:
    """Return whether the next crash must tell whether the task has caused it.

    Excused crashes count, too: a verdict on another task may have been wrong.

    >>> is_near_limit(3, 0), is_near_limit(2, 1), is_near_limit(1, 2), is_near_limit(2, 0)
    (True, True, True, False)
    >>> is_near_limit(0, 4)
    False
    """
    return crashes > 0 and crashes + excused >= MIN_CRASHES
