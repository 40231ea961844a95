"""Durable state of a job: completed tasks, claims and retries, and their stored form.

Performs no I/O and reads no clock.  Changes are stored before they have effects elsewhere.

Invariants:

- Attempt numbers of a task only grow, also across leader changes: the highest one is stored with
  the claim before the start is sent.
- A task without ``copies`` has at most one claim at a time.
- A task that is done never gets another claim; a job is completed only once all tasks are done.
- The members of a gang carry the same attempt number.
"""

from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any, Final

import msgspec

from sapphirelead.blame.counts import (
    MAX_SPARED,
    CrashEvidence,
    CrashRecord,
    count_after,
    is_given_up,
)
from sapphirelead.errors import Code
from sapphirelead.model_worker_life import WorkerLife
from sapphirelead.sched_spec import MAX_TASKS, JobSpec, StepSpec
from sapphirelead.sched_task import Claim, Occurrence, Task, TaskRef

STORED_FORMAT_VERSION: Final = 1

MAX_LISTED_OCCURRENCES: Final = 15_000
"""Beyond this number, finished occurrences are stored with ranges, which keeps rows small.  Rows
with ranges are unreadable for versions that know none, whose own rows would be too large."""


class JobState(StrEnum):
    """State of a job, as reported to callers."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"


class EndKind(StrEnum):
    """How a run ended.

    ``LOST`` and ``NOT_STARTED`` can be set by the scheduler, the others are reported by workers.
    """

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    BROKEN = "broken"
    ALONE = "alone"
    LOST = "lost"
    NOT_STARTED = "not_started"


@dataclass(frozen=True, slots=True)
class JobFailure:
    """Why a job failed.

    :ivar task: the task that failed it.
    :ivar count: number of its failed runs, or of workers that crashed under it.
    """

    code: Code
    task: TaskRef
    count: int

    @property
    def detail(self) -> str:
        """The reason in words."""
        if self.code is Code.WORKERS_CRASHED:
            return f"{self.count} workers in a row crashed under task {self.task.text()}"
        return f"task {self.task.text()} failed {self.count} times"


class EndEffect(StrEnum):
    """Effect of the end of a run on its job; ``AGAIN`` means that the task is to be rerun."""

    IGNORED = "ignored"
    TASK_DONE = "task_done"
    AGAIN = "again"
    JOB_COMPLETED = "job_completed"
    JOB_FAILED = "job_failed"


class _StoredTask(msgspec.Struct, array_like=True):
    step: int
    index: int
    task: Task


class _StoredOccurrence(msgspec.Struct, array_like=True):
    number: int
    tasks: list[_StoredTask]


class JobFlags(msgspec.Struct, array_like=True):
    """State of a job without its tasks.

    :ivar finished: numbers of the finished occurrences, or the first and last one of a range.
    :ivar in_progress: numbers of the occurrences in progress.
    """

    cancelled: bool
    failed: bool
    started: bool
    ended_ms: int
    finished: list[int | tuple[int, int]]
    in_progress: list[int]


class TaskDelta(msgspec.Struct, array_like=True):
    """The new state of one task."""

    occurrence: int
    step: int
    number: int
    task: Task


class JobDelta(msgspec.Struct, array_like=True):
    """Changes of a job since the previous delta; applying one is idempotent."""

    job_id: str
    flags: JobFlags | None
    tasks: list[TaskDelta]


class _Stored(msgspec.Struct, array_like=True):
    form: int
    flags: JobFlags
    occurrences: list[_StoredOccurrence]


_ENCODER: Final = msgspec.msgpack.Encoder()
_DECODER: Final = msgspec.msgpack.Decoder(_Stored)
_DELTAS_DECODER: Final = msgspec.msgpack.Decoder(list[JobDelta])


def encode_deltas(deltas: list[JobDelta]) -> bytes:
    """Serialize deltas."""
    return _ENCODER.encode(deltas)


def decode_deltas(data: bytes) -> list[JobDelta]:
    """Deserialize deltas.

    :raises msgspec.DecodeError: if ``data`` is malformed.
    """
    return _DELTAS_DECODER.decode(data)


@dataclass(slots=True)
class Job:
    """A job and its progress.

    :ivar failed: a task has reached its maximum number of failures, or has been given up because
        workers crashed under it.
    :ivar started: a task has been claimed at least once.
    :ivar ended_ms: end as Unix time in milliseconds; 0 while the job is open.
    :ivar occurrences: due occurrences by number; finished ones only while claims are open.
    :ivar finished: numbers of the finished occurrences.
    """

    spec: JobSpec
    cancelled: bool = False
    failed: bool = False
    started: bool = False
    ended_ms: int = 0
    occurrences: dict[int, Occurrence] = field(default_factory=dict)
    finished: set[int] = field(default_factory=set)
    _changed_tasks: set[tuple[int, int, int]] = field(default_factory=set, compare=False)
    _last_flags: JobFlags | None = field(default=None, compare=False)

    @classmethod
    def accept(cls, spec: JobSpec) -> "Job":
        """Create a new job."""
        job = cls(spec)
        if spec.occurrences == 0:
            job.occurrences[0] = Occurrence.fresh(0, spec.steps)
        return job

    @property
    def state(self) -> JobState:
        """State as reported to callers."""
        if self.cancelled:
            return JobState.CANCELLED
        if self.failed:
            return JobState.FAILED
        if len(self.finished) >= max(1, self.spec.occurrences):
            return JobState.COMPLETED
        return JobState.RUNNING if self.started else JobState.QUEUED

    def failure(self) -> JobFailure | None:
        """Return why the job failed, derived from its tasks; ``None`` if it did not."""
        if self.state is not JobState.FAILED:
            return None
        limit = self.spec.policy.max_failures
        worst: JobFailure | None = None
        for ref, task in self.tasks():
            if task.failures >= limit and not self.spec.steps[ref.step].lasting:
                return JobFailure(Code.TASK_FAILED, ref, task.failures)
            if task.crashes > (worst.count if worst is not None else 0):
                worst = JobFailure(Code.WORKERS_CRASHED, ref, task.crashes)
        return worst

    @property
    def open(self) -> bool:
        """Whether the job has not ended."""
        return self.state in (JobState.QUEUED, JobState.RUNNING)

    @property
    def waiting(self) -> bool:
        """Whether it is a job without a schedule of which nothing has started."""
        return self.spec.occurrences == 0 and self.state is JobState.QUEUED

    def next_due_ms(self) -> int | None:
        """Return the Unix time in milliseconds at which the next occurrence is due."""
        number = self._next_occurrence()
        if number is None:
            return None
        return self.spec.first_due_ms + number * self.spec.interval_ms

    def add_due_occurrences(self, wall_ms: int) -> bool:
        """Add the occurrences due at ``wall_ms``; return whether there were any.

        Occurrences that overlap beyond :data:`MAX_TASKS` wait until earlier ones have finished.
        """
        changed = False
        width = sum(step.tasks for step in self.spec.steps)
        while (due := self.next_due_ms()) is not None and due <= wall_ms:
            if self.occurrences and width * (len(self.occurrences) + 1) > MAX_TASKS:
                return changed
            number = self._next_occurrence()
            assert number is not None
            self.occurrences[number] = Occurrence.fresh(number, self.spec.steps)
            changed = True
        return changed

    def _next_occurrence(self) -> int | None:
        number = max(max(self.occurrences, default=-1), max(self.finished, default=-1)) + 1
        return number if number < self.spec.occurrences else None

    def task(self, ref: TaskRef) -> Task | None:
        """Return the task that ``ref`` names, if its occurrence is in progress."""
        occurrence = self.occurrences.get(ref.occurrence)
        if occurrence is None or ref.step >= len(occurrence.tasks):
            return None
        tasks = occurrence.tasks[ref.step]
        return tasks[ref.number] if ref.number < len(tasks) else None

    def claims(self) -> Iterator[tuple[TaskRef, Claim]]:
        """Yield every open claim."""
        for ref, task in self.tasks():
            for claim in task.claims:
                yield ref, claim

    def tasks(self) -> Iterator[tuple[TaskRef, Task]]:
        """Yield every task of the occurrences in progress."""
        for occurrence in self.occurrences.values():
            for step, tasks in enumerate(occurrence.tasks):
                for index, task in enumerate(tasks):
                    yield TaskRef(self.spec.job_id, occurrence.number, step, index), task

    def crashed_tasks(self) -> Iterator[TaskRef]:
        """Return the tasks under which workers have crashed."""
        return (ref for ref, task in self.tasks() if task.crashes)

    def members(self, ref: TaskRef) -> list[TaskRef]:
        """Return the tasks that share their fate with a task: its gang, or itself only."""
        step = self.spec.steps[ref.step]
        if not step.gang:
            return [ref]
        return [ref._replace(number=number) for number in range(step.tasks)]

    def claim(self, ref: TaskRef, agent: str, worker: WorkerLife, attempt: int = 0) -> Claim:
        """Claim the next attempt of a task for a worker.

        :param attempt: attempt number shared by a gang; 0 for the task's next one.
        """
        task = self.task(ref)
        assert task is not None and not task.done, f"{ref} is already done or does not exist"
        claim = Claim(max(task.attempts + 1, attempt), agent, worker)
        task.attempts = claim.attempt
        task.claims = [*task.claims, claim]
        self.started = True
        self._mark_changed(ref)
        return claim

    def move_claim(self, ref: TaskRef, attempt: int, worker: WorkerLife) -> None:
        """Record that the run of a claim is on another life of its worker."""
        task = self.task(ref)
        claim = task.claim_of(attempt) if task is not None else None
        if task is None or claim is None:
            return
        moved = Claim(attempt, claim.agent, worker)
        task.claims = [moved if item is claim else item for item in task.claims]
        self._mark_changed(ref)

    def end_run(
        self,
        ref: TaskRef,
        attempt: int,
        kind: EndKind,
        saved: str,
        evidence: CrashEvidence = CrashEvidence.NONE,
    ) -> EndEffect:
        """Record the end of a run; ignores attempts without an open claim."""
        task = self.task(ref)
        if task is None:
            return EndEffect.IGNORED
        claim = task.claim_of(attempt)
        if claim is None:
            return EndEffect.IGNORED
        task.claims = [open_claim for open_claim in task.claims if open_claim is not claim]
        # The end of one member of a gang can change the state of all members.
        for member in self.members(ref):
            self._mark_changed(member)
        effect = self._record_end(ref, task, kind, saved)
        if effect is EndEffect.AGAIN and self._record_crash(ref, claim, evidence):
            effect = EndEffect.JOB_FAILED
        self._drop_finished(ref.occurrence)
        return effect

    def record_late_done(self, ref: TaskRef, attempt: int) -> EndEffect:
        """Record that a run without a claim has ended well, if its task still needs that."""
        task = self.task(ref)
        step = self.spec.steps[ref.step] if task is not None else None
        if task is None or step is None or step.lasting or task.done or not self.open:
            return EndEffect.IGNORED
        if not 0 < attempt <= task.attempts:
            return EndEffect.IGNORED
        for member in self.members(ref):
            self._mark_changed(member)
        effect = self._record_done(ref, step)
        self._drop_finished(ref.occurrence)
        return effect

    def _record_end(self, ref: TaskRef, task: Task, kind: EndKind, saved: str) -> EndEffect:
        if task.done:
            return EndEffect.IGNORED
        step = self.spec.steps[ref.step]
        if saved and step.saves:
            self._set_saved(ref, step, saved)
        if step.lasting:
            return EndEffect.AGAIN
        if kind is EndKind.DONE:
            return self._record_done(ref, step)
        if kind is EndKind.FAILED:
            return self._record_failed(ref, task, step)
        return EndEffect.AGAIN

    def _set_saved(self, ref: TaskRef, step: StepSpec, saved: str) -> None:
        # The members of a gang share their checkpoint.
        tasks = self.occurrences[ref.occurrence].tasks[ref.step]
        for task in tasks if step.gang else [tasks[ref.number]]:
            task.saved = saved

    def _record_done(self, ref: TaskRef, step: StepSpec) -> EndEffect:
        occurrence = self.occurrences[ref.occurrence]
        tasks = occurrence.tasks[ref.step]
        for task in tasks if step.gang else [tasks[ref.number]]:
            if not task.done:
                task.done = True
                task.saved = ""
                task.avoid, task.moves = [], 0
                task.reset_crashes()
                occurrence.unfinished[ref.step] -= 1
        if occurrence.done:
            self.finished.add(occurrence.number)
        completed = self.state is JobState.COMPLETED
        return EndEffect.JOB_COMPLETED if completed else EndEffect.TASK_DONE

    def _record_failed(self, ref: TaskRef, task: Task, step: StepSpec) -> EndEffect:
        tasks = self.occurrences[ref.occurrence].tasks[ref.step]
        # A gang fails as a unit, so its members share the number of failures.
        for member in tasks if step.gang else [task]:
            member.failures += 1
        if task.failures < self.spec.policy.max_failures or not self.open:
            return EndEffect.AGAIN
        self.failed = True
        return EndEffect.JOB_FAILED

    def record_crash_after_end(self, ref: TaskRef, claim: Claim) -> EndEffect:
        """Record the crash of a worker just after a run has ended there without success.

        :param claim: the claim of that run.
        """
        task = self.task(ref)
        if task is None or task.done or not self.open:
            return EndEffect.IGNORED
        for member in self.members(ref):
            self._mark_changed(member)
        given_up = self._record_crash(ref, claim, CrashEvidence.CRASH)
        return EndEffect.JOB_FAILED if given_up else EndEffect.AGAIN

    def _record_crash(self, ref: TaskRef, claim: Claim, evidence: CrashEvidence) -> bool:
        """Update the task's crashes; return whether it is given up, which fails the job."""
        members = self._member_tasks(ref)
        own = self.occurrences[ref.occurrence].tasks[ref.step][ref.number]
        if evidence.counts:
            record = CrashRecord(claim.attempt, claim.worker)
            own.crash_records = [*own.crash_records, record]
        if evidence.counts and len(members) > 1:
            # The crashes of several workers under one attempt of a gang count once.
            if claim.attempt <= members[0].crashed_attempt:
                return False
            for task in members:
                task.crashed_attempt = claim.attempt
        for task in members:
            if evidence is CrashEvidence.CLEARS:
                task.reset_crashes()
            task.excused += evidence is CrashEvidence.EXCUSED
            task.crashes = count_after(task.crashes, evidence)
        if not self.open or not is_given_up(members[0].crashes, evidence, members[0].excused):
            return False
        self.failed = True
        return True

    def crashed_workers(self, ref: TaskRef) -> frozenset[WorkerLife]:
        """Return the workers whose crashes count for a task or its gang."""
        return frozenset(
            record.worker for task in self._member_tasks(ref) for record in task.crash_records
        )

    def excuse_crashes(self, ref: TaskRef, workers: frozenset[WorkerLife]) -> int:
        """Take back the crashes of ``workers``, which another task has caused; return how many.

        They still count towards the limit.
        """
        taken = self.take_back_crashes(ref, workers)
        for task in self._member_tasks(ref):
            task.excused += taken
        return taken

    def take_back_crashes(self, ref: TaskRef, workers: frozenset[WorkerLife]) -> int:
        """Take back the crashes of ``workers``; return how many counted."""
        members = self._member_tasks(ref)
        taken = _crashes_of(members, workers)
        if not taken:
            return 0
        for task in members:
            task.crash_records = _records_without(task, workers)
            task.crashes = max(0, task.crashes - taken)
        for member in self.members(ref):
            self._mark_changed(member)
        return taken

    def crashes_without(self, ref: TaskRef, workers: frozenset[WorkerLife]) -> int:
        """Return how many crashes count for a task apart from those of ``workers``."""
        members = self._member_tasks(ref)
        return max(0, members[0].crashes - _crashes_of(members, workers))

    def spare(self, ref: TaskRef) -> bool:
        """Return whether a crash that newer runs explain does not count; stored with the end."""
        task = self.task(ref)
        if task is None or task.spared >= MAX_SPARED:
            return False
        task.spared += 1
        return True

    def record_move(self, ref: TaskRef) -> None:
        """Count that a task is moved or duplicated because it was slow."""
        task = self.task(ref)
        if task is not None:
            task.moves += 1
            self._mark_changed(ref)

    def clear_crashes(self, ref: TaskRef) -> None:
        """Reset the crashes of a task that has proven harmless."""
        for task in self._member_tasks(ref):
            task.reset_crashes()
        for member in self.members(ref):
            self._mark_changed(member)

    def _member_tasks(self, ref: TaskRef) -> list[Task]:
        tasks = self.occurrences[ref.occurrence].tasks[ref.step]
        return [tasks[member.number] for member in self.members(ref)]

    def _drop_finished(self, number: int) -> None:
        """Drop a finished occurrence once none of its claims is open; copies may still run."""
        occurrence = self.occurrences.get(number)
        if occurrence is None or number not in self.finished:
            return
        if not occurrence.has_claims:
            del self.occurrences[number]

    def _mark_changed(self, ref: TaskRef) -> None:
        self._changed_tasks.add((ref.occurrence, ref.step, ref.number))

    @property
    def flags(self) -> JobFlags:
        """State of the job without its tasks."""
        many = len(self.finished) > MAX_LISTED_OCCURRENCES
        return JobFlags(
            self.cancelled,
            self.failed,
            self.started,
            self.ended_ms,
            [*_ranges(self.finished)] if many else [*sorted(self.finished)],
            sorted(self.occurrences),
        )

    def take_delta(self) -> JobDelta:
        """Return the changes since the last call."""
        flags = self.flags
        changed = flags if flags != self._last_flags else None
        self._last_flags = flags
        tasks = []
        for occurrence, step, number in sorted(self._changed_tasks):
            found = self.occurrences.get(occurrence)
            if found is not None:
                tasks.append(TaskDelta(occurrence, step, number, found.tasks[step][number]))
        self._changed_tasks.clear()
        return JobDelta(self.spec.job_id, changed, tasks)

    def apply(self, delta: JobDelta) -> None:
        """Apply a stored delta."""
        if delta.flags is not None:
            self._set_flags(delta.flags)
        for item in delta.tasks:
            occurrence = self.occurrences.get(item.occurrence)
            if occurrence is not None:
                before = occurrence.tasks[item.step][item.number]
                occurrence.unfinished[item.step] += int(before.done) - int(item.task.done)
                occurrence.tasks[item.step][item.number] = item.task

    def _set_flags(self, flags: JobFlags) -> None:
        self.cancelled = flags.cancelled
        self.failed = flags.failed
        self.started = flags.started
        self.ended_ms = flags.ended_ms
        self.finished = set()
        for item in flags.finished:
            first, last = item if isinstance(item, tuple) else (item, item)
            self.finished.update(range(first, last + 1))
        for number in [number for number in self.occurrences if number not in flags.in_progress]:
            del self.occurrences[number]
        for number in flags.in_progress:
            if number not in self.occurrences:
                self.occurrences[number] = Occurrence.fresh(number, self.spec.steps)

    def encode(self) -> bytes:
        """Serialize the progress."""
        occurrences = []
        for occurrence in self.occurrences.values():
            rows = [
                _StoredTask(step, index, task)
                for step, tasks in enumerate(occurrence.tasks)
                for index, task in enumerate(tasks)
                if task.attempts
            ]
            occurrences.append(_StoredOccurrence(occurrence.number, rows))
        return _ENCODER.encode(_Stored(STORED_FORMAT_VERSION, self.flags, occurrences))

    @classmethod
    def decode(cls, spec: JobSpec, data: bytes) -> "Job":
        """Restore a job from its serialized progress.

        :raises msgspec.DecodeError: if ``data`` is malformed.
        """
        stored = _DECODER.decode(data)
        job = cls(spec)
        job._set_flags(stored.flags)
        for row in stored.occurrences:
            occurrence = job.occurrences[row.number]
            for item in row.tasks:
                occurrence.tasks[item.step][item.index] = item.task
                occurrence.unfinished[item.step] -= item.task.done
        return job


def _ranges(numbers: set[int]) -> list[int | tuple[int, int]]:
    """Return the first and last number of each range of consecutive numbers, or its only one.

    >>> _ranges({3, 0, 1, 7, 4})
    [(0, 1), (3, 4), 7]
    """
    firsts = sorted(number for number in numbers if number - 1 not in numbers)
    lasts = sorted(number for number in numbers if number + 1 not in numbers)
    pairs = zip(firsts, lasts, strict=True)
    return [first if first == last else (first, last) for first, last in pairs]


def _records_without(task: Task, workers: frozenset[WorkerLife]) -> list[CrashRecord]:
    return [record for record in task.crash_records if record.worker not in workers]


def _crashes_of(members: list[Task], workers: frozenset[WorkerLife]) -> int:
    """Return how many crashes of a task or a gang are due to ``workers`` only."""
    attempts = {record.attempt for task in members for record in task.crash_records}
    kept = {record.attempt for task in members for record in _records_without(task, workers)}
    return len(attempts - kept)


def encode_spec(spec: JobSpec) -> bytes:
    """Serialize an accepted job."""
    return _ENCODER.encode(spec)


_SPEC_DECODER: Final[msgspec.msgpack.Decoder[Any]] = msgspec.msgpack.Decoder(JobSpec)


def decode_spec(data: bytes) -> JobSpec:
    """Deserialize an accepted job.

    :raises msgspec.DecodeError: if ``data`` is malformed.
    """
    spec: JobSpec = _SPEC_DECODER.decode(data)
    return spec
