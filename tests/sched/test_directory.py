"""Service discovery by the entries' rows in the store."""

from result import Ok

from sapphirelead.node_directory import ENTRY_PREFIX, read_entries, write_entry
from sapphirelead.node_messages import EntryAddress
from sapphirelead.ports import Txn, Write
from tests.unit.fakes import MemoryTable


async def test_entries_find_each_other_by_their_rows() -> None:
    table = MemoryTable()
    addresses = [EntryAddress("a", "10.0.0.1", 7000), EntryAddress("b", "10.0.0.2", 7000)]
    for address in addresses:
        assert await write_entry(table, address)
    assert await read_entries(table) == Ok(addresses)


async def test_an_unreadable_row_does_not_hide_others() -> None:
    """Guards against a process crash on a row of another shape, as by a newer release."""
    table = MemoryTable()
    await write_entry(table, EntryAddress("a", "10.0.0.1", 7000))
    odd = Write(ENTRY_PREFIX + "b", {"name": "b"})
    await table.commit(Txn("odd", (), (odd,)))
    assert await read_entries(table) == Ok([EntryAddress("a", "10.0.0.1", 7000)])
