"""Suspected tasks that must run apart while workers are busy or jobs wait; no network."""

import pytest

from sapphirelead.blame.counts import MIN_CRASHES, SUSPECT_CRASHES
from sapphirelead.blame.evidence import MIN_JOINED_S
from sapphirelead.sched_eligibility import PlacementRequest, Urgency
from sapphirelead.sched_fleet import Run
from sapphirelead.sched_planner import _eligible
from sapphirelead.sched_reservations import RESERVATION_TIMEOUT_S, Reservations
from sapphirelead.sched_spec import StepSpec
from sapphirelead.sched_task import TaskRef
from tests.sched.fakes import job, store, worker_info
from tests.sched.test_quarantine import LONG_RUNNING, Fleet
from tests.sched.test_scheduler import ended

SHORT = StepSpec(cpu_millicores=1000, estimate_ms=1000)


class BusyFleet(Fleet):
    """A fleet whose runs end and whose workers crash when they are told to."""

    def end(self, run: Run, kind: str = "done") -> None:
        """Report the end of a run, and the others of its worker as running."""
        others = [item for item in self._runs_on(run.agent) if item is not run]
        listed = [(item.ref.text(), item.attempt) for item in others]
        self.agents.report(run.agent, runs=listed, ends=[ended(run, kind)], at=self.at)
        store(self.sched)

    def crash(self, agent: str) -> None:
        """Report another life of a worker."""
        self.agents.report(agent, worker_info(f"w-{agent}-1"), at=self.at)
        store(self.sched)

    def _runs_on(self, agent: str) -> list[Run]:
        return list(self.sched.fleet.instance(agent).runs.values())


def test_overdue_suspects_do_not_all_join_one_worker() -> None:
    """Guards against a crash of which nobody can tell which of many suspects has caused it."""
    fleet = BusyFleet(1)
    for number in range(6):
        fleet.submit_suspect(job(f"p{number}", LONG_RUNNING))
    for _ in range(12):
        known = set(fleet.sched.fleet.runs)
        fleet.wait(0.5)
        fresh = [run for run in fleet.sched.fleet.runs.values() if run.watch.alive_s < 0.5]
        assert len(set(fleet.sched.fleet.runs) - known) <= 1
        assert len(fresh) <= 1


@pytest.mark.parametrize("crashes", [SUSPECT_CRASHES, MIN_CRASHES])
def test_nothing_joins_a_suspect_that_the_next_crash_may_give_up(crashes: int) -> None:
    """Guards against a verdict that a task beside the suspect has caused."""
    fleet = BusyFleet(1)
    fleet.submit_suspect(job("p", LONG_RUNNING), crashes)
    request = PlacementRequest(LONG_RUNNING, "svc", urgency=Urgency.OVERDUE)
    instance = fleet.sched.fleet.instance("g0")
    joinable = []
    while not fleet.runs_of("p") or fleet.runs_of("p")[0].isolated:
        fleet.wait(0.5)
        if fleet.runs_of("p"):
            joinable.append(bool(_eligible(fleet.sched, [instance], request, fleet.at)))
    assert joinable[-1]
    assert any(joinable[:-1]) is (crashes == SUSPECT_CRASHES)


def test_a_suspect_near_the_limit_starts_on_a_busy_fleet() -> None:
    """Guards against an innocent task that never starts because others always begin first."""
    fleet = BusyFleet(1)
    number = 0
    fleet.place(job("s0", SHORT), job("s1", SHORT))
    fleet.submit_suspect(job("p", LONG_RUNNING), MIN_CRASHES)
    began_at = fleet.at
    while not fleet.runs_of("p") and fleet.at < began_at + 30.0:
        number += 1
        fleet.place(job(f"t{number}", SHORT), job(f"u{number}", SHORT))
        fleet.wait(0.5)
        for run in list(fleet.sched.fleet.runs.values()):
            if run.watch.alive_s >= 0.5 and run.ref.job_id != "p":
                fleet.end(run)
    (run,) = fleet.runs_of("p")
    assert fleet.beside("p") == []
    assert fleet.at - began_at <= MIN_JOINED_S + RESERVATION_TIMEOUT_S


def test_reservations_are_bounded_and_end() -> None:
    """Guards against suspects that keep a fleet idle."""
    fleet = BusyFleet(8)
    instances = list(fleet.sched.fleet.live())
    reservations = Reservations()
    for number, instance in enumerate(instances):
        reservations.make(TaskRef(f"p{number}", 0, 0, 0), instance, len(instances), 1.0)
    assert len(reservations.unreserved(instances)) == 6
    reservations.review(lambda ref: ref.job_id == "p0", 2.0)
    assert len(reservations.unreserved(instances)) == 7
    reservations.review(lambda _: True, 1.0 + RESERVATION_TIMEOUT_S)
    assert len(reservations.unreserved(instances)) == 8
