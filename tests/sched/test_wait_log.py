"""The log of why tasks wait must not change what is placed."""

from typing import Any

import pytest

from sapphirelead.sched_eligibility import SkipReason
from sapphirelead.sched_interference_guard import GuardedInterferenceModel
from sapphirelead.sched_planner import plan
from sapphirelead.sched_spec import StepSpec
from sapphirelead.sched_task import TaskRef
from sapphirelead.sched_wait_log import count_skip_reasons
from tests.sched.fakes import Agents, job, scheduler, store, worker_info
from tests.sched.test_scheduler import submit


def test_counting_reasons_remembers_no_refusal(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a diagnosis whose refusals keep larger tasks from being placed."""
    sched = scheduler()
    agents = Agents(sched)
    agents.report("g1", worker_info("w-g1"))
    submit(sched, job("s1", StepSpec(cpu_millicores=1000, lasting=True, target_ms=100, image="s")))
    for at in (0.0, 0.3):
        plan(sched, at, 0)
        store(sched)
    agents.report("g1", worker_info("w-g1"), [("s1.0.0.0", 1)], at=0.5)
    submit(sched, job("f1", StepSpec(cpu_millicores=1000, fills=True, image="f")))

    def remember(*_: Any) -> bool:
        raise AssertionError("a refusal would be remembered")

    monkeypatch.setattr(GuardedInterferenceModel, "gives_pace", remember)
    monkeypatch.setattr(GuardedInterferenceModel, "pace_beside", lambda *_: 0.1)
    assert count_skip_reasons(sched, TaskRef("f1", 0, 0, 0), 0.6) == {SkipReason.PACE: 1}
