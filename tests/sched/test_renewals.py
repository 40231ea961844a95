"""Tests of the list of agents whose leases a leader does not renew."""

from typing import Final

import msgspec
import pytest

from sapphirelead.model_worker_life import WorkerLife
from sapphirelead.ports import Row
from sapphirelead.sched_fleet import Fleet, Instance, Run
from sapphirelead.sched_head import HEAD_KEY, HeadRow, LeaderClock
from sapphirelead.sched_renewal_holds import (
    MAX_LISTED_AGENTS,
    SILENCE_THRESHOLD_S,
    RenewalHolds,
)
from sapphirelead.sched_renewals import PriorRenewals, RenewalList, RenewalSource, UnmetAge
from sapphirelead.sched_spec import StepSpec
from sapphirelead.sched_task import TaskRef
from sapphirelead.sched_timing import CLOCK_DRIFT_SHARE, HEAD_LEASE_S
from tests.sched.fakes import worker_info


def instance(agent: str, reported_at: float, renewed_at: float | None = None) -> Instance:
    """Return an agent with a run that last reported at ``reported_at``."""
    found = Instance(agent, boot="b", worker=worker_info("w"), last_report_at=reported_at)
    found.renewed_at = reported_at if renewed_at is None else renewed_at
    found.add(Run(TaskRef("a1", 0, 0, 0), 1, agent, WorkerLife("w"), StepSpec(cpu_millicores=1000)))
    return found


@pytest.mark.parametrize(
    ("renewals", "agent", "expected", "source"),
    [
        (RenewalList(), "g1", 100.0 + HEAD_LEASE_S, RenewalSource.ASSUMED),
        (RenewalList({"g1": 2500}), "g1", 97.5, RenewalSource.LISTED),
        (RenewalList({"g1": 2500}), "g2", 100.0 + HEAD_LEASE_S, RenewalSource.ASSUMED),
        (RenewalList({"g1": -1500}), "g1", 101.5, RenewalSource.LISTED),
        (RenewalList({"g1": 2500}, 1000), "g2", 99.0, RenewalSource.ASSUMED),
        (RenewalList({}, -3000), "g2", 103.0, RenewalSource.ASSUMED),
    ],
)
def test_latest_renewal_by_a_previous_leader(
    renewals: RenewalList, agent: str, expected: float, source: RenewalSource
) -> None:
    prior = PriorRenewals.from_list(renewals, 100.0)
    assert prior.latest(agent) == pytest.approx(expected)
    assert prior.source(agent) is source


def test_ages_are_never_rounded_up() -> None:
    """Guards against a rounded age that ends a lease before it has expired."""
    prior = PriorRenewals({"g1": 10.0005, "g2": 20.0005}, 15.0005)
    again = PriorRenewals.from_list(prior.to_list(16.0), 16.0)
    for agent in ("g1", "g2", "other"):
        assert prior.latest(agent) <= again.latest(agent) < prior.latest(agent) + 0.0011


def test_silent_agents_are_held_from_sending_the_list_until_a_later_one_is_stored() -> None:
    """Guards against a renewal that a successor does not expect."""
    holds = RenewalHolds(RenewalList())
    agent = instance("g1", reported_at=10.0)
    assert not holds.outdated([agent], 10.0 + SILENCE_THRESHOLD_S - 0.01)
    at = 10.0 + SILENCE_THRESHOLD_S + 0.01
    assert holds.outdated([agent], at)
    assert holds.allows_renewal("g1")
    listed = holds.next_list([agent], at)
    assert not holds.allows_renewal("g1")
    assert holds.record_stored(listed) == set()
    agent.last_report_at = at + 1.0
    assert holds.outdated([agent], at + 1.0)
    holds.record_declined("g1")
    released = holds.next_list([agent], at + 1.0)
    assert not holds.allows_renewal("g1")
    assert holds.record_stored(released) == {"g1"}
    assert holds.record_stored(released) == set()
    assert holds.allows_renewal("g1")


def test_a_leader_renews_nothing_before_its_own_list_is_stored() -> None:
    """Guards against a renewal in the time for which the row states that there is none."""
    holds = RenewalHolds(RenewalList({"g1": 10}, -3000))
    assert holds.outdated([], 0.0)
    assert not holds.allows_renewal("g2")
    holds.record_declined("g2")
    stored = holds.next_list([], 0.0)
    assert not holds.allows_renewal("g2")
    assert holds.record_stored(stored) == {"g2"}
    assert holds.allows_renewal("g2")


def test_a_release_between_two_lists_in_flight_is_not_lost() -> None:
    """Guards against renewing an agent that the newest stored list names."""
    holds = RenewalHolds(RenewalList())
    agent = instance("g1", reported_at=0.0)
    first = holds.next_list([agent], 5.0)
    agent.last_report_at = 5.1
    holds.record_stored(first)
    second = holds.next_list([agent], 5.2)
    third = holds.next_list([agent], 9.0)
    holds.record_stored(second)
    holds.record_stored(third)
    assert not holds.allows_renewal("g1")


def test_the_longest_silent_agents_are_listed_within_the_limit() -> None:
    """Guards against a head row that the store refuses, and against a commit in every round."""
    holds = RenewalHolds(RenewalList())
    agents = [instance(f"agent-{number:04}", number / 1000) for number in range(600)]
    for agent in agents:
        agent.boot = ""
    listed = holds.next_list(agents, 100.0)
    assert len(listed.ages_ms) == MAX_LISTED_AGENTS
    assert set(listed.ages_ms) == {f"agent-{number:04}" for number in range(MAX_LISTED_AGENTS)}
    assert len(msgspec.msgpack.encode(listed.to_value())) < 40_000
    holds.record_stored(listed)
    assert not holds.outdated(agents, 100.0)
    assert holds.allows_renewal("agent-0599")


def test_a_list_of_long_names_stays_within_the_row() -> None:
    """Guards against a head row that the store refuses because of long names."""
    holds = RenewalHolds(RenewalList())
    agents = [instance(f"agent-{number:04}-{'x' * 180}", number / 1000) for number in range(400)]
    for agent in agents:
        agent.boot = ""
    listed = holds.next_list(agents, 100.0)
    assert 100 < len(listed.ages_ms) < 200
    assert len(msgspec.msgpack.encode(listed.to_value())) < 40_000
    holds.record_stored(listed)
    assert not holds.outdated(agents, 100.0)


def test_agents_that_fall_silent_together_keep_their_renewals() -> None:
    """Guards against leases that run out in an outage after the leader was cut off or stalled."""
    holds = RenewalHolds(RenewalList())
    agents = [instance(f"g{number}", 10.0) for number in range(3)]
    assert not holds.outdated(agents, 12.0)
    assert holds.next_list(agents, 12.0) == RenewalList()
    for agent in agents[1:]:
        agent.last_report_at = 12.0
    assert set(holds.next_list(agents, 12.1).ages_ms) == {"g0"}


def test_a_listed_agent_stays_listed_when_most_fall_silent() -> None:
    """Guards against a release of an agent that has not reported."""
    holds = RenewalHolds(RenewalList())
    agents = [instance("g0", 5.0), instance("g1", 10.0), instance("g2", 10.0)]
    holds.record_stored(holds.next_list(agents, 10.0))
    assert set(holds.next_list(agents, 13.0).ages_ms) == {"g0"}


@pytest.mark.parametrize("sent_ms", ["soon", -5, None, 2.5])
def test_a_damaged_time_of_sending_counts_as_unknown(sent_ms: object) -> None:
    """Guards against a foreign row that hides the epoch."""
    value = {"epoch": 4, "leader": "e1", "txn": "t", "sent_ms": sent_ms}
    value["renewals"] = RenewalList().to_value()
    head = HeadRow.from_row(Row(HEAD_KEY, 9, value, read_ms=8000))
    assert (head.epoch, head.age_s) == (4, 0.0)


@pytest.mark.parametrize(
    "value",
    [
        5,
        {"ages_ms": {"g1": "x"}, "others_ms": None},
        {"ages_ms": {"g1": 2**60}, "others_ms": None},
        {"ages_ms": [], "others_ms": None},
        {"ages_ms": {}, "others_ms": "soon"},
    ],
)
def test_a_damaged_list_counts_as_absent(value: object) -> None:
    """Guards against a foreign row that hides the epoch or shortens a lease."""
    head = HeadRow.from_row(
        Row(HEAD_KEY, 9, {"epoch": 4, "leader": "e1", "txn": "t", "renewals": value})
    )
    assert (head.epoch, head.leader) == (4, "e1")
    assert head.prior_renewals(100.0, 101.0).latest("g1") == 101.0 + HEAD_LEASE_S


def test_a_row_of_the_previous_version_is_read() -> None:
    row = Row(HEAD_KEY, 9, {"epoch": 4, "leader": "e1", "txn": "t"}, read_ms=8000)
    prior = HeadRow.from_row(row).prior_renewals(100.0, 101.0)
    assert prior.latest("g1") == 101.0 + HEAD_LEASE_S


@pytest.mark.parametrize(
    ("sent_ms", "read_ms", "expected"),
    [(5000, 8000, 101.0), (0, 8000, 104.0), (5000, 0, 104.0), (9000, 8000, 104.0)],
)
def test_the_age_of_a_row_is_known_by_the_clock_of_the_store(
    sent_ms: int, read_ms: int, expected: float
) -> None:
    renewals = RenewalList().to_value()
    value = {"epoch": 4, "leader": "e1", "txn": "t", "renewals": renewals, "sent_ms": sent_ms}
    head = HeadRow.from_row(Row(HEAD_KEY, 9, value, read_ms))
    assert head.prior_renewals(100.0, 101.0).latest("g1") == pytest.approx(expected)


DRIFT_S: Final = CLOCK_DRIFT_SHARE
"""Drift within a second."""


@pytest.mark.parametrize(
    ("clock", "row_ms", "expected"),
    [
        (LeaderClock(4, 5000, 90.0), 4000, 89.0 + DRIFT_S),
        (LeaderClock(4, 5000, 90.0), 6000, 91.0 + DRIFT_S),
        (LeaderClock(4, 5000, 90.0), 25_000, 100.0),
        (LeaderClock(3, 5000, 90.0), 4000, 100.0),
        (LeaderClock(4, 0, 90.0), 4000, 100.0),
        (LeaderClock(4, 5000, 90.0), 0, 100.0),
        (None, 4000, 100.0),
    ],
    ids=["before", "after", "long_after", "other_leader", "no_reading", "no_time", "not_heard"],
)
def test_a_heartbeat_dates_a_row_of_its_leader(
    clock: LeaderClock | None, row_ms: int, expected: float
) -> None:
    """Guards against time lost between a leader's last row and its successor's read of it."""
    renewals = RenewalList({"g1": 2500}).to_value()
    value = {"epoch": 4, "leader": "e1", "txn": "t", "renewals": renewals, "leader_ms": row_ms}
    prior = HeadRow.from_row(Row(HEAD_KEY, 9, value)).prior_renewals(100.0, 101.0, clock)
    assert prior.latest("g1") == pytest.approx(expected - 2.5)
    assert prior.latest("g2") == pytest.approx(expected + HEAD_LEASE_S)


@pytest.mark.parametrize("leader_ms", ["soon", -5, None, 2.5])
def test_a_damaged_clock_of_the_leader_counts_as_unknown(leader_ms: object) -> None:
    """Guards against a foreign row that dates itself."""
    value = {"epoch": 4, "leader": "e1", "txn": "t", "leader_ms": leader_ms}
    value["renewals"] = RenewalList().to_value()
    head = HeadRow.from_row(Row(HEAD_KEY, 9, value))
    prior = head.prior_renewals(100.0, 101.0, LeaderClock(4, 5000, 90.0))
    assert prior.latest("g1") == 100.0 + HEAD_LEASE_S


def unmet_instance(agent: str, boot: str, renewed_at: float) -> Instance:
    """Return an agent whose process ``boot`` has not met the worker of its run."""
    found = instance(agent, reported_at=renewed_at)
    found.record_unmet(boot)
    found.boot, found.worker = boot, None
    return found


def test_a_successor_learns_when_earlier_processes_renewed_a_lease() -> None:
    """Guards against a bound for unmet claims that starts anew with each leader."""
    holds = RenewalHolds(RenewalList())
    agent = unmet_instance("g1", "b2", renewed_at=10.0)
    agent.last_report_at = agent.renewed_at = 13.0
    assert holds.outdated([agent], 13.0)
    listed = holds.next_list([agent], 13.0)
    assert listed.unmet == {"g1": UnmetAge("b2", 3000)}
    assert holds.allows_renewal("g1")
    holds.record_stored(listed)
    assert not holds.outdated([agent], 13.1)
    brief = PriorRenewals.from_list(RenewalList.from_value(listed.to_value()) or listed, 13.0)
    prior = PriorRenewals.from_list(brief.to_list(15.0), 15.0)
    heard = Fleet(prior).instance("g1")
    heard.record_unmet("b2")
    assert heard.unmet_renewed_at == pytest.approx(10.0)


def test_a_process_that_no_row_lists_counts_from_the_latest_renewal() -> None:
    """Guards against a bound of a process that was replaced by one that met the worker."""
    prior = PriorRenewals.from_list(RenewalList(unmet={"g1": UnmetAge("b2", 3000)}), 13.0)
    heard = Fleet(prior).instance("g1")
    heard.record_unmet("b3")
    assert heard.unmet_renewed_at == 13.0 + HEAD_LEASE_S


def test_a_leader_that_has_not_heard_an_agent_passes_on_what_it_inherited() -> None:
    """Guards against a brief leader that forgets the renewals by earlier processes."""
    prior = PriorRenewals.from_list(RenewalList(unmet={"g1": UnmetAge("b2", 3000)}), 13.0)
    heard = Fleet(prior).instance("g1")
    heard.add(next(iter(instance("g1", 0.0).runs.values())))
    assert RenewalHolds(RenewalList()).next_list([heard], 14.0).unmet == {
        "g1": UnmetAge("b2", 4000)
    }


def test_a_list_of_an_earlier_version_names_no_unmet_workers() -> None:
    """Guards against a successor that cannot read the row of the version before."""
    assert RenewalList.from_value({"ages_ms": {"g1": 5}, "others_ms": None}) == RenewalList(
        {"g1": 5}
    )


def test_unmet_workers_stay_within_the_row() -> None:
    """Guards against a head row that the store refuses after a restart of many agents."""
    holds = RenewalHolds(RenewalList())
    agents = [unmet_instance(f"agent-{number:04}", "b2", number / 1000) for number in range(600)]
    for agent in agents:
        agent.last_report_at = 100.0
    listed = holds.next_list(agents, 100.0)
    assert len(listed.unmet) == MAX_LISTED_AGENTS
    assert len(msgspec.msgpack.encode(listed.to_value())) < 40_000
    holds.record_stored(listed)
    assert not holds.outdated(agents, 100.0)
