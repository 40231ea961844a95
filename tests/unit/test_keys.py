"""Access control by CURVE keys, and permissions of key files."""

import asyncio
from pathlib import Path

import pytest
import zmq
import zmq.asyncio

from sapphirelead.dev import DevStack
from sapphirelead.dev_example import run_example
from sapphirelead.keys import (
    Keys,
    read_keys,
    secure_client,
    secure_server,
    start_authenticator,
    write_keys,
)


def keys_of(directory: Path, role: str) -> Keys:
    keys = read_keys(str(directory / f"{role}.keys")).unwrap()
    assert keys is not None
    return keys


def test_key_files_are_private_and_never_replaced(tmp_path: Path) -> None:
    written = write_keys(str(tmp_path)).unwrap()
    assert [Path(path).stat().st_mode & 0o777 for path in written] == [0o600, 0o600]
    assert write_keys(str(tmp_path)).is_err()


def test_broken_key_file_is_refused_without_showing_the_key(tmp_path: Path) -> None:
    path = tmp_path / "entry.keys"
    path.write_text('role = "entry"\nsecret_key = "short"\n')
    message = read_keys(str(path)).unwrap_err().message
    assert "secret_key" in message
    assert "short" not in message


@pytest.mark.parametrize(
    ("client", "accepted"), [("own", True), ("foreign", False), ("none", False)]
)
async def test_only_peers_with_the_deployments_keys_are_accepted(
    tmp_path: Path, client: str, accepted: bool
) -> None:
    """Guards against accepting a client that knows the entry's public key but has a foreign key."""
    write_keys(str(tmp_path / "own")).unwrap()
    write_keys(str(tmp_path / "foreign")).unwrap()
    entry = keys_of(tmp_path / "own", "entry")
    ctx = zmq.asyncio.Context()
    authenticator = start_authenticator(ctx, entry)
    assert authenticator is not None
    server, dealer = ctx.socket(zmq.ROUTER), ctx.socket(zmq.DEALER)
    server.linger = dealer.linger = 0
    try:
        secure_server(server, entry)
        port = server.bind_to_random_port("tcp://127.0.0.1")
        if client != "none":
            own = keys_of(tmp_path / client, "agent")
            secure_client(dealer, Keys(own.public, own.secret, entry.public, own.peers))
        dealer.connect(f"tcp://127.0.0.1:{port}")
        await dealer.send(b"hello")
        received = await server.poll(2_000 if accepted else 500)
        assert bool(received) is accepted
    finally:
        server.close()
        dealer.close()
        authenticator.stop()
        await asyncio.sleep(0)
        ctx.term()


async def test_worked_example_completes_over_curve_connections(tmp_path: Path) -> None:
    write_keys(str(tmp_path)).unwrap()
    stack = DevStack(str(tmp_path))
    try:
        await stack.start(0)
        assert await run_example(stack.urls)
    finally:
        await stack.stop()
