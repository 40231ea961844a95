"""Signed tickets that name the place of a refused caller.

A ticket holds its place after the leader that gave it has been replaced.  It is bound to the job id
and the queue, and its times are on the clock of all leaders' time led, which no caller can shift.
"""

import base64
import hashlib
import hmac
import secrets
from dataclasses import dataclass
from typing import Final

KEY_BYTES: Final = 32
SIGNATURE_BYTES: Final = 16
"""128 bits, which cannot be guessed while a place is valid."""

MAX_TICKET_CHARACTERS: Final = 256

_VERSION: Final = "1"


@dataclass(frozen=True, slots=True)
class Ticket:
    """A place that a caller was given.

    :ivar due_ms: when it may return, on the clock of time led.
    :ivar cost_ms: time for which its job occupies the service.
    """

    due_ms: int
    cost_ms: int


def new_key() -> bytes:
    """Return a random key."""
    return secrets.token_bytes(KEY_BYTES)


def sign(key: bytes, job_id: str, queue: str, ticket: Ticket) -> str:
    """Return a ticket as text for a header."""
    text = f"{_VERSION}.{ticket.due_ms}.{ticket.cost_ms}"
    return f"{text}.{_signature(key, text, job_id, queue)}"


def verify(key: bytes, job_id: str, queue: str, text: str) -> Ticket | None:
    """Return the ticket, or ``None`` if it is not one for this job and queue.

    >>> held = sign(b"k", "a", "q", Ticket(7, 5))
    >>> verify(b"k", "a", "q", held), verify(b"k", "b", "q", held), verify(b"l", "a", "q", held)
    (Ticket(due_ms=7, cost_ms=5), None, None)
    """
    if len(text) > MAX_TICKET_CHARACTERS or not text.isascii():
        return None
    signed, _, signature = text.rpartition(".")
    if not hmac.compare_digest(signature, _signature(key, signed, job_id, queue)):
        return None
    version, _, numbers = signed.partition(".")
    due, _, cost = numbers.partition(".")
    try:
        return Ticket(int(due), int(cost)) if version == _VERSION else None
    except ValueError:
        return None


def _signature(key: bytes, text: str, job_id: str, queue: str) -> str:
    # The length makes the data of different queues and job ids differ.
    data = f"{text}\n{len(queue)}\n{queue}{job_id}".encode()
    digest = hmac.new(key, data, hashlib.sha256).digest()[:SIGNATURE_BYTES]
    return base64.urlsafe_b64encode(digest).decode().rstrip("=")
