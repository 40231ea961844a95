"""Waits that begin anew although the task still has no run; no network."""

import pytest

from sapphirelead.sched_spec import StepSpec
from tests.sched.fakes import job
from tests.sched.test_scheduler import submit
from tests.sched.test_task_waits import LASTING_BOUND_S, START_S, TICK_S, Site, lasting

JOB_BOUND_S = 3.0
"""Time with nothing running after which the platform counts a job as lost."""


@pytest.mark.parametrize(
    ("step", "refusing", "bound_s"),
    [
        (lasting(), 1, LASTING_BOUND_S - START_S),
        (lasting(), 2, LASTING_BOUND_S - START_S),
        (lasting(), 3, LASTING_BOUND_S - START_S),
        (StepSpec(cpu_millicores=1000), 1, JOB_BOUND_S),
        (StepSpec(cpu_millicores=1000), 2, JOB_BOUND_S),
    ],
)
def test_a_refused_start_does_not_restart_the_wait(
    step: StepSpec, refusing: int, bound_s: float
) -> None:
    """Guards against a task whose wait starts over with each claim that has led to no run."""
    site = Site(workers=refusing + 1)
    for number in range(refusing + 1):
        # The sound one has the longest cooldown, so that it is tried last.
        site.unsound(f"g{number}", trials=2 if number == refusing else 1)
    submit(site.sched, job("a1", step))
    good = f"g{refusing}"
    while site.at < 20.0 and not site.runs_on(good):
        site.advance(TICK_S)
        for run in list(site.sched.fleet.runs.values()):
            if run.agent != good:
                # The answer takes longer than one planning pass.
                site.advance(TICK_S)
                site.end(run, "not_started")
    assert site.at <= bound_s
