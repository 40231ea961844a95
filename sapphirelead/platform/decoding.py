"""Decoding of what others send: no byte of theirs raises anything here.

The failure: a row or a heartbeat of a foreign writer holds bytes that cannot be read, a field of
another type, or a number that none of our own messages can carry.  It shows as a task that ends
with an exception, and with it the process, again after each restart while the row stays.  Decoding
therefore bounds every number and ends in a ``Result``; the caller leaves the item out and logs it.
"""

import base64
from typing import Annotated, Any, Final, Protocol, TypeVar

import msgspec
from result import Err, Ok, Result

MAX_NUMBER: Final = 2**53
"""Largest number taken: milliseconds of 285,000 years, and exact in every JSON library."""

Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_NUMBER)]
"""A whole number that is not negative."""

Integer = Annotated[int, msgspec.Meta(ge=-MAX_NUMBER, le=MAX_NUMBER)]
"""A whole number whose sign is checked elsewhere."""

Name = Annotated[str, msgspec.Meta(min_length=1, max_length=200)]
"""A text that must not be empty."""

SocketAddress = Annotated[str, msgspec.Meta(pattern=r"\A[][0-9A-Za-z._:-]+:[0-9]{1,5}\Z")]
"""``HOST:PORT``."""

T_co = TypeVar("T_co", covariant=True)


class Decoder(Protocol[T_co]):
    """Decodes one kind of message; the decoders of msgspec are such."""

    def decode(self, data: bytes, /) -> T_co:
        """Return the message in ``data``."""


def decode(decoder: Decoder[T_co], data: bytes) -> Result[T_co, str]:
    """Return what ``data`` holds, or why it cannot be read."""
    try:
        return Ok(decoder.decode(data))
    except (msgspec.DecodeError, RecursionError) as exc:
        # Fields that are not known are skipped level by level, so deep nesting in one of them
        # exhausts the stack.
        return Err(str(exc))


def decode_base64(text: str) -> Result[bytes, str]:
    """Return the bytes that ``text`` encodes, or why there are none."""
    try:
        return Ok(base64.b64decode(text, validate=True))
    except ValueError as exc:
        return Err(f"no base64: {exc}")


_MAP: Final[Decoder[dict[str, Any]]] = msgspec.msgpack.Decoder(dict[str, Any])


def decode_map(text: str) -> Result[dict[str, Any], str]:
    """Return the fields of a row's value, which is a MessagePack map in base64."""
    return decode_base64(text).and_then(lambda data: decode(_MAP, data))
