"""What the whole region learns of interference, for placing batch.

Each agent learns the slowdown of its own services to throttle and evict.  An entry sees the reports
of all instances of its region in their beats and learns the same estimate from all of them, so a
class that was noisy beside a service on one instance is kept away from that service on the others
before it has run there.

Invariant: a report is learnt once.  Agents repeat the last one in each beat until the next is made.
"""

from collections.abc import Callable
from typing import Protocol

from sapphirelead.entry_ports import InstanceView
from sapphirelead.policy_interference import InterferenceModel, ServiceReport
from sapphirelead.wire_messages import ServiceSample


class ViewSource(Protocol):
    """What is asked of membership."""

    def on_view(self, listener: Callable[[InstanceView, bool], None]) -> None:
        """Call ``listener(view, live)`` with every new view."""


class FleetInterference:
    """Learns from beats; answers for placement."""

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
    ) -> "FleetInterference":
        """Learn from the reports that ``members`` takes in.

        :param interval_s: length of an agent's report interval, in seconds.
        """
        made = cls(interval_s)
        members.on_view(lambda view, _live: made.observe(view))
        return made

    def observe(self, view: InstanceView) -> None:
        """Learn from an instance's report if it is a new one."""
        if not view.latency or self._last_reports.get(view.id) == view.latency:
            return
        self._last_reports[view.id] = view.latency
        size = max(1, view.capacity.cpu_millicores)
        intensities = {sample.job_class: sample.cpu_millicores / size for sample in view.classes}
        for sample in view.latency:
            if sample.count:
                rate = sample.count / self._interval_s()
                report = ServiceReport(sample.service, rate, sample.p99_ms, sample.count)
                self._model.learn(report, intensities)

    def slowdown(self, service: str, job_class: str) -> float:
        """Return the slowdown of ``service`` if ``job_class`` filled its instance, from 1.0."""
        return 1.0 + self._model.weight(service, job_class)
