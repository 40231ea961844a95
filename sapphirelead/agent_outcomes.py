"""Reports of the ends of tasks, repeated until an entry has committed them.

Each end goes to one live entry at a time, in turn, so that an entry that lives but cannot reach the
table does not hold it up.
"""

import asyncio
from typing import Final

from sapphirelead.agent_ports import Links, Sender
from sapphirelead.agent_task_table import End, Fate, Phase, Task, TaskTable
from sapphirelead.clock import now
from sapphirelead.entry_ports import Lane
from sapphirelead.wire_messages import Checkpointed, Completed

REPEAT_SECONDS: Final = 1.0
ROUND_SECONDS: Final = 0.25
REPORTS_A_ROUND: Final = 64


class EndReporter:
    """Sends and repeats ends."""

    _sender: Sender
    _links: Links
    _task_table: TaskTable
    _turn: int
    _wake: asyncio.Event

    def __init__(self, sender: Sender, links: Links, task_table: TaskTable) -> None:
        self._sender = sender
        self._links = links
        self._task_table = task_table
        self._turn = 0
        self._wake = asyncio.Event()

    def wake(self) -> None:
        """Report a new end at once."""
        self._wake.set()

    async def run(self) -> None:
        """Report until cancelled."""
        while True:
            self._wake.clear()
            await self.round()
            try:
                async with asyncio.timeout(ROUND_SECONDS if self._waiting() else None):
                    await self._wake.wait()
            except TimeoutError:
                continue

    async def round(self) -> None:
        """Send the reports that are due."""
        live = self._links.live()
        due = [task for task in self._waiting() if now() - task.reported_at >= REPEAT_SECONDS]
        for task in due[:REPORTS_A_ROUND]:
            if live and task.end:
                self._turn += 1
                task.reported_at = now()
                index = live[self._turn % len(live)]
                await self._links.send(index, Lane.CONTROL, self._message(task, task.end))

    def _waiting(self) -> list[Task]:
        return self._task_table.in_phase(Phase.ENDED)

    def _message(self, task: Task, end: End) -> Completed | Checkpointed:
        if end.fate is Fate.STOPPED:
            return Checkpointed(
                key=task.key,
                epoch=task.epoch,
                checkpoint=end.checkpoint,
                reason=end.reason,
                **self._sender.head(),
            )
        return Completed(
            key=task.key,
            epoch=task.epoch,
            ok=end.fate is Fate.COMPLETED,
            result=end.result,
            reason=end.reason,
            **self._sender.head(),
        )
