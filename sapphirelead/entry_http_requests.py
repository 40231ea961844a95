"""Validation of requests from callers.

Each check returns a typed value or a :class:`Rejected` that names the field, its limit and its
unit.  A request rejected here has had no effect.
"""

import asyncio
import json
import re
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Annotated, Any, Final, Literal

import msgspec
from aiohttp import web
from pydantic import AfterValidator, BaseModel, ConfigDict, Field, ValidationError
from result import Err, Ok, Result

from sapphirelead.entry_http_problem import BadField, problem
from sapphirelead.errors import Code, Failure
from sapphirelead.http_body import BodyError, receive_body
from sapphirelead.http_headers import HOP_BY_HOP, end_to_end
from sapphirelead.model_config import ConfigDocument, JobClassPolicy
from sapphirelead.model_job import JobSpec, Kind
from sapphirelead.model_resources import Resources
from sapphirelead.settings import CallerLimits

DEADLINE_HEADER: Final = "X-Request-Deadline-Ms"
IDEMPOTENT_HEADER: Final = "X-Request-Idempotent"
URGENT_HEADER: Final = "X-Request-Urgent"
TEAM_HEADER: Final = "X-Request-Team"
KEY_HEADER: Final = "Idempotency-Key"
KEY_PATTERN: Final = r"[A-Za-z0-9._:@-]{1,128}"
NAME_PATTERN: Final = r"[A-Za-z0-9._-]{1,64}"
MAX_JOB_DEADLINE_MS: Final = 30 * 24 * 3_600_000

_KEY: Final = re.compile(KEY_PATTERN)
_NAME: Final = re.compile(NAME_PATTERN)
# The server has already answered ``Expect: 100-continue``; forwarded, it would make the agent wait
# for another 100 response from the target.
_NOT_FORWARDED: Final = HOP_BY_HOP | {"expect"}


@dataclass(frozen=True, slots=True)
class Rejected:
    """Reason why a request failed validation."""

    failure: Failure
    bad: BadField | None = None


Checked = Result[Any, Rejected]


def reject(code: Code, field: str, message: str, limit: object = "", unit: str = "") -> Rejected:
    """Return the rejection of one field."""
    return Rejected(Failure(code, f"{field}: {message}"), BadField(field, str(limit), unit))


def rejected(why: Rejected) -> web.Response:
    """Return the response to a request that failed validation."""
    return problem(why.failure, bad=why.bad)


class JobResources(BaseModel):
    """Resources requested by a job; omitted fields default to those of its class."""

    model_config = ConfigDict(extra="forbid")

    cpu_millicores: Annotated[int, Field(ge=1, le=10_000_000)] | None = None
    memory_mb: Annotated[int, Field(ge=1, le=100_000_000)] | None = None
    accelerators: Annotated[int, Field(ge=0, le=1_000)] | None = None


def _check_serializable(value: Any) -> Any:
    """Reject inputs that MessagePack or JSON cannot represent exactly.

    MessagePack has no integers beyond 64 bits, and JSON has no ``NaN`` or infinity.
    """
    try:
        msgspec.msgpack.encode(value)
        json.dumps(value, allow_nan=False)
    except (OverflowError, ValueError):
        raise ValueError("numbers must be finite, and integers within 64 bits") from None
    return value


class JobBody(BaseModel):
    """Body of ``POST /v1/jobs``."""

    model_config = ConfigDict(extra="forbid")

    key: Annotated[str, Field(pattern=f"^{KEY_PATTERN}$")]
    kind: Literal["batch", "watch"] | None = None
    job_class: Annotated[str, Field(pattern=f"^{NAME_PATTERN}$")] = "default"
    team: Annotated[str, Field(pattern=f"^{NAME_PATTERN}$")] = "default"
    resources: JobResources = JobResources()
    input: Annotated[Any, AfterValidator(_check_serializable)] = None
    idempotent: bool | None = None
    urgent: bool = False
    deadline_ms: Annotated[int, Field(ge=0, le=MAX_JOB_DEADLINE_MS)] = 0
    expected_ms: Annotated[int, Field(ge=0, le=MAX_JOB_DEADLINE_MS)] = 0

    def to_spec(self, document: ConfigDocument) -> JobSpec:
        """Return the job specification, with defaults from the configuration of its class."""
        policy = document.job_classes.get(self.job_class, JobClassPolicy())
        return JobSpec(
            key=self.key,
            kind=Kind(self.kind or policy.kind),
            job_class=self.job_class,
            team=self.team,
            resources=_resources(self.resources, policy),
            input=self.input,
            idempotent=policy.idempotent if self.idempotent is None else self.idempotent,
            urgent=self.urgent,
            deadline_ms=self.deadline_ms,
            expected_ms=self.expected_ms,
        )


def _resources(requested: JobResources, policy: JobClassPolicy) -> Resources:
    def pick(value: int | None, default: int) -> int:
        return default if value is None else value

    return Resources(
        pick(requested.cpu_millicores, policy.cpu_millicores),
        pick(requested.memory_mb, policy.memory_mb),
        pick(requested.accelerators, policy.accelerators),
    )


def class_resources(document: ConfigDocument, job_class: str) -> Resources:
    """Return the resources configured for a job class."""
    return _resources(JobResources(), document.job_classes.get(job_class, JobClassPolicy()))


async def read_body(request: web.Request, limits: CallerLimits) -> Checked:
    """Read a request body within the size and time limits."""
    try:
        async with asyncio.timeout(limits.read_timeout_seconds):
            found = await receive_body(request, limits.body_bytes)
    except TimeoutError:
        seconds = limits.read_timeout_seconds
        return Err(
            reject(
                Code.BAD_REQUEST,
                "body",
                "was not received within the read timeout",
                seconds,
                "seconds",
            )
        )
    if isinstance(found, Ok):
        return found
    if found.err_value is BodyError.TOO_LARGE:
        return Err(reject(Code.TOO_LARGE, "body", "is too large", limits.body_bytes, "bytes"))
    return Err(reject(Code.BAD_REQUEST, "body", "is malformed or incomplete"))


def check_headers(headers: Mapping[str, str], limits: CallerLimits) -> Result[None, Rejected]:
    """Check the total size of the headers."""
    size = sum(len(name) + len(value) + 4 for name, value in headers.items())
    if size > limits.header_bytes:
        limit = limits.header_bytes
        return Err(reject(Code.TOO_LARGE, "headers", "are too large", limit, "bytes"))
    return Ok(None)


def parse_job(raw: bytes) -> Result[JobBody, Rejected]:
    """Parse the body of a job submission."""
    try:
        return Ok(JobBody.model_validate_json(raw))
    except ValidationError as exc:
        first = exc.errors()[0]
        field = ".".join(str(part) for part in first["loc"]) or "body"
        if first["type"] == "json_invalid":
            return Err(reject(Code.BAD_REQUEST, "body", first["msg"], "one JSON object"))
        code = Code.UNPROCESSABLE
        return Err(Rejected(Failure(code, f"{field}: {first['msg']}"), _limit_of(field, first)))


def _limit_of(field: str, error: Any) -> BadField:
    found = error.get("ctx", {})
    limit = next((str(found[name]) for name in ("le", "ge", "pattern") if name in found), "")
    unit = field.rpartition("_")[2] if limit and "_" in field else ""
    return BadField(field, limit, unit)


def parse_deadline_ms(text: str | None, default_ms: int, max_ms: int) -> Result[int, Rejected]:
    """Parse the deadline header.

    >>> parse_deadline_ms(None, 5000, 60000)
    Ok(5000)
    >>> parse_deadline_ms("0", 5000, 60000).err_value.bad.unit
    'milliseconds'
    """
    if text is None:
        return Ok(min(default_ms, max_ms))
    if not re.fullmatch(r"[0-9]{1,9}", text) or not 1 <= int(text) <= max_ms:
        rejected = reject(
            Code.BAD_REQUEST,
            DEADLINE_HEADER,
            "must be an integer within the limits",
            f"1 to {max_ms}",
            "milliseconds",
        )
        return Err(rejected)
    return Ok(int(text))


def parse_flag(name: str, text: str | None, default: bool) -> Result[bool, Rejected]:
    """Parse a header whose value is ``true`` or ``false``."""
    if text is None:
        return Ok(default)
    if text.lower() in ("true", "false"):
        return Ok(text.lower() == "true")
    return Err(reject(Code.BAD_REQUEST, name, "is invalid", "true or false"))


def parse_name(field: str, text: str) -> Result[str, Rejected]:
    """Validate the name of a service or team."""
    if _NAME.fullmatch(text):
        return Ok(text)
    return Err(reject(Code.BAD_REQUEST, field, "is invalid", NAME_PATTERN))


def parse_key(text: str) -> Result[str, Rejected]:
    """Validate an idempotency key."""
    if _KEY.fullmatch(text):
        return Ok(text)
    return Err(reject(Code.BAD_REQUEST, KEY_HEADER, "is invalid", KEY_PATTERN))


def forwarded_headers(headers: Mapping[str, str]) -> dict[str, str]:
    """Return the headers to forward to the target."""
    return end_to_end(headers, _NOT_FORWARDED)
