"""Which queues refuse jobs, with hysteresis.  No I/O.

Answers a load that hovers at the bound, where a decision by the bound alone would alternate.
"""

from dataclasses import dataclass

from sapphirelead.admission.decisions import Assessment
from sapphirelead.sched_parts import AdmissionConfig
from sapphirelead.sched_spec import JobSpec


@dataclass(slots=True)
class Refused:
    """The latest refusal of a closed queue.

    :ivar spec: the refused job, by which the queue is reviewed.
    """

    spec: JobSpec
    assessment: Assessment


class Gates:
    """The closed queues."""

    closed: dict[str, Refused]
    config: AdmissionConfig

    def __init__(self, config: AdmissionConfig) -> None:
        self.closed = {}
        self.config = config

    def accepts(self, queue: str, found: Assessment, returning: bool) -> bool:
        """Whether a job is accepted.

        :param returning: whether its caller returns when it was told, for which hysteresis does
            not apply: its place was the condition for opening.
        """
        hold = queue in self.closed and not returning
        return found.acceptable(self.config, self.config.exit_share if hold else 1.0)

    def close(self, spec: JobSpec, found: Assessment) -> bool:
        """Record a refusal; return whether its queue has just been closed."""
        begins = self.closed.pop(spec.queue, None) is None
        # The queues that were looked at longest ago come first.
        self.closed[spec.queue] = Refused(spec, found)
        return begins

    def open(self, queue: str) -> bool:
        """Open a queue; return whether it was closed."""
        return self.closed.pop(queue, None) is not None
