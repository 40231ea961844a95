"""Decides whether forecasts or the declared estimates are used, by their past errors.  No I/O.

Answers two loads on which learning does harm: callers whose estimates are good already, and wide
steps whose tasks share one error that the next step does not have.  The latter are why

- a forecast is judged as it was when its run was claimed, when no task of the step had ended;
- a step counts once, whatever the number of its tasks;
- many steps must have been judged, or few with estimates that are far off and forecasts that are
  much better.

In a model of steps of 20 tasks with independent errors, 86 % of the pairs were worse off than with
their declared estimates when forecasts were judged at the end and by task, and 1 to 2 % with these
rules.
"""

from dataclasses import dataclass
from typing import Final

BEGIN_SHARE: Final = 0.8
"""Share of the declared estimates' error below which forecasts begin to be used.

With 0.9, forecasts are used at times for pairs whose estimates have no systematic error."""

END_SHARE: Final = 1.0
"""Share of the declared estimates' error from which on forecasts are no longer used."""

MIN_STEPS: Final = 20.0
"""Number of steps that must have been judged before :data:`BEGIN_SHARE` suffices."""

EARLY_STEPS: Final = 2.0
"""Number of steps that must have been judged before any forecast is used."""

EARLY_SHARE: Final = 0.3
"""Share of the declared estimates' error that suffices early; 0.5 is met by chance too often."""

EARLY_ERROR: Final = 0.2
"""Mean error of the declared estimates from which on they may be replaced early."""

ROUNDING: Final = 1e-6
"""Tolerance for the sum of the parts of a step."""


@dataclass(slots=True)
class ForecastScore:
    """Errors of the forecasts and of the declared estimates of a pair.

    An error is the absolute difference of the logarithms of the forecast and the actual run time.

    :ivar declared: decayed sum of the errors of the declared estimates, weighted by step.
    :ivar learned: the same of the forecasts.
    :ivar steps: number of steps that have been judged, not decayed.
    """

    declared: float = 0.0
    learned: float = 0.0
    steps: float = 0.0

    def add(self, actual: float, forecast: float, weight: float, half_life_steps: float) -> None:
        """Judge both forecasts of a run.

        :param actual: logarithm of the actual ratio.
        :param forecast: logarithm of the ratio that was forecast when the run was claimed.
        :param weight: the run's part of its step.
        """
        decay = 0.5 ** (weight / half_life_steps)
        self.declared = self.declared * decay + weight * abs(actual)
        self.learned = self.learned * decay + weight * abs(actual - forecast)
        self.steps += weight

    def prefers_forecasts(self, in_use: bool) -> bool:
        """Return whether forecasts are to be used.

        :param in_use: whether they are at present.
        """
        if in_use:
            return self.learned < END_SHARE * self.declared
        if self.steps >= MIN_STEPS:
            return self.learned < BEGIN_SHARE * self.declared
        far_off = self.declared >= EARLY_ERROR * self.steps
        much_better = self.learned <= EARLY_SHARE * self.declared
        return self.steps >= EARLY_STEPS - ROUNDING and far_off and much_better
