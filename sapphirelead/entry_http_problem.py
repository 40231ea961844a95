"""Problem documents (RFC 9457) for responses that no target produced.

Every problem has an ``outcome``: ``not_run`` only if proven, otherwise ``unknown``.  If a retry may
succeed, ``Retry-After`` gives the delay in whole seconds and ``retry_after_ms`` in milliseconds.
"""

import math
from dataclasses import asdict, dataclass
from typing import Any, Final

import msgspec
from aiohttp import web

from sapphirelead.errors import Code, Failure, Outcome
from sapphirelead.model_job import Job, JobState

STATUS_OF: Final[dict[Code, int]] = {
    Code.BAD_REQUEST: 400,
    Code.TOO_LARGE: 413,
    Code.UNPROCESSABLE: 422,
    Code.NOT_FOUND: 404,
    Code.KEY_REUSED: 422,
    Code.IMPOSSIBLE: 422,
    Code.OVERLOADED: 429,
    Code.QUOTA: 429,
    Code.NO_INSTANCE: 503,
    Code.REFUSED_BY_RULE: 503,
    Code.DRAINING: 503,
    Code.NO_LEADER: 503,
    Code.TOO_LATE: 503,
    Code.STORE_UNAVAILABLE: 503,
    Code.STORE_CONFLICT: 503,
    Code.STORE_AMBIGUOUS: 504,
    Code.DEADLINE: 504,
    Code.TARGET_FAILED: 504,
    Code.LOST: 504,
}
RETRY_STATUSES: Final = frozenset({429, 503})
DEFAULT_RETRY_S: Final = 1.0

_OUTCOME_OF_STATE: Final[dict[JobState, Outcome]] = {
    JobState.DONE: Outcome.DONE,
    JobState.FAILED: Outcome.UNKNOWN,
    JobState.UNKNOWN: Outcome.UNKNOWN,
}


@dataclass(frozen=True, slots=True)
class BadField:
    """An invalid field of a request.

    :ivar limit: exceeded bound, or the allowed values.
    :ivar unit: unit of ``limit``, or empty.
    """

    field: str
    limit: str = ""
    unit: str = ""


def problem(
    failure: Failure,
    outcome: Outcome = Outcome.NOT_RUN,
    retry_after_s: float = 0.0,
    bad: BadField | None = None,
    status: int = 0,
    **extra: Any,
) -> web.Response:
    """Return a failure as a problem document; ``status`` 0 selects the status of its code."""
    status = status or STATUS_OF.get(failure.code, 503)
    body: dict[str, Any] = {
        "type": "about:blank",
        "title": failure.code.name.lower(),
        "status": status,
        "code": failure.code.value,
        "detail": failure.message,
        "outcome": outcome.value,
        **extra,
    }
    if failure.hint:
        body["hint"] = failure.hint
    if bad is not None:
        body.update({key: value for key, value in asdict(bad).items() if value})
    headers = {}
    if status in RETRY_STATUSES or failure.code is Code.STORE_AMBIGUOUS:
        wait_s = retry_after_s or DEFAULT_RETRY_S
        headers["Retry-After"] = str(max(1, math.ceil(wait_s)))
        body["retry_after_ms"] = int(wait_s * 1000)
    return web.json_response(
        body, status=status, headers=headers, content_type="application/problem+json"
    )


def outcome_of(job: Job) -> Outcome | None:
    """Return the outcome of an ended job, or ``None`` while it is open.

    ``not_run`` requires proof: no claim was committed, or the holder reported that it never
    started.
    """
    if not job.ended:
        return None
    if job.state is JobState.CANCELLED:
        return Outcome.NOT_RUN if job.reason == "not_run" else Outcome.UNKNOWN
    if job.state is JobState.SET_ASIDE:
        return Outcome.NOT_RUN if job.epoch == 0 else Outcome.UNKNOWN
    return _OUTCOME_OF_STATE[job.state]


def job_view(job: Job) -> dict[str, Any]:
    """Return the representation of a job for callers."""
    outcome = outcome_of(job)
    return {
        "key": job.spec.key,
        "kind": job.spec.kind.value,
        "job_class": job.spec.job_class,
        "team": job.spec.team,
        "state": job.state.value,
        "outcome": outcome.value if outcome is not None else None,
        "epoch": job.epoch,
        "instance": job.holder.instance if job.holder else "",
        "attempts": job.attempts,
        "losses": job.losses,
        "cancel_requested": job.cancel_requested,
        "submitted_ms": job.submitted_ms,
        "rule": job.rule,
        "reason": job.reason,
        "result": msgspec.to_builtins(job.result),
    }
