"""What the parts of an agent that handle tasks share."""

from dataclasses import dataclass

from sapphirelead.agent_ports import Sender
from sapphirelead.agent_task_table import TaskTable
from sapphirelead.agent_worker import WorkerSession
from sapphirelead.model_lease import LeaseHolder
from sapphirelead.model_ledger import Ledger


@dataclass(slots=True)
class AgentContext:
    """The state of one agent, used only from the agent's loop.

    :ivar lease: the lease of the present incarnation; replaced with it.
    :ivar ready: whether the worker's tasks have been charged since its session was opened.
    """

    sender: Sender
    ledger: Ledger
    task_table: TaskTable
    session: WorkerSession
    lease: LeaseHolder
    ready: bool = False
    draining: bool = False
