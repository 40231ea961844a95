"""Merges two queued reports of one agent.

A full report lists every run that has not ended, so it replaces the statuses of an earlier report.
Ended runs of both are kept, since a report carries a bounded number of them.  Saved progress is in
full reports only and is kept as well.
"""

from typing import Final

import msgspec

from sapphirelead.node_messages import AgentReport, EndedLife, RunEnded, RunStatus, reported_life

MAX_MERGED_ENDS: Final = 1_000
"""Bound on the ended runs in a merged report."""

RunKey = tuple[str, int]


def merge_reports(older: AgentReport, newer: AgentReport) -> AgentReport | None:
    """Merge two reports into one with the information of both.

    :return: ``None`` if they cannot be merged: they are out of order, come from two processes of
        the agent or from two lives of its worker, carry too many ended runs, or the newer one is a
        partial report to another leader.
    """
    if older.boot != newer.boot or newer.report_number <= older.report_number:
        return None
    if reported_life(older.worker) != reported_life(newer.worker):
        return None
    if older.epoch != newer.epoch and not newer.full:
        return None
    saved = {(run.task, run.attempt): run.saved for run in older.runs if run.saved}
    saved |= {(end.task, end.attempt): end.saved for end in older.ends if end.saved}
    ends = _all_ends(older, newer, saved)
    if len(ends) > MAX_MERGED_ENDS:
        return None
    return msgspec.structs.replace(
        newer,
        full=newer.full or older.full,
        worker_answers=newer.worker_answers and older.worker_answers,
        runs=_runs(older, newer, saved, ends),
        ends=list(ends.values()),
        ended_workers=tuple(dict.fromkeys((*older.ended_workers, *newer.ended_workers))),
        left_workers=tuple(dict.fromkeys((*older.left_workers, *newer.left_workers))),
        ended_lives=_ended_lives(older, newer),
    )


def _ended_lives(older: AgentReport, newer: AgentReport) -> tuple[EndedLife, ...]:
    lives = {life.worker: life for life in (*older.ended_lives, *newer.ended_lives)}
    return tuple(lives.values())


def _all_ends(
    older: AgentReport, newer: AgentReport, saved: dict[RunKey, str]
) -> dict[RunKey, RunEnded]:
    ends = {(end.task, end.attempt): end for end in (*older.ends, *newer.ends)}
    for key in saved.keys() & ends.keys():
        if not ends[key].saved:
            ends[key] = msgspec.structs.replace(ends[key], saved=saved[key])
    return ends


def _runs(
    older: AgentReport, newer: AgentReport, saved: dict[RunKey, str], ends: dict[RunKey, RunEnded]
) -> list[RunStatus]:
    runs = {} if newer.full else {(run.task, run.attempt): run for run in older.runs}
    for run in newer.runs:
        key = (run.task, run.attempt)
        kept = saved.get(key, "")
        runs[key] = run if run.saved or not kept else msgspec.structs.replace(run, saved=kept)
    return [run for key, run in runs.items() if key not in ends]
