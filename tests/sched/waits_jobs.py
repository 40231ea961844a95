"""Random jobs of all kinds for the simulation of waits."""

import random
from collections.abc import Callable
from typing import Any, Final

from sapphirelead.sched_spec import AdvicePolicy, JobSpec, QueuePolicy, StepSpec

MAX_FAILURES: Final = 3

ADVICE: Final = AdvicePolicy(base_ms=50, each_ms=10, valid_ms=8000)

StepMaker = Callable[[random.Random], tuple[StepSpec, ...]]


def _cpu(rng: random.Random) -> int:
    return rng.choice([250, 500, 1000, 1500, 2000])


def _where(rng: random.Random) -> dict[str, Any]:
    """Return random limits on the workers of a step."""
    found: dict[str, Any] = {"memory_mb": rng.choice([0, 100, 1000])}
    if rng.random() < 0.2:
        found["label"] = rng.choice(["a", "b"])
    if rng.random() < 0.2:
        found["per_worker"] = rng.randint(1, 3)
    if rng.random() < 0.2:
        found["near_rack"] = rng.choice(["r1", "r2"])
    return found


def lasting(rng: random.Random, **changes: Any) -> StepSpec:
    """Return a step of long-running tasks."""
    target_ms = rng.choice([0, 100])
    tasks = rng.choice([1, 1, 2, 3, 5])
    fields = {"tasks": tasks, "cpu_millicores": _cpu(rng), "target_ms": target_ms, **_where(rng)}
    return StepSpec(lasting=True, image=f"s{rng.randrange(3)}", **{**fields, **changes})


def batch(rng: random.Random, **changes: Any) -> StepSpec:
    """Return a step of batch tasks."""
    estimate_ms = rng.choice([0, 300, 1000, 3000])
    fields = {"tasks": rng.choice([1, 1, 2, 4]), "cpu_millicores": _cpu(rng), **_where(rng)}
    saves = rng.random() < 0.4
    return StepSpec(estimate_ms=estimate_ms, saves=saves, **{**fields, **changes})


def best_effort(rng: random.Random) -> StepSpec:
    """Return a step of best-effort tasks."""
    return batch(rng, tasks=rng.randint(1, 8), fills=True, image=f"f{rng.randrange(3)}")


def _gang(rng: random.Random) -> StepSpec:
    return batch(rng, tasks=rng.randint(2, 4), gang=True, same_rack=rng.random() < 0.5)


def _lasting_gang(rng: random.Random) -> StepSpec:
    return lasting(rng, tasks=rng.randint(2, 3), gang=True)


MAKERS: Final[tuple[tuple[int, StepMaker], ...]] = (
    (5, lambda rng: (lasting(rng),)),
    (1, lambda rng: (_lasting_gang(rng),)),
    (4, lambda rng: (batch(rng),)),
    (2, lambda rng: (batch(rng), batch(rng, after=(0,)))),
    (1, lambda rng: (batch(rng, tasks=rng.randint(8, 20)),)),
    (2, lambda rng: (best_effort(rng),)),
    (2, lambda rng: (_gang(rng),)),
    (2, lambda rng: (batch(rng), lasting(rng, after=(0,)))),
    (2, lambda rng: (lasting(rng), batch(rng))),
)
"""Kinds of jobs with their weights."""


def random_job(rng: random.Random, job_id: str, at_ms: int) -> JobSpec:
    """Return a random job that is handed in now."""
    weights, makers = zip(*MAKERS, strict=True)
    (maker,) = rng.choices(makers, weights)
    return with_policy(rng, job_id, at_ms, maker(rng))


def with_policy(
    rng: random.Random, job_id: str, at_ms: int, steps: tuple[StepSpec, ...]
) -> JobSpec:
    """Return a job of a random queue, in some cases with occurrences."""
    policy = QueuePolicy(
        "svc",
        priority=rng.randrange(2),
        max_failures=MAX_FAILURES,
        advice=ADVICE if rng.random() < 0.15 else None,
    )
    spec = JobSpec(job_id, f"q-{job_id}", "", steps, policy, accepted_ms=at_ms)
    if any(step.lasting for step in steps) or rng.random() < 0.8:
        return spec
    return JobSpec(
        job_id,
        spec.queue,
        "",
        steps,
        policy,
        accepted_ms=at_ms,
        first_due_ms=at_ms + rng.randrange(4000),
        interval_ms=rng.randint(1000, 6000),
        occurrences=rng.randint(2, 5),
    )
