"""Encodes and decodes messages with the MessagePack codec of msgspec.

An invalid frame decodes to an ``Err``, so that a truncated frame or a peer of another version
cannot stop the receiving process.
"""

from typing import Final

import msgspec
from result import Err, Ok, Result

from sapphirelead.errors import Code, Failure
from sapphirelead.wire_messages import AnyMessage

_ENCODER: Final = msgspec.msgpack.Encoder()
_DECODER: Final = msgspec.msgpack.Decoder(AnyMessage)


def encode(message: AnyMessage) -> bytes:
    """Return ``message`` as a frame."""
    return _ENCODER.encode(message)


def decode(frame: bytes) -> Result[AnyMessage, Failure]:
    """Return the message in ``frame``, or a ``BAD_REQUEST`` failure if it is invalid."""
    try:
        return Ok(_DECODER.decode(frame))
    except (msgspec.DecodeError, RecursionError) as exc:
        # Unknown fields are skipped recursively, so nested ones can raise RecursionError.
        return Err(Failure(Code.BAD_REQUEST, f"invalid frame of {len(frame)} bytes: {exc}"))
