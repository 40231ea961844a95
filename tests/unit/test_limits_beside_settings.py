"""Tests limits beside what the settings and the version before allow."""

import msgspec
import pytest

from sapphirelead.entry_http import _http_limits
from sapphirelead.http_limits import ACTIVE_BYTES, COST_OF_BYTE, INCOMPLETE_BYTES
from sapphirelead.sched_job import Job, JobFlags
from sapphirelead.sched_spec import JobSpec, QueuePolicy, StepSpec
from sapphirelead.settings import CallerLimits


class _FlagsBefore(msgspec.Struct, array_like=True):
    """The flags of a job as the version before reads them."""

    cancelled: bool
    failed: bool
    started: bool
    ended_ms: int
    finished: list[int]
    in_progress: list[int]


@pytest.mark.parametrize("body_mb", [1, 16, 64])
def test_a_body_of_the_configured_size_fits_into_the_budget(body_mb: int) -> None:
    """Guards against settings with which a legal request is refused on an idle entry."""
    limits = CallerLimits(body_bytes=body_mb * 1_048_576)
    cost = ACTIVE_BYTES + INCOMPLETE_BYTES + COST_OF_BYTE * limits.body_bytes
    assert cost <= _http_limits(limits).memory_bytes


@pytest.mark.parametrize("finished", [10_000, 10_001, 14_000])
def test_the_version_before_reads_the_finished_occurrences(finished: int) -> None:
    """Guards against occurrences that run again under a leader of the version before."""
    spec = JobSpec("a", "q", "", (StepSpec(),), QueuePolicy("s"), occurrences=20_000)
    job = Job.accept(spec)
    job.finished = set(range(finished))
    row = msgspec.msgpack.encode(job.flags)
    assert len(msgspec.msgpack.decode(row, type=JobFlags).in_progress) == 0
    old = msgspec.msgpack.encode(_FlagsBefore(False, False, False, 0, sorted(job.finished), []))
    assert len(old) * 4 / 3 < 65_536, "the version before could not store it either"
    assert set(msgspec.msgpack.decode(row, type=_FlagsBefore).finished) == job.finished
