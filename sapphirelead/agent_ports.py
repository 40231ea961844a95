"""What the parts of an agent share: the head of its messages, and the links to entries."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Protocol

from sapphirelead.entry_ports import Lane
from sapphirelead.wire_messages import AnyMessage


@dataclass(slots=True)
class Sender:
    """The head of every message this agent sends.

    :ivar config_version: version of the operators' configuration that the agent decides by.
    """

    instance: str
    incarnation: str
    config_version: int = 0

    def head(self) -> dict[str, Any]:
        """Return the fields that every message starts with."""
        return {
            "sender": self.instance,
            "incarnation": self.incarnation,
            "config_version": self.config_version,
        }


Handler = Callable[[int, Any], None]


class Links(Protocol):
    """Connections to the entries, each named by its place in the settings."""

    @property
    def indexes(self) -> range:
        """Numbers of all links."""

    def on(self, kind: type[AnyMessage], handler: Handler) -> None:
        """Call ``handler`` with the link's number and each message of ``kind``."""

    def live(self) -> list[int]:
        """Return links over which the entry lately acknowledged a beat."""

    def announce_due(self, index: int, ack_timeout_s: float) -> bool:
        """Return whether the entry has left beats of the last ``ack_timeout_s`` unanswered."""

    def open(self) -> None:
        """Connect to every entry."""

    def reopen(self) -> None:
        """Connect anew everywhere, under the sender's new incarnation."""

    def reconnect_unresponsive(self) -> None:
        """Connect anew to entries that have gone silent."""

    async def send(self, index: int, lane: Lane, message: AnyMessage) -> bool:
        """Send to one entry; ``False`` means proven not sent."""

    async def broadcast(self, message: AnyMessage) -> None:
        """Send to the control lane of every live entry."""

    async def close(self) -> None:
        """Close all links after what was queued has left."""
