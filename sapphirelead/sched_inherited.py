"""What previous leaders have learnt that this leader has not needed yet."""

from sapphirelead.logs import log_event
from sapphirelead.model_worker_life import WorkerLife
from sapphirelead.sched_memory import LeaderMemory
from sapphirelead.sched_step_waits import waits_from_notes
from sapphirelead.sched_task import StepKey
from sapphirelead.sched_track import TrackRecord


class Inherited:
    """Entries of the predecessor's row; each is kept until it is taken.

    :ivar tracks: records of workers that have not been reported yet.
    :ivar waits_s: waits of steps that are not known to be ready yet.
    """

    tracks: dict[WorkerLife, TrackRecord]
    waits_s: dict[StepKey, float]

    def __init__(self) -> None:
        self.tracks = {}
        self.waits_s = {}

    def load(self, memory: LeaderMemory, at: float) -> None:
        """Take over a predecessor's row at the beginning of a term."""
        self.tracks = {
            life: TrackRecord.from_note(note, at) for life, note in memory.tracks.items()
        }
        self.waits_s = waits_from_notes(memory.waits_ms)

    def take_track(self, life: WorkerLife) -> TrackRecord:
        """Return the record of a worker that is reported for the first time."""
        return self.tracks.pop(life, None) or TrackRecord()

    def take_wait_s(self, step: StepKey) -> float:
        """Return how long a step had waited under previous leaders."""
        return self.waits_s.pop(step, 0.0)


def log_inherited(memory: LeaderMemory, led_s: float) -> None:
    """Log what a new leader has read of its predecessor's row, and how old the row was.

    :param led_s: time led by previous leaders.
    """
    log_event(
        "INFO",
        "memory_inherited",
        led_s=led_s,
        age_s=memory.age_s(led_s),
        waits=len(memory.waits_ms),
        longest_wait_s=max(memory.waits_ms.values(), default=0) / 1000,
        task_waits=len(memory.task_waits_ms),
        longest_task_wait_s=max(memory.task_waits_ms.values(), default=0) / 1000,
        cooldowns=sum(note.left_ms > 0 for note in memory.tracks.values()),
        longest_cooldown_s=max((note.left_ms for note in memory.tracks.values()), default=0) / 1000,
        observed_runs=len(memory.runs),
        moves=len(memory.moved_ms),
    )
