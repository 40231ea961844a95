"""Reads the settings file that the platform provides to each process."""

import math
import os
import tomllib
from dataclasses import dataclass
from pathlib import Path
from typing import Any, Final

import msgspec
from result import Err, Ok, Result

from sapphirelead.errors import Code, Failure
from sapphirelead.http_limits import DEFAULT_MEMORY_MB, HttpLimits, descriptor_limit
from sapphirelead.logs import log_event
from sapphirelead.sched_parts import FEATURES
from sapphirelead.sched_timing import Bounds

FILE_VARIABLE: Final = "SAPPHIRELEAD_NODE_FILE"
FEATURES_VARIABLE: Final = "SAPPHIRELEAD_FEATURES"


class _Listen(msgspec.Struct):
    front: str = ""
    ready: str = ""
    control: str = ""


class _Bounds(msgspec.Struct):
    """Durations in the unit that ends each name, and ``remote_factor``, a ratio.

    :ivar evac_ms: infinite where zones are not evacuated.
    """

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
    evac_ms: float = math.inf


class _Store(msgspec.Struct):
    addr: str


class _Limits(msgspec.Struct):
    """Limits of the process.

    :ivar cpu_share: share of the CPU's time.
    :ivar cores: speed of the CPU, in multiples of a standard core.
    :ivar memory_mb: memory; 0 if unknown.
    :ivar max_fds: open descriptors; 0 if unknown.
    """

    cpu_share: float = 0.0
    cores: float = 0.0
    memory_mb: float = 0
    max_fds: int = 0


class _NodeFile(msgspec.Struct):
    """The fields of the file that are used; others are ignored."""

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
    """A TCP address."""

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
    """Settings of one process.

    :ivar host: this machine's address.
    :ivar link_port: port for connections between the product's own processes.
    :ivar is_entry: whether this process serves callers.
    :ivar caller_address: listen address for callers; ``None`` at an agent.
    :ivar ready_address: listen address of the readiness probe.
    :ivar control_address: listen address for the worker beside this agent; ``None`` at an entry.
    :ivar store: address of the store.
    :ivar advice: address of the advice service; empty for none.
    :ivar service: service of the worker beside this agent; empty at an entry.
    :ivar cores: CPU limit of this process in cores; 0 if the file sets none.
    :ivar http_limits: limits of the HTTP servers.
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
    http_limits: HttpLimits
    bounds: Bounds


def read_features() -> frozenset[str]:
    """Return the optional parts named in the environment variable ``SAPPHIRELEAD_FEATURES``.

    Unknown names are logged and ignored, so that an earlier release can be started with the
    settings of a later one.
    """
    names = {name.strip() for name in os.environ.get(FEATURES_VARIABLE, "").split(",")} - {""}
    for name in sorted(names - FEATURES):
        known = ", ".join(sorted(FEATURES))
        log_event("WARNING", "feature_unknown", name=name, known=known)
    return frozenset(names & FEATURES)


def read_node_file() -> Result[NodeSettings, Failure]:
    """Read the file whose path is in the environment variable ``SAPPHIRELEAD_NODE_FILE``."""
    path = os.environ.get(FILE_VARIABLE, "")
    if not path:
        hint = "set it to the path of the settings file"
        return Err(Failure(Code.SETTINGS_INVALID, f"{FILE_VARIABLE} is not set", hint))
    try:
        return parse_node_file(tomllib.loads(Path(path).read_text(encoding="utf-8")))
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as exc:
        return Err(Failure(Code.SETTINGS_INVALID, f"cannot read {path}: {exc}"))


def parse_node_file(data: dict[str, Any]) -> Result[NodeSettings, Failure]:
    """Validate the content of the file and return the settings."""
    try:
        file = msgspec.convert(data, _NodeFile)
        return Ok(_translate(file))
    except (msgspec.ValidationError, ValueError) as exc:
        return Err(Failure(Code.SETTINGS_INVALID, f"invalid settings file: {exc}"))


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
        http_limits=HttpLimits.from_machine(
            file.limits.memory_mb or DEFAULT_MEMORY_MB,
            file.limits.max_fds or descriptor_limit(),
        ),
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
        evacuate_s=bounds.evac_ms / 1000,
    )
