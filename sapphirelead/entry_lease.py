"""Manages leases, registration and fencing of instances, and tracks which entries are live.

Every round an entry reads the lease rows of its region, ``leases/<zone>``, which hold one counter
for each live instance and each live entry of the zone.  It merges the counters received in
heartbeats and commits the row if any advanced, with one write for all renewals of the round.
Acknowledgements to agents carry the committed counter, whichever entry wrote it.

Invariants:

- An incarnation is in a lease row only if ``instances/<id>`` names it and does not mark it fenced;
  registration and fencing change both rows in one transaction.
- An incarnation that was fenced or replaced never registers again.
- An entry fences an instance only after it has itself observed the counter unchanged for the lease
  plus a margin (:class:`~sapphirelead.model_lease.LeaseObserver`); a failed read restarts the
  observation.

A zone whose row has not changed for several rounds is renewed by the other entries of the region.
"""

import asyncio
from collections.abc import Mapping
from typing import Final

from result import Err

from sapphirelead.clock import now
from sapphirelead.entry_lease_rows import (
    EntryRecord,
    Registration,
    ZoneRow,
    instance_key,
    lease_key,
    merge_counters,
    new_registration,
)
from sapphirelead.entry_ports import InstanceView, Links, Members, Stamp
from sapphirelead.entry_table import Change, EntryTable, Unit
from sapphirelead.logs import log_event
from sapphirelead.model_lease import LeaseObserver, UnchangedCounter
from sapphirelead.ports import CommitStatus, Condition, Row
from sapphirelead.settings import EntrySettings

MAX_COMMIT_ATTEMPTS: Final = 4
ORPHANED_ZONE_ROUNDS: Final = 3
PEER_TIMEOUT_ROUNDS: Final = 4
MIN_STORED_ROUNDS: Final = 3
"""Rounds for which a counter has not changed before the row says so."""


class LeaseManager:
    """Runs the lease rounds of one entry.

    :ivar live_entries: live entries of the region by name.
    :ivar usage: amounts by team that this entry publishes in its lease row.
    """

    live_entries: dict[str, EntryRecord]
    usage: dict[str, list[int]]
    _settings: EntrySettings
    _stamp: Stamp
    _control: str
    _table: EntryTable
    _members: Members
    _links: Links
    _registry: dict[str, Registration]
    _observer: LeaseObserver
    _counter: int
    _entry_observations: dict[str, tuple[str, int, float]]
    _unchanged_rounds: dict[str, tuple[int, int]]
    _task: "asyncio.Task[None] | None"
    _leaving: bool

    def __init__(
        self,
        settings: EntrySettings,
        stamp: Stamp,
        control: str,
        table: EntryTable,
        members: Members,
        links: Links,
    ) -> None:
        self.live_entries = {}
        self.usage = {}
        self._settings = settings
        self._stamp = stamp
        self._control = control
        self._table = table
        self._members = members
        self._links = links
        self._registry = {}
        self._observer = LeaseObserver.from_settings(settings.lease)
        self._counter = 0
        self._entry_observations = {}
        self._unchanged_rounds = {}
        self._task = None
        self._leaving = False

    @property
    def zones(self) -> list[str]:
        """Zones of the region, this entry's own first."""
        others = [zone for zone in self._settings.zones if zone != self._settings.zone]
        return [self._settings.zone, *others]

    def registration(self, instance: str) -> Registration | None:
        """Return an instance's registration as last read or written."""
        return self._registry.get(instance)

    def guard(self, instance: str, incarnation: str) -> Condition | None:
        """Return a condition that the incarnation is registered and not fenced, or ``None``."""
        found = self._registry.get(instance)
        if found is None or found.incarnation != incarnation or found.fenced:
            return None
        return Condition(instance_key(instance), found.row.version)

    def start(self) -> None:
        """Start the lease rounds."""
        self._task = asyncio.create_task(self._run(), name="lease-rounds")

    async def stop(self) -> None:
        """Stop the rounds and remove this entry's record, so that peers take over its shards."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        self._leaving = True
        try:
            async with asyncio.timeout(self._settings.platform.timeout_seconds):
                await self._round()
        except TimeoutError:
            log_event("INFO", "lease_leave_timeout")

    async def _run(self) -> None:
        interval = self._settings.lease.renew_interval_seconds
        while True:
            await self._round()
            await asyncio.sleep(interval)

    async def _round(self) -> None:
        self._counter += 1
        found = await self._table.rows([lease_key(zone) for zone in self.zones])
        if isinstance(found, Err):
            self._observer.reset(now())
            return
        rows = dict(zip(self.zones, found.ok_value, strict=True))
        for zone, row in rows.items():
            self._count_unchanged(zone, row)
            if self._responsible(zone):
                rows[zone] = await self._renew(zone, row)
                self._record_write(zone, row, rows[zone])
        decoded = {zone: ZoneRow.decode(row) for zone, row in rows.items()}
        self._publish(decoded)
        await self._fence_expired(rows, decoded)

    def _count_unchanged(self, zone: str, row: Row) -> None:
        """Count the rounds for which the zone's own entries have left its row unchanged.

        Writes by this entry on their behalf are not counted (see :meth:`_record_write`).
        """
        version, rounds = self._unchanged_rounds.get(zone, (row.version, 0))
        rounds = rounds + 1 if version == row.version else 0
        self._unchanged_rounds[zone] = (row.version, rounds)

    def _responsible(self, zone: str) -> bool:
        """Whether this entry renews and fences in ``zone``.

        Avoids conflicting fence writes by all entries of the region.
        """
        return (
            zone == self._settings.zone
            or self._unchanged_rounds.get(zone, (0, 0))[1] >= ORPHANED_ZONE_ROUNDS
        )

    def _record_write(self, zone: str, before: Row, after: Row) -> None:
        if before.version != after.version:
            self._unchanged_rounds[zone] = (after.version, self._unchanged_rounds[zone][1])

    def _views(self, zone: str) -> list[InstanceView]:
        return [view for view in self._members.all() if view.zone == zone]

    async def _renew(self, zone: str, row: Row) -> Row:
        """Commit the zone's row with the counters that this entry received; return the new row."""
        for _ in range(MAX_COMMIT_ATTEMPTS):
            current = ZoneRow.decode(row)
            changes, guards = await self._registrations(zone, current)
            advanced = merge_counters(current, self._views(zone))
            self._add_own_record(zone, current)
            self._add_observations(current)
            if not (advanced or changes or zone == self._settings.zone):
                return row
            value = current.encode()
            unit = Unit((Change(row, value), *changes), tuple(guards))
            commit = await self._table.commit_first(unit)
            if commit.status is CommitStatus.COMMITTED:
                self._record_registered(changes, commit.version)
                return Row(row.key, commit.version, value)
            if commit.status is not CommitStatus.CONFLICT:
                return row
            found = await self._table.rows([row.key])
            if isinstance(found, Err):
                return row
            row = found.ok_value[0]
        return row

    def _add_own_record(self, zone: str, row: ZoneRow) -> None:
        if zone != self._settings.zone:
            return
        if self._leaving:
            row.entries.pop(self._stamp.sender, None)
            return
        row.entries[self._stamp.sender] = EntryRecord(
            self._stamp.incarnation, self._counter, self._control, self.usage
        )
        for name, (incarnation, counter, since) in self._entry_observations.items():
            record = row.entries.get(name)
            unchanged = record is not None and (record.incarnation, record.counter) == (
                incarnation,
                counter,
            )
            if unchanged and now() - since > self._expiry_s():
                del row.entries[name]

    def _add_observations(self, row: ZoneRow) -> None:
        """Store which counters have not changed, so that the next entries need not begin anew."""
        min_age_s = MIN_STORED_ROUNDS * self._settings.lease.renew_interval_seconds
        row.set_unchanged(self._observer.unchanged(min_age_s))

    def _expiry_s(self) -> float:
        lease = self._settings.lease
        return lease.lease_seconds + lease.margin_seconds

    async def _registrations(self, zone: str, row: ZoneRow) -> tuple[list[Change], list[Condition]]:
        """Return the writes and guards that register new incarnations; add these to ``row``."""
        unknown = [
            view
            for view in self._views(zone)
            if view.counter > 0
            and not view.fenced
            and row.instances.get(view.id, ("", 0))[0] != view.incarnation
        ]
        if not unknown:
            return [], []
        found = await self._table.rows([instance_key(view.id) for view in unknown])
        if isinstance(found, Err):
            return [], []
        changes: list[Change] = []
        guards: list[Condition] = []
        for view, instance_row in zip(unknown, found.ok_value, strict=True):
            known = Registration.decode(instance_row)
            self._registry[view.id] = known
            if known.ended(view.incarnation):
                # A replaced or fenced incarnation may still send heartbeats, for example after a
                # pause. It must not register again: its claims may have been reassigned.
                self._members.mark_fenced(view.id, view.incarnation)
                continue
            row.instances[view.id] = (view.incarnation, view.counter)
            if known.incarnation == view.incarnation:
                guards.append(Condition(instance_row.key, instance_row.version))
            else:
                changes.append(Change(instance_row, new_registration(view, known)))
        return changes, guards

    def _record_registered(self, changes: list[Change], version: int) -> None:
        for change in changes:
            row = Row(change.row.key, version, change.value)
            found = Registration.decode(row)
            instance = change.row.key.partition("/")[2]
            self._registry[instance] = found
            log_event(
                "INFO", "instance_registered", instance=instance, incarnation=found.incarnation
            )

    def _publish(self, rows: Mapping[str, ZoneRow]) -> None:
        """Publish committed counters and live entries to the other components."""
        at = now()
        live: dict[str, EntryRecord] = {}
        for row in rows.values():
            for instance, (incarnation, counter) in row.instances.items():
                self._members.set_committed(instance, incarnation, counter)
            for name, record in row.entries.items():
                if self._entry_live(name, record, at):
                    live[name] = record
        self.live_entries = live
        self._table.share_budget(len(live))
        peers = {name: rec.control for name, rec in live.items() if name != self._stamp.sender}
        self._links.set_peers(peers)

    def _entry_live(self, name: str, record: EntryRecord, at: float) -> bool:
        if name == self._stamp.sender:
            return not self._leaving
        seen = self._entry_observations.get(name)
        observed = (record.incarnation, record.counter)
        if seen is None or seen[:2] != observed:
            self._entry_observations[name] = (*observed, at)
            return True
        return at - seen[2] <= PEER_TIMEOUT_ROUNDS * self._settings.lease.renew_interval_seconds

    async def _fence_expired(self, rows: dict[str, Row], decoded: dict[str, ZoneRow]) -> None:
        counters: dict[str, tuple[str, int]] = {}
        zone_of: dict[str, str] = {}
        unchanged: dict[str, UnchangedCounter] = {}
        for zone, row in decoded.items():
            counters |= row.instances
            unchanged |= row.unchanged
            zone_of |= dict.fromkeys(row.instances, zone)
        for instance, incarnation in self._observer.observe(now(), counters, unchanged):
            zone = zone_of[instance]
            if not self._responsible(zone):
                continue
            rows[zone] = await self._fence(rows[zone], instance, incarnation)

    async def _fence(self, lease_row: Row, instance: str, incarnation: str) -> Row:
        """Fence one incarnation, conditioned on the lease row's version; return the new row."""
        found = await self._table.rows([instance_key(instance)])
        if isinstance(found, Err):
            return lease_row
        known = Registration.decode(found.ok_value[0])
        row = ZoneRow.decode(lease_row)
        row.instances.pop(instance, None)
        changes = [Change(lease_row, row.encode())]
        fenced = {**(known.row.value or {}), "fenced": True}
        if known.incarnation == incarnation:
            changes.append(Change(known.row, fenced))
        commit = await self._table.commit_first(Unit(tuple(changes)))
        if commit.status is not CommitStatus.COMMITTED:
            # Usually caused by a concurrent renewal; the next round checks again.
            return lease_row
        if known.incarnation == incarnation:
            row_now = Row(known.row.key, commit.version, fenced)
            self._registry[instance] = Registration.decode(row_now)
        self._members.mark_fenced(instance, incarnation)
        log_event("WARNING", "instance_fenced", instance=instance, incarnation=incarnation)
        return Row(lease_row.key, commit.version, changes[0].value)

    async def refresh(self, instance: str) -> Registration | None:
        """Read an instance's registration from the table."""
        found = await self._table.row(instance_key(instance))
        if isinstance(found, Err):
            return None
        known = Registration.decode(found.ok_value)
        self._registry[instance] = known
        return known
