"""Validates submissions of jobs of steps and converts them to :class:`JobSpec`.

The fields of a submitted step are those of :class:`~sapphirelead.sched_spec.StepSpec`.  A rejected
submission has not been stored.
"""

import re
from typing import Final

import msgspec
from result import Err, Ok, Result

from sapphirelead.entry_http_problem import BadField
from sapphirelead.entry_http_requests import Rejected, reject
from sapphirelead.errors import Code, Failure
from sapphirelead.fleet_config import check_task_sizes, queue_policy
from sapphirelead.model_config import QueueModel
from sapphirelead.sched_spec import JobSpec, StepSpec, check_job

JOB_ID_PATTERN: Final = r"[A-Za-z0-9_-]{1,64}"

MAX_JOB_BYTES: Final = 40_000
"""Maximum size of a submission; with the overhead of Base64 it fits in one row of 64 KB."""

_JOB_ID: Final = re.compile(JOB_ID_PATTERN)
_FIELD_PATTERN: Final = re.compile(r"`\$\.?([^`]*)`")


class StepBody(StepSpec, frozen=True, omit_defaults=True, forbid_unknown_fields=True):
    """A submitted step; unknown fields are rejected."""


class JobBody(msgspec.Struct, forbid_unknown_fields=True):
    """Body of a submission.

    :ivar input: JSON value that is passed to every task.
    :ivar first_due_ms: wall-clock time of the first occurrence, in milliseconds since 1970.
    :ivar interval_ms: interval between occurrences, in milliseconds.
    :ivar occurrences: number of occurrences; 0 for a job that runs once, immediately.
    """

    steps: tuple[StepBody, ...]
    input: msgspec.Raw = msgspec.Raw(b"null")
    first_due_ms: int = 0
    interval_ms: int = 0
    occurrences: int = 0


_DECODER: Final = msgspec.json.Decoder(JobBody)


def parse_job_id(text: str) -> Result[str, Rejected]:
    """Validate a job id."""
    if _JOB_ID.fullmatch(text):
        return Ok(text)
    return Err(reject(Code.BAD_REQUEST, "id", "is wrong", JOB_ID_PATTERN))


def parse_job_of_steps(
    raw: bytes, job_id: str, queue: str, config: QueueModel, accepted_ms: int
) -> Result[JobSpec, Rejected]:
    """Validate a submission and return its job."""
    if len(raw) > MAX_JOB_BYTES:
        return Err(reject(Code.TOO_LARGE, "body", "is too large", MAX_JOB_BYTES, "bytes"))
    decoded = _decode(raw)
    if isinstance(decoded, Err):
        return decoded
    payload = _payload(decoded.ok_value)
    if isinstance(payload, Err):
        return payload
    job = _job(decoded.ok_value, payload.ok_value, job_id, queue, config, accepted_ms)
    problem = _check_non_negative(job) or check_job(job)
    if problem:
        return Err(Rejected(Failure(Code.UNPROCESSABLE, problem), BadField(_field_of(problem))))
    if text := check_task_sizes(config, job):
        hint = "split the task, or use a queue of larger instances"
        return Err(Rejected(Failure(Code.IMPOSSIBLE, text, hint), BadField(_field_of(text))))
    return Ok(job)


def _decode(raw: bytes) -> Result[JobBody, Rejected]:
    try:
        return Ok(_DECODER.decode(raw))
    except msgspec.ValidationError as exc:
        found = _FIELD_PATTERN.search(str(exc))
        field = found[1] if found and found[1] else "body"
        failure = Failure(Code.UNPROCESSABLE, f"{field}: {exc}", "see docs/openapi.yaml")
        return Err(Rejected(failure, BadField(field)))
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as exc:
        return Err(reject(Code.BAD_REQUEST, "body", str(exc), "one JSON object"))


def _payload(body: JobBody) -> Result[str, Rejected]:
    """Return the input without spaces; raw values are not validated until here."""
    try:
        return Ok(msgspec.json.format(bytes(body.input), indent=-1).decode())
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as exc:
        return Err(reject(Code.BAD_REQUEST, "input", str(exc), "one JSON value"))


def _job(
    body: JobBody, payload: str, job_id: str, queue: str, config: QueueModel, accepted_ms: int
) -> JobSpec:
    return JobSpec(
        job_id=job_id,
        queue=queue,
        payload=payload,
        steps=tuple(StepSpec(**msgspec.structs.asdict(step)) for step in body.steps),
        policy=queue_policy(config),
        accepted_ms=accepted_ms,
        first_due_ms=body.first_due_ms,
        interval_ms=body.interval_ms,
        occurrences=body.occurrences,
    )


def _check_non_negative(job: JobSpec) -> str:
    if job.first_due_ms < 0:
        return "first_due_ms must not be negative"
    for number, step in enumerate(job.steps):
        if min(step.per_worker, step.target_ms, step.absent_max) < 0:
            return f"step {number}: per_worker, target_ms and absent_max must not be negative"
    return ""


def _field_of(problem: str) -> str:
    """Return the field that a validation error refers to.

    >>> _field_of("step 2: a step has at least one task"), _field_of("a job has at least one step")
    ('steps[2]', 'steps')
    """
    found = re.match(r"step (\d+)", problem)
    return f"steps[{found[1]}]" if found else "steps"
