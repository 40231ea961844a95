"""Crashes that were taken back although the task may have caused them."""

import pytest

from sapphirelead.blame.counts import MIN_CRASHES, SUSPECT_CRASHES
from sapphirelead.sched_job import JobState
from sapphirelead.sched_task import TaskRef
from tests.sched.test_crash_blame import POISON, Site

OTHER = TaskRef("q", 0, 0, 0)


def acquitted(shared: int) -> Site:
    """Return a site where a task was given up that had shared crashes with a poison task."""
    site = Site("p", "q")
    for _ in range(shared):
        site.crash_under("g0", OTHER, POISON)
    for _ in range(MIN_CRASHES):
        if site.state(OTHER) is not JobState.FAILED:
            site.crash_under("g1", OTHER)
    assert site.state(OTHER) is JobState.FAILED
    assert site.crashes(POISON) == 0
    return site


@pytest.mark.parametrize("shared", [2, 3])
def test_an_acquitted_task_runs_apart_after_its_next_crash(shared: int) -> None:
    """Guards against a culprit that is excused by a verdict on another task and joins others."""
    site = acquitted(shared)
    site.crash_under("g0", POISON)
    assert site.crashes(POISON) == 1 < SUSPECT_CRASHES
    assert site.sched.quarantine.is_suspect(POISON)
    assert site.sched.quarantine.is_near_limit(POISON)


def test_an_acquitted_task_is_given_up_by_its_second_crash_alone_at_the_limit() -> None:
    """Guards against starts beyond the limit of a culprit that was excused."""
    site = acquitted(3)
    site.crash_under("g0", POISON)
    assert site.state(POISON) is JobState.RUNNING
    site.crash_under("g0", POISON)
    assert site.state(POISON) is JobState.FAILED
