"""Settings of one process, validated at the border.

Settings say where a process is and whom it talks to; they are read once, at start.  What operators
change while the system runs is the configuration (:mod:`sapphirelead.model_config`).  Units are
part of each key's name.
"""

from typing import Annotated, Literal

from pydantic import BaseModel, ConfigDict, Field

Port = Annotated[int, Field(ge=0, le=65535)]
Positive = Annotated[float, Field(gt=0)]
Count = Annotated[int, Field(ge=1)]

UNPROTECTED = "I accept unprotected listening beyond loopback"


class Model(BaseModel):
    """A checked table of settings: unknown keys are errors."""

    model_config = ConfigDict(extra="forbid", frozen=True)


class LeaseSettings(Model):
    """Timing of heartbeats and leases; the same in every process of a deployment."""

    lease_seconds: Positive = 20.0
    margin_seconds: Positive = 5.0
    renew_interval_seconds: Positive = 2.0
    beat_interval_seconds: Positive = 1.0
    silence_seconds: Positive = 3.0


class SecuritySettings(Model):
    """Keys and tokens.

    ``keys_file`` holds this process's CURVE key pair and the entries' public key, as written by
    ``sapphirelead keys new``.
    """

    operator_token_file: str = ""
    keys_file: str = ""
    unprotected: Literal["", "I accept unprotected listening beyond loopback"] = ""


class LogSettings(Model):
    """Where log lines go and from which level."""

    level: Literal["DEBUG", "INFO", "WARNING", "ERROR"] = "INFO"


class PlatformSettings(Model):
    """Addresses of the platform's services and the whole deployment's budget for them.

    Each entry keeps to the budget divided by the number of live entries.
    """

    table_url: str
    objects_url: str = ""
    timeout_seconds: Positive = 2.0
    writes_per_second: Positive = 300.0
    reads_per_second: Positive = 1500.0


class CallerLimits(Model):
    """Bounds on what callers may send."""

    body_bytes: Count = 1_048_576
    header_bytes: Count = 16_384
    read_timeout_seconds: Positive = 10.0
    default_deadline_ms: Count = 5_000
    max_deadline_ms: Count = 600_000
    max_wait_ms: Count = 60_000
    open_requests: Count = 4_096


class EntryAddress(Model):
    """Where an agent finds an entry's three lanes."""

    host: str
    control_port: Port
    data_port: Port
    bulk_port: Port


class EntrySettings(Model):
    """Settings of ``sapphirelead entry``."""

    id: str
    zone: str
    region: str = "local"
    zones: list[str] = []
    bind_host: str = "127.0.0.1"
    http_port: Port = 8080
    control_port: Port = 7101
    data_port: Port = 7102
    bulk_port: Port = 7103
    shards: Count = 16
    drain_seconds: Positive = 30.0
    platform: PlatformSettings
    lease: LeaseSettings = LeaseSettings()
    limits: CallerLimits = CallerLimits()
    security: SecuritySettings = SecuritySettings()
    log: LogSettings = LogSettings()


class CapacitySettings(Model):
    """What the instance has for batch and watches, besides its service slots."""

    cpu_millicores: Count
    memory_mb: Count
    accelerators: Annotated[int, Field(ge=0)] = 0


class AgentSettings(Model):
    """Settings of ``sapphirelead agent``."""

    id: str
    zone: str
    region: str = "local"
    rack: str = ""
    entries: Annotated[list[EntryAddress], Field(min_length=1)]
    worker_url: str
    target_url: str
    services: list[str] = []
    capacity: CapacitySettings
    slots: Count = 8
    connections: Count = 64
    target_timeout_seconds: Positive = 30.0
    worker_timeout_seconds: Positive = 2.0
    drain_seconds: Positive = 30.0
    http_port: Port = 0
    lease: LeaseSettings = LeaseSettings()
    security: SecuritySettings = SecuritySettings()
    log: LogSettings = LogSettings()
