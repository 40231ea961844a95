"""What has found no room lately, so that it is not tried again on every worker.

The pattern that this answers: a burst of large jobs, dozens of which wait with tasks of a few
images, beside a hundred runs that crawl and would be moved if there were room elsewhere.  Trying
each of them on each worker takes a leader longer than the time between two passes.
"""

from sapphirelead.sched_spec import StepSpec


class NoRoom:
    """What has found no room in one pass.

    Room only shrinks within a pass, so once a task of an image has found none on any worker, no
    larger one of it needs to be tried.
    """

    _failed: dict[tuple[str, str, int, str], list[tuple[int, int]]]

    def __init__(self) -> None:
        self._failed = {}

    def note(self, step: StepSpec, service: str) -> None:
        """Take note that a task of the step fits nowhere."""
        if step.per_worker:
            # Others of its step may have kept it out.
            return
        size = (step.cpu_millicores, step.memory_mb)
        self._failed.setdefault(_kind(step, service), []).append(size)

    def covers(self, step: StepSpec, service: str) -> bool:
        """Return whether a task of the step fits nowhere, by what was noted."""
        return any(
            step.cpu_millicores >= cpu and step.memory_mb >= memory
            for cpu, memory in self._failed.get(_kind(step, service), ())
        )


def _kind(step: StepSpec, service: str) -> tuple[str, str, int, str]:
    return service, step.label, step.accelerators, step.image if step.fills else ""
