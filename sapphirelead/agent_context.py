"""State shared by the components of an agent that handle tasks."""

from dataclasses import dataclass

from sapphirelead.agent_ports import Sender
from sapphirelead.agent_task_table import TaskTable
from sapphirelead.agent_worker import WorkerSession
from sapphirelead.model_lease import LeaseHolder
from sapphirelead.model_ledger import Ledger


@dataclass(slots=True)
class AgentContext:
    """The state of one agent; not thread-safe, used only from the agent's event loop.

    :ivar lease: the lease of the current incarnation; replaced when the incarnation changes.
    :ivar ready: whether the worker's tasks have been charged to the ledger in this session.
    :ivar zone_evacuated: whether operators have evacuated the agent's zone.
    """

    sender: Sender
    ledger: Ledger
    task_table: TaskTable
    session: WorkerSession
    lease: LeaseHolder
    ready: bool = False
    draining: bool = False
    zone_evacuated: bool = False
