"""The worked example of ``sapphirelead dev``.

Each step sends requests as a caller or an operator would, prints the responses and checks them
against the documented behaviour.
"""

import asyncio
import json
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any, Final

import aiohttp

from sapphirelead.clock import now

CHECK_SERVICE: Final = "/v1/services/maturity-check"
ADMIN: Final = "/v1/admin"
JOB_WAIT_MS: Final = 15_000
STREAMED_EVENTS: Final = 3
STEP_TIMEOUT_S: Final = 30.0
ROLLOVER_KEY: Final = "rollover-kochi-17"
WATCH_KEY: Final = "watch-deposit-88"
NIGHTLY_QUEUE: Final = "/v1/queues/nightly"
FINAL_STATES: Final = ("completed", "failed", "cancelled")
MAX_PRINTED_CHARS: Final = 150
AUTHOR: Final = "dev-example"

DOCUMENT: Final[dict[str, Any]] = {
    "services": {"maturity-check": {"deadline_ms": 2000}},
    "job_classes": {
        "rollover": {"cpu_millicores": 2000, "memory_mb": 1000},
        "renewal-watch": {"kind": "watch", "idempotent": True, "cpu_millicores": 250},
    },
    "teams": {"cooperative-banks": {"weight": 2.0}, "visitors": {}},
    "queues": {
        "nightly": {"service": "maturity-check", "largest_task": {"cpu_millicores": 8000}},
    },
    "rules": [
        {"name": "checks", "when": {"service": {"eq": "maturity-check"}}, "then": {"priority": 8}}
    ],
}
DOCUMENT_REFUSING_VISITORS: Final[dict[str, Any]] = {
    **DOCUMENT,
    "rules": [
        {
            "name": "no checks for visitors",
            "when": {"team": {"eq": "visitors"}, "kind": {"eq": "service"}},
            "then": {"action": "refuse", "retry_after_ms": 3000},
        },
        *DOCUMENT["rules"],
    ],
}


@dataclass(frozen=True, slots=True)
class Answer:
    """Status and decoded body of a response."""

    status: int
    body: Any


class ExampleClient:
    """Sends requests, prints them with their responses, and collects failed checks.

    :ivar failed_checks: descriptions of the checks that failed.
    """

    failed_checks: list[str]
    _urls: list[str]
    _session: aiohttp.ClientSession

    def __init__(self, urls: list[str], session: aiohttp.ClientSession) -> None:
        self.failed_checks = []
        self._urls = urls
        self._session = session

    async def send(
        self, method: str, path: str, body: Any = None, entry: int = 0, **headers: str
    ) -> Answer:
        """Send one request and print it with its response."""
        started_at = now()
        async with self._session.request(
            method, self._urls[entry] + path, json=body, headers=_header_names(headers)
        ) as response:
            raw = await response.read()
            answer = Answer(response.status, _decoded(raw))
        taken_ms = (now() - started_at) * 1000
        _print_line(
            f"{method} {path} at entry {entry + 1}" + (f"  {_shortened(body)}" if body else "")
        )
        retry = response.headers.get("Retry-After")
        after = f"  Retry-After: {retry}" if retry else ""
        _print_line(f"  -> {answer.status} in {taken_ms:.0f} ms{after}  {_shortened(answer.body)}")
        return answer

    async def stream(self, path: str, count: int) -> list[dict[str, Any]]:
        """Read a stream of JSON lines up to ``count`` events or the first line of another kind."""
        _print_line(f"GET {path} at entry 2")
        found: list[dict[str, Any]] = []
        async with self._session.get(self._urls[1] + path) as response:
            async for line in response.content:
                if not line.strip():
                    continue
                event = json.loads(line)
                _print_line(f"  -> {_shortened(event)}")
                if event["event"] == "event":
                    found.append(event)
                if len(found) >= count or event["event"] != "event":
                    break
        return found

    def check(self, expectation: str, met: bool) -> None:
        """Print the result of a check and record it if it failed."""
        _print_line(f"  {'as promised' if met else 'NOT AS PROMISED'}: {expectation}")
        if not met:
            self.failed_checks.append(expectation)


async def run_example(urls: list[str]) -> bool:
    """Run every step; return whether all checks passed."""
    timeout = aiohttp.ClientTimeout(total=STEP_TIMEOUT_S)
    async with aiohttp.ClientSession(timeout=timeout) as session:
        client = ExampleClient(urls, session)
        for number, (title, step) in enumerate(STEPS, start=1):
            _print_line(f"\n{number}. {title}")
            await _run_step(client, title, step)
    _print_line("")
    if client.failed_checks:
        _print_line(
            f"{len(client.failed_checks)} not as promised: {'; '.join(client.failed_checks)}"
        )
    else:
        _print_line("every request ended as promised")
    return not client.failed_checks


async def _run_step(client: ExampleClient, title: str, step: "Step") -> None:
    try:
        async with asyncio.timeout(STEP_TIMEOUT_S):
            await step(client)
    except (aiohttp.ClientError, TimeoutError, KeyError, TypeError) as exc:
        client.check(f"{title} (ended with {exc!r})", False)


async def configure(client: ExampleClient) -> None:
    """Apply the first configuration and wait until it is in force."""
    shown = await client.send("GET", f"{ADMIN}/config")
    applied = await _apply(client, DOCUMENT, shown.body["version"], "first configuration")
    client.check("the change is accepted", applied.status == 200)
    client.check(
        "it is in force everywhere", await _wait_until_in_force(client, applied.body["version"])
    )


async def check_maturity(client: ExampleClient) -> None:
    """Send three maturity checks, each of which gets the complete response to its own request."""
    for name in ("fd-1001", "fd-1002", "fd-1003"):
        answer = await client.send("POST", CHECK_SERVICE, {"marker": name, "bytes": 40})
        matches = answer.status == 200 and answer.body["marker"] == name
        client.check(f"{name} has its own whole answer", matches and len(answer.body["fill"]) == 40)


async def roll_over(client: ExampleClient) -> None:
    """Submit a rollover batch through both entries; it runs once."""
    body = {
        "key": ROLLOVER_KEY,
        "job_class": "rollover",
        "team": "cooperative-banks",
        "input": {"work_ms": 400, "result": {"rolled": 212}},
    }
    first = await client.send("POST", "/v1/jobs", body)
    repeat = await client.send("POST", "/v1/jobs", body, entry=1)
    client.check("both are accepted", (first.status, repeat.status) == (202, 202))
    done = await client.send("GET", f"/v1/jobs/{ROLLOVER_KEY}?wait_ms={JOB_WAIT_MS}", entry=1)
    client.check("it is done, once", (done.body["outcome"], done.body["epoch"]) == ("done", 1))
    late_repeat = await client.send("POST", "/v1/jobs", body)
    client.check("a late repeat finds the result", late_repeat.body["result"] == {"rolled": 212})
    other = await client.send("POST", "/v1/jobs", {**body, "input": {"work_ms": 1}})
    reused = (other.status, other.body["outcome"]) == (422, "not_run")
    client.check("the same key with other content is refused", reused)


async def watch_renewals(client: ExampleClient) -> None:
    """Submit a watch, which streams events until it is cancelled."""
    body = {
        "key": WATCH_KEY,
        "job_class": "renewal-watch",
        "input": {"event_every_ms": 150},
    }
    accepted = await client.send("POST", "/v1/jobs", body)
    client.check("the watch is accepted", accepted.status == 202)
    events = await client.stream(f"/v1/jobs/{WATCH_KEY}/events", STREAMED_EVENTS)
    client.check("its events arrive in order", _in_order(events))
    await client.send("DELETE", f"/v1/jobs/{WATCH_KEY}")
    ended = await client.send("GET", f"/v1/jobs/{WATCH_KEY}?wait_ms={JOB_WAIT_MS}")
    client.check("the cancelled watch has ended", ended.body["state"] == "cancelled")


async def run_steps(client: ExampleClient) -> None:
    """Submit a two-step and a long-running job; read and cancel them at the other entry."""
    read = {"tasks": 3, "cpu_millicores": 1000, "memory_mb": 500, "estimate_ms": 300}
    body = {
        "input": {"work_ms": 300},
        "steps": [read, {**read, "tasks": 1, "after": [0]}],
    }
    first = await client.send("POST", f"{NIGHTLY_QUEUE}/jobs/interest-17", body)
    repeat = await client.send("POST", f"{NIGHTLY_QUEUE}/jobs/interest-17", body, entry=1)
    client.check("both are accepted", (first.status, repeat.status) == (202, 202))
    state = await _wait_until_ended(client, f"{NIGHTLY_QUEUE}/jobs/interest-17", entry=1)
    client.check("it is completed, as the other entry shows", state == "completed")
    long_running = {"input": {"lasts": True}, "steps": [{"cpu_millicores": 500, "lasting": True}]}
    accepted = await client.send("POST", f"{NIGHTLY_QUEUE}/jobs/mirror-3", long_running)
    client.check("the lasting job is accepted", accepted.status == 202)
    cancelled = await client.send("DELETE", f"{NIGHTLY_QUEUE}/jobs/mirror-3", entry=1)
    client.check("it is cancelled at the other entry", cancelled.body["state"] == "cancelled")
    waiting = await client.send("GET", NIGHTLY_QUEUE, entry=1)
    client.check("nothing waits in the queue", waiting.body["waiting"] == 0)


async def _wait_until_ended(client: ExampleClient, path: str, entry: int) -> str:
    deadline = now() + STEP_TIMEOUT_S / 2
    while now() < deadline:
        shown = await client.send("GET", path, entry=entry)
        if shown.body["state"] in FINAL_STATES:
            return str(shown.body["state"])
        await asyncio.sleep(0.5)
    return ""


async def change_rule(client: ExampleClient) -> None:
    """Add a rule that refuses visitors; a concurrent configuration change is rejected."""
    before = await client.send("POST", CHECK_SERVICE, {"marker": "v1"}, x_request_team="visitors")
    shown = await client.send("GET", f"{ADMIN}/config")
    base = shown.body["version"]
    applied = await _apply(client, DOCUMENT_REFUSING_VISITORS, base, "audit week: no visitors")
    client.check("the change is accepted", applied.status == 200)
    conflicting = await _apply(client, DOCUMENT, base, "made against the version before")
    client.check("a change against the version before gets 409", conflicting.status == 409)
    client.check(
        "it is in force everywhere", await _wait_until_in_force(client, applied.body["version"])
    )
    refused = await client.send(
        "POST", CHECK_SERVICE, {"marker": "v2"}, entry=1, x_request_team="visitors"
    )
    reported = (refused.status, refused.body["outcome"], refused.body["rule"])
    client.check(
        "visitors are refused as not_run by that rule",
        before.status == 200 and reported == (503, "not_run", "no checks for visitors"),
    )
    others = await client.send(
        "POST", CHECK_SERVICE, {"marker": "m"}, x_request_team="cooperative-banks"
    )
    client.check("members are still served", others.status == 200)


async def submit_impossible(client: ExampleClient) -> None:
    """Submit a job larger than any instance; it is refused with the reason."""
    body = {
        "key": "rollover-too-large",
        "job_class": "rollover",
        "resources": {"cpu_millicores": 1_000_000},
    }
    answer = await client.send("POST", "/v1/jobs", body)
    reported = (answer.status, answer.body["code"], answer.body["outcome"])
    client.check("it is refused as impossible and not_run", reported == (422, "SL-305", "not_run"))


async def read_audit(client: ExampleClient) -> None:
    """Read the audit trail; it holds both accepted changes and not the rejected one."""
    answer = await client.send("GET", f"{ADMIN}/audit", entry=1)
    reasons = [record["reason"] for record in answer.body["records"] if record["author"] == AUTHOR]
    client.check(
        "both accepted changes are in it, newest first",
        reasons[:2] == ["audit week: no visitors", "first configuration"],
    )


Step = Callable[[ExampleClient], Awaitable[None]]
STEPS: Final[tuple[tuple[str, Step], ...]] = (
    ("The operators' first configuration", configure),
    ("Maturity checks", check_maturity),
    ("A rollover batch, sent three times", roll_over),
    ("A renewal watch", watch_renewals),
    ("A job of two steps", run_steps),
    ("A rule change alters a decision", change_rule),
    ("A job that can never run", submit_impossible),
    ("The audit trail", read_audit),
)


async def _apply(client: ExampleClient, document: Any, base: int, reason: str) -> Answer:
    body = {"document": document, "base_version": base, "author": AUTHOR, "reason": reason}
    return await client.send("POST", f"{ADMIN}/config", body)


async def _wait_until_in_force(client: ExampleClient, version: int) -> bool:
    deadline = now() + STEP_TIMEOUT_S / 2
    while now() < deadline:
        status = await client.send("GET", f"{ADMIN}/config/status")
        if all(member["version"] >= version for member in status.body["processes"]):
            return True
        await asyncio.sleep(0.5)
    return False


def _in_order(events: list[dict[str, Any]]) -> bool:
    ids = [tuple(map(int, event["id"].split("."))) for event in events]
    return len(ids) == STREAMED_EVENTS and ids == sorted(set(ids))


def _header_names(headers: dict[str, str]) -> dict[str, str]:
    return {name.replace("_", "-").title(): value for name, value in headers.items()}


def _decoded(raw: bytes) -> Any:
    try:
        return json.loads(raw)
    except ValueError:
        return raw.decode("utf-8", "replace")


def _shortened(value: Any) -> str:
    text = value if isinstance(value, str) else json.dumps(value, separators=(",", ":"))
    return text if len(text) <= MAX_PRINTED_CHARS else text[:MAX_PRINTED_CHARS] + "..."


def _print_line(text: str) -> None:
    print(text, flush=True)
