"""Keeps the configuration of an entry current through other entries, besides the store.

Messages between entries name the version that their sender holds and the newest one that it has
heard of.  An entry that hears of a newer one asks the entries that have it for a copy
(:mod:`sapphirelead.config_sync.copies`), while the store is still read.  Until one of the two has
brought it, the entry may be behind (:mod:`sapphirelead.config_sync.freshness`).
"""

from collections.abc import Callable, Iterable
from typing import Final

from result import Err

from sapphirelead.clock import now
from sapphirelead.config_sync.copies import CopyRequests, DecodeConfig, config_of, copy_of
from sapphirelead.config_sync.freshness import ConfigFreshness
from sapphirelead.logs import log_event
from sapphirelead.metrics import Metrics
from sapphirelead.node_messages import ConfigCopy, ConfigRequest
from sapphirelead.sched_config import QueueConfig

BEHIND_RETRY_AFTER_S: Final = 1.0
"""``Retry-After`` while a newer configuration is missing; a copy takes a fraction of it, and
callers that retry reach another entry."""


class ConfigSync:
    """The configuration row that an entry holds, and how it gets a newer one.

    :ivar decode: decodes a row; ``None`` if the configuration does not come as a row, so that there
        are no copies.
    :ivar on_newer: called with a version that another entry has and this one lacks.
    """

    decode: DecodeConfig | None
    on_newer: Callable[[int], None]
    _freshness: ConfigFreshness
    _requests: CopyRequests
    _metrics: Metrics
    _row: tuple[int, bytes]
    _copy: ConfigCopy | None
    _was_behind: bool

    def __init__(self, apply_s: float) -> None:
        """Start without a configuration.

        :param apply_s: see :class:`~sapphirelead.sched_timing.Bounds`.
        """
        self.decode = None
        self.on_newer = lambda _: None
        self._freshness = ConfigFreshness(apply_s)
        self._requests = CopyRequests()
        self._metrics = Metrics()
        self._row = (0, b"")
        self._copy = None
        self._was_behind = False

    def use_metrics(self, metrics: Metrics) -> None:
        """Count in ``metrics``, and export for how long a known version has been missing."""
        self._metrics = metrics
        metrics.gauge("config_behind_seconds", lambda: self._freshness.missing_s(now()))

    @property
    def known(self) -> int:
        """Newest version that this entry has heard of."""
        return self._freshness.known

    @property
    def behind(self) -> bool:
        """Whether callers must not be answered by the version in force."""
        return self._freshness.behind(now())

    @property
    def wants_copy(self) -> bool:
        """Whether another entry is to be asked for a newer version."""
        return self._requests.wanted > 0

    def record_applied(self, version: int, row: bytes) -> None:
        """Record the version in force.

        :param row: the row that it was decoded from; empty if there is none.
        """
        self._freshness.record_held(version)
        self._row = (version, row)
        self._copy = None
        if version >= self._requests.wanted:
            self._requests.stop()

    def heard(self, peer: str, held: int, newest: int = 0) -> None:
        """Record what a message of another entry says.

        :param peer: sender; empty if it is not known.
        :param held: version that the sender holds.
        :param newest: newest version that the sender has heard of.
        """
        at = now()
        if peer:
            self._requests.record_holder(peer, held)
        version = max(held, newest)
        if version <= self._freshness.held:
            return
        self._freshness.record_known(version, at)
        if self.decode is not None:
            self._requests.want(version, at)
        self.on_newer(version)

    def next_request(self, peers: Iterable[str]) -> tuple[str, ConfigRequest] | None:
        """Return the peer to ask for a copy now, with the message; ``None`` for none."""
        at = now()
        self._log_freshness(at)
        peer = self._requests.next_peer(peers, at)
        if not peer:
            return None
        log_event("INFO", "config_copy_requested", version=self._requests.wanted, peer=peer)
        return peer, ConfigRequest(self._freshness.held)

    def _log_freshness(self, at: float) -> None:
        behind = self._freshness.behind(at)
        if behind == self._was_behind:
            return
        self._was_behind = behind
        log_event(
            "WARNING" if behind else "INFO",
            "config_behind" if behind else "config_current",
            held=self._freshness.held,
            known=self._freshness.known,
            missing_s=self._freshness.missing_s(at),
        )

    def copy_for(self, request: ConfigRequest) -> ConfigCopy | None:
        """Return the copy that answers a request; ``None`` if there is none that is newer."""
        version, row = self._row
        if not row or version <= request.version:
            return None
        if self._copy is None:
            self._copy = copy_of(version, row)
        return self._copy

    def config_from(self, copy: ConfigCopy, peer: str) -> tuple[QueueConfig, bytes] | None:
        """Return the configuration of a copy and its row; ``None`` if it is of no use."""
        if self.decode is None or copy.version <= self._freshness.held:
            return None
        found = config_of(copy, self.decode)
        if isinstance(found, Err):
            self._metrics.count("config_copies_total", outcome="refused")
            log_event(
                "ERROR",
                "config_copy_refused",
                version=copy.version,
                peer=peer,
                reason=found.err_value,
            )
            return None
        self._metrics.count("config_copies_total", outcome="taken")
        log_event(
            "INFO", "config_copy_taken", version=copy.version, peer=peer, bytes=len(copy.data)
        )
        return found.ok_value
