"""Service discovery: the addresses of all entries, kept in the store.

An entry writes its row once, at startup.  Rows of entries that no longer exist remain; connections
to their addresses get no response.
"""

from typing import Annotated, Final

import msgspec
from result import Err, Ok, Result

from sapphirelead.errors import Failure
from sapphirelead.logs import log_event
from sapphirelead.node_messages import EntryAddress
from sapphirelead.ports import CommitStatus, Row, Table, Txn, Write

ENTRY_PREFIX: Final = "fleet/entry/"

MAX_ENTRIES_READ: Final = 500
"""Maximum number of entries whose rows are read."""


class EntryRow(msgspec.Struct, frozen=True):
    """The stored row of an entry."""

    name: str
    host: Annotated[str, msgspec.Meta(pattern=r"\A[][0-9A-Za-z._:-]+\Z")]
    port: Annotated[int, msgspec.Meta(ge=1, le=65_535)]
    cores: Annotated[float, msgspec.Meta(ge=0)] = 0.0


async def write_entry(table: Table, address: EntryAddress) -> bool:
    """Write the row of an entry; ``False`` if the commit is not confirmed."""
    row = EntryRow(address.name, address.host, address.port, address.cores)
    write = Write(ENTRY_PREFIX + address.name, msgspec.to_builtins(row))
    commit = await table.commit(Txn(f"register-{address.name}", (), (write,)))
    return commit.status is CommitStatus.COMMITTED


async def read_entries(table: Table) -> Result[list[EntryAddress], Failure]:
    """Read the addresses of all entries."""
    found = await table.scan(ENTRY_PREFIX, "", MAX_ENTRIES_READ)
    if isinstance(found, Err):
        log_event("INFO", "entries_not_read", reason=str(found.err_value))
        return found
    addresses = [address for row in found.ok_value if (address := _decode(row)) is not None]
    return Ok(addresses)


def _decode(row: Row) -> EntryAddress | None:
    """Return an entry's address; ``None`` for an invalid row.

    A row whose name does not match its key is rejected, as it would replace another entry's
    address.
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
