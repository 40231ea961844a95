"""A short run of the soak on the users' platform; the long ones are started by hand."""

from pathlib import Path

from bench.platform_faults import FAULTS, PLANNED_FAULTS
from bench.platform_soak import Plan, run_seed

SEED = 2
"""It showed a job that was accepted and not stored: the store had refused the leader meanwhile."""


async def test_planned_work_cuts_no_call_and_loses_no_job(tmp_path: Path) -> None:
    """Entries, agents and workers are restarted in series that overlap, configurations change.

    Every call is answered, the leaving entries' ones too, and every accepted job is done once.
    """
    restarts = FAULTS["rolling_entries"]
    plan = Plan(12, entries=3, agents=3, faults=(*PLANNED_FAULTS, restarts, restarts))
    result = await run_seed(SEED, plan, tmp_path / "run")
    assert not result.violations, result.report()


async def test_faults_of_all_kinds_together_break_no_promise(tmp_path: Path) -> None:
    result = await run_seed(SEED, Plan(14, entries=3, agents=4), tmp_path / "run")
    assert not result.violations, result.report()
