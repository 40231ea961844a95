"""Isolates the leader from faults of the interference model.

An exception in the model is logged and the model is reset; the call returns a conservative default.
Without this, one faulty report would end the leader and each successor that gets the same report.
"""

from collections.abc import Callable
from typing import Final, TypeVar

from sapphirelead.logs import log_event
from sapphirelead.node_messages import InterferenceEstimate
from sapphirelead.sched_fleet import Instance
from sapphirelead.sched_interference import InterferenceModel

R = TypeVar("R")

NO_PACE: Final = 0.0
"""Pace assumed after a fault: keeps best-effort tasks away from latency-critical ones."""


class GuardedInterferenceModel:
    """Wrapper of an :class:`InterferenceModel` that never raises.

    :ivar model: current model, replaced on each fault.
    """

    model: InterferenceModel

    def __init__(self) -> None:
        self.model = InterferenceModel()

    def learn(self, instance: Instance, at: float) -> None:
        """Update the estimates from the tail latencies of an instance's newest report."""
        self._guard("learn", lambda: self.model.learn(instance, at), None)

    def knows(self, filling: str) -> bool:
        """Return whether the interference of a best-effort image is known for any image."""
        return self._guard("knows", lambda: self.model.knows(filling), False)

    def pair_weights_on(self, instance: Instance) -> list[InterferenceEstimate]:
        """Return the weights of the pairs of images on an instance."""
        nothing: list[InterferenceEstimate] = []
        return self._guard("press_on", lambda: self.model.pair_weights_on(instance), nothing)

    def pace_beside(self, instance: Instance, image: str, cpu_millicores: int) -> float:
        """Return the net pace of one more best-effort task on an instance, from 0 to 1."""
        return self._guard(
            "pace_beside", lambda: self.model.pace_beside(instance, image, cpu_millicores), NO_PACE
        )

    def gives_pace(
        self, instance: Instance, image: str, cpu_millicores: int, min_pace: float
    ) -> bool:
        """Return whether one more best-effort task is expected to get a pace of ``min_pace``."""
        return self._guard(
            "gives_pace",
            lambda: self.model.gives_pace(instance, image, cpu_millicores, min_pace),
            False,
        )

    def forget(self, job_id: str) -> None:
        """Drop the readings of a job."""
        self._guard("forget", lambda: self.model.forget(job_id), None)

    def _guard(self, operation: str, call: Callable[[], R], default: R) -> R:
        try:
            return call()
        except Exception as exc:
            log_event("ERROR", "press_model_reset", doing=operation, reason=repr(exc))
            self.model = InterferenceModel()
            return default
