"""Takes back crashes that were counted for tasks that have not caused them."""

from collections.abc import Callable, Mapping

from sapphirelead.logs import log_event
from sapphirelead.model_worker_life import WorkerLife
from sapphirelead.sched_job import Job
from sapphirelead.sched_quarantine import Quarantine
from sapphirelead.sched_task import TaskRef


def disprove_crash(
    jobs: Mapping[str, Job], quarantine: Quarantine, worker: WorkerLife
) -> list[str]:
    """Take back the crash of a worker that is alive: it was only out of touch.

    :return: ids of the jobs that have changed.
    """
    return _take_back(jobs, quarantine, frozenset({worker}), quarantine.disprove)


def excuse_others(
    jobs: Mapping[str, Job], quarantine: Quarantine, culprit: Job, ref: TaskRef
) -> list[str]:
    """Take back the crashes under a task that is given up from those that ran beside it.

    :return: ids of the jobs that have changed.
    """
    changed = _take_back(jobs, quarantine, culprit.crashed_workers(ref), quarantine.excuse)
    if changed:
        log_event("INFO", "crashes_excused", culprit=ref.text(), jobs=",".join(changed))
    return changed


def _take_back(
    jobs: Mapping[str, Job],
    quarantine: Quarantine,
    workers: frozenset[WorkerLife],
    take_back: Callable[[Job, TaskRef, frozenset[WorkerLife]], bool],
) -> list[str]:
    """Take back the crashes of ``workers`` from the tasks of open jobs.

    :param take_back: returns whether any of them counted for a task.
    """
    changed = []
    for ref in quarantine.crashed_on(workers):
        job = jobs.get(ref.job_id)
        if job is not None and job.open and take_back(job, ref, workers):
            changed.append(ref.job_id)
    return changed
