"""Decodes data of external writers without raising on invalid input.

Rows and heartbeats of external writers may hold invalid bytes, fields of another type, or numbers
outside the range of the product's own messages.  Every number is bounded, and errors are returned
as a ``Result``, so that a caller can log and skip the item.
"""

import base64
from typing import Annotated, Any, Final, Protocol, TypeVar

import msgspec
from result import Err, Ok, Result

from sapphirelead.model_worker_life import WorkerLife, make_life

MAX_NUMBER: Final = 2**53
"""Largest accepted number; exact in every JSON library."""

Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_NUMBER)]
"""A non-negative integer."""

Integer = Annotated[int, msgspec.Meta(ge=-MAX_NUMBER, le=MAX_NUMBER)]
"""An integer whose sign is checked by the caller."""

Birth = Count | msgspec.UnsetType
"""Start of a worker's life as Unix time in milliseconds; unset by workers that do not report it."""

Name = Annotated[str, msgspec.Meta(min_length=1, max_length=200)]
"""A non-empty string."""

Text = Annotated[str, msgspec.Meta(max_length=200)]
"""A string that may be empty."""

Labels = Annotated[tuple[Text, ...], msgspec.Meta(max_length=16)]
"""Labels of a worker."""

SocketAddress = Annotated[
    str, msgspec.Meta(max_length=200, pattern=r"\A[][0-9A-Za-z._:-]+:[0-9]{1,5}\Z")
]
"""``HOST:PORT``."""


def life_of(worker: str, born: Birth) -> WorkerLife:
    """Return the life of the worker with the id ``worker`` that was born at ``born``."""
    return make_life(worker, None if born is msgspec.UNSET else born)


T_co = TypeVar("T_co", covariant=True)


class Decoder(Protocol[T_co]):
    """Decodes one kind of message, as the decoders of msgspec do."""

    def decode(self, data: bytes, /) -> T_co:
        """Return the message in ``data``."""


def decode(decoder: Decoder[T_co], data: bytes) -> Result[T_co, str]:
    """Return the decoded message, or the reason why ``data`` is invalid."""
    try:
        return Ok(decoder.decode(data))
    except (msgspec.DecodeError, RecursionError) as exc:
        # Unknown fields are skipped recursively, so deep nesting in one of them can raise
        # RecursionError.
        return Err(str(exc))


def decode_base64(text: str) -> Result[bytes, str]:
    """Return the decoded bytes, or the reason why ``text`` is invalid."""
    try:
        return Ok(base64.b64decode(text, validate=True))
    except ValueError as exc:
        return Err(f"invalid base64: {exc}")


_MAP: Final[Decoder[dict[str, Any]]] = msgspec.msgpack.Decoder(dict[str, Any])


def decode_map(text: str) -> Result[dict[str, Any], str]:
    """Decode the value of a row, a MessagePack map in base64."""
    return decode_base64(text).and_then(lambda data: decode(_MAP, data))
