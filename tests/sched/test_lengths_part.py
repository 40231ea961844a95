"""What the learnt run times are fed with, where they are used, and how they survive a term."""

import math
from collections.abc import Callable
from dataclasses import dataclass, field

import msgspec
import pytest
from msgspec.structs import replace

from sapphirelead.lengths.learned import LearnedLengths
from sapphirelead.lengths.part import ENCODE_INTERVAL_S, LengthsPart
from sapphirelead.lengths.stored import FORM, decode_pairs, encode_changed, encode_pairs
from sapphirelead.metrics import Metrics
from sapphirelead.model_worker_life import WorkerLife
from sapphirelead.node_leader_parts import LeaderParts
from sapphirelead.node_leader_rows import MAX_BYTES
from sapphirelead.ports import Row, Write
from sapphirelead.sched_core import Scheduler
from sapphirelead.sched_fleet import Instance, Run
from sapphirelead.sched_job import EndKind
from sapphirelead.sched_lengths import DeclaredLengths
from sapphirelead.sched_parts import ALL_OFF, LengthsConfig, PartsConfig
from sapphirelead.sched_planner import GROUPING_DELAY_S, plan, ready_steps
from sapphirelead.sched_spec import StepSpec
from sapphirelead.sched_stragglers import review
from sapphirelead.sched_task import TaskRef
from tests.sched.fakes import Agents, job, scheduler, store, worker_info
from tests.sched.test_scheduler import ended, only_run, submit

CONFIG = LengthsConfig(min_ends=2, half_life_ends=50)
ON = PartsConfig(lengths=CONFIG)
PLAIN = StepSpec(cpu_millicores=1000, estimate_ms=4000, image="i")
KEY = ("q", "i")
KNOWN_RATIO = 3.0


@dataclass
class Trial:
    """One run on one worker that reports each 0.4 s, and what a test does to it.

    :ivar runs_s: time from its first report to its end.
    :ivar kind: how it ends.
    :ivar before: called before the claim.
    :ivar during: called after each report.
    """

    step: StepSpec = PLAIN
    runs_s: float = 8.0
    kind: str = "done"
    seen_percent: int = 0
    paces: list[int] = field(default_factory=list)
    gap_s: float = 0.0
    before: Callable[[Instance], object] = lambda _: None
    during: Callable[[Scheduler, Run, Instance], object] = lambda *_: None

    def play(self, sched: Scheduler, agents: Agents, number: int = 0) -> None:
        """Submit, start and end the run."""
        at = 100.0 * number
        agents.report(at=at)
        self.before(sched.fleet.instance("g1"))
        submit(sched, job(f"a{number}", self.step))
        plan(sched, at, 0)
        plan(sched, at + GROUPING_DELAY_S, 0)
        store(sched)
        run = only_run(sched)
        name = [(run.ref.text(), run.attempt)]
        started = at = at + 0.4
        tick = 0
        while at < started + self.runs_s:
            if not (self.gap_s and started + 1 < at < started + 1 + self.gap_s):
                pace = self.paces[tick] if tick < len(self.paces) else 100
                percent = min(99, self.seen_percent + tick)
                agents.report(runs=name, at=at, percent=percent, paced=pace)
                self.during(sched, run, sched.fleet.instance("g1"))
            at += 0.4
            tick += 1
        agents.report(ends=[ended(run, self.kind, number + 1)], at=started + self.runs_s)
        store(sched)


def learning() -> tuple[Scheduler, Agents, LengthsPart]:
    """Return a scheduler with the part switched on."""
    sched = scheduler()
    part = LengthsPart(CONFIG, sched)
    part.switch_on()
    return sched, Agents(sched), part


def test_a_sound_run_counts_with_its_actual_time() -> None:
    """Guards against ratios that are off by the delays of reports."""
    sched, agents, part = learning()
    Trial().play(sched, agents)
    assert part.lengths.forecast(KEY) == pytest.approx(math.log(2), abs=0.02)


def test_a_run_that_was_seen_late_counts_in_full() -> None:
    """Guards against ratios that lack the time before the first report."""
    sched, agents, part = learning()
    Trial(seen_percent=20, runs_s=3.2).play(sched, agents)
    assert part.lengths.forecast(KEY) == pytest.approx(0.0, abs=0.02)


def make_cold(sched: Scheduler, run: Run, instance: Instance) -> None:
    instance.cold_until = run.running_at + 1


def put_on_trial(instance: Instance) -> None:
    instance.track.on_trial = True
    instance.track.last_fault_at = 0.0


def begin_cooldown(sched: Scheduler, run: Run, instance: Instance) -> None:
    instance.track.cooldown_until = 100.0


def slow_worker(sched: Scheduler, run: Run, instance: Instance) -> None:
    instance.track.speed = 0.1


def isolate(sched: Scheduler, run: Run, instance: Instance) -> None:
    run.isolated = True


def suspect(sched: Scheduler, run: Run, instance: Instance) -> None:
    sched.quarantine.is_suspect = lambda ref: True  # type: ignore[method-assign]


def replace_worker(sched: Scheduler, run: Run, instance: Instance) -> None:
    run.worker = WorkerLife("w-earlier")


REJECTED = {
    "failed": Trial(kind="failed"),
    "stopped": Trial(kind="stopped"),
    "lapsed": Trial(kind="lapsed"),
    "not_started": Trial(kind="not_started"),
    "throttled_first": Trial(paces=[40, 40]),
    "pace_unknown": Trial(paces=[100, -1]),
    "cold_worker": Trial(during=make_cold),
    "worker_on_trial": Trial(before=put_on_trial),
    "worker_with_fault": Trial(during=begin_cooldown),
    "slow_worker": Trial(during=slow_worker),
    "isolated": Trial(during=isolate),
    "suspect": Trial(during=suspect),
    "earlier_life": Trial(during=replace_worker),
    "mostly_unseen": Trial(seen_percent=60),
    "out_of_touch": Trial(gap_s=6.0),
    "long_running": Trial(step=replace(PLAIN, lasting=True)),
    "no_estimate": Trial(step=replace(PLAIN, estimate_ms=0)),
}


@pytest.mark.parametrize("trial", REJECTED.values(), ids=REJECTED)
def test_a_run_that_says_nothing_of_its_length_does_not_count(trial: Trial) -> None:
    """Guards against poison, failures, throttling and faulty workers that distort forecasts."""
    sched, agents, part = learning()
    trial.play(sched, agents)
    assert part.lengths.pairs == 0


def test_a_run_that_resumed_from_a_checkpoint_does_not_count() -> None:
    """Guards against forecasts that are too short by what a checkpoint has saved."""
    sched, agents, part = learning()
    step = replace(PLAIN, saves=True)
    agents.report(at=0.0)
    submit(sched, job("a0", step))
    for attempt, kind in ((1, "stopped"), (2, "done")):
        at = 20.0 * attempt
        agents.report(at=at)
        plan(sched, at, 0)
        store(sched)
        run = only_run(sched)
        assert run.attempt == attempt
        for tick in range(5):
            agents.report(runs=[(run.ref.text(), attempt)], at=at + 0.4 * tick)
        agents.report(ends=[ended(run, kind, attempt, saved="50")], at=at + 2)
        store(sched)
    assert not sched.fleet.runs and part.lengths.pairs == 0


def test_tasks_longer_than_declared_do_not_make_every_worker_count_as_slow() -> None:
    """Guards against a caller whose wrong estimates keep its own runs from being counted."""
    sched, agents, part = learning()
    for number in range(12):
        Trial(runs_s=16.0).play(sched, agents, number)
    assert sched.fleet.instance("g1").track.speed < 0.45
    (_, pair), *_ = part.lengths.latest_first()
    assert pair.ends == 12 and pair.in_use


def known(part: LengthsPart) -> None:
    """Let a pair be in use whose tasks take three times their estimate."""
    for _ in range(40):
        part.lengths.record(KEY, math.log(KNOWN_RATIO), part.lengths.forecast(KEY), 1.0)
    assert part.lengths.expected_ms("q", PLAIN) == pytest.approx(12_000, rel=0.02)


def test_order_follows_expected_work() -> None:
    """Guards against best-effort steps that go first because they declare too little."""
    sched, _, part = learning()
    known(part)
    fill = replace(PLAIN, fills=True)
    submit(sched, job("a0", fill))
    submit(sched, job("b0", replace(fill, image="other", estimate_ms=6000)))
    store(sched)
    first, second = sorted(ready_steps(sched, 0.0, 0), key=lambda ready: ready.rank)
    assert (first.job.spec.job_id, second.job.spec.job_id) == ("b0", "a0")
    assert second.slack_s == pytest.approx(13.0, rel=0.02)


def straggling(part_on: bool, percent_a_tick: int) -> Run:
    """Return a run of a declared length of 4 s with a free worker beside it, after a review."""
    sched, agents, part = learning()
    known(part)
    if not part_on:
        part.switch_off()
    agents.report(at=0.0)
    submit(sched, job("a0", PLAIN))
    plan(sched, 0.0, 0)
    store(sched)
    run = only_run(sched)
    for tick in range(10):
        at = 0.4 * (tick + 1)
        agents.report(runs=[(run.ref.text(), 1)], percent=percent_a_tick * tick, at=at)
        agents.report("g2", at=at)
        review(sched, at)
    return run


@pytest.mark.parametrize(
    ("part_on", "percent_a_tick", "stopped"), [(False, 3, True), (True, 3, False), (True, 1, True)]
)
def test_stragglers_are_judged_by_expected_run_times(
    part_on: bool, percent_a_tick: int, stopped: bool
) -> None:
    """Guards against moving tasks that are on time, but for their caller's estimate."""
    assert straggling(part_on, percent_a_tick).stop_wanted is stopped


def test_a_forecast_that_is_too_short_does_not_stop_runs_on_time() -> None:
    """Guards against a caller that has corrected its estimates and whose runs are all stopped."""
    sched, agents, part = learning()
    for _ in range(40):
        part.lengths.record(KEY, -math.log(4), part.lengths.forecast(KEY), 1.0)
    assert part.lengths.expected_ms("q", PLAIN) == pytest.approx(1000, rel=0.02)
    agents.report(at=0.0)
    submit(sched, job("a0", PLAIN))
    plan(sched, 0.0, 0)
    store(sched)
    run = only_run(sched)
    for tick in range(10):
        agents.report(runs=[(run.ref.text(), 1)], percent=10 * tick, at=0.4 * (tick + 1))
        agents.report("g2", at=0.4 * (tick + 1))
        review(sched, 0.4 * (tick + 1))
    assert not run.stop_wanted


def test_pairs_that_change_all_the_time_do_not_keep_others_out_of_the_row() -> None:
    """Guards against a successor that knows only the busiest images."""
    sched, parts = with_parts(ON)
    lengths = part_of(sched).lengths
    lengths.record(("q", "rare"), 1.0, None, 1.0)
    for tick in range(100):
        for number in range(20):
            lengths.record(("q", f"busy{number}"), 1.0, None, 1.0)
        parts.writes(tick / 10, tick / 10)
    data = encode_pairs(lengths)
    assert data is not None and "rare" in {pair.image for pair in decode_pairs(data)}


def with_parts(config: PartsConfig) -> tuple[Scheduler, LeaderParts]:
    """Return a scheduler and its parts."""
    sched = scheduler()
    parts = LeaderParts(sched, Metrics(lambda: 0.0))
    parts.set_config(config)
    return sched, parts


def part_of(sched: Scheduler) -> LengthsPart:
    """Return the part that is switched on."""
    (part,) = sched.observers
    assert isinstance(part, LengthsPart)
    return part


def row(write: Write) -> Row:
    """Return the row that a write leaves."""
    return Row(write.key, 1, write.value)


def test_switched_off_nothing_observes_is_stored_or_differs() -> None:
    """Guards against costs and writes on deployments that do not use the part."""
    sched, parts = with_parts(ALL_OFF)
    assert not sched.observers and isinstance(sched.lengths, DeclaredLengths)
    assert not parts.keys and not parts.writes(0.0, 0.0, last=True)


def test_changed_options_keep_what_was_learnt_and_switching_off_ends_its_use() -> None:
    """Guards against a configuration that changes under load."""
    sched, parts = with_parts(ON)
    known(part_of(sched))
    for half_life in range(1, 20):
        parts.set_config(PartsConfig(lengths=LengthsConfig(2, half_life)))
        assert sched.lengths.expected_ms("q", PLAIN) > 11_000
    parts.set_config(ALL_OFF)
    assert not sched.observers and not parts.keys
    assert sched.lengths.expected_ms("q", PLAIN) == 4000


def test_a_successor_starts_from_the_row() -> None:
    """Guards against learning anew after each change of leaders."""
    sched, parts = with_parts(ON)
    known(part_of(sched))
    (write,) = parts.writes(0.0, 0.0)
    successor, later = with_parts(ON)
    assert later.keys == [write.key] == ["fleet/lengths"]
    later.restore([row(write)], 1.0)
    for quantile in (0.5, 0.9):
        before = sched.lengths.expected_ms("q", PLAIN, quantile)
        assert successor.lengths.expected_ms("q", PLAIN, quantile) == pytest.approx(before, rel=0.1)


def test_a_row_passes_through_many_brief_terms() -> None:
    """Guards against forecasts that drift or fade with each change of leaders."""
    sched, parts = with_parts(ON)
    known(part_of(sched))
    for _ in range(20):
        (write,) = parts.writes(0.0, 0.0)
        sched, parts = with_parts(ON)
        parts.restore([row(write)], 0.0)
    assert sched.lengths.expected_ms("q", PLAIN) == pytest.approx(12_000, rel=0.04)


def test_a_claim_of_the_predecessor_is_counted_but_judges_no_forecast() -> None:
    """Guards against a leader that fails at the end of a run whose claim it has only read."""
    before = scheduler()
    agents = Agents(before)
    agents.report(at=0.0)
    submit(before, job("a0", PLAIN))
    plan(before, 0.0, 0)
    store(before)
    sched, _, part = learning()
    sched.load(before.jobs["a0"])
    run, agents = only_run(sched), Agents(sched)
    for tick in range(20):
        agents.report(runs=[(run.ref.text(), 1)], percent=5 * tick, at=0.4 * (tick + 1))
    agents.report(ends=[ended(run, "done")], at=8.4)
    (_, pair), *_ = part.lengths.latest_first()
    assert (pair.ends, pair.score.steps) == (1, 0.0)


PAIR = ["q", "i", 1000, 1200, 40, 9000, 100, 30_000, True]
UNREADABLE = {
    "empty": b"",
    "cut": msgspec.msgpack.encode([FORM, [PAIR]])[:-4],
    "other_type": msgspec.msgpack.encode({"pairs": 1}),
    "older_version": msgspec.msgpack.encode([FORM - 1, [PAIR]]),
    "newer_version": msgspec.msgpack.encode([FORM + 1, [PAIR]]),
    "negative_ends": msgspec.msgpack.encode([FORM, [[*PAIR[:4], -1, *PAIR[5:]]]]),
    "huge_ratio": msgspec.msgpack.encode([FORM, [["q", "i", 2**40, *PAIR[3:]]]]),
    "not_a_number": msgspec.msgpack.encode([FORM, [["q", "i", math.nan, *PAIR[3:]]]]),
    "fields_missing": msgspec.msgpack.encode([FORM, [PAIR[:3]]]),
    "not_text": b"\x92\x01\x91\x99\xa1\xff\xa1i\x00\x00\x00\x00\x00\x00\xc3",
    "too_large": msgspec.msgpack.encode([FORM, [PAIR] * 2000]),
}


@pytest.mark.parametrize("data", UNREADABLE.values(), ids=UNREADABLE)
def test_an_unreadable_row_is_logged_and_counts_as_nothing_learnt(
    data: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a row of another writer or version that keeps a leader from serving."""
    events: list[str] = []
    monkeypatch.setattr(
        "sapphirelead.lengths.part.log_event", lambda _, event, **fields: events.append(event)
    )
    sched, parts = with_parts(ON)
    parts.restore([Row("fleet/lengths", 1, {"data": data, "led_ms": 1})], 0.0)
    assert events == ["part_row_unreadable"]
    assert part_of(sched).lengths.pairs == 0
    assert sched.lengths.expected_ms("q", PLAIN) == 4000


def test_a_missing_row_counts_as_nothing_learnt() -> None:
    """Guards against a store without history that keeps a leader from serving."""
    sched, parts = with_parts(ON)
    parts.restore([Row("fleet/lengths", 0, None)], 0.0)
    assert sched.lengths.expected_ms("q", PLAIN) == 4000


def test_the_row_is_bounded_and_holds_the_most_recently_used_pairs() -> None:
    """Guards against a row that the store refuses, with 10,000 images."""
    lengths = LearnedLengths(CONFIG)
    for number in range(10_000):
        lengths.record(("queue", f"image-{number}"), 1.0, None, 1.0)
    encode_changed(lengths, 10_000)
    data = encode_pairs(lengths)
    assert data is not None and 0.9 * MAX_BYTES < len(data) <= MAX_BYTES
    sched, parts = with_parts(ON)
    parts.restore([Row("fleet/lengths", 1, {"data": data, "led_ms": 0})], 0.0)
    restored = part_of(sched).lengths
    assert restored.forecast(("queue", "image-9999")) is not None
    assert restored.forecast(("queue", "image-0")) is None
    assert next(key for key, _ in restored.latest_first()) == ("queue", "image-9999")


def test_the_row_changes_only_once_in_its_interval() -> None:
    """Guards against 40 KB a second on a slow link while runs end."""
    sched, parts = with_parts(ON)
    part = part_of(sched)
    written = 0
    for tick in range(100):
        part.lengths.record(KEY, 1.0, None, 1.0)
        written += len(parts.writes(tick / 10, tick / 10))
    assert written == 10 / ENCODE_INTERVAL_S


def test_clock_that_jumps_back_between_report_and_end_counts_nothing() -> None:
    """Guards against the logarithm of a negative time, which would end the leader."""
    sched, agents, part = learning()
    Trial().play(sched, agents)
    run = Run(TaskRef("a0", 0, 0, 0), 9, "g1", WorkerLife("w-g1"), PLAIN, running_at=50.0)
    part.ended(run, "q", EndKind.DONE, 20.0)
    (_, pair), *_ = part.lengths.latest_first()
    assert pair.ends == 1


def test_use_is_logged_and_exported(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against operators who cannot tell whether forecasts are used."""
    events: list[dict[str, object]] = []
    monkeypatch.setattr(
        "sapphirelead.lengths.part.log_event", lambda _, event, **fields: events.append(fields)
    )
    sched = scheduler()
    metrics = Metrics(lambda: 0.0)
    LeaderParts(sched, metrics).set_config(ON)
    agents = Agents(sched)
    for number in range(4):
        Trial(runs_s=16.0).play(sched, agents, number)
    assert [(event["queue"], event["image"], event["in_use"]) for event in events] == [
        ("q", "i", True)
    ]
    text = metrics.render().decode()
    assert "sapphirelead_length_pairs 1.0" in text
    ratio = float(text.partition("\nsapphirelead_length_error_ratio ")[2].split()[0])
    assert ratio < 1.0


def test_agent_of_the_previous_version_reports_runs_as_before() -> None:
    """Guards against an agent that names no pace, whose runs count as at full pace."""
    sched, agents, part = learning()
    Trial(step=replace(PLAIN, fills=True)).play(sched, agents)
    assert part.lengths.pairs == 1


def test_worker_that_comes_back_under_its_id_loses_no_forecast() -> None:
    """Guards against state that is kept for runs whose end is never reported."""
    sched, agents, part = learning()
    agents.report(at=0.0)
    submit(sched, job("a0", PLAIN))
    plan(sched, 0.0, 0)
    store(sched)
    agents.report(worker=worker_info("w-new"), gone=(WorkerLife("w-g1"),), at=1.0)
    assert not sched.fleet.runs and not part._claimed
