"""Reports the outcomes of ended tasks, and repeats them until an entry has committed them.

Each report goes to one live entry, chosen round-robin, so that an entry that is live but cannot
reach the table does not block it.
"""

import asyncio
from typing import Final

from sapphirelead.agent_ports import Links, Sender
from sapphirelead.agent_task_table import ClaimOutcome, Phase, Task, TaskOutcome, TaskTable
from sapphirelead.clock import now
from sapphirelead.entry_ports import Channel
from sapphirelead.wire_messages import Checkpointed, Completed

REPEAT_INTERVAL_S: Final = 1.0
ROUND_INTERVAL_S: Final = 0.25
MAX_REPORTS_PER_ROUND: Final = 64


class OutcomeReporter:
    """Sends the outcomes of ended tasks and repeats those that are not acknowledged."""

    _sender: Sender
    _links: Links
    _task_table: TaskTable
    _sent_count: int
    _wake: asyncio.Event

    def __init__(self, sender: Sender, links: Links, task_table: TaskTable) -> None:
        self._sender = sender
        self._links = links
        self._task_table = task_table
        self._sent_count = 0
        self._wake = asyncio.Event()

    def wake(self) -> None:
        """Send the reports that are due without waiting for the next round."""
        self._wake.set()

    async def run(self) -> None:
        """Report until cancelled."""
        while True:
            self._wake.clear()
            await self.round()
            try:
                async with asyncio.timeout(ROUND_INTERVAL_S if self._unacknowledged() else None):
                    await self._wake.wait()
            except TimeoutError:
                continue

    async def round(self) -> None:
        """Send the reports that are due."""
        live = self._links.live()
        due = [
            task for task in self._unacknowledged() if now() - task.reported_at >= REPEAT_INTERVAL_S
        ]
        for task in due[:MAX_REPORTS_PER_ROUND]:
            if live and task.outcome:
                self._sent_count += 1
                task.reported_at = now()
                index = live[self._sent_count % len(live)]
                await self._links.send(index, Channel.CONTROL, self._message(task, task.outcome))

    def _unacknowledged(self) -> list[Task]:
        return self._task_table.in_phase(Phase.ENDED)

    def _message(self, task: Task, outcome: TaskOutcome) -> Completed | Checkpointed:
        if outcome.claim_outcome is ClaimOutcome.STOPPED:
            return Checkpointed(
                key=task.key,
                epoch=task.epoch,
                checkpoint=outcome.checkpoint,
                reason=outcome.reason,
                **self._sender.head(),
            )
        return Completed(
            key=task.key,
            epoch=task.epoch,
            ok=outcome.claim_outcome is ClaimOutcome.COMPLETED,
            result=outcome.result,
            reason=outcome.reason,
            **self._sender.head(),
        )
