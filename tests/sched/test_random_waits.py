"""Simulation of random faults that judges how long tasks wait; no network.

Guards against tasks that wait although workers have room: behind cooldowns, trials, isolated runs,
refusals or tickets, beside other work of their jobs, and through changes of the leader; and against
waits that are ended at the cost of starts on workers that fail.
"""

import pytest

from tests.sched.waits_play import Play

SEEDS = range(10)
SEEDS_WITH_WAITS = [13, 42, 49, 68, 72, 81, 91, 95, 151, 153, 165, 170, 1221, 1552, 1808, 1918]
"""Seeds on which tasks have waited for too long."""


@pytest.mark.parametrize("seed", [*SEEDS, *SEEDS_WITH_WAITS])
def test_tasks_wait_no_longer_than_promised(seed: int) -> None:
    """Guards against tasks that wait in calm although a sound worker has room for two of them."""
    judge = Play(seed).run()
    assert [str(wait) for wait in judge.waits.values()] == []
    assert judge.problems == []
    assert judge.world.problems == []
