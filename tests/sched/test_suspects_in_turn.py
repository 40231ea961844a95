"""Suspected tasks of one step that differ in where they may run; no network."""

import math

import pytest

from sapphirelead import sched_quarantine
from sapphirelead.blame import evidence
from sapphirelead.blame.counts import MIN_CRASHES, SUSPECT_CRASHES
from sapphirelead.sched_task import TaskRef
from tests.sched.fakes import job
from tests.sched.test_scheduler import submit
from tests.sched.test_task_waits import LASTING_BOUND_S, START_S, Site, lasting


def test_a_suspect_near_the_limit_does_not_keep_other_suspects_waiting(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a step whose first suspect may join no other and so ends the search for all.

    The only worker with room keeps its isolated run.
    """
    monkeypatch.setattr(sched_quarantine, "MIN_JOINED_S", math.inf)
    monkeypatch.setattr(evidence, "MIN_JOINED_S", math.inf)
    site = Site()
    submit(site.sched, job("s1", lasting()))
    submit(site.sched, job("a1", lasting(tasks=2)))
    site.sched.quarantine._set(TaskRef("s1", 0, 0, 0), SUSPECT_CRASHES)
    site.sched.quarantine._set(TaskRef("a1", 0, 0, 0), MIN_CRASHES, near_limit=True)
    site.sched.quarantine._set(TaskRef("a1", 0, 0, 1), SUSPECT_CRASHES)
    site.sched.quarantine.review = lambda *_: []  # type: ignore[method-assign]
    site.advance(LASTING_BOUND_S - START_S)
    assert sorted(run.ref.text() for run in site.runs_on("g0")) == ["a1.0.0.1", "s1.0.0.0"]
