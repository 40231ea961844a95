"""The entry process of a fleet: accepts callers' requests and takes part in leader election.

All entries run the same code.  The leader keeps the jobs in memory, schedules them and is the only
writer to the store.  Followers forward requests to it (:mod:`sapphirelead.node_calls`).
"""

import asyncio
import random
from dataclasses import dataclass
from typing import Final

import msgspec
import zmq.asyncio
from result import Err, Ok

from sapphirelead.admission.follower import FollowerAdmission
from sapphirelead.background import spawn
from sapphirelead.clock import awake_now, now
from sapphirelead.errors import Code
from sapphirelead.keys import Keys
from sapphirelead.logs import log_event
from sapphirelead.metrics import Metrics
from sapphirelead.node_calls import HOLD_TIMEOUT_S, CallForwarder, forwarded_call_timeout_s
from sapphirelead.node_config_sync import BEHIND_RETRY_AFTER_S, ConfigSync
from sapphirelead.node_directory import read_entries, write_entry
from sapphirelead.node_election import Election, Move
from sapphirelead.node_handover import HandoverController
from sapphirelead.node_leader import Leader
from sapphirelead.node_links import Hub, Links
from sapphirelead.node_messages import (
    AgentReport,
    AnyNodeMessage,
    Call,
    CallKind,
    ConfigCopy,
    ConfigRequest,
    EntryAddress,
    FollowerHeartbeat,
    Handover,
    LeaderAnnouncement,
    LeaderHeartbeat,
    LeaderQuery,
    Orders,
    Refusals,
    Reply,
    ReplyKind,
)
from sapphirelead.node_ports import AdviceService
from sapphirelead.ports import Table
from sapphirelead.sched_config import QueueConfig
from sapphirelead.sched_head import leader_clock_ms, read_head
from sapphirelead.sched_timing import Bounds
from sapphirelead.sched_zones import EvacuatedZones

ELECTION_INTERVAL_S: Final = 0.1
"""Mean interval of the election loop; shorter than the heartbeat interval."""

TAKEN_REPLY_DELAY_S: Final = 0.1
"""Delay before a ``TAKEN`` reply to a forwarded call that waits for the store; well below
:data:`sapphirelead.node_window.LATE_AFTER_S`."""


@dataclass(frozen=True, slots=True)
class EntryNode:
    """Identity and settings of this entry process.

    :ivar address: listening address of the hub.
    :ivar keys: keys that encrypt and authenticate the links; ``None`` disables this.
    """

    address: EntryAddress
    zone: str
    bounds: Bounds
    keys: Keys | None = None


class FleetEntry:
    """The hub, links and election of an entry, and its leader while it holds the leadership."""

    node: EntryNode
    metrics: Metrics
    config: QueueConfig
    zones: EvacuatedZones
    leader: Leader | None
    sync: ConfigSync
    _admission: FollowerAdmission
    _table: Table
    _advice: AdviceService
    _ctx: zmq.asyncio.Context
    _hub: Hub
    _links: Links
    _election: Election
    _entries: dict[str, EntryAddress]
    _entries_version: int
    _entries_epoch: int
    _handover: HandoverController
    _agents: dict[str, bytes]
    _calls: CallForwarder
    _tasks: list["asyncio.Task[None]"]
    _stopping: bool
    _followed: bool

    def __init__(
        self, node: EntryNode, table: Table, advice: AdviceService, ctx: zmq.asyncio.Context
    ) -> None:
        self.node = node
        self.metrics = Metrics()
        self.config = QueueConfig()
        self.zones = EvacuatedZones()
        self.leader = None
        self.sync = ConfigSync(node.bounds.config_apply_s)
        self._admission = FollowerAdmission(self.metrics)
        self._table = table
        self._advice = advice
        self._ctx = ctx
        self._election = Election(node.address.name, node.address.cores)
        self._entries = {node.address.name: node.address}
        self._entries_version = 1
        self._entries_epoch = 0
        self._handover = HandoverController(self.send_to, node.address.cores)
        self._agents = {}
        self._calls = CallForwarder(self)
        self._tasks = []
        self._stopping = False
        self._followed = False

    @property
    def name(self) -> str:
        """Name of this entry."""
        return self.node.address.name

    @property
    def ready(self) -> bool:
        """Whether callers can be served: not stopping, with a configuration and a leader.

        One that is known to be outdated does not count.
        """
        configured = self.config.version > 0 and not self.sync.behind
        return not self._stopping and configured and self.leader_known

    @property
    def leader_known(self) -> bool:
        """Whether calls can be carried out here or forwarded to a leader."""
        return self.serving_leader() is not None or self._election.has_live_leader(now())

    def serving_leader(self) -> Leader | None:
        """Return the leader in this process, if it accepts calls."""
        return self.leader if self.leader is not None and self.leader.serving else None

    def followed_leader(self) -> str:
        """Return the name of the remote leader; empty if none responds."""
        return self._election.leader if self._election.has_live_leader(now()) else ""

    def leader_epoch(self) -> int:
        """Return the epoch of the most recently known leader."""
        return self._election.epoch

    def send_to(self, name: str, message: AnyNodeMessage) -> bool:
        """Send to another entry; ``False`` guarantees that the message was not sent."""
        return self._links.send(name, message)

    def config_version(self) -> int:
        """Return the version of the active configuration."""
        return self.config.version

    async def start(self) -> None:
        """Bind the hub, register this entry and join the election."""
        address = self.node.address
        self.sync.use_metrics(self.metrics)
        self._admission.use_metrics(self.metrics)
        self._hub = Hub(
            self._ctx,
            address.host,
            address.port,
            self._on_hub,
            self.node.keys,
            self.metrics,
            query_timeout_s=HOLD_TIMEOUT_S,
        )
        self._hub.start()
        self._links = Links(self._ctx, self.name, self.name, self._on_link, self.node.keys)
        self._tasks = [
            spawn(self._register(), "register"),
            spawn(self._run_election(), "election"),
        ]

    def set_config(self, config: QueueConfig, row: bytes = b"") -> None:
        """Apply a configuration if it is newer than the active one.

        :param row: the row that it was decoded from, which other entries may ask for.
        """
        if config.version <= self.config.version:
            return
        log_event("INFO", "config_taken", version=config.version, before=self.config.version)
        self.config = config
        self.sync.record_applied(config.version, row)
        self._admission.switch(config.parts.admission is not None)
        if self.leader is not None:
            self.leader.set_config(config)
        self._calls.changed.set()

    def set_zones(self, zones: EvacuatedZones) -> None:
        """Take over a read of the evacuated zones."""
        before, self.zones = self.zones, zones
        for event, names in (
            ("zone_evacuated", zones.names - before.names),
            ("zone_restored", before.names - zones.names),
        ):
            for name in sorted(names):
                self.metrics.count(f"{event}_total")
                log_event("INFO", event, zone=name, read_age_s=zones.age_s(awake_now()))
        if self.leader is not None:
            self.leader.set_zones(zones)

    def record_store_result(self, answered: bool) -> None:
        """Record whether the store replied to a call."""
        self._election.store_ok = answered

    # Discovery of entries

    async def _register(self) -> None:
        """Write this entry's row and read all rows, retrying until both succeed."""
        delay_s = 0.1
        written = False
        while True:
            written = written or await write_entry(self._table, self.node.address)
            found = await read_entries(self._table)
            if written and isinstance(found, Ok):
                break
            await asyncio.sleep(delay_s)
            delay_s = min(delay_s * 2, 1.0)
        for address in found.ok_value:
            self._add_entry(address)
        log_event("INFO", "entries_read", entries=len(found.ok_value))

    def _add_entry(self, address: EntryAddress) -> None:
        if self._entries.get(address.name) == address:
            return
        self._entries[address.name] = address
        self._entries_version += 1
        self._links.set_entries(list(self._entries.values()))

    def _replace_entries(self, heartbeat: LeaderHeartbeat) -> None:
        """Replace the list of entries by the leader's, if the heartbeat carries one."""
        if heartbeat.entries is None:
            return
        self._entries = {entry.name: entry for entry in heartbeat.entries}
        self._entries[self.name] = self.node.address
        self._entries_version = heartbeat.entries_version
        self._entries_epoch = heartbeat.epoch
        self._links.set_entries(list(self._entries.values()))

    # Election

    async def _run_election(self) -> None:
        while True:
            at = now()
            if self._election.heartbeat_due(at):
                self._send_heartbeat()
            move = self._election.next_move(at)
            if move is Move.READ:
                await self._read_head()
            elif move is Move.TAKE:
                await self._acquire_lead()
            if self.leader is not None and not self.leader.resigned:
                self._handover.check(self.leader)
            self._log_leader_state(at)
            self._request_config()
            await asyncio.sleep(ELECTION_INTERVAL_S * (0.75 + 0.5 * random.random()))

    def _request_config(self) -> None:
        """Ask another entry for a newer configuration, if one is known and missing here."""
        peers = self._links.names() if self.sync.wants_copy else []
        request = self.sync.next_request(peers)
        if request is not None:
            self._links.send(*request)

    def _log_leader_state(self, at: float) -> None:
        """Log when the leader becomes unresponsive to this entry, and when it responds again."""
        has_live_leader = self._election.has_live_leader(at)
        if has_live_leader == self._followed:
            return
        self._followed = has_live_leader
        if has_live_leader:
            log_event("INFO", "leader_heard", leader=self._election.leader)
        elif self.leader is None:
            log_event("WARNING", "leader_silent", leader=self._election.leader)

    def _send_heartbeat(self) -> None:
        election = self._election
        heartbeat = FollowerHeartbeat(
            self.node.address,
            election.epoch,
            election.store_ok,
            self.config.version,
            self._stopping,
            # List versions are comparable only within one leader's epoch.
            self._entries_version if self._entries_epoch == election.epoch else 0,
            self.sync.known,
        )
        refusals = self._admission.take_refusals(election.epoch)
        if refusals is not None:
            self._links.send(election.leader, refusals)
        self._links.send(election.leader, heartbeat)

    async def _read_head(self) -> None:
        found = await read_head(self._table)
        if isinstance(found, Err):
            self._election.on_store_failure(now())
            return
        before = self._election.leader
        self._election.on_head_read(found.ok_value, now())
        if self._election.leader != before:
            log_event(
                "INFO", "leader_read", leader=self._election.leader, epoch=self._election.epoch
            )
            self._calls.changed.set()
        await self._find_leader_address()

    async def _find_leader_address(self) -> None:
        """Read the entries from the store if the leader's address is unknown."""
        if not self._election.leader or self._election.leader in self._entries:
            return
        found = await read_entries(self._table)
        for address in found.unwrap_or([]):
            self._add_entry(address)

    async def _acquire_lead(self) -> None:
        head = await self._election.take(self._table)
        if head is None:
            # Another entry may have won whose row did not exist when the entries were first read.
            await self._find_leader_address()
            return
        if self._stopping:
            # The stop signal arrived during the write.  Release the leadership, so that the other
            # entries do not have to wait until this process times out.
            await head.release()
            self._election.on_leadership_lost()
            return
        log_event("INFO", "leading", epoch=head.epoch, store_version=self._election.seen_version)
        self.metrics.count("leaderships_total")
        leader = Leader(
            self.node.bounds,
            head,
            self._table,
            self._advice,
            self._send_orders,
            self.metrics,
            self._hub.may_arrive,
        )
        self.leader = leader
        leader.set_config(self.config)
        leader.set_zones(self.zones)
        task = spawn(self._run_leader(leader), "leader")
        self._tasks.append(task)
        task.add_done_callback(self._tasks.remove)

    async def _run_leader(self, leader: Leader) -> None:
        try:
            await leader.load()
            if leader.serving:
                self._announce()
            await self._run_until_ended(leader)
        finally:
            if self.leader is leader:
                self.leader = None
                self._election.on_leadership_lost()
                self._calls.changed.set()

    async def _run_until_ended(self, leader: Leader) -> None:
        running = spawn(leader.run(), "leader-rounds")
        wait_ended = asyncio.create_task(leader.wait_ended())
        try:
            # A resigned leader may still wait for the store; the next leader resolves the writes
            # that are in flight.
            await asyncio.wait({running, wait_ended}, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for task in (running, wait_ended):
                task.cancel()
            await asyncio.gather(running, wait_ended, return_exceptions=True)

    def _announce(self) -> None:
        """Announce the leadership to all known agents and entries."""
        message = LeaderAnnouncement(self._election.epoch, self.name)
        for identity in self._agents.values():
            self._hub.send(identity, message)
        self._links.send_all(message)
        self._calls.changed.set()

    # Messages

    def _on_hub(self, identity: bytes, message: AnyNodeMessage) -> None:
        match message:
            case AgentReport():
                self._on_report(identity, message)
            case LeaderQuery():
                self._agents[message.sender] = identity
                self._hub.send(identity, self._leads_message())
            case FollowerHeartbeat():
                self._on_follower_heartbeat(identity, message)
            case Call():
                self._on_call(identity, message)
            case Refusals():
                self._on_refusals(message)
            case LeaderAnnouncement():
                self._on_leads(message)
            case Handover():
                self._on_handover(message)
            case ConfigRequest():
                copy = self.sync.copy_for(message)
                if copy is not None:
                    self._hub.send(identity, copy)
            case _:
                log_event("WARNING", "message_unexpected", kind=str(message.__struct_config__.tag))

    def _leads_message(self) -> LeaderAnnouncement:
        if self.serving_leader() is not None:
            return LeaderAnnouncement(self._election.epoch, self.name)
        if self._election.has_live_leader(now()):
            return LeaderAnnouncement(self._election.epoch, self._election.leader)
        return LeaderAnnouncement(self._election.epoch, "")

    def _on_report(self, identity: bytes, report: AgentReport) -> None:
        self._agents[report.agent] = identity
        leader = self.serving_leader()
        if leader is None or report.epoch > leader.head.epoch:
            self._hub.send(identity, self._leads_message())
            return
        leader.on_report(report)

    def _send_orders(self, agent: str, orders: Orders) -> bool:
        identity = self._agents.get(agent)
        if identity is None:
            return False
        if orders.entries_version != self._entries_version:
            orders = msgspec.structs.replace(
                orders,
                entries_version=self._entries_version,
                entries=list(self._entries.values()),
            )
        return self._hub.send(identity, orders)

    def _on_follower_heartbeat(self, identity: bytes, heartbeat: FollowerHeartbeat) -> None:
        self._add_entry(heartbeat.address)
        self._handover.on_heartbeat(heartbeat)
        self.sync.heard(heartbeat.address.name, heartbeat.config_version, heartbeat.newest_config)
        if self.leader is None:
            self._hub.send(identity, self._leads_message())
            return
        admission = self.leader.parts.admission
        known = heartbeat.epoch == self.leader.head.epoch and heartbeat.entries_version
        answer = LeaderHeartbeat(
            self.leader.head.epoch,
            self.name,
            self.leader.serving,
            not self.leader.store_unavailable(now()),
            self.config.version,
            self._entries_version,
            None if known == self._entries_version else list(self._entries.values()),
            self._handover.followers.strongest(now()),
            leader_clock_ms(),
            self.sync.known,
            admission.notice(now(), len(self._entries)) if admission is not None else None,
        )
        self._hub.send(identity, answer)

    def _on_refusals(self, refusals: Refusals) -> None:
        leader = self.serving_leader()
        if leader is not None and leader.parts.admission is not None:
            leader.parts.admission.refused_elsewhere(refusals.callers, now())

    def _on_leads(self, message: LeaderAnnouncement) -> None:
        if not message.leader or message.leader == self.name:
            return
        if self._election.on_leader_announced(message.epoch, message.leader, now()):
            log_event("INFO", "following", leader=message.leader, epoch=message.epoch)
            self._calls.changed.set()
            if self.leader is not None and message.epoch > self.leader.head.epoch:
                self.leader.resign()

    def _on_handover(self, message: Handover) -> None:
        log_event(
            "INFO",
            "lead_offered",
            by=message.leader,
            epoch=message.epoch,
            leaving=self._stopping,
        )
        self._election.on_offer(message.epoch)

    def _on_link(self, name: str, message: AnyNodeMessage) -> None:
        match message:
            case LeaderHeartbeat():
                self._on_leader_heartbeat(message)
            case LeaderAnnouncement():
                self._on_leads(message)
            case Reply():
                self._on_reply(message)
            case ConfigCopy():
                found = self.sync.config_from(message, name)
                if found is not None:
                    self.set_config(*found)
            case _:
                log_event(
                    "WARNING",
                    "message_unexpected",
                    kind=str(message.__struct_config__.tag),
                    peer=name,
                )

    def _on_leader_heartbeat(self, heartbeat: LeaderHeartbeat) -> None:
        if not self._election.on_heartbeat(
            heartbeat.epoch,
            heartbeat.leader,
            heartbeat.serving,
            now(),
            heartbeat.strongest,
            heartbeat.leader_ms,
        ):
            return
        self._replace_entries(heartbeat)
        self._admission.on_notice(heartbeat.epoch, heartbeat.admission)
        self.sync.heard(heartbeat.leader, heartbeat.config_version, heartbeat.newest_config)
        if heartbeat.serving:
            self._calls.changed.set()

    # Callers

    async def call(
        self,
        kind: CallKind,
        queue: str,
        job_id: str,
        job: bytes,
        deadline_s: float,
        ticket: str = "",
    ) -> Reply:
        """Carry out a caller's request and return the final reply; see :class:`CallForwarder`.

        :param ticket: ticket of a caller that was refused before.
        """
        if self.sync.behind:
            return self.behind_reply()
        if kind is CallKind.SUBMIT:
            follows = self.leader is None
            refusal = self._admission.check(
                job_id, job, ticket, self._election.epoch if follows else 0, self.config.queues
            )
            if refusal is not None:
                return refusal
        return await self._calls.call(kind, queue, job_id, job, deadline_s, ticket)

    def behind_reply(self) -> Reply:
        """Return the reply to a call that only an outdated configuration could answer."""
        text = f"configuration {self.sync.known} is known here but has not arrived yet"
        return Reply(
            0,
            ReplyKind.NOT_RUN,
            retry_after_s=BEHIND_RETRY_AFTER_S,
            detail=text,
            code=Code.CONFIG_BEHIND,
        )

    def _on_call(self, identity: bytes, call: Call) -> None:
        task = spawn(self._answer_call(identity, call), "call")
        self._tasks.append(task)
        task.add_done_callback(self._tasks.remove)

    async def _answer_call(self, identity: bytes, call: Call) -> None:
        leader = self.serving_leader()
        if leader is None or call.epoch != leader.head.epoch:
            # The call may have been queued since an earlier epoch of this entry, and its caller may
            # have been told since that it did not run.
            reply = Reply(call.number, ReplyKind.NOT_LEADER)
        else:
            self.sync.heard("", call.config_version)
            taken = Reply(call.number, ReplyKind.TAKEN, epoch=call.epoch)
            taken_timer = asyncio.get_running_loop().call_later(
                TAKEN_REPLY_DELAY_S, self._hub.send, identity, taken
            )
            try:
                reply = await leader.call(call, now() + forwarded_call_timeout_s(call.kind))
            finally:
                taken_timer.cancel()
        self._hub.send(identity, msgspec.structs.replace(reply, epoch=call.epoch))

    def _on_reply(self, reply: Reply) -> None:
        self._calls.handle_reply(reply)
        self.sync.heard("", reply.config_version)

    # Shutdown

    async def drain(self, until: float) -> None:
        """Hand over the leadership and finish pending calls and cancellations by ``until``."""
        self._stopping = True
        self._election.leave()
        if self.leader is None:
            # Tell the leader not to hand the leadership over to this entry.
            self._send_heartbeat()
        self._calls.close_at(until)
        await self._handover.leave(lambda: self.leader, until)
        await self._calls.wait_for_cancels(until)

    async def stop(self) -> None:
        """Cancel all tasks and close the links and the hub."""
        await self._calls.stop()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._links.stop()
        await self._hub.stop()
