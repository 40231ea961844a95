"""The settings file that the platform places beside each process."""

import os
import tomllib
from dataclasses import dataclass
from pathlib import Path
from typing import Any, Final

import msgspec
from result import Err, Ok, Result

from sapphirelead.errors import Code, Failure
from sapphirelead.sched_timing import Bounds

FILE_VARIABLE: Final = "SAPPHIRELEAD_NODE_FILE"


class _Listen(msgspec.Struct):
    front: str = ""
    ready: str = ""
    control: str = ""


class _Bounds(msgspec.Struct):
    """Durations; the unit stands at the end of each name."""

    hold_max_ms: float = 10_000
    kill_grace_ms: float = 900
    early_ms: float = 250
    restore_ms: float = 600
    checkpoint_s: float = 1
    remote_factor: float = 1.5
    drain_ms: float = 2_000
    harm_ms: float = 4_000
    pace_ms: float = 100
    grace_s: float = 6
    status_s: float = 120
    config_apply_ms: float = 2_000


class _Store(msgspec.Struct):
    addr: str


class _Limits(msgspec.Struct):
    """What the process may use.

    :ivar cpu_share: share of the processor's time.
    :ivar cores: how many times a usual core the processor is as fast.
    """

    cpu_share: float = 0.0
    cores: float = 0.0


class _NodeFile(msgspec.Struct):
    """The file's own names; those not listed are not used."""

    node_name: str
    ip: str
    zone: str
    port_range: tuple[int, int]
    serves: list[str]
    listen_addrs: _Listen
    platform: _Store
    bounds: _Bounds
    limits: _Limits = msgspec.field(default_factory=_Limits)
    advice: str = ""
    service: str = ""


@dataclass(frozen=True, slots=True)
class Address:
    """An address to listen on or connect to."""

    host: str
    port: int

    @classmethod
    def parse(cls, text: str) -> "Address":
        """Decode ``HOST:PORT``."""
        host, _, port = text.rpartition(":")
        return cls(host, int(port))

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


@dataclass(frozen=True, slots=True)
class NodeSettings:
    """The settings in the product's words.

    :ivar host: this machine's address.
    :ivar link_port: port for links between processes of the product.
    :ivar is_entry: whether callers connect here.
    :ivar caller_address: where callers connect; ``None`` beside a worker.
    :ivar ready_address: where the platform asks whether callers may connect.
    :ivar control_address: where the worker beside this process reports; ``None`` at an entry.
    :ivar store: address of the store.
    :ivar advice: address of the advice service; empty for none.
    :ivar service: service of the worker beside this process; empty at an entry.
    :ivar cores: processors that this process may use; 0 where the file does not say.
    """

    name: str
    host: str
    zone: str
    link_port: int
    is_entry: bool
    caller_address: Address | None
    ready_address: Address | None
    control_address: Address | None
    store: str
    advice: str
    service: str
    cores: float
    bounds: Bounds


def read_node_file() -> Result[NodeSettings, Failure]:
    """Read the file that the environment names."""
    path = os.environ.get(FILE_VARIABLE, "")
    if not path:
        hint = "it holds the path of the settings file"
        return Err(Failure(Code.SETTINGS_INVALID, f"{FILE_VARIABLE} is not set", hint))
    try:
        return parse_node_file(tomllib.loads(Path(path).read_text(encoding="utf-8")))
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as exc:
        return Err(Failure(Code.SETTINGS_INVALID, f"cannot read {path}: {exc}"))


def parse_node_file(data: dict[str, Any]) -> Result[NodeSettings, Failure]:
    """Check the file's content and translate it."""
    try:
        file = msgspec.convert(data, _NodeFile)
        return Ok(_translate(file))
    except (msgspec.ValidationError, ValueError) as exc:
        return Err(Failure(Code.SETTINGS_INVALID, f"settings file: {exc}"))


def _translate(file: _NodeFile) -> NodeSettings:
    listen = file.listen_addrs
    return NodeSettings(
        name=file.node_name,
        host=file.ip,
        zone=file.zone,
        link_port=file.port_range[0],
        is_entry="front" in file.serves,
        caller_address=Address.parse(listen.front) if listen.front else None,
        ready_address=Address.parse(listen.ready) if listen.ready else None,
        control_address=Address.parse(listen.control) if listen.control else None,
        store=file.platform.addr,
        advice=file.advice,
        service=file.service,
        cores=file.limits.cpu_share * file.limits.cores,
        bounds=_bounds(file.bounds),
    )


def _bounds(bounds: _Bounds) -> Bounds:
    return Bounds(
        lease_max_s=bounds.hold_max_ms / 1000,
        kill_grace_s=bounds.kill_grace_ms / 1000,
        early_s=bounds.early_ms / 1000,
        restore_s=bounds.restore_ms / 1000,
        save_every_s=bounds.checkpoint_s,
        remote_factor=bounds.remote_factor,
        drain_s=bounds.drain_ms / 1000,
        harm_s=bounds.harm_ms / 1000,
        pace_s=bounds.pace_ms / 1000,
        grace_s=bounds.grace_s,
        keep_ended_s=bounds.status_s,
        config_apply_s=bounds.config_apply_ms / 1000,
    )
