"""Membership at an entry: the shell around :class:`~sapphirelead.model_membership.MembershipTable`.

Takes announcements and beats from the control lane, acknowledges beats, and tells listeners which
instances may be used.  Agents that decide by another configuration version are the business of
:class:`~sapphirelead.entry_config.ConfigKeeper`, which reads the versions from the views here.
"""

import asyncio
from collections.abc import Callable
from typing import Any, Final, Protocol

from sapphirelead.clock import now
from sapphirelead.entry_ports import InstanceView, Lane, Stamp
from sapphirelead.logs import log_event
from sapphirelead.model_membership import MembershipTable
from sapphirelead.settings import EntrySettings
from sapphirelead.wire_messages import Announce, AnyMessage, Beat, BeatAck

LOOKS_PER_SILENCE: Final = 10

ViewListener = Callable[[InstanceView, bool], None]


class MemberLinks(Protocol):
    """What membership needs of the sockets."""

    def on(self, kind: type[AnyMessage], handler: Callable[[Any], None]) -> None:
        """Call ``handler`` with each received message of ``kind``."""

    def send_now(
        self, instance: str, lane: Lane, message: AnyMessage, incarnation: str = ""
    ) -> bool:
        """Send at once; ``False`` means proven not sent."""

    def set_current(self, instance: str, incarnation: str) -> None:
        """Name the incarnation that plain sends reach."""


class EntryMembers:
    """Implements :class:`~sapphirelead.entry_ports.Members`."""

    _table: MembershipTable
    _links: MemberLinks
    _config_version: Callable[[], int]
    _stamp: Stamp
    _listeners: list[ViewListener]
    _shown_live: dict[str, bool]
    _task: asyncio.Task[None] | None

    def __init__(self, table: MembershipTable, links: MemberLinks, stamp: Stamp) -> None:
        self._table = table
        self._links = links
        self._config_version = lambda: 0
        self._stamp = stamp
        self._listeners = []
        self._shown_live = {}
        self._task = None
        links.on(Announce, self._on_announce)
        links.on(Beat, self._on_beat)

    @classmethod
    def from_settings(
        cls, settings: EntrySettings, links: MemberLinks, stamp: Stamp
    ) -> "EntryMembers":
        """Return membership that has seen nobody yet."""
        return cls(MembershipTable.from_settings(settings.lease, now()), links, stamp)

    def use_config_version(self, version: Callable[[], int]) -> None:
        """Take the configuration version of acknowledgements from ``version``."""
        self._config_version = version

    async def start(self) -> None:
        """Begin to judge silence."""
        self._task = asyncio.create_task(self._watch(), name="members")

    async def stop(self) -> None:
        """Stop judging."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    def on_view(self, listener: ViewListener) -> None:
        """Call ``listener(view, live)`` with every new view and when liveness changes."""
        self._listeners.append(listener)

    def get(self, instance: str) -> InstanceView | None:
        """Return one instance, silent or not."""
        return self._table.get(instance)

    def all(self) -> list[InstanceView]:
        """Return every known instance that is not forgotten."""
        return self._table.all()

    def live(self) -> list[InstanceView]:
        """Return instances that are neither silent, fenced nor draining."""
        return self._table.live(now())

    def mark_fenced(self, instance: str, incarnation: str) -> None:
        """Record that an incarnation was fenced in the table, and tell its agent."""
        self._table.mark_fenced(instance, incarnation)
        view = self._table.get(instance)
        if view is not None and view.incarnation == incarnation:
            self._show(view)

    def set_committed(self, instance: str, incarnation: str, counter: int) -> None:
        """Record the committed counter and acknowledge it at once.

        Waiting for the next beat would age the lease by a whole beat interval for nothing.
        """
        grew = self._table.set_committed(instance, incarnation, counter)
        view = self._table.get(instance)
        if grew and view is not None:
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

    def _on_beat(self, message: Beat) -> None:
        verdict = self._table.heartbeat(message, now())
        if not verdict.known:
            return
        self._acknowledge(
            message.sender,
            message.incarnation,
            message.counter,
            verdict.committed,
            verdict.fenced,
        )
        if not verdict.fenced:
            self._after_message(message)

    def _after_message(self, message: Announce | Beat) -> None:
        view = self._table.get(message.sender)
        if view is not None:
            self._show(view)

    def _acknowledge(
        self, instance: str, incarnation: str, counter: int, committed: int, fenced: bool
    ) -> None:
        ack = BeatAck(
            **self._stamp.head(self._config_version()),
            counter=counter,
            committed=committed,
            fenced=fenced,
        )
        self._links.send_now(instance, Lane.CONTROL, ack, incarnation)

    def _show(self, view: InstanceView) -> None:
        live = self._table.is_live(view, now())
        if self._shown_live.get(view.id) not in (None, live):
            log_event("INFO", "instance_live" if live else "instance_out", instance=view.id)
        self._shown_live[view.id] = live
        for listener in self._listeners:
            listener(view, live)

    async def _watch(self) -> None:
        while True:
            await asyncio.sleep(self._table.timeout_s / LOOKS_PER_SILENCE)
            self.judge(now())

    def judge(self, at: float) -> None:
        """Look for instances that fell silent and forget those long gone."""
        if self._table.tick(at):
            log_event("WARNING", "loop_was_paused", action="grant_fresh_silence_period")
            return
        for view in self._table.all():
            if self._table.is_live(view, at) != self._shown_live.get(view.id):
                self._show(view)
        for instance in self._table.remove_unresponsive(at):
            self._shown_live.pop(instance, None)
            log_event("INFO", "instance_forgotten", instance=instance)
