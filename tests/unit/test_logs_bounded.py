"""The rate limit of log lines, with a pipe and a fake clock."""

import os
from collections.abc import Iterator
from dataclasses import dataclass, field

import pytest

from sapphirelead.logs_bounded import BURST_LINES, LINES_PER_S, RESERVED_LINES, BoundedSink


@dataclass
class Log:
    """A sink with its clock and the read end of its pipe."""

    fds: tuple[int, int]
    at: float = 0.0
    sink: BoundedSink = field(init=False)

    def __post_init__(self) -> None:
        self.sink = BoundedSink(self.fds[1], lambda: self.at)

    def write(self, event: str) -> str:
        """Write a line and return the output."""
        self.sink.write(f"at=x level=info event={event} key=1\n")
        return self.out()

    def out(self) -> str:
        """Return the output since the last read."""
        try:
            return os.read(self.fds[0], 65_536).decode()
        except BlockingIOError:
            return ""


@pytest.fixture
def log() -> Iterator[Log]:
    fds = os.pipe()
    os.set_blocking(fds[0], False)
    yield Log(fds)
    for fd in fds:
        os.close(fd)


def test_frequent_events_leave_reserved_rate_to_other_events(log: Log) -> None:
    """Frequent task events must not use up the rate reserved for other events."""
    starts = sum(1 for _ in range(int(BURST_LINES)) if log.write("start_sent"))
    assert starts == int(BURST_LINES - RESERVED_LINES)
    calls = sum(1 for _ in range(int(BURST_LINES)) if log.write("call_ended"))
    assert calls == int(RESERVED_LINES)


def test_dropped_lines_are_reported_by_event(log: Log) -> None:
    for _ in range(int(BURST_LINES - RESERVED_LINES) + 7):
        log.write("run_ended")
    assert "event=log_lines_dropped lines=7 of=run_ended:7" in log.write("call_ended")
    assert "log_lines_dropped" not in log.write("call_ended")
    assert log.sink.dropped == 7


def test_sustained_rate_is_bounded(log: Log) -> None:
    while log.write("call_ended"):
        pass
    log.at += 1.0
    assert sum(1 for _ in range(int(2 * LINES_PER_S)) if log.write("call_ended")) == LINES_PER_S


def test_blocked_reader_does_not_block_process(log: Log) -> None:
    for _ in range(3_000):
        log.sink.write("at=x level=info event=call_ended key=1\n")
    assert log.sink.dropped > 0
