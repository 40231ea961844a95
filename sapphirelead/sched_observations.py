"""Which observations of runs a leader hands to its successor."""

from collections.abc import Iterable, Mapping
from typing import Final

from sapphirelead.sched_fleet import Run
from sapphirelead.sched_memory import MAX_ENTRIES, RunNote
from sapphirelead.sched_quarantine import Quarantine

MIN_WATCH_S: Final = 0.9
"""Runs that were observed for less are not stored."""

SLOW_SHARE: Final = 0.5
"""Share of its expected speed below which a run is stored; above the one at which it is slow."""


def run_notes(runs: Iterable[Run], quarantine: Quarantine) -> dict[str, RunNote]:
    """Return the longest observations of runs that look slow or whose tasks crashed workers."""
    noted = [
        run
        for run in runs
        if run.watch.watched_s >= MIN_WATCH_S and (_looks_slow(run) or run.ref in quarantine)
    ]
    noted.sort(key=lambda run: run.watch.watched_s, reverse=True)
    return {_run_name(run): run.watch.note() for run in noted[:MAX_ENTRIES]}


def resume_observations(runs: Iterable[Run], notes: Mapping[str, RunNote]) -> None:
    """Continue what a predecessor has observed of ``runs``."""
    for run in runs:
        note = notes.get(_run_name(run))
        if note is not None:
            run.watch.resume(note)


def _looks_slow(run: Run) -> bool:
    watch, estimate_ms = run.watch, run.step.estimate_ms
    if run.step.lasting or not estimate_ms:
        return False
    expected = 100 * 1000 * watch.watched_s / estimate_ms
    return watch.stalled or watch.gained < SLOW_SHARE * expected


def _run_name(run: Run) -> str:
    return f"{run.ref.text()}/{run.attempt}"
