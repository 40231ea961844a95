"""Reports of two processes of one agent, of which the later replaces the earlier."""

from sapphirelead.node_messages import AgentReport
from sapphirelead.runner_service import REPORT_S
from sapphirelead.sched_core import Scheduler
from sapphirelead.sched_reports import BOOT_SILENCE_S, take_report
from tests.sched.fakes import scheduler, worker_info


def report(sched: Scheduler, boot: str, beat: int, at: float) -> bool:
    """Let a process of the agent report; return whether the report is taken."""
    message = AgentReport("g1", boot, beat, 1, 1, worker_info("w-g1"), True, [], [])
    return take_report(sched, message, 1, at)


def test_an_agent_whose_earlier_process_is_heard_last_is_heard_again() -> None:
    """Guards against an agent that a new leader ignores for good, so that all it runs lapses."""
    sched = scheduler()
    assert report(sched, "new", 1, 0.0)
    assert report(sched, "old", 90, 0.1)
    taken = [report(sched, "new", beat, beat * REPORT_S) for beat in range(2, 6)]
    assert taken[-1]
    assert sched.fleet.instance("g1").boot == "new"


def test_a_late_word_of_an_earlier_process_is_ignored_while_its_successor_reports() -> None:
    """Guards against orders that are addressed to a process that has ended."""
    sched = scheduler()
    assert report(sched, "old", 90, 0.0)
    assert report(sched, "new", 1, 0.5)
    assert not report(sched, "old", 91, 0.5 + 0.9 * BOOT_SILENCE_S)
    assert sched.fleet.instance("g1").boot == "new"
