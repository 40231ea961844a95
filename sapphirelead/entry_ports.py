"""Interfaces between the components of an entry.

Components use each other only through these protocols, so each can be tested with fakes.
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


class Channel(StrEnum):
    """The channels between an entry and an agent, one connection each."""

    CONTROL = "control"
    DATA = "data"
    BULK = "bulk"


@dataclass(frozen=True, slots=True)
class InstanceView:
    """An entry's latest view of an instance, from its messages; the agent's ledger may differ.

    :ivar counter: highest heartbeat counter received from this incarnation.
    :ivar heard_at: loop time at which its last message was received.
    :ivar services: services offered by the target on the instance.
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
    """Instances that announced themselves to this entry."""

    def get(self, instance: str) -> InstanceView | None:
        """Return one instance, whether responsive or not."""

    def all(self) -> list[InstanceView]:
        """Return every known instance."""

    def live(self) -> list[InstanceView]:
        """Return instances that are responsive and neither fenced nor draining."""

    def mark_fenced(self, instance: str, incarnation: str) -> None:
        """Record that an incarnation was fenced in the table."""

    def set_committed(self, instance: str, incarnation: str, counter: int) -> None:
        """Record the counter committed in the table, to be acknowledged to the agent."""


class Links(Protocol):
    """The entry's sockets."""

    def on(self, kind: type[AnyMessage], handler: Callable[[Any], None]) -> None:
        """Call ``handler`` with each received message of ``kind``; handlers must not block."""

    async def send(self, instance: str, channel: Channel, message: AnyMessage) -> bool:
        """Send to an instance; ``False`` guarantees that nothing was sent."""

    async def send_peer(self, entry: str, message: AnyMessage) -> bool:
        """Send to a peer's control channel; ``False`` guarantees that nothing was sent."""

    def set_peers(self, peers: dict[str, str]) -> None:
        """Set the live peers, as entry id to ``host:port`` of its control channel."""


class Head(TypedDict):
    """Header fields of every message."""

    sender: str
    incarnation: str
    config_version: int


@dataclass(frozen=True, slots=True)
class Stamp:
    """Identity of this process as the sender of messages."""

    sender: str
    incarnation: str

    def head(self, config_version: int) -> Head:
        """Return message header fields for a process that uses this configuration version."""
        return {
            "sender": self.sender,
            "incarnation": self.incarnation,
            "config_version": config_version,
        }


class JobService(Protocol):
    """Durable jobs, as used by the caller API and the operator API."""

    async def submit(self, spec: JobSpec, rule: str) -> Result[Job, Failure]:
        """Commit a new job; a repeat of the same key and content returns the existing job.

        Fails with ``KEY_REUSED`` if the content differs, ``IMPOSSIBLE`` if no instance is large
        enough, ``STORE_UNAVAILABLE`` (not accepted) or ``STORE_AMBIGUOUS`` (may be accepted).
        """

    async def get(self, key: str, wait_s: float) -> Result[Job | None, Failure]:
        """Read a job, waiting up to ``wait_s`` seconds for its end."""

    async def cancel(self, key: str) -> Result[Job, Failure]:
        """Request a job's cancellation and return the job after the request."""

    async def list_jobs(self, ended: bool, after: str, limit: int) -> Result[list[Job], Failure]:
        """List open or ended jobs by key."""

    def events(self, key: str) -> AsyncIterator[WatchEvent]:
        """Yield events of a watch until its job ends."""


@dataclass(frozen=True, slots=True)
class AuditRecord:
    """Audit record of one accepted configuration change.

    :ivar changes: descriptions of the changes, one line each.
    """

    version: int
    at_ms: int
    author: str
    reason: str
    action: str
    changes: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class MemberVersion:
    """The configuration version that a live process uses."""

    process: str
    role: str
    zone: str
    version: int


class ConfigService(Protocol):
    """The current configuration of this entry."""

    @property
    def current(self) -> Config:
        """The highest version seen."""

    def observe(self, version: int, document: Any) -> None:
        """Adopt a version received from a peer or agent if it is higher."""

    def on_change(self, listener: Callable[[Config], None]) -> None:
        """Call ``listener`` with each newly adopted version."""

    def on_read(self, listener: Callable[[float], None]) -> None:
        """Call ``listener`` after each read of the table that confirms the current version.

        It gets the time at which the read was sent, on the clock that also counts while the
        machine is suspended.
        """

    async def apply(
        self, raw: Any, base_version: int, author: str, reason: str
    ) -> Result[Config, Failure]:
        """Commit a change and its audit record; ``CONFIG_CONFLICT`` names the current version."""

    async def history(self, after: int, limit: int) -> Result[list[AuditRecord], Failure]:
        """Read audit records, newest first."""

    def status(self) -> list[MemberVersion]:
        """List live processes and the version that each uses."""
