"""Multi-step jobs through real processes: entries, runners, stand-ins and the command line."""

import asyncio
import json
import sys
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import aiohttp
import pytest

from bench.procs import Proc, free_port, to_toml, wait_until

TIMES = {"lease_seconds": 10.0, "keep_ended_seconds": 60.0}
SIZE = {"cpu_millicores": 4000, "memory_mb": 4000}
STEP = {"cpu_millicores": 500, "estimate_ms": 200}
DOCUMENT = {
    "queues": {
        "nightly": {"service": "checks", "largest_task": {"cpu_millicores": 4000}},
        "waiting": {"service": "nobody"},
    }
}
ENDED = ("completed", "failed", "cancelled")


class Site:
    """Two entries, two runners with a worker each, and the table."""

    def __init__(self, folder: Path, http: aiohttp.ClientSession) -> None:
        self.folder = folder
        self.http = http
        self.procs: dict[str, Proc] = {}
        self.urls: dict[str, str] = {}
        self.worker_ports: dict[str, int] = {}

    async def start(self) -> None:
        table = await self.standin("table", "table", 0, {})
        for name in ("e1", "e2"):
            await self.start_entry(name, table)
        for name in ("r1", "r2"):
            await self.start_runner(name, table)
        await self.until_ready()
        for name in self.worker_ports:
            await self.until_logged(name, "event=following")
        change = {"document": DOCUMENT, "base_version": 0, "author": "test", "reason": "test"}
        assert (await self.request("e1", "POST", "/v1/admin/config", change))[0] == 200
        for name in self.urls:
            await self.until_configured(name)

    async def spawn(self, name: str, *args: str) -> Proc:
        self.procs[name] = await Proc.spawn(name, self.folder, *args)
        return self.procs[name]

    async def standin(self, role: str, name: str, port: int, settings: dict[str, Any]) -> str:
        history = str(self.folder / f"{name}.jsonl")
        args = ["--id", name, "--history", history, "--port", str(port)]
        args += ["--settings", json.dumps(settings)]
        proc = await self.spawn(name, "sapphirelead.standin_main", role, *args)
        line = await proc.wait_for_line("listening ")
        return "http://127.0.0.1:" + line.rpartition("port=")[2]

    async def start_entry(self, name: str, table: str) -> None:
        names = ("http_port", "control_port", "data_port", "bulk_port")
        ports = {port: free_port() for port in names}
        settings = {
            "id": name,
            "zone": "z1",
            **ports,
            "drain_seconds": 6.0,
            "platform": {"table_url": table},
            "fleet": {"link_port": free_port(), "times": TIMES},
        }
        self.urls[name] = f"http://127.0.0.1:{ports['http_port']}"
        self.write(name, settings)
        await self.run(name, "entry")

    async def start_runner(self, name: str, table: str) -> None:
        self.worker_ports[name] = free_port()
        worker_url = await self.start_worker(name)
        settings = {
            "id": name,
            "zone": "z1",
            "service": "checks",
            "rack": f"rack-{name}",
            "labels": [f"only-{name}"],
            "worker_url": worker_url,
            "table_url": table,
            "capacity": SIZE,
            "times": TIMES,
        }
        self.write(name, settings)
        await self.run(name, "runner")

    async def start_worker(self, runner: str) -> str:
        return await self.standin("worker", f"worker-{runner}", self.worker_ports[runner], {})

    def write(self, name: str, settings: dict[str, Any]) -> None:
        (self.folder / f"{name}.toml").write_text(to_toml(settings))

    async def run(self, name: str, role: str) -> None:
        await self.spawn(name, "sapphirelead", role, "--config", str(self.folder / f"{name}.toml"))

    async def request(
        self, entry: str, method: str, path: str, body: Any = None
    ) -> tuple[int, Any, dict[str, str]]:
        async with self.http.request(method, self.urls[entry] + path, json=body) as response:
            return response.status, await response.json(), dict(response.headers)

    async def submit(
        self, entry: str, job_id: str, *steps: Any, **job_fields: Any
    ) -> tuple[int, Any]:
        """Submit, and retry a refused submission after its ``Retry-After``."""
        body = {"input": {"work_ms": 200}, "steps": list(steps), **job_fields}
        for _ in range(6):
            path = f"/v1/queues/nightly/jobs/{job_id}"
            status, reply, headers = await self.request(entry, "POST", path, body)
            if status != 503:
                break
            assert reply["outcome"] == "not_run"
            await asyncio.sleep(int(headers["Retry-After"]))
        return status, reply

    async def state(self, entry: str, job_id: str) -> str:
        status, reply, _ = await self.request(entry, "GET", f"/v1/queues/nightly/jobs/{job_id}")
        return str(reply["state"]) if status == 200 else ""

    async def until_state(self, entry: str, job_id: str, *states: str) -> str:
        async def reached() -> str:
            state = await self.state(entry, job_id)
            return state if state in (states or ENDED) else ""

        return await wait_until(f"{job_id} is {states or 'ended'}", reached)

    async def until_ready(self) -> None:
        async def ready() -> bool:
            for name, url in self.urls.items():
                assert self.procs[name].running, self.procs[name].tail()
                try:
                    async with self.http.get(url + "/readyz") as answer:
                        if answer.status != 200:
                            return False
                except aiohttp.ClientError:
                    return False
            return True

        await wait_until("the entries are ready", ready)

    async def until_logged(self, name: str, text: str) -> None:
        async def logged() -> bool:
            return text in self.procs[name].log.read_text()

        await wait_until(f"{name} logs {text}", logged)

    async def until_configured(self, entry: str) -> None:
        async def configured() -> bool:
            return (await self.request(entry, "GET", "/v1/queues/nightly"))[0] == 200

        await wait_until(f"{entry} has the queues", configured)

    def effects(self, *runners: str) -> list[str]:
        """Return the sorted tasks of the runs that took effect, one for each run."""
        return sorted(self.seen("effect", *runners))

    def started(self) -> int:
        """Return the number of started runs."""
        return len(self.seen("task_start"))

    def seen(self, what: str, *runners: str) -> list[str]:
        """Return the tasks of all events of one kind at the workers."""
        found = []
        for runner in runners or self.worker_ports:
            text = (self.folder / f"worker-{runner}.jsonl").read_text()
            events = [json.loads(line) for line in text.splitlines()]
            found += [event["task"] for event in events if event["event"] == what]
        return found

    def leader(self) -> str:
        """Return the entry that became leader last."""
        leading = [
            (line.partition("epoch=")[2].split()[0], name)
            for name in self.urls
            for line in self.procs[name].log.read_text().splitlines()
            if "event=leading" in line
        ]
        return max(leading, key=lambda found: int(found[0]))[1]

    async def command(self, entry: str, *words: str) -> tuple[int, str]:
        """Run a command and return its exit code and output."""
        proc = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "sapphirelead",
            *words,
            f"--url={self.urls[entry]}",
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.STDOUT,
        )
        out, _ = await proc.communicate()
        return proc.returncode or 0, out.decode()


@asynccontextmanager
async def site(folder: Path) -> AsyncIterator[Site]:
    async with aiohttp.ClientSession() as http:
        cluster = Site(folder, http)
        try:
            await cluster.start()
            yield cluster
        except BaseException:
            for name, proc in cluster.procs.items():
                print(f"--- {name}\n{proc.tail()}")
            raise
        finally:
            alive = [proc for proc in cluster.procs.values() if proc.running]
            await asyncio.gather(*(proc.kill() for proc in alive))


def tasks(job_id: str, *counts: int) -> list[str]:
    return [f"{job_id}.0.{step}.{n}" for step, count in enumerate(counts) for n in range(count)]


async def test_a_job_is_accepted_run_and_shown_at_any_entry(tmp_path: Path) -> None:
    async with site(tmp_path) as cluster:
        two = ({**STEP, "tasks": 3}, {**STEP, "tasks": 2, "after": [0]})
        assert (await cluster.submit("e1", "a1", *two))[0] == 202
        assert (await cluster.submit("e2", "a1", *two))[0] == 202
        other = await cluster.submit("e2", "a1", {**STEP, "tasks": 4})
        assert (other[0], other[1]["code"], other[1]["outcome"]) == (422, "SL-105", "not_run")
        for entry in cluster.urls:
            assert await cluster.until_state(entry, "a1") == "completed"
        assert cluster.effects() == tasks("a1", 3, 2)
        assert (await cluster.submit("e2", "a1", *two))[1]["state"] == "completed"
        assert cluster.effects() == tasks("a1", 3, 2)


async def test_an_invalid_submission_creates_no_job(tmp_path: Path) -> None:
    async with site(tmp_path) as cluster:
        bad: dict[str, tuple[Any, int]] = {
            "b1": ([{**STEP, "after": [1]}, {**STEP, "after": [0]}], 422),
            "b2": ([STEP, {**STEP, "after": [9]}], 422),
            "b3": ([{"cpu_millicores": 4001}], 422),
            "b4": ([{"cpu_millicores": 10**25}], 422),
            "b5": ([{**STEP, "label": "x" * 50_000}], 413),
        }
        for job_id, (steps, status) in bad.items():
            for entry in cluster.urls:
                path = f"/v1/queues/nightly/jobs/{job_id}"
                reply = await cluster.request(entry, "POST", path, {"steps": steps})
                assert (reply[0], reply[1]["outcome"]) == (status, "not_run"), reply
                assert (await cluster.request(entry, "GET", path))[0] == 404
        assert (await cluster.submit("e1", "good", STEP))[0] == 202
        assert await cluster.until_state("e2", "good") == "completed"
        assert cluster.effects() == tasks("good", 1)


# Steps, further job fields, final state, and the number of effects: in total, or by worker.
JOB_CASES: dict[str, tuple[list[Any], dict[str, Any], str, list[int]]] = {
    "apart from each other": ([{**STEP, "tasks": 2, "per_worker": 1}], {}, "completed", [1, 1]),
    "where the label is": ([{**STEP, "tasks": 3, "label": "only-r2"}], {}, "completed", [0, 3]),
    "in a rack": ([{**STEP, "tasks": 3, "label": "rack-r1"}], {}, "completed", [3, 0]),
    "a gang": ([{**STEP, "tasks": 6, "gang": True}], {}, "completed", [6]),
    "three steps in turn": (
        [STEP, {**STEP, "tasks": 4, "after": [0]}, {**STEP, "after": [1]}], {}, "completed", [6],
    ),
    "at set times": (
        [STEP, {**STEP, "after": [0]}], {"interval_ms": 700, "occurrences": 3}, "completed", [6],
    ),
    "failing": ([STEP], {"input": {"work_ms": 50, "fail": True}}, "failed", [0]),
}  # fmt: skip


@pytest.mark.parametrize("name", JOB_CASES)
async def test_a_job_runs_as_its_steps_specify(tmp_path: Path, name: str) -> None:
    steps, job_fields, ended, expected = JOB_CASES[name]
    async with site(tmp_path) as cluster:
        if "occurrences" in job_fields:
            job_fields = {**job_fields, "first_due_ms": int(time.time() * 1000) + 1500}
        assert (await cluster.submit("e2", "j1", *steps, **job_fields))[0] == 202
        assert await cluster.until_state("e1", "j1") == ended

        def effects() -> list[int]:
            by_worker = [len(cluster.effects(runner)) for runner in cluster.worker_ports]
            return by_worker if len(expected) == 2 else [sum(by_worker)]

        async def all_seen() -> bool:
            return sum(effects()) >= sum(expected)

        # The job may be shown as ended before gang members on the other worker have ended.
        await wait_until("each task has had its effect", all_seen)
        assert effects() == expected
        if ended == "failed":
            assert cluster.started() == 3
        if "occurrences" in job_fields:
            due = [f"j1.{number}.{step}.0" for number in range(3) for step in range(2)]
            assert cluster.effects() == due


async def test_waiting_jobs_are_counted_and_cancelled_at_any_entry(tmp_path: Path) -> None:
    async with site(tmp_path) as cluster:
        for number in range(3):
            path = f"/v1/queues/waiting/jobs/w{number}"
            assert (await cluster.request("e1", "POST", path, {"steps": [STEP]}))[0] == 202
        for entry in cluster.urls:
            status, reply, _ = await cluster.request(entry, "GET", "/v1/queues/waiting")
            assert (status, reply["waiting"]) == (200, 3)
        cancelled = await cluster.request("e2", "DELETE", "/v1/queues/waiting/jobs/w1")
        assert (cancelled[0], cancelled[1]["state"]) == (200, "cancelled")
        assert (await cluster.request("e1", "GET", "/v1/queues/waiting"))[1]["waiting"] == 2
        again = await cluster.request("e1", "DELETE", "/v1/queues/waiting/jobs/w1")
        assert (again[0], again[1]["state"]) == (200, "cancelled")


async def test_cancelling_stops_running_tasks(tmp_path: Path) -> None:
    async with site(tmp_path) as cluster:
        lasting = {"input": {"lasts": True}}
        assert (await cluster.submit("e1", "c1", {**STEP, "tasks": 2, "lasting": True}, **lasting))[
            0
        ] == 202
        await cluster.until_state("e2", "c1", "running")
        await cluster.request("e2", "DELETE", "/v1/queues/nightly/jobs/c1")
        assert await cluster.state("e1", "c1") == "cancelled"

        async def stopped() -> bool:
            return cluster.started() == len(cluster.seen("task_end")) == 2

        await wait_until("both tasks have ended", stopped)
        assert cluster.effects() == []


@pytest.mark.parametrize("how", ["killed", "stopped"])
async def test_jobs_complete_when_the_leader_ends(tmp_path: Path, how: str) -> None:
    """Guards against lost or repeated tasks when the leader crashes or is stopped."""
    async with site(tmp_path) as cluster:
        long = {"input": {"work_ms": 1500}}
        assert (await cluster.submit("e1", "k1", {**STEP, "tasks": 4}, **long))[0] == 202
        await cluster.until_state("e2", "k1", "running")
        leader = cluster.leader()
        other = "e2" if leader == "e1" else "e1"
        if how == "killed":
            await cluster.procs[leader].kill()
        else:
            assert await cluster.procs[leader].stop(15) == 0
        assert (await cluster.submit(other, "k2", {**STEP, "tasks": 2}))[0] == 202
        for job_id in ("k1", "k2"):
            assert await cluster.until_state(other, job_id) == "completed"
        assert cluster.effects() == sorted(tasks("k1", 4) + tasks("k2", 2))


async def test_tasks_of_a_lost_worker_run_again(tmp_path: Path) -> None:
    """Guards against lost or repeated tasks when a worker restarts and its runner does not."""
    async with site(tmp_path) as cluster:
        work = {"input": {"work_ms": 1200}}
        spread = {**STEP, "tasks": 4, "per_worker": 2}
        assert (await cluster.submit("e1", "l1", spread, **work))[0] == 202
        await cluster.until_state("e1", "l1", "running")
        await asyncio.sleep(0.5)
        await cluster.procs["worker-r1"].kill()
        await cluster.start_worker("r1")
        assert await cluster.until_state("e2", "l1") == "completed"
        assert sorted(set(cluster.effects())) == tasks("l1", 4)
        assert len(cluster.effects()) == 4


async def test_a_restarted_runner_adopts_the_runs_of_its_worker(tmp_path: Path) -> None:
    async with site(tmp_path) as cluster:
        work = {"input": {"work_ms": 2500}}
        assert (await cluster.submit("e1", "t1", {**STEP, "tasks": 2}, **work))[0] == 202
        await cluster.until_state("e1", "t1", "running")
        await asyncio.sleep(0.5)
        for name in ("r1", "r2"):
            assert await cluster.procs[name].stop() == 0
            await cluster.run(name, "runner")
        assert await cluster.until_state("e2", "t1") == "completed"
        assert cluster.started() == 2


async def test_tasks_that_outlast_their_estimate_are_not_started_again(tmp_path: Path) -> None:
    """Guards against healthy runs that are stopped as stragglers because their estimate is low."""
    async with site(tmp_path) as cluster:
        work = {"input": {"work_ms": 2500}}
        assert (await cluster.submit("e1", "t1", {**STEP, "tasks": 2}, **work))[0] == 202
        assert await cluster.until_state("e2", "t1") == "completed"
        assert cluster.started() == 2


async def test_a_submission_refused_during_a_table_outage_never_runs(tmp_path: Path) -> None:
    """Guards against a job that was refused as not run while the table hung and runs afterwards.

    Also guards against an entry that misses heartbeats, and refuses its callers, while a table
    read blocks.
    """
    async with site(tmp_path) as cluster:
        table = cluster.procs["table"]
        assert (await cluster.submit("e1", "s1", STEP))[0] == 202
        await cluster.until_state("e1", "s1")
        table.pause()
        await asyncio.sleep(2.5)
        path = "/v1/queues/nightly/jobs/s2"
        status, reply, headers = await cluster.request("e1", "POST", path, {"steps": [STEP]})
        assert (status, reply["code"], reply["outcome"]) == (503, "SL-307", "not_run")
        assert int(headers["Retry-After"]) >= 1
        for number in range(40):
            entry = ("e1", "e2")[number % 2]
            shown = await cluster.request(entry, "GET", "/v1/queues/nightly/jobs/s1")
            assert (shown[0], shown[1].get("state")) == (200, "completed"), (number, entry, shown)
            await asyncio.sleep(0.1)
        table.resume()
        await asyncio.sleep(2.0)
        assert await cluster.state("e1", "s2") == ""
        assert cluster.effects() == tasks("s1", 1)
        assert (await cluster.submit("e2", "s2", STEP))[0] == 202
        assert await cluster.until_state("e1", "s2") == "completed"


async def test_the_command_line_submits_shows_and_cancels(tmp_path: Path) -> None:
    async with site(tmp_path) as cluster:
        file = tmp_path / "job.json"
        file.write_text(
            json.dumps({"input": {"lasts": True}, "steps": [{**STEP, "lasting": True}]})
        )
        code, out = await cluster.command("e1", "queues", "submit", "nightly", "m1", str(file))
        assert code == 0 and "state:" in out
        await cluster.until_state("e1", "m1", "running")
        assert await cluster.command("e2", "queues", "show", "nightly", "m1") == (
            0,
            "queue: nightly\nid: m1\nstate: running\n",
        )
        assert await cluster.command("e2", "queues", "show", "nightly") == (
            0,
            "queue: nightly\nwaiting: 0\n",
        )
        code, out = await cluster.command("e2", "queues", "cancel", "nightly", "m1", "--json")
        assert (code, json.loads(out)["state"]) == (0, "cancelled")
        code, out = await cluster.command("e1", "queues", "show", "nightly", "none")
        assert code == 1 and "SL-103" in out
