"""Encodes and decodes the messages between the processes of a fleet as MessagePack frames."""

from typing import Final

import msgspec

from sapphirelead.logs import log_event
from sapphirelead.node_messages import AnyNodeMessage, Call

_ENCODER: Final = msgspec.msgpack.Encoder()
_DECODER: Final = msgspec.msgpack.Decoder(AnyNodeMessage)


def encode_node(message: AnyNodeMessage) -> bytes:
    """Encode a message as a frame."""
    return _ENCODER.encode(message)


def decode_node(frame: bytes, sender: str) -> AnyNodeMessage | None:
    """Decode a frame; logs and returns ``None`` if it is not a valid message."""
    try:
        message: AnyNodeMessage = _DECODER.decode(frame)
    except (msgspec.DecodeError, RecursionError) as exc:
        # Sent by a peer of another version, or corrupted.  Senders repeat essential messages.
        # Unknown fields are skipped recursively, so nested ones can raise RecursionError.
        log_event("WARNING", "frame_dropped", sender=sender, reason=str(exc))
        return None
    return message


def message_kind(message: AnyNodeMessage) -> str:
    """Return the kind of a message as used in logs and metrics."""
    return message.kind.value if isinstance(message, Call) else str(message.__struct_config__.tag)
