"""Whether an entry knows that its configuration is outdated.  No I/O.

Answers a load that a slow or silent path to the store brings about: other entries have a newer
configuration, their messages name its version, and the content does not arrive here.  Such an entry
must not go on answering by the old one, since the newer one may have added or removed any route.

An entry that knows of no newer version is never behind: a store that is unavailable to all entries
cannot have accepted one.

Invariant: the grace period of a version runs from the first time that it, or a later one, was heard
of, so that a series of versions in quick succession does not extend it.
"""

from typing import Final

GRACE_SHARE: Final = 1 / 3
"""Share of the time for applying a configuration during which a known newer version may be missing.

The rest covers the time from its acknowledgement until a message names it: two intervals of
heartbeats on the way from another follower to the leader and on to this entry."""

MAX_PENDING: Final = 100
"""Maximum number of newer versions that are remembered; beyond it the latest ones are left out."""


class ConfigFreshness:
    """The version that an entry holds, and the newer ones that it has heard of.

    :ivar held: version in force; 0 before the first.
    :ivar known: newest version that any entry is known to have; ``held`` or more.
    """

    held: int
    known: int
    _grace_s: float
    _pending: dict[int, float]

    def __init__(self, apply_s: float) -> None:
        """Start without a configuration.

        :param apply_s: time within which a configuration must be applied, in seconds.
        """
        self.held = 0
        self.known = 0
        self._grace_s = GRACE_SHARE * apply_s
        self._pending = {}

    def record_held(self, version: int) -> None:
        """Record the version that is in force."""
        self.held = max(self.held, version)
        self.known = max(self.known, version)
        for pending in [pending for pending in self._pending if pending <= self.held]:
            del self._pending[pending]

    def record_known(self, version: int, at: float) -> bool:
        """Record that another entry has a version; return whether that is news."""
        if version <= self.known:
            return False
        self.known = version
        if len(self._pending) < MAX_PENDING:
            self._pending[version] = at
        return True

    def missing_s(self, at: float) -> float:
        """Return for how long a known newer version has been missing, in seconds; 0 for none."""
        return max(0.0, at - min(self._pending.values(), default=at))

    def behind(self, at: float) -> bool:
        """Whether a known newer version has been missing for longer than the grace period.

        An entry without any configuration is not behind: it answers nothing yet.

        >>> freshness = ConfigFreshness(apply_s=3.0)
        >>> freshness.record_held(4)
        >>> freshness.record_known(7, at=10.0), freshness.behind(10.9), freshness.behind(11.1)
        (True, False, True)
        >>> freshness.record_held(7)
        >>> freshness.behind(11.1)
        False
        """
        return self.held > 0 and self.missing_s(at) > self._grace_s
