"""Events and metrics by which operators see how capacity is shared."""

from collections.abc import Mapping
from dataclasses import dataclass
from functools import partial
from typing import Final

from sapphirelead.fairness.tree import ShareTree
from sapphirelead.logs import log_event
from sapphirelead.metrics import Metrics
from sapphirelead.sched_parts import SharingConfig

INTERVAL_S: Final = 1.0
"""Time between two lines of an organisation, and between two of a queue at its limit."""

MAX_HOLDERS: Final = 3
"""Organisations named as those whose work a waiting one waits for."""


@dataclass(slots=True)
class _Figures:
    """Exported figures of an organisation: dominant share, and unclaimed tasks."""

    used: float = 0.0
    waiting: int = 0


class ShareLog:
    """Logs and exports the usage of the organisations."""

    _metrics: Metrics
    _figures: dict[str, _Figures]
    _reported_at: float | None
    _limited_at: dict[tuple[str, str], float]

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics
        self._figures = {}
        self._reported_at = None
        self._limited_at = {}

    def due(self, at: float) -> bool:
        """Whether the next report is due."""
        return self._reported_at is None or at - self._reported_at >= INTERVAL_S

    def report(
        self,
        config: SharingConfig,
        trees: Mapping[str, ShareTree],
        waiting: Mapping[tuple[str, str], int],
        at: float,
    ) -> None:
        """Log the organisations that wait, and export the figures of all.

        :param waiting: number of unclaimed tasks by service and queue.
        """
        self._reported_at = at
        self._limited_at = {
            key: since for key, since in self._limited_at.items() if at - since < INTERVAL_S
        }
        self._reset()
        for service, tree in trees.items():
            tasks: dict[str, int] = {}
            for (of, queue), number in waiting.items():
                if of == service and number:
                    name = config.organisation_of(queue)
                    tasks[name] = tasks.get(name, 0) + number
            self._report_service(service, tree, tasks)

    def _report_service(self, service: str, tree: ShareTree, tasks: Mapping[str, int]) -> None:
        used = {name: node.share for name, node in tree.organisations.items()}
        for name, share in used.items():
            figures = self._exported(name)
            figures.used = max(figures.used, share)
            figures.waiting += tasks.get(name, 0)
        for name, number in tasks.items():
            node = tree.organisations.get(name)
            if node is None:
                continue
            others = sorted((other for other in used if other != name), key=lambda o: -used[o])
            holders = [other for other in others if used[other] > 0][:MAX_HOLDERS]
            log_event(
                "INFO",
                "share_usage",
                organisation=name,
                service=service,
                used=round(used[name], 4),
                decayed=round(node.average_share, 4),
                share=round(node.entitled, 4),
                guaranteed=node.guaranteed,
                waiting=number,
                waits_for=",".join(f"{other}:{used[other]:.3f}" for other in holders),
            )

    def limited(
        self, config: SharingConfig, service: str, queue: str, tree: ShareTree, at: float
    ) -> None:
        """Log that a queue is skipped because it or its organisation is at its limit."""
        since = self._limited_at.get((service, queue))
        if since is not None and at - since < INTERVAL_S:
            return
        self._limited_at[service, queue] = at
        node, parent = tree.queues[queue], tree.organisation_of(queue)
        log_event(
            "INFO",
            "share_limited",
            queue=queue,
            organisation=config.organisation_of(queue),
            service=service,
            used=round(node.share, 4),
            limit=node.limit,
            organisation_used=round(parent.share, 4),
            organisation_limit=parent.limit,
        )

    def _exported(self, organisation: str) -> _Figures:
        figures = self._figures.get(organisation)
        if figures is None:
            figures = self._figures[organisation] = _Figures()
            self._metrics.gauge("share_used", partial(_used, figures), organisation=organisation)
            self._metrics.gauge(
                "share_waiting", partial(_waiting, figures), organisation=organisation
            )
        return figures

    def _reset(self) -> None:
        for figures in self._figures.values():
            figures.used, figures.waiting = 0.0, 0

    def close(self) -> None:
        """Export 0 for all organisations from now on."""
        self._reset()


def _used(figures: _Figures) -> float:
    return figures.used


def _waiting(figures: _Figures) -> float:
    return float(figures.waiting)
