"""Short runs of the platform soak.  Longer runs are started manually."""

from pathlib import Path

import pytest

from bench.platform_faults import FAULTS, PLANNED_FAULTS
from bench.platform_soak import Plan, run_seed

SEED = 2
"""Regression: an accepted job was not stored when the store rejected the leader's writes."""


async def test_planned_operations_cut_no_call_and_lose_no_job(tmp_path: Path) -> None:
    """Overlapping planned restarts and configuration changes cut no call and lose no job."""
    restarts = FAULTS["rolling_entries"]
    plan = Plan(12, entries=3, agents=3, faults=(*PLANNED_FAULTS, restarts, restarts))
    result = await run_seed(SEED, plan, tmp_path / "run")
    assert not result.violations, result.report()


async def test_random_faults_violate_no_guarantee(tmp_path: Path) -> None:
    result = await run_seed(SEED, Plan(14, entries=3, agents=4), tmp_path / "run")
    assert not result.violations, result.report()


async def test_evacuated_zones_get_no_starts(tmp_path: Path) -> None:
    """Guards against starts in an evacuated zone by any process, also beside other faults."""
    kinds = ["evacuate_zones"] * 6 + ["kill_entry", "pause_node", "bad_store", "rolling_agents"]
    faults = tuple(FAULTS[kind] for kind in kinds)
    result = await run_seed(SEED, Plan(16, entries=3, agents=4, faults=faults), tmp_path / "run")
    assert not result.violations, result.report()


@pytest.mark.parametrize("kind", ["poison_task", "capacity_change"])
async def test_crashing_and_changing_workers_violate_no_guarantee(
    kind: str, tmp_path: Path
) -> None:
    """Guards against crash loops and overcommitted workers beside planned operations."""
    faults = (*PLANNED_FAULTS, *[FAULTS[kind]] * len(PLANNED_FAULTS))
    result = await run_seed(SEED, Plan(14, entries=3, agents=4, faults=faults), tmp_path / "run")
    assert not result.violations, result.report()


async def test_killed_processes_beside_refused_workers_start_nothing_twice(tmp_path: Path) -> None:
    """Guards against second runs after all processes are killed, and beside refused connections."""
    kinds = ["refuse_workers", "refuse_workers", "kill_all_entries", "kill_all_after_refusals"]
    faults = tuple(FAULTS[kind] for kind in kinds)
    result = await run_seed(SEED, Plan(14, entries=3, agents=4, faults=faults), tmp_path / "run")
    assert not result.violations, result.report()


async def test_workers_that_return_at_once_start_nothing_twice(tmp_path: Path) -> None:
    """Guards against second runs of tasks that a worker's next life has started for the last."""
    kinds = [*["return_worker"] * 6, "kill_entry", "bad_store"]
    faults = tuple(FAULTS[kind] for kind in kinds)
    result = await run_seed(SEED, Plan(14, entries=3, agents=4, faults=faults), tmp_path / "run")
    assert not result.violations, result.report()
