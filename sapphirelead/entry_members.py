"""Tracks the instances known to an entry, on top of ``model_membership.MembershipTable``.

Receives announcements and heartbeats on the control channel, acknowledges heartbeats, and notifies
listeners of changes in views and liveness.  Configuration versions of agents are handled by
:mod:`sapphirelead.entry_config`.
"""

import asyncio
from collections.abc import Callable
from typing import Any, Final, Protocol

from sapphirelead.clock import now
from sapphirelead.entry_ports import Channel, InstanceView, Stamp
from sapphirelead.logs import log_event
from sapphirelead.model_membership import MembershipTable
from sapphirelead.settings import EntrySettings
from sapphirelead.wire_messages import Announce, AnyMessage, Heartbeat, HeartbeatAck

CHECKS_PER_TIMEOUT: Final = 10

ViewListener = Callable[[InstanceView, bool], None]


class MemberLinks(Protocol):
    """The part of the links that membership uses."""

    def on(self, kind: type[AnyMessage], handler: Callable[[Any], None]) -> None:
        """Call ``handler`` with each received message of ``kind``."""

    def send_now(
        self, instance: str, channel: Channel, message: AnyMessage, incarnation: str = ""
    ) -> bool:
        """Send a message; ``False`` guarantees that nothing was sent."""

    def set_current(self, instance: str, incarnation: str) -> None:
        """Set the incarnation that sends without an incarnation reach."""


class EntryMembers:
    """Implements :class:`~sapphirelead.entry_ports.Members`."""

    _table: MembershipTable
    _links: MemberLinks
    _config_version: Callable[[], int]
    _stamp: Stamp
    _listeners: list[ViewListener]
    _notified_live: dict[str, bool]
    _task: asyncio.Task[None] | None

    def __init__(self, table: MembershipTable, links: MemberLinks, stamp: Stamp) -> None:
        self._table = table
        self._links = links
        self._config_version = lambda: 0
        self._stamp = stamp
        self._listeners = []
        self._notified_live = {}
        self._task = None
        links.on(Announce, self._on_announce)
        links.on(Heartbeat, self._on_heartbeat)

    @classmethod
    def from_settings(
        cls, settings: EntrySettings, links: MemberLinks, stamp: Stamp
    ) -> "EntryMembers":
        """Return an empty membership."""
        return cls(MembershipTable.from_settings(settings.lease, now()), links, stamp)

    def use_config_version(self, version: Callable[[], int]) -> None:
        """Set the source of the configuration version that acknowledgements carry."""
        self._config_version = version

    async def start(self) -> None:
        """Start checking liveness."""
        self._task = asyncio.create_task(self._watch_liveness(), name="members")

    async def stop(self) -> None:
        """Stop checking liveness."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    def on_view(self, listener: ViewListener) -> None:
        """Call ``listener(view, live)`` on every new view and change of liveness."""
        self._listeners.append(listener)

    def get(self, instance: str) -> InstanceView | None:
        """Return one instance, whether responsive or not."""
        return self._table.get(instance)

    def all(self) -> list[InstanceView]:
        """Return every known instance."""
        return self._table.all()

    def live(self) -> list[InstanceView]:
        """Return instances that are responsive and neither fenced nor draining."""
        return self._table.live(now())

    def mark_fenced(self, instance: str, incarnation: str) -> None:
        """Record that an incarnation was fenced in the table, and notify listeners."""
        self._table.mark_fenced(instance, incarnation)
        view = self._table.get(instance)
        if view is not None and view.incarnation == incarnation:
            self._notify(view)

    def set_committed(self, instance: str, incarnation: str, counter: int) -> None:
        """Record the committed counter and, if it advanced, acknowledge it at once."""
        advanced = self._table.set_committed(instance, incarnation, counter)
        view = self._table.get(instance)
        if advanced and view is not None:
            self._acknowledge(instance, incarnation, view.counter, counter, False)

    def _on_announce(self, message: Announce) -> None:
        known = self._table.get(message.sender)
        if not self._table.announce(message, now()):
            log_event("WARNING", "announce_ignored", instance=message.sender)
            return
        if known is None or known.incarnation != message.incarnation:
            log_event(
                "INFO",
                "instance_announced",
                instance=message.sender,
                incarnation=message.incarnation,
                zone=message.zone,
            )
        self._links.set_current(message.sender, message.incarnation)
        self._after_message(message)

    def _on_heartbeat(self, message: Heartbeat) -> None:
        reply = self._table.heartbeat(message, now())
        if not reply.known:
            return
        self._acknowledge(
            message.sender,
            message.incarnation,
            message.counter,
            reply.committed,
            reply.fenced,
        )
        if not reply.fenced:
            self._after_message(message)

    def _after_message(self, message: Announce | Heartbeat) -> None:
        view = self._table.get(message.sender)
        if view is not None:
            self._notify(view)

    def _acknowledge(
        self, instance: str, incarnation: str, counter: int, committed: int, fenced: bool
    ) -> None:
        ack = HeartbeatAck(
            **self._stamp.head(self._config_version()),
            counter=counter,
            committed=committed,
            fenced=fenced,
        )
        self._links.send_now(instance, Channel.CONTROL, ack, incarnation)

    def _notify(self, view: InstanceView) -> None:
        live = self._table.is_live(view, now())
        if self._notified_live.get(view.id) not in (None, live):
            log_event("INFO", "instance_live" if live else "instance_out", instance=view.id)
        self._notified_live[view.id] = live
        for listener in self._listeners:
            listener(view, live)

    async def _watch_liveness(self) -> None:
        while True:
            await asyncio.sleep(self._table.timeout_s / CHECKS_PER_TIMEOUT)
            self.check_liveness(now())

    def check_liveness(self, at: float) -> None:
        """Notify listeners of changed liveness and drop instances that timed out long ago."""
        if self._table.tick(at):
            log_event("WARNING", "loop_was_paused", action="grant_fresh_silence_period")
            return
        for view in self._table.all():
            if self._table.is_live(view, at) != self._notified_live.get(view.id):
                self._notify(view)
        for instance in self._table.remove_unresponsive(at):
            self._notified_live.pop(instance, None)
            log_event("INFO", "instance_forgotten", instance=instance)
