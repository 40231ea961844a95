"""How long steps have waited of whose job nothing runs, as a leader hands it to its successor."""

from collections.abc import Mapping

from sapphirelead.sched_job import Job
from sapphirelead.sched_memory import MAX_ENTRIES, to_ms
from sapphirelead.sched_task import StepKey, TaskRef
from sapphirelead.sched_task_waits import MIN_STORED_WAIT_S


def idle_waits(
    ready_since: Mapping[StepKey, float], jobs: Mapping[str, Job], at: float
) -> dict[StepKey, float]:
    """Return the waits, in seconds, of ready steps of whose occurrence no task has a claim."""
    waits: dict[StepKey, float] = {}
    for key, since in ready_since.items():
        job = jobs.get(key[0])
        occurrence = job.occurrences.get(key[1]) if job is not None else None
        if occurrence is not None and at - since >= MIN_STORED_WAIT_S and not occurrence.has_claims:
            waits[key] = at - since
    return waits


def wait_notes(waits_s: Mapping[StepKey, float]) -> dict[str, int]:
    """Return the longest waits in milliseconds, by step."""
    longest = sorted(waits_s.items(), key=lambda item: item[1], reverse=True)
    return {".".join(map(str, key)): to_ms(wait_s) for key, wait_s in longest[:MAX_ENTRIES]}


def waits_from_notes(notes: Mapping[str, int]) -> dict[StepKey, float]:
    """Return the waits, in seconds, that a predecessor has noted."""
    waits: dict[StepKey, float] = {}
    for text, wait_ms in notes.items():
        ref = TaskRef.parse(f"{text}.0")
        if ref is not None:
            waits[ref[:3]] = wait_ms / 1000
    return waits
