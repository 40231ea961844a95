"""Simulation of workers that die in silence and return under their ids, beside another fault.

Extends :mod:`tests.sched.pairs_world`.  Lives are told apart by their births only: calls that were
meant for the last life reach the next one, whose first heartbeats may be late.
"""

import asyncio
import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any, Final

from result import Err, Result

from sapphirelead.clock import now
from sapphirelead.model_worker_life import WorkerLife, make_life, started_ms, worker_id
from sapphirelead.node_ports import (
    CallFailure,
    LifeView,
    ListLife,
    RunWorker,
    StartAnswer,
    StartCall,
    WorkerView,
)
from sapphirelead.platform.worker import LIST_TIMEOUT_MARGIN_S
from tests.sched.pairs_world import (
    FAULTS,
    GAPS_S,
    LEASES_S,
    PairSimulation,
    PairWorker,
    pair_jobs,
)
from tests.sched.test_next_lives import Client
from tests.sched.world import Slot

RETURNS: Final = "worker_returns"
MAX_RETURNS: Final = 8
"""Returns of one worker in a row."""

RETURN_INTERVALS_S: Final = (0.05, 1.5)
MAX_DOWN_S: Final = 0.5
MAX_HEARTBEAT_DELAY_S: Final = 0.5


class ReturningWorker(PairWorker):
    """A worker that may return under its id, and grants no lease beyond the longest.

    :ivar down: between two lives, when nothing is carried out.
    """

    down: bool = False

    async def _start_late(self, call: StartCall) -> None:
        await asyncio.sleep(self.late_s)
        if not self.down:
            self._accept_start(call, late=True)

    def _accept_start(self, call: StartCall, late: bool = False) -> StartAnswer:
        answer = super()._accept_start(call, late)
        self._shorten_lease()
        return answer

    async def hold(
        self, fencing_token: int, stored_through: int, lease_ms: int, wait_ms: int
    ) -> Any:
        found = await super().hold(fencing_token, stored_through, lease_ms, wait_ms)
        self._shorten_lease()
        return found

    def _shorten_lease(self) -> None:
        longest_ms = int(self.simulation.bounds.lease_max_s * 1000)
        self.lease_ms = min(self.lease_ms, self.clock_ms + longest_ms)


class LifeClient(Client):
    """A client of one life; its calls reach whatever life the worker has."""

    async def hold(
        self, fencing_token: int, stored_through: int, lease_ms: int, wait_ms: int
    ) -> Result[WorkerView, CallFailure]:
        born_ms, sent_at = self.worker.born_ms, now()
        found: Result[WorkerView, CallFailure] = await self.worker.hold(
            fencing_token, stored_through, lease_ms, wait_ms
        )
        if self.worker.born_ms != born_ms:
            # Nothing resets the connection to a worker that has died in silence.
            await asyncio.sleep(sent_at + wait_ms / 1000 + LIST_TIMEOUT_MARGIN_S - now())
            return Err(CallFailure.NO_ANSWER)
        if found.is_ok() and born_ms != started_ms(self.life):
            return Err(CallFailure.OTHER_LIFE)
        return found


@dataclass
class ReturningSlot(Slot):
    """A worker whose lives share an id.

    :ivar silent_until: loop time until which its heartbeats are held back.
    """

    silent_until: float = 0.0

    @property
    def worker_id(self) -> WorkerLife:
        return make_life(super().worker_id, self.worker.born_ms)


@dataclass
class ReturnSimulation(PairSimulation):
    """A fleet whose workers return under their ids."""

    def make_worker(self) -> PairWorker:
        return ReturningWorker(self)

    def make_slot(self, name: str) -> Slot:
        return ReturningSlot(name, self.make_worker())

    def connect(self, slot: Slot, life: WorkerLife) -> RunWorker:
        assert isinstance(slot.worker, PairWorker)
        return LifeClient(slot.worker, life)

    def list_life(self, slot: Slot) -> ListLife | None:
        async def list_life(
            life: WorkerLife, address: str, fencing_token: int
        ) -> Result[LifeView, CallFailure]:
            worker = slot.worker
            assert isinstance(worker, PairWorker)
            born_ms = worker.born_ms
            found: Result[WorkerView, CallFailure] = await worker.hold(fencing_token, 0, 0, 0)
            if worker.born_ms != born_ms:
                return Err(CallFailure.NO_ANSWER)
            named = make_life(worker_id(life), born_ms)
            return found.map(lambda view: LifeView(named, view))

        return list_life

    def fault(self, name: str) -> Callable[[Slot], Awaitable[None]]:
        return self.return_worker if name == RETURNS else super().fault(name)

    async def send_heartbeat(self, slot: Slot) -> None:
        assert isinstance(slot, ReturningSlot)
        if now() >= slot.silent_until:
            await super().send_heartbeat(slot)

    async def return_worker(self, slot: Slot) -> None:
        """Let a worker die in silence and return, several times."""
        assert isinstance(slot, ReturningSlot)
        for _ in range(self.rng.randint(1, MAX_RETURNS)):
            worker = slot.worker
            assert isinstance(worker, ReturningWorker)
            if worker.dead:
                return
            down_s = self.rng.uniform(0.0, MAX_DOWN_S)
            slot.silent_until = now() + down_s + self.rng.uniform(0.0, MAX_HEARTBEAT_DELAY_S)
            worker.begin_life(worker.born_ms + 1)
            worker.not_responding = worker.down = True
            await asyncio.sleep(down_s)
            worker.not_responding = worker.down = False
            await asyncio.sleep(self.rng.uniform(*RETURN_INTERVALS_S))


PAIRS: Final = [
    *((RETURNS, other) for other in (*FAULTS, RETURNS)),
    *((other, RETURNS) for other in FAULTS),
]


def make_return(seed: int) -> ReturnSimulation:
    """Return the simulation of a seed; successive seeds go through all pairs."""
    rng = random.Random(seed)
    return ReturnSimulation(
        seed,
        pair_jobs(rng),
        lease_max_s=rng.choice(LEASES_S),
        faults=PAIRS[seed % len(PAIRS)],
        gap_s=rng.choice(GAPS_S),
    )
