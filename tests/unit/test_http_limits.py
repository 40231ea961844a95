"""Tests the decisions of :mod:`sapphirelead.http_limits` under crowds of clients."""

import pytest

from sapphirelead.http_limits import (
    PROGRESS_BYTES,
    Connection,
    HttpLimits,
    MemoryBudget,
    Phase,
    ServerConnections,
)


def receiving() -> Connection:
    conn = Connection()
    conn.phase = Phase.RECEIVING
    return conn


def answering() -> Connection:
    conn = Connection()
    conn.phase = Phase.ANSWERING
    return conn


def charged(budget: MemoryBudget, *conns: Connection, each: int = 100) -> None:
    for conn in conns:
        budget.update(conn)
        assert budget.charge(conn, each) == []


def test_the_connection_longest_without_progress_is_closed_first() -> None:
    """Guards against a crowd of stalled uploads that keeps out a client that makes progress."""
    budget = MemoryBudget(300)
    first, second, third = receiving(), receiving(), receiving()
    charged(budget, first, second, third)
    budget.update(first, progress=True)
    new = receiving()
    budget.update(new)
    assert budget.charge(new, 150) == [second, third]
    assert (budget.held, second.charged, first.charged) == (250, 0, 100)


def test_complete_requests_are_never_closed() -> None:
    """Guards against a broken connection of a caller whose job may have been accepted."""
    budget = MemoryBudget(300)
    charged(budget, answering(), answering(), answering())
    new = receiving()
    budget.update(new)
    assert budget.charge(new, 1) == [new]
    assert budget.held == 300


@pytest.mark.parametrize("mark", ["blocked", "pipelining"])
def test_clients_that_let_responses_wait_or_send_ahead_are_closed(mark: str) -> None:
    """Guards against memory that is held by clients that do not read, or that send ahead."""
    budget = MemoryBudget(300)
    hostile = answering()
    setattr(hostile, mark, True)
    charged(budget, hostile, answering(), answering())
    new = receiving()
    budget.update(new)
    assert budget.charge(new, 50) == [hostile]


def test_trickled_bytes_are_no_progress() -> None:
    """Guards against clients that keep their place by sending a byte at a time."""
    conn = receiving()
    assert not any(conn.advance(1) for _ in range(PROGRESS_BYTES - 1))
    assert conn.advance(1)
    assert not conn.advance(1)


def test_idle_connections_are_closed_before_busy_ones() -> None:
    """Guards against a crowd of idle connections that keeps callers out."""
    budget = MemoryBudget(1_000)
    server = ServerConnections(3, budget)
    busy, idle, stalled, new = answering(), Connection(), receiving(), Connection()
    for conn in (busy, idle, stalled):
        assert server.accept(conn) is None
    server.set_idle(busy, False)
    server.set_idle(stalled, False)
    budget.update(stalled)
    assert server.accept(new) is idle
    server.set_idle(new, False)
    new.phase = Phase.ANSWERING
    later = Connection()
    assert server.accept(later) is stalled
    server.set_idle(later, False)
    assert server.accept(last := Connection()) is last


def test_requests_that_stay_incomplete_are_overdue() -> None:
    """Guards against requests that occupy a descriptor for ever."""
    server = ServerConnections(3, MemoryBudget(1_000))
    slow, answered = receiving(), answering()
    slow.waited_since = 10.0
    for conn in (slow, answered):
        server.accept(conn)
    assert server.overdue(10.0) == []
    assert server.overdue(10.1) == [slow]


@pytest.mark.parametrize(("memory_mb", "max_fds"), [(300, 4_100), (168, 4_100), (128, 400)])
def test_servers_leave_sockets_for_peers(memory_mb: int, max_fds: int) -> None:
    """Guards against HTTP clients that use up the descriptors for the store and the peers."""
    limits = HttpLimits.from_machine(memory_mb, max_fds)
    clients = limits.connections + 2 * limits.probe_connections
    assert clients <= (max_fds - 200) / 2
    assert limits.memory_bytes <= memory_mb * 1_048_576 / 4
