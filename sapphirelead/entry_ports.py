"""What the parts of an entry ask of each other.

Each part is a task (or a plain object) with its own state; the Protocols below are the only way one
reaches another, so that each can be tested with a small fake in the others' place.
"""

from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass
from enum import StrEnum
from typing import Any, Protocol, TypedDict

from result import Result

from sapphirelead.errors import Failure
from sapphirelead.model_config import Config
from sapphirelead.model_job import Job, JobSpec
from sapphirelead.model_resources import Resources
from sapphirelead.wire_messages import AnyMessage, ClassSample, ServiceSample, WatchEvent


class Lane(StrEnum):
    """The three connections between an entry and an agent."""

    CONTROL = "control"
    DATA = "data"
    BULK = "bulk"


@dataclass(frozen=True, slots=True)
class InstanceView:
    """What an entry knows of an instance now; an estimate, never the ledger.

    :ivar counter: highest beat counter received of this incarnation.
    :ivar heard_at: loop time at which the last message of it was drained.
    :ivar services: services that the target beside it offers.
    """

    id: str
    incarnation: str
    zone: str
    rack: str
    capacity: Resources
    free: Resources
    slots: int
    slots_used: int
    connections: int
    connections_used: int
    tasks: int
    services: frozenset[str]
    draining: bool
    fenced: bool
    counter: int
    heard_at: float
    config_version: int
    latency: tuple[ServiceSample, ...] = ()
    classes: tuple[ClassSample, ...] = ()


class Members(Protocol):
    """The instances that announced themselves to this entry."""

    def get(self, instance: str) -> InstanceView | None:
        """Return one instance, silent or not."""

    def all(self) -> list[InstanceView]:
        """Return every known instance that is not forgotten."""

    def live(self) -> list[InstanceView]:
        """Return instances that are neither silent, fenced nor draining."""

    def mark_fenced(self, instance: str, incarnation: str) -> None:
        """Record that an incarnation was fenced in the table."""

    def set_committed(self, instance: str, incarnation: str, counter: int) -> None:
        """Record the counter that is committed in the table, to be acknowledged to the agent."""


class Links(Protocol):
    """The entry's sockets."""

    def on(self, kind: type[AnyMessage], handler: Callable[[Any], None]) -> None:
        """Call ``handler`` with each received message of ``kind``; handlers never block."""

    async def send(self, instance: str, lane: Lane, message: AnyMessage) -> bool:
        """Send to an instance; ``False`` means proven not sent."""

    async def send_peer(self, entry: str, message: AnyMessage) -> bool:
        """Send to another entry's control lane; ``False`` means proven not sent."""

    def set_peers(self, peers: dict[str, str]) -> None:
        """Set the live peers, as entry id to ``host:port`` of its control lane."""


class Head(TypedDict):
    """Fields that every message carries."""

    sender: str
    incarnation: str
    config_version: int


@dataclass(frozen=True, slots=True)
class Stamp:
    """Who this process is, as every message it sends says."""

    sender: str
    incarnation: str

    def head(self, config_version: int) -> Head:
        """Return the head of a message from a process that decides by this configuration."""
        return {
            "sender": self.sender,
            "incarnation": self.incarnation,
            "config_version": config_version,
        }


class JobService(Protocol):
    """Durable jobs, as the caller API and the operator API see them."""

    async def submit(self, spec: JobSpec, rule: str) -> Result[Job, Failure]:
        """Commit a new row; a repeat of the same key and content joins the existing job.

        ``KEY_REUSED`` where the content differs, ``IMPOSSIBLE`` where no instance could ever hold
        it, ``STORE_UNAVAILABLE`` (proven not accepted), ``STORE_AMBIGUOUS`` (may be accepted).
        """

    async def get(self, key: str, wait_s: float) -> Result[Job | None, Failure]:
        """Read a job, waiting up to ``wait_s`` seconds for its end."""

    async def cancel(self, key: str) -> Result[Job, Failure]:
        """Ask for a job's cancellation and return it as it then is."""

    async def list_jobs(self, ended: bool, after: str, limit: int) -> Result[list[Job], Failure]:
        """List open or ended jobs by key."""

    def events(self, key: str) -> AsyncIterator[WatchEvent]:
        """Yield events of a watch until it ends; ends with the job."""


@dataclass(frozen=True, slots=True)
class AuditRecord:
    """One accepted change.

    :ivar changes: what it changed, one line each.
    """

    version: int
    at_ms: int
    author: str
    reason: str
    action: str
    changes: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class MemberVersion:
    """Which configuration version a live process decides by."""

    process: str
    role: str
    zone: str
    version: int


class ConfigService(Protocol):
    """The configuration in force at this entry."""

    @property
    def current(self) -> Config:
        """The highest version seen."""

    def observe(self, version: int, document: Any) -> None:
        """Take a version received from a peer or agent if it is higher."""

    def on_change(self, listener: Callable[[Config], None]) -> None:
        """Call ``listener`` with each higher version."""

    async def apply(
        self, raw: Any, base_version: int, author: str, reason: str
    ) -> Result[Config, Failure]:
        """Commit a change together with its audit record; ``CONFIG_CONFLICT`` names the winner."""

    async def history(self, after: int, limit: int) -> Result[list[AuditRecord], Failure]:
        """Read audit records, newest first."""

    def status(self) -> list[MemberVersion]:
        """List live processes and the version each decides by."""
