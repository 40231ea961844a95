"""Expected run times of tasks, as used for order, stragglers, preemption and admission."""

from typing import Protocol

from sapphirelead.sched_spec import JobSpec, StepSpec


class LengthEstimator(Protocol):
    """Forecasts the run time of a step's tasks on a sound worker at full pace."""

    def expected_ms(self, queue: str, step: StepSpec, quantile: float = 0.5) -> int:
        """Return a quantile of the run time of a task, in milliseconds."""


class DeclaredLengths:
    """Uses the callers' estimates as they are."""

    def expected_ms(self, queue: str, step: StepSpec, quantile: float = 0.5) -> int:
        """Return the estimate of the step, whatever the quantile."""
        return step.estimate_ms


def step_lengths_ms(lengths: LengthEstimator, spec: JobSpec) -> list[int]:
    """Return the expected run time of the tasks of each step of a job, in milliseconds."""
    return [lengths.expected_ms(spec.queue, step) for step in spec.steps]
