"""Rows of jobs are exchanged with the version before, which does not know the count of losses."""

import msgspec
import pytest

from sapphirelead.entry_job_rows import decode_job, encode_job
from sapphirelead.model_job import Holder, Job, JobState
from sapphirelead.ports import Row
from tests.unit.fakes import make_spec

HOLDER = Holder("a", "i1")


def claimed(losses: int = 0, attempts: int = 0) -> Job:
    return Job(
        make_spec("j", idempotent=True),
        JobState.CLAIMED,
        epoch=7,
        holder=HOLDER,
        attempts=attempts,
        losses=losses,
        tried=("b",),
    )


@pytest.mark.parametrize("job", [claimed(), claimed(losses=3, attempts=2)])
def test_row_keeps_both_counts(job: Job) -> None:
    """Guards against a count that is lost when the row is written and read as JSON."""
    value = msgspec.json.decode(msgspec.json.encode(encode_job(job)))
    assert decode_job(Row("jobs/0000/j", 1, value)) == job


def test_row_of_the_version_before_is_read() -> None:
    """Guards against open jobs that nobody can read after an upgrade."""
    value = encode_job(claimed(attempts=2))
    del value["losses"]
    job = decode_job(Row("jobs/0000/j", 1, value))
    assert job is not None
    assert (job.losses, job.attempts, job.tried) == (0, 2, ("b",))
    assert job.lose_holder(7, "the instance was fenced").unwrap().losses == 1


def test_unknown_fields_of_a_row_are_ignored() -> None:
    """Guards against rows that one version writes and the other cannot read while both run."""
    value = {**encode_job(claimed()), "field_of_another_version": 1}
    assert decode_job(Row("jobs/0000/j", 1, value)) == claimed()


@pytest.mark.parametrize("losses", [0, 4])
def test_non_idempotent_job_ends_with_its_first_lost_holder(losses: int) -> None:
    """Guards against a second run of work that must run at most once."""
    job = Job(make_spec("j"), JobState.CLAIMED, epoch=1, holder=HOLDER, losses=losses)
    assert job.lose_holder(1, "the instance was fenced").unwrap().state is JobState.UNKNOWN
