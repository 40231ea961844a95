"""Requests and responses of the operator API: bodies, pages, documents and problems."""

from typing import Any, Final, TypeVar

from aiohttp import web
from pydantic import BaseModel, ValidationError
from result import Err, Ok, Result

from sapphirelead.errors import Code, Failure
from sapphirelead.model_config import ConfigDocument

MAX_PAGE_SIZE: Final = 1_000
DEFAULT_PAGE_SIZE: Final = 50

STATUS_OF: Final[dict[Code, int]] = {
    Code.BAD_REQUEST: 400,
    Code.CONFIG_INVALID: 422,
    Code.CONFIG_CONFLICT: 409,
    Code.UNPROCESSABLE: 422,
    Code.UNAUTHORIZED: 401,
    Code.NOT_FOUND: 404,
    Code.STORE_UNAVAILABLE: 503,
    Code.STORE_CONFLICT: 409,
    Code.STORE_AMBIGUOUS: 504,
}
STORE_RETRY_AFTER_S: Final = "2"

M = TypeVar("M", bound=BaseModel)


async def read_body(request: web.Request, model: type[M]) -> Result[M, Failure]:
    """Parse and validate a JSON body."""
    try:
        return Ok(model.model_validate_json(await request.read()))
    except ValidationError as exc:
        first = exc.errors()[0]
        key = ".".join(str(part) for part in first["loc"]) or "body"
        return Err(Failure(Code.BAD_REQUEST, f"{key}: {first['msg']}"))


def read_page(request: web.Request) -> Result[tuple[int, str], Failure]:
    """Parse the ``limit`` and ``after`` parameters of a list request."""
    text = request.query.get("limit", str(DEFAULT_PAGE_SIZE))
    if not text.isdecimal() or not 1 <= int(text) <= MAX_PAGE_SIZE:
        return Err(Failure(Code.BAD_REQUEST, f"limit: must be from 1 to {MAX_PAGE_SIZE}"))
    return Ok((int(text), request.query.get("after", "")))


def problem(failure: Failure, **extra: Any) -> web.Response:
    """Return a failure as a problem document."""
    status = STATUS_OF.get(failure.code, 503)
    body = {
        "type": "about:blank",
        "title": failure.code.name.lower(),
        "status": status,
        "code": failure.code,
        "detail": failure.message,
        "hint": failure.hint,
        **extra,
    }
    headers = {"Retry-After": STORE_RETRY_AFTER_S} if status == 503 else {}
    if status == 401:
        headers["WWW-Authenticate"] = "Bearer"
    return web.json_response(
        body, status=status, headers=headers, content_type="application/problem+json"
    )


def dump_document(document: ConfigDocument) -> dict[str, Any]:
    """Serialize a configuration document without fields that have their default."""
    return document.model_dump(mode="json", by_alias=True, exclude_defaults=True)
