"""Encoding of messages, by the msgpack codec of msgspec.

A frame that does not decode is an ``Err``: a peer of another version, or a truncated frame, must
never stop the process that receives it.
"""

from typing import Final

import msgspec
from result import Err, Ok, Result

from sapphirelead.errors import Code, Failure
from sapphirelead.wire_messages import AnyMessage

_ENCODER: Final = msgspec.msgpack.Encoder()
_DECODER: Final = msgspec.msgpack.Decoder(AnyMessage)


def encode(message: AnyMessage) -> bytes:
    """Return the frame of ``message``."""
    return _ENCODER.encode(message)


def decode(frame: bytes) -> Result[AnyMessage, Failure]:
    """Return the message in ``frame``, or why it is none."""
    try:
        return Ok(_DECODER.decode(frame))
    except (msgspec.DecodeError, msgspec.ValidationError) as exc:
        return Err(Failure(Code.BAD_REQUEST, f"undecodable frame of {len(frame)} bytes: {exc}"))
