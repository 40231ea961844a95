"""Export windows of latencies, bounds on the number of series, and job metrics."""

from collections.abc import Callable

import pytest
from result import Result

from sapphirelead.errors import Failure
from sapphirelead.metrics import MAX_SERIES, WINDOW_S, Metrics
from sapphirelead.metrics_jobs import JobMeter
from sapphirelead.model_job import Holder, Job, JobSpec, Kind
from sapphirelead.model_resources import Resources


class Clock:
    at = 0.0

    def __call__(self) -> float:
        return self.at


@pytest.mark.parametrize(
    ("elapsed_s", "p50"),
    [(0.0, 10.0), (WINDOW_S * 0.9, 10.0), (WINDOW_S * 1.5, 10.0), (WINDOW_S * 2.5, None)],
)
def test_latency_is_exported_for_one_to_two_windows(elapsed_s: float, p50: float | None) -> None:
    clock = Clock()
    metrics = Metrics(clock)
    for _ in range(100):
        metrics.latency("service_latency_ms", 10.0, service="a")
    clock.at = elapsed_s
    found = metrics.percentiles_ms("service_latency_ms", service="a").get(50.0)
    assert found == (None if p50 is None else pytest.approx(p50, rel=0.01))


def test_percentiles_cover_only_recent_windows() -> None:
    """Percentiles must cover only recent latencies, not the lifetime of the process."""
    clock = Clock()
    metrics = Metrics(clock)
    for _ in range(10_000):
        metrics.latency("service_latency_ms", 1.0)
    clock.at = WINDOW_S * 3
    for _ in range(10):
        metrics.latency("service_latency_ms", 500.0)
    assert metrics.percentiles_ms("service_latency_ms")[50.0] == pytest.approx(500, rel=0.01)


def test_export_is_prometheus_text() -> None:
    metrics = Metrics(Clock())
    metrics.count("jobs_total", 2, kind="batch")
    metrics.gauge("store_up", lambda: 1.0)
    metrics.latency("service_latency_ms", 4.0, service='a"b')
    lines = metrics.render().decode().splitlines()
    assert 'sapphirelead_jobs_total{kind="batch"} 2.0' in lines
    assert "sapphirelead_store_up 1.0" in lines
    assert 'sapphirelead_service_latency_ms_count{service="a\\"b"} 1.0' in lines


def test_number_of_series_is_bounded() -> None:
    """Label values sent by callers must not create an unbounded number of series."""
    metrics = Metrics(Clock())
    for number in range(MAX_SERIES + 50):
        metrics.count("requests_total", team=f"t{number}")
    assert metrics.value("requests_total", team="other") == 50
    assert metrics.render().decode().count("\nsapphirelead_requests_total{") == MAX_SERIES + 1


@pytest.mark.parametrize(
    ("name", "labels", "move"),
    [
        (
            "jobs_requeued_total",
            {"job_class": "rollover", "cause": "checkpointed"},
            lambda job: job.checkpointed(1, "c/1"),
        ),
        (
            "jobs_requeued_total",
            {"job_class": "rollover", "cause": "attempt_failed"},
            lambda job: job.fail(1, "bad input", 3),
        ),
        (
            "jobs_requeued_total",
            {"job_class": "rollover", "cause": "holder_lost"},
            lambda job: job.lose_holder(1, "fenced"),
        ),
        (
            "jobs_requeued_total",
            {"job_class": "rollover", "cause": "not_started"},
            lambda job: job.release_unstarted(1, "refused"),
        ),
        (
            "jobs_ended_total",
            {"kind": "batch", "job_class": "rollover", "state": "done"},
            lambda job: job.complete(1, None),
        ),
    ],
)
def test_committed_transition_is_counted_by_cause(
    name: str, labels: dict[str, str], move: Callable[[Job], Result[Job, Failure]]
) -> None:
    metrics = Metrics(Clock())
    meter = JobMeter(metrics)
    queued = Job(JobSpec("k", Kind.BATCH, "rollover", "t", Resources(1), idempotent=True))
    claimed = queued.claim(Holder("i1", "a")).unwrap()
    meter.count_transition(queued, claimed)
    meter.count_transition(claimed, move(claimed).unwrap())
    assert metrics.value("jobs_claimed_total", kind="batch") == 1
    assert metrics.value(name, **labels) == 1


@pytest.mark.parametrize("idempotent", [True, False])
@pytest.mark.parametrize(
    ("cause", "move"),
    [
        ("task_failed", lambda job: job.fail(1, "bad input", 1)),
        ("task_failed", lambda job: job.fail(1, "bad input", 3)),
        ("holder_lost", lambda job: job.lose_holder(1, "fenced")),
        ("", lambda job: job.checkpointed(1, "c/1")),
        ("", lambda job: job.release_unstarted(1, "refused")),
        ("", lambda job: job.complete(1, None)),
    ],
)
def test_failures_and_losses_are_counted_whatever_becomes_of_the_job(
    idempotent: bool, cause: str, move: Callable[[Job], Result[Job, Failure]]
) -> None:
    """Guards against failures that are taken for losses, and against those that end a job being
    missing from both."""
    metrics = Metrics(Clock())
    spec = JobSpec("k", Kind.BATCH, "rollover", "t", Resources(1), idempotent=idempotent)
    claimed = Job(spec).claim(Holder("i1", "a")).unwrap()
    JobMeter(metrics).count_transition(claimed, move(claimed).unwrap())
    for name in ("task_failed", "holder_lost"):
        found = metrics.value("job_attempts_failed_total", job_class="rollover", cause=name)
        assert found == (1 if name == cause else 0)
