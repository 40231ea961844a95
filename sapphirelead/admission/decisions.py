"""Decides which jobs are refused because they cannot be served in time.  No I/O.

Answers a load of several times the capacity: without refusals every job is accepted and most are
late.  A job is refused if even the low estimate of its wait makes it miss its objective, or if its
organisation's queue would take longer than the configured bound.  Refusing begins at a bound and
ends at ``exit_share`` of it, so that the decision does not alternate with each job.

Never refused: jobs for which there is room, jobs that only harm themselves by being late, scheduled
and long-running jobs, and jobs that are too large for the workers, which is no matter of load.
"""

from dataclasses import dataclass
from typing import Final

import msgspec

from sapphirelead.admission.demand import ServiceDemand
from sapphirelead.admission.ledger import Ledger
from sapphirelead.admission.loads import (
    NOTHING,
    Amount,
    Supply,
    Work,
    covers,
    larger,
    load_of,
    total,
)
from sapphirelead.admission.places import MAX_RETRY_S, Place, Places
from sapphirelead.admission.rooms import RoomFinder
from sapphirelead.admission.shares import QueueShares
from sapphirelead.admission.waits import Wait, occupied_s, start_s
from sapphirelead.sched_core import Scheduler
from sapphirelead.sched_lengths import LengthEstimator
from sapphirelead.sched_parts import AdmissionConfig
from sapphirelead.sched_spec import JobSpec, QueuePolicy, StepSpec, chain_ms

LOW_QUANTILE: Final = 0.1
"""Quantile of run times by which a job counts as certainly late."""


RETURN_SHARE: Final = 0.5
"""Share of a bound that refused callers shall find when they return, in the middle between idle
workers and a job that is late, so that estimates may be off in both directions."""


@dataclass(frozen=True, slots=True)
class JobDemand:
    """What a job asks for.

    :ivar first: its tasks that depend on no others.
    :ivar need: what one of these occupies, at most.
    :ivar work: work of all its tasks.
    :ivar slack_s: how long it can wait and be in time, if its tasks are quick.
    :ivar declared_slack_s: the same by the caller's estimates.
    """

    first: Work
    need: Amount
    work: Work
    slack_s: float
    declared_slack_s: float

    @classmethod
    def from_spec(cls, spec: JobSpec, policy: QueuePolicy, lengths: LengthEstimator) -> "JobDemand":
        """Return the demand of a job."""
        first, work, need = Work(), Work(), NOTHING
        for step in spec.steps:
            load, length_s = load_of(step), lengths.expected_ms(spec.queue, step) / 1000
            work.add(load, length_s, step.tasks)
            if not step.after:
                first.add(load, length_s, step.tasks)
                need = larger(need, load)
        declared_ms = max(chain_ms(spec.steps))
        objective_ms = policy.stretch * declared_ms + policy.slack_ms
        quick_ms = max(chain_ms(_with_lengths(spec, lengths, LOW_QUANTILE)))
        slack_s = (objective_ms - quick_ms) / 1000
        return cls(first, need, work, slack_s, (objective_ms - declared_ms) / 1000)


@dataclass(frozen=True, slots=True)
class Assessment:
    """How a job would fare if it were accepted.

    :ivar wait: estimate of its wait behind what has been accepted.
    :ivar expected_s: low estimate of its wait, also behind the holders of places.
    :ivar queue_s: time that its organisation's queue takes.
    :ivar bound_s: wait up to which it is in time.
    :ivar cost_s: time for which it occupies the service.
    :ivar alone: whether no other job of its or a higher priority waits.
    """

    wait: Wait
    expected_s: float
    queue_s: float
    bound_s: float
    cost_s: float
    alone: bool

    def acceptable(self, config: AdmissionConfig, factor: float) -> bool:
        """Whether the job is accepted.

        :param factor: share of the bounds that counts.
        """
        in_time = self.expected_s <= self.bound_s * factor
        return self.alone or (in_time and self.queue_s <= config.max_wait_s * factor)

    def excess_s(self, config: AdmissionConfig) -> float:
        """Return the time in which the backlog shrinks to what returning callers shall find."""
        share = min(config.exit_share, RETURN_SHARE)
        late_s = self.wait.low - self.bound_s * share
        long_s = self.queue_s - config.max_wait_s * share
        return min(max(0.0, late_s, long_s), MAX_RETRY_S)


class Assessor:
    """Assesses jobs by the state of the scheduler."""

    _ledger: Ledger
    _sched: Scheduler
    _places: Places
    _rooms: RoomFinder
    shares: QueueShares

    def __init__(
        self, ledger: Ledger, sched: Scheduler, places: Places, shares: QueueShares
    ) -> None:
        self._ledger = ledger
        self._sched = sched
        self._places = places
        self._rooms = RoomFinder(sched.fleet)
        self.shares = shares

    def assess(
        self, spec: JobSpec, policy: QueuePolicy, place: Place | None, at: float
    ) -> Assessment | None:
        """Return how a job would fare; ``None`` if it must not be refused.

        :param place: the place that the job holds.
        """
        if spec.occurrences or spec.lasting:
            return None
        demand = self._ledger.demand(policy.service)
        job = JobDemand.from_spec(spec, policy, self._sched.lengths)
        if not any(demand.offered) or not covers(demand.offered, job.need):
            return None
        if demand.has_room(policy.priority, job.first):
            return None
        if self._fits_now(demand, spec, policy, job, at):
            return None
        supply, waiting = demand.supply(at), demand.all_ahead(policy.priority)
        organisation = self.shares.organisation_of(spec.queue)
        promised_s = self._promised_s(policy, None, place, at)
        promised_own_s = self._promised_s(policy, organisation, place, at)
        ahead = demand.ahead(policy.priority, at, at + job.declared_slack_s)
        factor = demand.lengths.factor
        low_s = factor * start_s(supply, ahead, job.first, job.need, with_cold=True)
        high_s = factor * start_s(supply, waiting, job.first, job.need, with_cold=False)
        expected_s = low_s + promised_s
        share = self.shares.guaranteed(spec.queue)
        if share > 0:
            own = total(demand.queues.get(spec.queue, Work()).amount, job.first.amount)
            own_s = factor * occupied_s(supply, own) / share
            expected_s = min(expected_s, own_s + promised_own_s)
        return Assessment(
            Wait(low_s, max(low_s, high_s)),
            expected_s,
            factor * self._queue_s(demand, supply, organisation) + promised_own_s,
            job.slack_s,
            factor * occupied_s(supply, job.work.amount),
            not waiting.tasks and promised_s <= 0,
        )

    def _promised_s(
        self, policy: QueuePolicy, organisation: str | None, place: Place | None, at: float
    ) -> float:
        """Return for how long holders of places before a job occupy the service."""
        if place is not None and place.on_time(at):
            return 0.0
        promised_s = self._places.promised_s(policy.service, policy.priority, organisation)
        return max(0.0, promised_s - place.cost_s) if place is not None else promised_s

    def _fits_now(
        self, demand: ServiceDemand, spec: JobSpec, policy: QueuePolicy, job: JobDemand, at: float
    ) -> bool:
        """Whether there is room that the waiting tasks, which are larger, cannot use."""
        if demand.has_smaller_waiting(policy.priority, job.need):
            return False
        first = [step for step in spec.steps if not step.after]
        return all(self._rooms.has_room(policy.service, step, at) for step in first)

    def _queue_s(self, demand: ServiceDemand, supply: Supply, organisation: str) -> float:
        """Return the time that the queue of an organisation takes on its share."""
        work, share = Work(), 0.0
        for name, own in demand.queues.items():
            if self.shares.organisation_of(name) == organisation:
                work.merge(own)
                share += self.shares.guaranteed(name)
        return occupied_s(supply, work.amount) / (min(share, 1.0) or 1.0)


def _with_lengths(spec: JobSpec, lengths: LengthEstimator, quantile: float) -> tuple[StepSpec, ...]:
    return tuple(
        msgspec.structs.replace(step, estimate_ms=lengths.expected_ms(spec.queue, step, quantile))
        for step in spec.steps
    )
