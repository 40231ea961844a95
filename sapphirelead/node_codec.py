"""Messages between the processes of a fleet as frames."""

from typing import Final

import msgspec

from sapphirelead.logs import log_event
from sapphirelead.node_messages import AnyNodeMessage, Call

_ENCODER: Final = msgspec.msgpack.Encoder()
_DECODER: Final = msgspec.msgpack.Decoder(AnyNodeMessage)


def encode_node(message: AnyNodeMessage) -> bytes:
    """Return the frame of a message."""
    return _ENCODER.encode(message)


def decode_node(frame: bytes, sender: str) -> AnyNodeMessage | None:
    """Return the message of a frame; ``None``, with a log line, where it is none."""
    try:
        message: AnyNodeMessage = _DECODER.decode(frame)
    except (msgspec.DecodeError, msgspec.ValidationError) as exc:
        # A peer of another version, or a damaged frame; the peer repeats what matters.
        log_event("WARNING", "frame_dropped", sender=sender, reason=str(exc))
        return None
    return message


def message_kind(message: AnyNodeMessage) -> str:
    """Return the kind of a message as logs and metrics name it."""
    return message.kind.value if isinstance(message, Call) else type(message).__name__
