"""The floods that sharing alone does not stand, with preemption on as well; the same bounds."""

import pytest

from sapphirelead.sched_parts import PreemptionConfig, SharingConfig
from tests.sched import test_share_floods as floods
from tests.sched.shares import Fleet, Load, guaranteed, quiet


@pytest.fixture(autouse=True)
def _both_parts(monkeypatch: pytest.MonkeyPatch) -> None:
    """Switch preemption on wherever sharing is on."""

    def fleet(
        workers: int, config: SharingConfig | None, loads: list[Load], checks_per_pass: int = 0
    ) -> Fleet:
        on = PreemptionConfig() if config is not None else None
        return Fleet(workers, config, loads, checks_per_pass=checks_per_pass, preemption=on)

    monkeypatch.setattr(floods, "Fleet", fleet)


@pytest.mark.parametrize("name", ["flood_of_equal_lengths", "flood_of_long_tasks", "larger_tasks"])
def test_a_quiet_queue_is_served_as_if_alone_with_stops(name: str) -> None:
    """Guards against lent capacity that returns late although preemption is on."""
    calm, flooding = floods.CASES[name]
    floods.is_as_if_alone([calm()], flooding(), guaranteed("quiet"))


def test_bursts_of_forty_queues_are_served_as_if_alone_with_stops() -> None:
    """Guards against stops that serve one of many queues below their shares at a time."""
    loads = [quiet(3, queue=f"quiet{number}") for number in range(40)]
    config = guaranteed(*(load.queue for load in loads), share=0.02)
    floods.is_as_if_alone(loads, floods.flood(), config)
