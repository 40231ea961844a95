"""Estimates interference of batch job classes with services over a whole region, for placement.

Agents estimate the slowdown of their own services in order to throttle and evict.  An entry updates
one model from the reports in the heartbeats of all instances of its region, so interference
observed on one instance affects placement on the others.

Invariant: each report is applied once, although agents repeat it in heartbeats until the next one.
"""

from collections.abc import Callable
from typing import Protocol

from sapphirelead.entry_ports import InstanceView
from sapphirelead.policy_interference import InterferenceModel, ServiceReport
from sapphirelead.wire_messages import ServiceSample


class ViewSource(Protocol):
    """The part of membership that the estimate uses."""

    def on_view(self, listener: Callable[[InstanceView, bool], None]) -> None:
        """Call ``listener(view, live)`` on every new view."""


class RegionInterference:
    """Interference model of a region, updated from heartbeats."""

    _model: InterferenceModel
    _interval_s: Callable[[], float]
    _last_reports: dict[str, tuple[ServiceSample, ...]]

    def __init__(self, interval_s: Callable[[], float]) -> None:
        self._model = InterferenceModel()
        self._interval_s = interval_s
        self._last_reports = {}

    @classmethod
    def from_members(
        cls, members: ViewSource, interval_s: Callable[[], float]
    ) -> "RegionInterference":
        """Return a model that is updated from the reports that ``members`` receives.

        :param interval_s: length of an agent's report interval, in seconds.
        """
        model = cls(interval_s)
        members.on_view(lambda view, _live: model.observe(view))
        return model

    def observe(self, view: InstanceView) -> None:
        """Update the model from an instance's report if it is a new one."""
        if not view.latency or self._last_reports.get(view.id) == view.latency:
            return
        self._last_reports[view.id] = view.latency
        capacity = max(1, view.capacity.cpu_millicores)
        intensities = {
            sample.job_class: sample.cpu_millicores / capacity for sample in view.classes
        }
        for sample in view.latency:
            if sample.count:
                rate = sample.count / self._interval_s()
                report = ServiceReport(sample.service, rate, sample.p99_ms, sample.count)
                self._model.learn(report, intensities)

    def slowdown(self, service: str, job_class: str) -> float:
        """Return the slowdown factor of ``service`` if ``job_class`` used its whole instance."""
        return 1.0 + self._model.weight(service, job_class)
