"""CURVE keys for the sockets between the system's own processes.

A deployment has one key pair for its entries and one for its agents.  Both sides authenticate: an
entry accepts only peers with one of the two public keys, an agent connects only to entries that
hold the entries' secret key.  ``sapphirelead keys new DIR`` writes one file per role, with both
public keys and that role's secret key; a process reads the file named by ``security.keys_file``.
"""

import os
import tomllib
from dataclasses import dataclass
from pathlib import Path
from typing import Final, Literal

import zmq
import zmq.asyncio
from pydantic import Field, ValidationError
from result import Err, Ok, Result
from zmq.auth.asyncio import AsyncioAuthenticator

from sapphirelead.errors import Code, Failure
from sapphirelead.settings import Model

PRIVATE_FILE_MODE: Final = 0o600
KEY_CHARS: Final = 40
ZAP_DOMAIN: Final = "sapphirelead"
Role = Literal["entry", "agent"]
ROLES: Final[tuple[Role, ...]] = ("entry", "agent")


class KeyFile(Model):
    """Content of a key file; keys are in Z85."""

    role: Role
    secret_key: str = Field(min_length=KEY_CHARS, max_length=KEY_CHARS)
    entry_public_key: str = Field(min_length=KEY_CHARS, max_length=KEY_CHARS)
    agent_public_key: str = Field(min_length=KEY_CHARS, max_length=KEY_CHARS)


@dataclass(frozen=True, slots=True)
class Keys:
    """Keys of one process.

    :ivar peers: public keys that the listening sockets of this process accept.
    """

    public: bytes
    secret: bytes
    entry_public: bytes
    peers: frozenset[bytes]


def write_keys(directory: str) -> Result[list[str], Failure]:
    """Generate key pairs and write one file per role; existing files are never replaced."""
    pairs = {role: zmq.curve_keypair() for role in ROLES}
    written: list[str] = []
    try:
        Path(directory).mkdir(parents=True, exist_ok=True)
        for role in ROLES:
            path = Path(directory) / f"{role}.keys"
            _write_private(path, _key_text(role, pairs))
            written.append(str(path))
    except OSError as exc:
        hint = "choose a writable directory without key files"
        return Err(Failure(Code.SETTINGS_INVALID, f"cannot write keys: {exc}", hint))
    return Ok(written)


def read_keys(path: str) -> Result[Keys | None, Failure]:
    """Read a key file; an empty path means that connections are not protected."""
    if not path:
        return Ok(None)
    hint = "create one with `sapphirelead keys new`"
    try:
        text = Path(path).read_text(encoding="ascii")
        file = KeyFile.model_validate(tomllib.loads(text))
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as exc:
        return Err(Failure(Code.SETTINGS_INVALID, f"cannot read {path}: {exc}", hint))
    except ValidationError as exc:
        # The error text contains the input, which may be the secret key; only report field names.
        invalid_fields = ", ".join(str(error["loc"][0]) for error in exc.errors())
        return Err(
            Failure(Code.SETTINGS_INVALID, f"{path}: invalid or missing: {invalid_fields}", hint)
        )
    own = file.entry_public_key if file.role == "entry" else file.agent_public_key
    peers = frozenset({file.entry_public_key.encode(), file.agent_public_key.encode()})
    return Ok(Keys(own.encode(), file.secret_key.encode(), file.entry_public_key.encode(), peers))


def secure_server(sock: zmq.asyncio.Socket, keys: Keys | None) -> None:
    """Require that peers of a listening socket hold one of the deployment's keys.

    Call it before bind.  The authenticator of the context, started by :func:`start_authenticator`,
    checks the peer's key.
    """
    if keys is None:
        return
    sock.curve_server = True
    sock.curve_publickey = keys.public
    sock.curve_secretkey = keys.secret
    sock.zap_domain = ZAP_DOMAIN.encode()


def secure_client(sock: zmq.asyncio.Socket, keys: Keys | None) -> None:
    """Authenticate a connecting socket and accept only an entry; call it before connect."""
    if keys is None:
        return
    sock.curve_publickey = keys.public
    sock.curve_secretkey = keys.secret
    sock.curve_serverkey = keys.entry_public


def start_authenticator(ctx: zmq.asyncio.Context, keys: Keys | None) -> AsyncioAuthenticator | None:
    """Check the key of every peer that connects to a listening socket of ``ctx``.

    Without it, CURVE accepts any client that knows the server's public key.

    :returns: the running authenticator, to be stopped with ``stop()``; ``None`` without keys.
    """
    if keys is None:
        return None
    authenticator = AsyncioAuthenticator(ctx)
    authenticator.start()
    authenticator.configure_curve_callback(ZAP_DOMAIN, _KeyAllowlist(keys.peers))
    return authenticator


class _KeyAllowlist:
    """Allowlist of public keys for the authenticator."""

    _peers: frozenset[bytes]

    def __init__(self, peers: frozenset[bytes]) -> None:
        self._peers = peers

    def callback(self, domain: str, key: bytes) -> bool:
        """Return whether ``key``, in Z85, may connect."""
        return key in self._peers


def _key_text(role: Role, pairs: dict[Role, tuple[bytes, bytes]]) -> str:
    return (
        f'role = "{role}"\n'
        f'secret_key = "{pairs[role][1].decode()}"\n'
        f'entry_public_key = "{pairs["entry"][0].decode()}"\n'
        f'agent_public_key = "{pairs["agent"][0].decode()}"\n'
    )


def _write_private(path: Path, text: str) -> None:
    # Created with its final mode, so that other users cannot open it before it is restricted.
    fd = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_EXCL, PRIVATE_FILE_MODE)
    with os.fdopen(fd, "w", encoding="ascii") as file:
        file.write(text)
