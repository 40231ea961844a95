"""Receives request bodies within a limit."""

from enum import Enum, auto

from aiohttp import web
from result import Err, Ok, Result


class BodyError(Enum):
    """Why a body was not received."""

    TOO_LARGE = auto()
    INCOMPLETE = auto()


async def receive_body(request: web.BaseRequest, max_bytes: int) -> Result[bytes, BodyError]:
    """Read a request's body; one without a declared length is counted as it arrives.

    The library keeps the exception of a broken connection, whose traceback refers to this frame:
    clearing the buffer frees its memory before the next garbage collection.
    """
    if (request.content_length or 0) > max_bytes:
        return Err(BodyError.TOO_LARGE)
    body = bytearray()
    try:
        while chunk := await request.content.readany():
            body += chunk
            if len(body) > max_bytes:
                return Err(BodyError.TOO_LARGE)
        return Ok(bytes(body))
    except (web.RequestPayloadError, ConnectionError):
        return Err(BodyError.INCOMPLETE)
    finally:
        body.clear()
