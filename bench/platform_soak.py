"""Random faults, in series and overlapping, on the programs that run on the users' platform.

Usage:
  platform_soak [--seeds LIST] [--seconds N] [--folder DIR] [--entries N] [--agents N]
                [--hold-max-ms N] [--only NAMES]

Options:
  --seeds LIST     Seeds, separated by commas, and ranges such as 1-50; ``kept`` for those that
                   failed once [default: 1,2,3].
  --seconds N      How long faults come in each seed [default: 30].
  --folder DIR     Where settings, logs and histories go [default: soak-runs].
  --entries N      Entries [default: 4].
  --agents N       Agents, each with a worker [default: 5].
  --hold-max-ms N  Longest lease of a worker [default: 10000].
  --only NAMES     Faults to choose from, separated by commas.  Where absent, each third seed has
                   planned work only, since an accident nearby excuses a call that is cut, and the
                   others have all faults; the kept seeds have those with which they failed.

Callers hand in jobs, keep their connections and repeat what has no answer, while entries, agents,
workers, the store and connections are stopped, killed, frozen, replaced and disturbed from outside.
Then everything is mended, every accepted job must end, and the checker judges the history.  Faults
and load follow from the seed; their exact moments do not, since the processes are real.
"""

import asyncio
import random
import sys
from collections import Counter
from dataclasses import dataclass
from pathlib import Path
from typing import Final

from docopt import docopt

from bench.checker import Event, Violation, read_histories
from bench.platform_callers import Balancer, Callers
from bench.platform_checker import check
from bench.platform_faults import DISRUPTIONS, FAULTS, PLANNED_FAULTS, Fault
from bench.platform_logs import runs_listed_by_next_lives
from bench.platform_site import HOLD_MAX_MS, Site
from sapphirelead.clock import now

CALLER_COUNT: Final = 6
WATCHER_COUNT: Final = 2
MEAN_SUBMIT_INTERVAL_S: Final = 1.0
COMPLETION_TIMEOUT_S: Final = 45.0
"""Time for accepted jobs to end once all faults are over."""

PLANNED_SEED_INTERVAL: Final = 3
"""Every seed divisible by this has planned operations only."""

MAX_HISTORY_LINES: Final = 12
"""History lines printed per violation, the first and the last ones."""

REGRESSION_SEEDS_PATH: Final = Path(__file__).with_name("platform_soak_seeds.txt")

MAX_EXAMPLES_PER_RULE: Final = 3
"""Violations printed per rule."""


@dataclass(frozen=True)
class Plan:
    """Size and duration of a soak run, and the faults to choose from.

    :ivar seconds: how long faults are injected.
    :ivar hold_max_ms: longest lease of a worker.
    """

    seconds: float
    entries: int = 4
    agents: int = 5
    faults: tuple[Fault, ...] = DISRUPTIONS
    hold_max_ms: int = HOLD_MAX_MS


@dataclass(frozen=True)
class SoakResult:
    """The outcome of a soak run."""

    seed: int
    violations: list[Violation]
    events: list[Event]
    summary: str

    def report(self) -> str:
        """Format the summary and the violations with their related history events."""
        parts = [f"seed={self.seed} {'FAILED' if self.violations else 'ok'} {self.summary}"]
        printed: Counter[str] = Counter()
        for violation in self.violations:
            printed[violation.rule] += 1
            if printed[violation.rule] <= MAX_EXAMPLES_PER_RULE:
                parts.append(f"  {violation.rule}: {violation.detail}")
                parts += [f"    {line}" for line in self._related_events(violation)]
        parts += [f"  {rule}: {count} in all" for rule, count in printed.items()]
        return "\n".join(parts)

    def _related_events(self, violation: Violation) -> list[str]:
        words = [
            word.strip("/,;:").split("/")[-1].split(".")[0] for word in violation.detail.split()
        ]
        keys = {word for word in words if len(word) == 16}
        lines = [str(event) for event in self.events]
        found = [line[:300] for line in lines if any(key in line for key in keys)]
        half = MAX_HISTORY_LINES // 2
        return found if len(found) <= MAX_HISTORY_LINES else [*found[:half], "...", *found[-half:]]


async def run_seed(seed: int, plan: Plan, folder: Path) -> SoakResult:
    """Run one seed and check its history."""
    rng = random.Random(seed)
    folder.mkdir(parents=True)
    sizes = plan.entries, plan.agents
    async with Site.running(folder, *sizes, hold_max_ms=plan.hold_max_ms) as site:
        callers = Callers(site, random.Random(seed), Balancer(site.entries))
        balancing = asyncio.create_task(callers.balancer.run())
        await _wait_until_served(callers)
        load = [
            asyncio.create_task(task)
            for task in (
                *(
                    callers.caller(seed * 100 + n, MEAN_SUBMIT_INTERVAL_S)
                    for n in range(CALLER_COUNT)
                ),
                *(callers.watcher(seed * 100 + n) for n in range(WATCHER_COUNT)),
                *(callers.prober(entry) for entry in site.entries),
            )
        ]
        injected = await _inject(site, callers, rng, plan)
        await _cancel_tasks(load)
        await _wait_for_jobs(callers)
        await _cancel_tasks([balancing])
    events = read_histories(sorted(folder.glob("*.jsonl")))
    entry_logs = [entry.proc.log for entry in site.entries]
    violations = [*check(events), *runs_listed_by_next_lives(entry_logs)]
    return SoakResult(seed, violations, events, _summary(events, injected))


async def _wait_until_served(callers: Callers) -> None:
    """Wait until an entry accepts a job, before any fault is injected."""
    await callers.configure()
    rng = random.Random(0)
    deadline = now() + 30
    while not any(job.accepted for job in callers.jobs.values()):
        assert now() < deadline, "no job was accepted within 30 s of the start of the site"
        await callers.submit_one_job(rng)


async def _inject(site: Site, callers: Callers, rng: random.Random, plan: Plan) -> Counter[str]:
    """Start faults at random intervals, which may overlap, and wait until all are over."""
    injected: Counter[str] = Counter()
    active: set[asyncio.Task[None]] = set()
    until = now() + plan.seconds
    while now() < until:
        await asyncio.sleep(rng.choice([0.2, 1.0, 3.0, 5.0]))
        fault = rng.choice(plan.faults)
        injected[fault.__name__] += 1
        active.add(asyncio.create_task(fault(site, callers, random.Random(rng.random()))))
    await asyncio.gather(*active)
    return injected


async def _wait_for_jobs(callers: Callers) -> None:
    """Wait for the accepted jobs to end and record those that do not."""
    watching = asyncio.create_task(callers.watcher(0))
    until = now() + COMPLETION_TIMEOUT_S
    while now() < until and any(not job.long_running for job in callers.incomplete_jobs()):
        await asyncio.sleep(0.2)
    await _cancel_tasks([watching])
    for job in callers.incomplete_jobs():
        if not job.long_running or job.state != "running":
            callers.site.history.record("unfinished", key=job.key, state=job.state)


async def _cancel_tasks(tasks: list[asyncio.Task[None]]) -> None:
    for task in tasks:
        task.cancel()
    for outcome in await asyncio.gather(*tasks, return_exceptions=True):
        if isinstance(outcome, Exception):
            raise outcome


def _summary(events: list[Event], injected: Counter[str]) -> str:
    calls = Counter(f"{e['method']}:{e['status']}" for e in events if e["event"] == "call")
    ends = Counter(e["how"] for e in events if e["event"] == "run_end")
    starved = [e for e in events if e["event"] == "fault" and "starved" in e["what"]]
    injected["starved_looks"] = len(starved)
    parts = (calls, ends, injected)
    return " | ".join(" ".join(f"{k}={n}" for k, n in sorted(part.items())) for part in parts)


def parse_seeds(text: str) -> list[int]:
    """Parse a list of seeds; ``kept`` stands for those of :data:`REGRESSION_SEEDS_PATH`.

    >>> parse_seeds("1,4-6")
    [1, 4, 5, 6]
    """
    if text == "kept":
        lines = REGRESSION_SEEDS_PATH.read_text().splitlines()
        text = ",".join(line.split()[0] for line in lines if line and not line.startswith("#"))
    seeds: list[int] = []
    for part in text.split(","):
        first, _, last = part.partition("-")
        seeds += range(int(first), int(last or first) + 1)
    return seeds


def _faults_of(seed: int, only: str, kept: bool) -> tuple[Fault, ...]:
    if only:
        return tuple(FAULTS[name] for name in only.split(","))
    if seed % PLANNED_SEED_INTERVAL == 0:
        return PLANNED_FAULTS
    return DISRUPTIONS if kept else tuple(FAULTS.values())


def main() -> int:
    """Run every seed and return 0 if none has violations."""
    args = docopt(__doc__)
    sizes = int(args["--entries"]), int(args["--agents"])
    bad = []
    for seed in parse_seeds(args["--seeds"]):
        faults = _faults_of(seed, args["--only"] or "", kept=args["--seeds"] == "kept")
        plan = Plan(float(args["--seconds"]), *sizes, faults, int(args["--hold-max-ms"]))
        result = asyncio.run(run_seed(seed, plan, Path(args["--folder"]) / str(seed)))
        print(result.report(), flush=True)
        if result.violations:
            bad.append(seed)
    print(f"failed seeds: {bad or 'none'}")
    return 1 if bad else 0


if __name__ == "__main__":
    sys.exit(main())
