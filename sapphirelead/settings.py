"""Settings of one process, validated when they are loaded.

Settings hold the location of a process and the addresses of its peers, and are read once at
start-up.  Operators change the behaviour of a running system by its configuration instead
(:mod:`sapphirelead.model_config`).  Key names include their units.
"""

from typing import Annotated, Final, Literal

from pydantic import BaseModel, ConfigDict, Field, model_validator

from sapphirelead.http_limits import DEFAULT_MEMORY_MB

Port = Annotated[int, Field(ge=0, le=65535)]
Positive = Annotated[float, Field(gt=0)]
Count = Annotated[int, Field(ge=1)]

MIN_LEASE_RENEWALS: Final = 3
MIN_HEARTBEATS: Final = 2
MIN_FLEET_DRAIN_S: Final = 4.0
"""Minimum drain time of an entry with a fleet: time for the load balancer to stop sending requests
and for the last responses to be sent."""
UNPROTECTED: Final = "I accept unprotected listening beyond loopback"


class Model(BaseModel):
    """A checked table of settings: unknown keys are errors."""

    model_config = ConfigDict(extra="forbid", frozen=True)


class LeaseSettings(Model):
    """Timing of heartbeats and leases; the same in every process of a deployment.

    :ivar lease_seconds: how long an instance may run its tasks after its last committed renewal.
        Longer carries batch over longer outages of the table; a lost instance is noticed later.
    :ivar margin_seconds: what an observer waits beyond the lease before it fences, for delays and
        differences between clocks.
    :ivar renew_interval_seconds: time between two writes of the zone's lease row by its entries.
    :ivar beat_interval_seconds: time between two heartbeats of an agent.
    :ivar silence_seconds: how long a connection may carry nothing before it is closed and opened
        anew.
    """

    lease_seconds: Positive = 20.0
    margin_seconds: Positive = 5.0
    renew_interval_seconds: Positive = 2.0
    beat_interval_seconds: Positive = 1.0
    silence_seconds: Positive = 3.0

    @model_validator(mode="after")
    def _check_order(self) -> "LeaseSettings":
        # A shorter lease would expire after one or two lost renewals and fence healthy instances,
        # whose jobs that are not idempotent would end as unknown.
        if self.lease_seconds < MIN_LEASE_RENEWALS * self.renew_interval_seconds:
            raise ValueError(
                f"lease_seconds must be at least {MIN_LEASE_RENEWALS} times renew_interval_seconds"
            )
        if self.silence_seconds < MIN_HEARTBEATS * self.beat_interval_seconds:
            raise ValueError(
                f"silence_seconds must be at least {MIN_HEARTBEATS} times beat_interval_seconds"
            )
        return self


class SecuritySettings(Model):
    """Keys and tokens.

    ``keys_file`` holds this process's CURVE key pair and the entries' public key, as written by
    ``sapphirelead keys new``.

    :ivar operator_token_file: file with the bearer token of the operator API; empty lets every
        caller of the port operate.
    :ivar keys_file: file of ``sapphirelead keys new`` with this role's CURVE keys; empty leaves
        connections between processes unprotected.
    :ivar unprotected: consent, in these words, to listen beyond loopback without token and keys.
    """

    operator_token_file: str = ""
    keys_file: str = ""
    unprotected: Literal["", "I accept unprotected listening beyond loopback"] = ""


class LogSettings(Model):
    """Where log lines go and from which level.

    :ivar level: least level that is written.
    """

    level: Literal["DEBUG", "INFO", "WARNING", "ERROR"] = "INFO"


class PlatformSettings(Model):
    """Addresses of the platform's services and the whole deployment's budget for them.

    Each entry keeps to the budget divided by the number of live entries.

    :ivar table_url: address of the transactional table.
    :ivar objects_url: address of the object store; empty means that of the table.
    :ivar timeout_seconds: longest wait for one answer of the platform.
    :ivar writes_per_second: transactions of the whole deployment.
    :ivar reads_per_second: reads of the whole deployment.
    """

    table_url: str
    objects_url: str = ""
    timeout_seconds: Positive = 2.0
    writes_per_second: Positive = 300.0
    reads_per_second: Positive = 1500.0


class CallerLimits(Model):
    """Bounds on what callers may send.

    :ivar body_bytes: largest body of a request.
    :ivar header_bytes: largest size of all headers together.
    :ivar read_timeout_seconds: longest time in which a body must arrive.
    :ivar default_deadline_ms: deadline of a request that names none, for services without a
        policy.
    :ivar max_deadline_ms: longest deadline that a request may name.
    :ivar max_wait_ms: longest ``wait_ms`` of a read of a job.
    :ivar open_requests: requests in progress at this entry; more are refused as not run.
    :ivar memory_mb: memory of this entry's machine; a sixth of it is for requests that are being
        received or handled.
    :ivar max_fds: descriptors of this entry, 0 for the limit of the system; callers get just under
        half of them.
    """

    body_bytes: Count = 1_048_576
    header_bytes: Count = 16_384
    read_timeout_seconds: Positive = 10.0
    default_deadline_ms: Count = 5_000
    max_deadline_ms: Count = 600_000
    max_wait_ms: Count = 60_000
    open_requests: Count = 4_096
    memory_mb: Count = DEFAULT_MEMORY_MB
    max_fds: Annotated[int, Field(ge=0)] = 0


class EntryAddress(Model):
    """Where an agent finds an entry's three lanes.

    :ivar host: IP address of the entry.
    :ivar control_port: its port for control.
    :ivar data_port: its port for requests and small answers.
    :ivar bulk_port: its port for large answers.
    """

    host: str
    control_port: Port
    data_port: Port
    bulk_port: Port


class FleetTimes(Model):
    """Bounds of the workers that run jobs of steps; the same in every process of a deployment.

    :ivar lease_seconds: longest lease that a worker grants for what it runs.
    :ivar stop_seconds: longest time that a stop of a task takes.
    :ivar early_seconds: how much before its due time an occurrence may start.
    :ivar restore_seconds: time to resume from saved progress.
    :ivar save_interval_seconds: a task that saves has new saved progress after so much work.
    :ivar remote_factor: factor on a task's run time away from the rack of its data.
    :ivar harm_seconds: longest time that a serving task may be over its target because of tasks
        that fill.
    :ivar keep_ended_seconds: how long an ended job can be asked for.
    :ivar evacuate_seconds: time after the evacuation of a zone from which nothing starts there.
    """

    lease_seconds: Annotated[float, Field(ge=2.0)] = 10.0
    stop_seconds: Positive = 0.9
    early_seconds: Annotated[float, Field(ge=0.0)] = 0.25
    restore_seconds: Annotated[float, Field(ge=0.0)] = 0.6
    save_interval_seconds: Positive = 1.0
    remote_factor: Annotated[float, Field(ge=1.0)] = 1.5
    harm_seconds: Positive = 4.0
    keep_ended_seconds: Positive = 120.0
    evacuate_seconds: Annotated[float, Field(ge=4.0)] = 5.0


class FleetSettings(Model):
    """Jobs of steps at an entry; without this section it takes none.

    :ivar link_port: port for runners and for the other entries.
    :ivar advice_url: address of the advice service; needed where a queue's starts want a ticket.
    """

    link_port: Annotated[int, Field(ge=1, le=65535)] = 7104
    advice_url: str = ""
    times: FleetTimes = FleetTimes()


class EntrySettings(Model):
    """Settings of ``sapphirelead entry``.

    :ivar id: name of this entry, unique in the deployment.
    :ivar zone: availability zone that it runs in.
    :ivar region: region that it runs in.
    :ivar zones: all availability zones of the deployment.
    :ivar bind_host: IP address to listen on, and by which agents and other entries reach it.
    :ivar http_port: port for callers and operators; 0 lets the system choose.
    :ivar control_port: port for control; 0 lets the system choose.
    :ivar data_port: port for requests and small answers; 0 lets the system choose.
    :ivar bulk_port: port for large answers; 0 lets the system choose.
    :ivar shards: parts into which job keys are divided between entries; the same in every entry,
        and never changed while jobs are stored.
    :ivar drain_seconds: longest time that requests in progress get to finish when the entry
        leaves.
    """

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
    fleet: FleetSettings | None = None
    security: SecuritySettings = SecuritySettings()
    log: LogSettings = LogSettings()

    @model_validator(mode="after")
    def _check_zone(self) -> "EntrySettings":
        if self.zones and self.zone not in self.zones:
            raise ValueError(f"zone {self.zone!r} is not one of zones")
        return self

    @model_validator(mode="after")
    def _check_fleet(self) -> "EntrySettings":
        if self.fleet is not None and self.drain_seconds < MIN_FLEET_DRAIN_S:
            raise ValueError(f"drain_seconds must be at least {MIN_FLEET_DRAIN_S:g} with a fleet")
        return self


class CapacitySettings(Model):
    """What the instance has for batch and watches, besides its service slots.

    :ivar cpu_millicores: processors for batch and watches, in thousandths of a core.
    :ivar memory_mb: memory for batch and watches.
    :ivar accelerators: accelerators for batch and watches.
    """

    cpu_millicores: Count
    memory_mb: Count
    accelerators: Annotated[int, Field(ge=0)] = 0


class AgentSettings(Model):
    """Settings of ``sapphirelead agent``.

    :ivar id: name of the instance, unique in the deployment.
    :ivar zone: availability zone that it runs in.
    :ivar region: region that it runs in.
    :ivar rack: rack that it stands in.
    :ivar entries: entries to connect to: those of its own availability zone.
    :ivar worker_url: address of the platform's worker beside it.
    :ivar target_url: address of the target beside it.
    :ivar services: services that the target offers.
    :ivar slots: requests that the target works on at once.
    :ivar connections: connections that the target accepts.
    :ivar target_timeout_seconds: longest wait for one answer of the target.
    :ivar worker_timeout_seconds: longest wait for one answer of the worker.
    :ivar drain_seconds: longest time that tasks get to be checkpointed and committed when the
        agent leaves; requests in progress are always finished.
    :ivar http_port: port on loopback for probes and metrics; 0 opens none.
    """

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


class RunnerSettings(Model):
    """Settings of ``sapphirelead runner``.

    :ivar id: name of this runner, unique in the deployment.
    :ivar zone: availability zone that it runs in.
    :ivar service: service of its worker, by which queues name where their tasks run.
    :ivar rack: rack that its worker stands in; a step may ask for it as for a label.
    :ivar labels: labels of its worker that steps may ask for.
    :ivar worker_url: address of the platform's worker beside it, which no agent may use as well.
    :ivar table_url: address of the transactional table, where it finds the entries.
    :ivar table_timeout_seconds: longest wait for one answer of the table.
    :ivar http_port: port on loopback for probes and metrics; 0 opens none.
    """

    id: str
    zone: str
    service: Annotated[str, Field(min_length=1)]
    rack: str = ""
    labels: list[str] = []
    worker_url: str
    table_url: str
    table_timeout_seconds: Positive = 2.0
    capacity: CapacitySettings
    http_port: Port = 0
    times: FleetTimes = FleetTimes()
    security: SecuritySettings = SecuritySettings()
    log: LogSettings = LogSettings()
