"""The list of entries in the store: where each listens.

An entry writes its row once, at its start.  Rows of entries that are gone stay; whoever connects to
such an address just hears nothing from there.
"""

from typing import Annotated, Final

import msgspec
from result import Err, Ok, Result

from sapphirelead.errors import Failure
from sapphirelead.logs import log_event
from sapphirelead.node_messages import EntryAddress
from sapphirelead.ports import CommitStatus, Row, Table, Txn, Write

ENTRY_PREFIX: Final = "fleet/entry/"

MAX_ENTRIES: Final = 500
"""Rows read at once; a fleet has a few entries for each availability zone."""


class EntryRow(msgspec.Struct, frozen=True):
    """What an entry's row holds."""

    name: str
    host: Annotated[str, msgspec.Meta(pattern=r"\A[][0-9A-Za-z._:-]+\Z")]
    port: Annotated[int, msgspec.Meta(ge=1, le=65_535)]
    cores: Annotated[float, msgspec.Meta(ge=0)] = 0.0


async def write_entry(table: Table, address: EntryAddress) -> bool:
    """Write the row of an entry; ``False`` where it is not known to be stored."""
    row = EntryRow(address.name, address.host, address.port, address.cores)
    write = Write(ENTRY_PREFIX + address.name, msgspec.to_builtins(row))
    commit = await table.commit(Txn(f"register-{address.name}", (), (write,)))
    return commit.status is CommitStatus.COMMITTED


async def read_entries(table: Table) -> Result[list[EntryAddress], Failure]:
    """Read where all entries listen."""
    found = await table.scan(ENTRY_PREFIX, "", MAX_ENTRIES)
    if isinstance(found, Err):
        log_event("INFO", "entries_not_read", reason=str(found.err_value))
        return found
    addresses = [address for row in found.ok_value if (address := _decode(row)) is not None]
    return Ok(addresses)


def _decode(row: Row) -> EntryAddress | None:
    """Return where an entry listens; ``None`` for a row of a foreign writer.

    A row under another entry's key would else take that entry's place in the list, and nobody
    would reach it any more.
    """
    try:
        entry = msgspec.convert(row.value, EntryRow)
    except msgspec.ValidationError as exc:
        log_event("ERROR", "entry_row_unreadable", key=row.key, reason=str(exc))
        return None
    if row.key != ENTRY_PREFIX + entry.name:
        log_event("ERROR", "entry_row_misplaced", key=row.key, name=entry.name)
        return None
    return EntryAddress(entry.name, entry.host, entry.port, entry.cores)
