"""What the crash of a worker says about each run that was there.

A run that never started says nothing.  A run that was alone there, or a suspect beside runs that
have proven harmless, is the only one that can have caused the crash.  A run that had just begun is
a likelier cause than one that was observed for a while.
"""

from collections.abc import Container, Iterable, Mapping, Sequence
from enum import StrEnum
from typing import Final

from sapphirelead.blame.counts import CrashEvidence, evidence_of
from sapphirelead.model_worker_life import WorkerLife
from sapphirelead.node_messages import EndedLife
from sapphirelead.sched_fleet import MIN_OBSERVED_S, Phase, Run, RunKey
from sapphirelead.sched_task import TaskRef

PROBATION_S: Final = 2.0
"""Observed running time after which other tasks may join a suspect.

Must stay below the 3 s for which a job may be idle while there is room for it."""

MIN_JOINED_S: Final = MIN_OBSERVED_S
"""Observed running time of each run on a worker before an overdue suspect, nearly given up, may
join them; others wait for the end of the probations."""


class StartCertainty(StrEnum):
    """Whether a run had started when its worker ended."""

    NEVER = "never"
    """Its agent knows that the worker has not started it."""
    DOUBTFUL = "doubtful"
    """Its start call got no answer."""
    STARTED = "started"
    ASSUMED = "assumed"
    """Its start was sent, and the agent does not know what became of it."""


def start_certainty(run: Run, lives: Mapping[WorkerLife, EndedLife]) -> StartCertainty:
    """Return whether a run of an ended life had started.

    :param lives: what its agent knows of ended lives.
    """
    life = lives.get(run.worker)
    name = (run.ref.text(), run.attempt)
    if run.phase is Phase.CLAIMED:
        return StartCertainty.NEVER
    if run.phase is not Phase.SENT or (life is not None and name in life.started):
        return StartCertainty.STARTED
    if life is None:
        return StartCertainty.ASSUMED
    return StartCertainty.DOUBTFUL if name in life.doubtful else StartCertainty.NEVER


def crash_evidence(
    gone: Sequence[Run], left: Container[WorkerLife], ended: Iterable[EndedLife] = ()
) -> list[tuple[Run, CrashEvidence]]:
    """Return what the end of their workers says about runs of one agent.

    :param gone: runs of workers that are gone.
    :param left: workers that left in good order.
    :param ended: what the agent knows of its ended lives.
    """
    lives = {life.worker: life for life in ended}
    certainty = {run.key: start_certainty(run, lives) for run in gone}
    present = [run for run in gone if certainty[run.key] is not StartCertainty.NEVER]
    return [(run, _evidence(run, present, run.worker not in left, certainty)) for run in gone]


def may_have_taken_agent(run: Run) -> bool:
    """Return whether a run may have taken its agent down together with its worker.

    A lost agent says little about its worker, so only runs that this leader has started, and that
    were not observed for long, count.
    """
    return run.claimed_at > 0 and run.watch.alive_s < PROBATION_S


def _evidence(
    run: Run, present: Sequence[Run], crashed: bool, certainty: Mapping[RunKey, StartCertainty]
) -> CrashEvidence:
    """Return what the end of its worker says about a run.

    :param present: runs that had started, or may have, on the workers that are gone.
    :param certainty: whether each run had started.
    """
    observed_s = run.watch.alive_s
    if not crashed or certainty[run.key] is StartCertainty.NEVER:
        return evidence_of(observed_s)
    others = [other for other in present if _ran_beside(other, run)]
    suspect = any(other.isolated for other in others)
    if suspect and not run.isolated and observed_s >= PROBATION_S:
        return evidence_of(observed_s)
    # A start without an answer may have met a worker that was down already.
    began = [other for other in others if certainty[other.key] is StartCertainty.STARTED]
    if any(_explains(other, run) for other in began):
        return CrashEvidence.OTHERS_NEWER
    proven = all(other.watch.alive_s >= PROBATION_S for other in others)
    alone = not others or (run.isolated and not suspect and proven)
    alone = alone and certainty[run.key] is not StartCertainty.DOUBTFUL
    return evidence_of(observed_s, crashed=True, alone=alone)


def _explains(other: Run, run: Run) -> bool:
    """Return whether a run that had just begun is the likelier cause of a crash than an older one.

    Suspects that must not wait may join each other, so less time tells them apart.
    """
    apart = run.isolated and other.isolated
    min_observed_s = MIN_JOINED_S if apart else PROBATION_S
    return other.watch.alive_s < min_observed_s <= run.watch.alive_s


def _ran_beside(other: Run, run: Run) -> bool:
    """Return whether another task, not of the same gang, may have run on the same worker."""
    if other.worker != run.worker:
        return False
    return other.ref != run.ref and not is_same_gang(other, run.ref)


def is_same_gang(run: Run, ref: TaskRef) -> bool:
    """Return whether a run is of a task or its gang."""
    return run.step.gang and run.ref[:3] == ref[:3]
