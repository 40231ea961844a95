"""Fair sharing while its configuration changes under load, and what operators see of it."""

import random
from statistics import mean
from typing import Any

import pytest

from sapphirelead.fairness import share_log
from sapphirelead.fairness.tree import ShareTree
from sapphirelead.model_resources import NO_RESOURCES, Resources
from sapphirelead.sched_parts import ShareSpec, SharingConfig
from sapphirelead.sched_planner import plan
from sapphirelead.sched_spec import StepSpec
from tests.sched.fakes import job
from tests.sched.shares import TICK_S, Fleet, quiet
from tests.sched.test_share_floods import CORES, TOLERANCE, WHOLE_S, WORKERS, flood
from tests.sched.test_share_leaders import sharing_of

CHANGE_INTERVAL_S = 0.1
GUARANTEE = ShareSpec(guaranteed=0.3)


def random_config(rng: random.Random) -> SharingConfig:
    """Return a configuration that always guarantees the share of ``quiet``."""
    organisations = {"quiet": GUARANTEE}
    for name in rng.sample(["flood", "large", "new"], rng.randint(0, 3)):
        limit = rng.choice([0.0, 0.0, 0.9])
        organisations[name] = ShareSpec(rng.uniform(0.5, 4.0), rng.choice([0.0, 0.2]), limit)
    members = {"flood": "large"} if rng.random() < 0.5 else {}
    queues = {"flood": ShareSpec(rng.uniform(0.5, 2.0), 0.1)} if rng.random() < 0.5 else {}
    return SharingConfig(rng.choice([1.0, 10.0]), organisations, queues, members)


def check_usage(fleet: Fleet) -> None:
    """Assert that usage is that of the runs, for each queue and each organisation."""
    sharing = sharing_of(fleet)
    held: dict[str, Resources] = {}
    organisations: dict[str, Resources] = {}
    for run in fleet.sched.fleet.runs.values():
        queue = fleet.sched.jobs[run.ref.job_id].spec.queue
        amount = Resources(run.step.cpu_millicores)
        held[queue] = held.get(queue, NO_RESOURCES) + amount
        name = sharing._config.organisation_of(queue)
        organisations[name] = organisations.get(name, NO_RESOURCES) + amount
    tree = sharing._trees.get("svc") or ShareTree(sharing._config, 0.0)
    for nodes, expected in ((tree.queues, held), (tree.organisations, organisations)):
        assert {name: node.held for name, node in nodes.items() if node.held.cpu_millicores} == (
            expected
        )


def test_the_guarantee_holds_while_the_configuration_changes() -> None:
    """Guards against usage that a change loses or counts twice, and against lost guarantees."""
    rng = random.Random(7)

    def change(fleet: Fleet) -> None:
        if round(fleet.at / TICK_S) % round(CHANGE_INTERVAL_S / TICK_S) == 0:
            fleet.configure(random_config(rng))
            check_usage(fleet)

    alone = Fleet(WORKERS, None, [quiet()]).run(WHOLE_S).completions["quiet"].values()
    config = SharingConfig(organisations={"quiet": GUARANTEE})
    fleet = Fleet(WORKERS, config, [quiet(), flood()], each_tick=change).run(WHOLE_S)
    found = fleet.completions["quiet"].values()
    assert len(found) == len(alone)
    assert mean(found) <= TOLERANCE * mean(alone)
    assert max(found) <= TOLERANCE * max(alone)
    assert sum(fleet.core_s.values()) >= 0.85 * CORES * (WHOLE_S - 1)


def test_switching_on_under_load_counts_what_runs() -> None:
    """Guards against runs that count for nobody because they are older than the part."""

    def change(fleet: Fleet) -> None:
        step = round(fleet.at / TICK_S)
        if step % 5 == 0:
            fleet.configure(None if step % 10 else SharingConfig())
        if fleet.sched.sharing is not None:
            check_usage(fleet)
        else:
            assert not fleet.sched.observers

    Fleet(3, SharingConfig(), [quiet(3), flood()], each_tick=change).run(3.0)


def test_a_withdrawn_submission_holds_nothing() -> None:
    """Guards against usage that stays because a run ends without notice to observers."""
    fleet = Fleet(1, SharingConfig(), []).run(0.1)
    fleet.sched.submit(job("gone", StepSpec(cpu_millicores=1000)), lambda *_: None)
    plan(fleet.sched, fleet.at, 0)
    assert sharing_of(fleet)._trees["svc"].queues["q"].held == Resources(1000)
    assert fleet.sched.withdraw("gone")
    plan(fleet.sched, fleet.at, 0)
    assert sharing_of(fleet)._trees["svc"].queues["q"].held == NO_RESOURCES


def test_a_single_queue_is_placed_as_without_sharing() -> None:
    """Guards against decisions that change although there is nobody to share with."""
    runs = []
    for config in (None, SharingConfig()):
        fleet = Fleet(3, config, [flood(tasks=20)])
        fleet.loads[0].jobs_per_s = 10.0
        fleet.run(3.0)
        runs.append((fleet.completions, fleet.core_s, list(fleet.sched.fleet.runs)))
    assert runs[0] == runs[1]


@pytest.fixture
def events(monkeypatch: pytest.MonkeyPatch) -> list[dict[str, Any]]:
    """Return the list to which the part's events are added."""
    found: list[dict[str, Any]] = []
    monkeypatch.setattr(
        share_log, "log_event", lambda _, event, **fields: found.append({"event": event, **fields})
    )
    return found


def test_a_waiting_organisation_is_logged_once_a_second(events: list[dict[str, Any]]) -> None:
    """Guards against operators who cannot see whose work another waits for."""
    loads = [quiet(80), flood(estimate_ms=12_000)]
    fleet = Fleet(3, SharingConfig(), loads).run(5.0)
    lines = [line for line in events if line["event"] == "share_usage"]
    waiting = [line for line in lines if line["organisation"] == "quiet"]
    assert 3 <= len(waiting) <= 5
    assert waiting[-1]["waits_for"].startswith("flood:")
    assert waiting[-1]["waiting"] > 0
    metrics = fleet.parts._metrics.render().decode()
    assert 'sapphirelead_share_used{organisation="flood"}' in metrics
    assert 'sapphirelead_share_waiting{organisation="quiet"} 0.0' not in metrics
    fleet.parts.close()
    assert 'sapphirelead_share_used{organisation="flood"} 0.0' in (
        fleet.parts._metrics.render().decode()
    )


def test_a_queue_at_its_limit_is_logged_once_a_second(events: list[dict[str, Any]]) -> None:
    """Guards against idle capacity that nobody can explain."""
    config = SharingConfig(organisations={"flood": ShareSpec(limit=0.25)})
    Fleet(3, config, [flood()]).run(3.0)
    lines = [line for line in events if line["event"] == "share_limited"]
    assert 2 <= len(lines) <= 4
    assert lines[-1]["organisation_limit"] == 0.25
    assert lines[-1]["organisation_used"] == pytest.approx(0.25)
