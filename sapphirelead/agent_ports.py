"""Interfaces shared by the components of an agent: message headers and links to entries."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Protocol

from sapphirelead.entry_ports import Channel
from sapphirelead.wire_messages import AnyMessage


@dataclass(slots=True)
class Sender:
    """The header of every message that this agent sends.

    :ivar config_version: version of the operators' configuration in force at the agent.
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
    """Connections to the entries, each identified by its index in the settings."""

    @property
    def indexes(self) -> range:
        """Indexes of all links."""

    def on(self, kind: type[AnyMessage], handler: Handler) -> None:
        """Call ``handler`` with the link's index for each message of ``kind``."""

    def live(self) -> list[int]:
        """Return the indexes of links whose entry recently acknowledged a heartbeat."""

    def announce_due(self, index: int, ack_timeout_s: float) -> bool:
        """Return whether the entry acknowledged no heartbeat within ``ack_timeout_s``."""

    def open(self) -> None:
        """Connect to every entry."""

    def reopen(self) -> None:
        """Reconnect every link under the sender's new incarnation."""

    def reconnect_unresponsive(self) -> None:
        """Reconnect the links that have timed out."""

    async def send(self, index: int, channel: Channel, message: AnyMessage) -> bool:
        """Send to one entry; ``False`` means that the message was certainly not sent."""

    async def broadcast(self, message: AnyMessage) -> None:
        """Send over the control lane of every live link."""

    async def close(self) -> None:
        """Close all links after sending the queued messages."""
