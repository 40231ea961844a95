"""Crashes of runs that were observed for a while, beside others that had just begun."""

import pytest

from sapphirelead.blame.counts import MAX_CRASHES, MAX_SPARED
from sapphirelead.blame.evidence import PROBATION_S
from sapphirelead.model_worker_life import WorkerLife
from sapphirelead.node_messages import AgentReport, EndedLife
from sapphirelead.sched_job import Job, JobState
from sapphirelead.sched_reports import apply_report
from sapphirelead.sched_task import TaskRef
from tests.sched.test_crash_blame import POISON, QUIET, Site


def observe(site: Site, agent: str, duration_s: float) -> None:
    """Report the runs of a worker until they have been observed for a while."""
    until = site.at + duration_s
    while site.at < until:
        site.at += 0.5
        site.report(agent)
    site.report(agent)


def crash_under_old(site: Site, agent: str, old: TaskRef, new: TaskRef | None) -> None:
    """Crash a worker whose run of ``old`` was observed before that of ``new`` began."""
    site.run_on(agent, old)
    observe(site, agent, PROBATION_S + 0.5)
    site.crash_under(agent, *([new] if new is not None else []))


def test_a_task_is_not_given_up_for_what_begins_beside_it() -> None:
    """Guards against a long-running task that is convicted by living beside poison tasks."""
    names = [f"p{number}" for number in range(MAX_SPARED)]
    site = Site("q", *names)
    for name in names:
        crash_under_old(site, "g0", QUIET, TaskRef(name, 0, 0, 0))
        assert (site.crashes(QUIET), site.crashes(TaskRef(name, 0, 0, 0))) == (0, 1)
    assert site.state(QUIET) is JobState.RUNNING


def test_a_task_that_crashes_its_workers_late_is_given_up() -> None:
    """Guards against a crash loop of a task beside which others have always just begun."""
    site = Site("p", *[f"q{number}" for number in range(MAX_SPARED + MAX_CRASHES)])
    for number in range(MAX_SPARED + MAX_CRASHES):
        assert site.state(POISON) is not JobState.FAILED
        crash_under_old(site, "g0", POISON, TaskRef(f"q{number}", 0, 0, 0))
    assert site.state(POISON) is JobState.FAILED


@pytest.mark.parametrize("alone", [True, False])
def test_an_old_run_counts_if_none_beside_it_is_newer(alone: bool) -> None:
    """Guards against crashes that count for nobody."""
    site = Site("p", "q")
    site.run_on("g0", POISON, *([] if alone else [QUIET]))
    observe(site, "g0", PROBATION_S + 0.5)
    site.crash_under("g0")
    assert site.crashes(POISON) == 1


def test_spared_crashes_are_stored() -> None:
    """Guards against leaders that each spare a task as often as one leader may."""
    site = Site("p", "q")
    crash_under_old(site, "g0", QUIET, POISON)
    found = site.sched.jobs["q"]
    task = Job.decode(found.spec, found.encode()).task(QUIET)
    assert task is not None
    assert task.spared == 1


@pytest.mark.parametrize("answered", [True, False])
def test_a_start_without_an_answer_does_not_explain_a_crash(answered: bool) -> None:
    """Guards against a culprit that is spared for a start that met a worker already down."""
    site = Site("p", "q")
    site.run_on("g0", POISON)
    observe(site, "g0", PROBATION_S + 0.5)
    (run,) = site.run_on("g0", QUIET)
    life = WorkerLife("w-g0-0")
    name = (QUIET.text(), run.attempt)
    ended = EndedLife(life, [(POISON.text(), 1), *[name] * answered], [name] * (not answered))
    report = AgentReport("g0", "b", 99, 1, 1, None, True, [], [], (life,), ended_lives=(ended,))
    apply_report(site.sched, report, 1, site.at)
    assert site.crashes(POISON) == (0 if answered else 1)
    assert site.crashes(QUIET) == 1
