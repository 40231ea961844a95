"""The configuration in force at one entry.

The row ``config/current`` holds the document and a monotonically increasing version.  A change is
committed by compare-and-set on that row, together with its audit record.  Entries poll the row,
adopt any higher version from a poll or a message, and push it to agents and peers.  An entry is
ready (:attr:`ConfigManager.ready`) once it has read the row or received a version, or, if the table
is unavailable, with an empty configuration after a grace period.
"""

import asyncio
from collections.abc import Callable
from datetime import UTC, datetime
from typing import Any, Final

from result import Err, Ok, Result

from sapphirelead.clock import awake_now
from sapphirelead.entry_lease import LeaseManager
from sapphirelead.entry_ports import AuditRecord, Channel, Links, Members, MemberVersion, Stamp
from sapphirelead.entry_table import Change, EntryTable, Unit, absent, commit_failure
from sapphirelead.errors import Code, Failure
from sapphirelead.logs import log_event
from sapphirelead.model_config import CONFIG_KEY, EMPTY_CONFIG, Config, parse_document
from sapphirelead.model_config_diff import describe_changes
from sapphirelead.ports import CommitStatus, Row
from sapphirelead.wire_messages import ConfigPush

POLL_INTERVAL_S: Final = 1.0
STARTUP_GRACE_S: Final = 5.0
AUDIT_PREFIX: Final = "audit/"
AUDIT_DIGITS: Final = 10


def audit_key(version: int) -> str:
    """Return the key of a version's audit row; newer versions sort first.

    >>> audit_key(2) < audit_key(1)
    True
    """
    return f"{AUDIT_PREFIX}{10**AUDIT_DIGITS - version:0{AUDIT_DIGITS}d}"


class ConfigManager:
    """Tracks the highest version seen; implements :class:`~sapphirelead.entry_ports.ConfigService`.

    :ivar ready: set once the configuration is known or the grace period has passed.
    """

    ready: asyncio.Event
    _stamp: Stamp
    _zone: str
    _table: EntryTable
    _members: Members
    _links: Links
    _leases: LeaseManager
    _current: Config
    _raw: Any
    _listeners: list[Callable[[Config], None]]
    _read_listeners: list[Callable[[float], None]]
    _peers: dict[str, int]
    _task: "asyncio.Task[None] | None"
    _pushes: "set[asyncio.Task[None]]"

    def __init__(
        self,
        stamp: Stamp,
        zone: str,
        table: EntryTable,
        members: Members,
        links: Links,
        leases: LeaseManager,
    ) -> None:
        self.ready = asyncio.Event()
        self._stamp = stamp
        self._zone = zone
        self._table = table
        self._members = members
        self._links = links
        self._leases = leases
        self._current = EMPTY_CONFIG
        self._raw = {}
        self._listeners = []
        self._read_listeners = []
        self._peers = {}
        self._task = None
        self._pushes = set()
        links.on(ConfigPush, self._on_push)

    @property
    def current(self) -> Config:
        """The configuration with the highest version seen."""
        return self._current

    def on_change(self, listener: Callable[[Config], None]) -> None:
        """Call ``listener`` with each newly adopted configuration."""
        self._listeners.append(listener)

    def on_read(self, listener: Callable[[float], None]) -> None:
        """Call ``listener`` after each read of the table; see :class:`ConfigService`."""
        self._read_listeners.append(listener)

    def start(self) -> None:
        """Start polling the table."""
        self._task = asyncio.create_task(self._run(), name="config-poll")

    async def stop(self) -> None:
        """Stop polling the table."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    def observe(self, version: int, document: Any) -> None:
        """Adopt a received configuration if its version is higher than the current one."""
        if version <= self._current.version:
            return
        parsed = parse_document(document)
        if isinstance(parsed, Err):
            # A newer release may use keys unknown here; the older configuration stays in force.
            log_event("ERROR", "config_rejected", version=version, reason=parsed.err_value.message)
            return
        self._adopt(Config(version, parsed.ok_value), document)

    async def apply(
        self, raw: Any, base_version: int, author: str, reason: str
    ) -> Result[Config, Failure]:
        """Commit a change and its audit record; ``CONFIG_CONFLICT`` if the version changed."""
        parsed = parse_document(raw)
        if isinstance(parsed, Err):
            return parsed
        found = await self._table.rows([CONFIG_KEY])
        if isinstance(found, Err):
            return Err(Failure(Code.STORE_UNAVAILABLE, found.err_value.message, "apply again"))
        row = found.ok_value[0]
        self._observe_row(row)  # so that a conflict reports the committed version
        current_version = _version_of(row)
        if current_version != base_version:
            return Err(_conflict(base_version, current_version))
        version = current_version + 1
        # The row was just observed, so the current document is the one that is replaced.
        changes = describe_changes(self._current.document, parsed.ok_value)
        record = _audit_value(version, author, reason, changes)
        unit = Unit(
            (
                Change(row, {"version": version, "document": raw}),
                Change(absent(audit_key(version)), record),
            )
        )
        commit = await self._table.commit(unit)
        if commit.status is CommitStatus.CONFLICT:
            await self._poll()
            return Err(_conflict(base_version, self._current.version))
        if commit.status is not CommitStatus.COMMITTED:
            return Err(commit_failure(commit))
        config = Config(version, parsed.ok_value)
        self._adopt(config, raw)
        log_event("INFO", "config_applied", version=version, author=author, reason=reason)
        return Ok(config)

    async def history(self, after: int, limit: int) -> Result[list[AuditRecord], Failure]:
        """Read audit records, newest first; those older than version ``after`` unless it is 0."""
        start = audit_key(after) if after else ""
        found = await self._table.scan(AUDIT_PREFIX, start, limit)
        if isinstance(found, Err):
            return found
        values = [row.value for row in found.ok_value if row.value is not None]
        return Ok([_audit_record(value) for value in values])

    def status(self) -> list[MemberVersion]:
        """Return the configuration version of each live process."""
        own = MemberVersion(self._stamp.sender, "entry", self._zone, self._current.version)
        peers = [
            MemberVersion(name, "entry", "", self._peers.get(name, 0))
            for name in self._leases.live_entries
            if name != self._stamp.sender
        ]
        agents = [
            MemberVersion(view.id, "agent", view.zone, view.config_version)
            for view in self._members.live()
        ]
        return [own, *peers, *agents]

    async def _run(self) -> None:
        started = asyncio.get_running_loop().time()
        while True:
            await self._poll()
            if asyncio.get_running_loop().time() - started > STARTUP_GRACE_S:
                self.ready.set()
            self._push_outdated()
            await asyncio.sleep(POLL_INTERVAL_S)

    async def _poll(self) -> None:
        sent_at = awake_now()
        found = await self._table.row(CONFIG_KEY)
        if isinstance(found, Err):
            return
        self.ready.set()
        self._observe_row(found.ok_value)
        if _version_of(found.ok_value) > self._current.version:
            # Rejected: what it evacuates is not known here.
            return
        for listener in self._read_listeners:
            listener(sent_at)

    def _observe_row(self, row: Row) -> None:
        if row.value is not None:
            self.observe(row.value["version"], row.value["document"])

    def _adopt(self, config: Config, raw: Any) -> None:
        if config.version <= self._current.version:
            return
        self._current = config
        self._raw = raw
        self.ready.set()
        log_event("INFO", "config_in_force", version=config.version)
        for listener in self._listeners:
            listener(config)
        self._push_outdated()

    def _on_push(self, message: ConfigPush) -> None:
        self.observe(message.version, message.document)
        self._peers[message.sender] = max(message.version, self._peers.get(message.sender, 0))

    def _push_outdated(self) -> None:
        """Push the current configuration to agents with a lower version and to all peers."""
        if self._current.version == 0:
            return
        task = asyncio.create_task(self._push())
        self._pushes.add(task)
        task.add_done_callback(self._pushes.discard)

    async def _push(self) -> None:
        message = ConfigPush(
            **self._stamp.head(self._current.version),
            version=self._current.version,
            document=self._raw,
        )
        for view in self._members.live():
            if view.config_version < message.version:
                await self._links.send(view.id, Channel.CONTROL, message)
        for peer in self._leases.live_entries:
            if peer != self._stamp.sender:
                await self._links.send_peer(peer, message)


def _version_of(row: Row) -> int:
    return int(row.value["version"]) if row.value is not None else 0


def _conflict(base: int, current: int) -> Failure:
    return Failure(
        Code.CONFIG_CONFLICT,
        f"the change was made against version {base}, but version {current} is in force",
        "read the current version, merge your change into it and apply again",
    )


def _audit_value(
    version: int, author: str, reason: str, changes: tuple[str, ...]
) -> dict[str, Any]:
    at_ms = int(datetime.now(UTC).timestamp() * 1000)
    return {
        "version": version,
        "at_ms": at_ms,
        "author": author,
        "reason": reason,
        "action": "config apply",
        "changes": list(changes),
    }


def _audit_record(value: dict[str, Any]) -> AuditRecord:
    return AuditRecord(
        value["version"],
        value["at_ms"],
        value["author"],
        value["reason"],
        value["action"],
        tuple(value["changes"]),
    )
