"""The learnt pressure as the scheduler uses it: a fault in what is learnt costs the estimates only.

What filling work does to tails is an estimate, learnt from whatever workers report.  The leader
works without it, only less well; its jobs, claims and leases do not depend on it.  So a fault in
the model is logged and the model begun anew.  Passed on, it ended the leading process, and the next
leader, which sees the same reports, after it.
"""

from collections.abc import Callable
from typing import Final, TypeVar

from sapphirelead.logs import log_event
from sapphirelead.node_messages import ServingPress
from sapphirelead.sched_fleet import Instance
from sapphirelead.sched_interference import InterferenceModel

R = TypeVar("R")

NO_PACE: Final = 0.0
"""Pace assumed where the model cannot tell: filling work goes where nothing serves."""


class GuardedInterferenceModel:
    """A :class:`InterferenceModel` that may fail.

    :ivar model: what has been learnt since the start or the newest fault.
    """

    model: InterferenceModel

    def __init__(self) -> None:
        self.model = InterferenceModel()

    def learn(self, instance: Instance, at: float) -> None:
        """Take the tails of an instance's newest report."""
        self._guard("learn", lambda: self.model.learn(instance, at), None)

    def knows(self, filling: str) -> bool:
        """Return whether a filling image has been seen beside some serving image."""
        return self._guard("knows", lambda: self.model.knows(filling), False)

    def pair_weights_on(self, instance: Instance) -> list[ServingPress]:
        """Return what is known or assumed of the pairs of images on an instance."""
        nothing: list[ServingPress] = []
        return self._guard("press_on", lambda: self.model.pair_weights_on(instance), nothing)

    def pace_beside(self, instance: Instance, image: str, cpu_millicores: int) -> float:
        """Return the pace that is won by one more filling task there, from 0 to 1."""
        return self._guard(
            "pace_beside", lambda: self.model.pace_beside(instance, image, cpu_millicores), NO_PACE
        )

    def gives_pace(
        self, instance: Instance, image: str, cpu_millicores: int, min_pace: float
    ) -> bool:
        """Return whether one more filling task there is likely to get a pace of ``min_pace``."""
        return self._guard(
            "gives_pace",
            lambda: self.model.gives_pace(instance, image, cpu_millicores, min_pace),
            False,
        )

    def forget(self, job_id: str) -> None:
        """Drop the readings of a job that is no longer kept."""
        self._guard("forget", lambda: self.model.forget(job_id), None)

    def _guard(self, what: str, ask: Callable[[], R], otherwise: R) -> R:
        try:
            return ask()
        except Exception as exc:
            log_event("ERROR", "press_model_reset", doing=what, reason=repr(exc))
            self.model = InterferenceModel()
            return otherwise
