"""The worked example of ``sapphirelead dev``: real requests, printed as they happen.

Each step makes requests as a caller or an operator would, prints what came back and checks it
against what the system promises for that request.
"""

import asyncio
import json
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any, Final

import aiohttp

from sapphirelead.clock import now

CHECK: Final = "/v1/services/maturity-check"
ADMIN: Final = "/v1/admin"
JOB_WAIT_MS: Final = 15_000
STREAMED_EVENTS: Final = 3
STEP_LIMIT_S: Final = 30.0
ROLLOVER_KEY: Final = "rollover-kochi-17"
WATCH_KEY: Final = "watch-deposit-88"
NIGHTLY: Final = "/v1/queues/nightly"
ENDED: Final = ("completed", "failed", "cancelled")
SHOWN_CHARS: Final = 150
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
CLOSED: Final[dict[str, Any]] = {
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
    """What came back."""

    status: int
    body: Any


class Caller:
    """Makes requests, prints them and notes what was not as promised.

    :ivar broken: promises that did not hold.
    """

    broken: list[str]
    _urls: list[str]
    _session: aiohttp.ClientSession

    def __init__(self, urls: list[str], session: aiohttp.ClientSession) -> None:
        self.broken = []
        self._urls = urls
        self._session = session

    async def ask(
        self, method: str, path: str, body: Any = None, entry: int = 0, **headers: str
    ) -> Answer:
        """Make one request and print it with its answer."""
        started_at = now()
        async with self._session.request(
            method, self._urls[entry] + path, json=body, headers=_header_names(headers)
        ) as response:
            raw = await response.read()
            answer = Answer(response.status, _decoded(raw))
        taken_ms = (now() - started_at) * 1000
        _say(f"{method} {path} at entry {entry + 1}" + (f"  {_short(body)}" if body else ""))
        retry = response.headers.get("Retry-After")
        after = f"  Retry-After: {retry}" if retry else ""
        _say(f"  -> {answer.status} in {taken_ms:.0f} ms{after}  {_short(answer.body)}")
        return answer

    async def stream(self, path: str, count: int) -> list[dict[str, Any]]:
        """Follow a stream of JSON lines until ``count`` events came."""
        _say(f"GET {path} at entry 2")
        found: list[dict[str, Any]] = []
        async with self._session.get(self._urls[1] + path) as response:
            async for line in response.content:
                if not line.strip():
                    continue
                event = json.loads(line)
                _say(f"  -> {_short(event)}")
                if event["event"] == "event":
                    found.append(event)
                if len(found) >= count or event["event"] != "event":
                    break
        return found

    def expect(self, promise: str, kept: bool) -> None:
        """Print and note whether a promise held."""
        _say(f"  {'as promised' if kept else 'NOT AS PROMISED'}: {promise}")
        if not kept:
            self.broken.append(promise)


async def run_example(urls: list[str]) -> bool:
    """Run every step; return whether each request ended as promised."""
    timeout = aiohttp.ClientTimeout(total=STEP_LIMIT_S)
    async with aiohttp.ClientSession(timeout=timeout) as session:
        caller = Caller(urls, session)
        for number, (title, step) in enumerate(STEPS, start=1):
            _say(f"\n{number}. {title}")
            await _run_step(caller, title, step)
    _say("")
    if caller.broken:
        _say(f"{len(caller.broken)} not as promised: {'; '.join(caller.broken)}")
    else:
        _say("every request ended as promised")
    return not caller.broken


async def _run_step(caller: Caller, title: str, step: "Step") -> None:
    try:
        async with asyncio.timeout(STEP_LIMIT_S):
            await step(caller)
    except (aiohttp.ClientError, TimeoutError, KeyError, TypeError) as exc:
        caller.expect(f"{title} (ended with {exc!r})", False)


async def configure(caller: Caller) -> None:
    """Apply the first configuration and wait until it is in force."""
    shown = await caller.ask("GET", f"{ADMIN}/config")
    applied = await _apply(caller, DOCUMENT, shown.body["version"], "first configuration")
    caller.expect("the change is accepted", applied.status == 200)
    caller.expect("it is in force everywhere", await _in_force(caller, applied.body["version"]))


async def check_maturity(caller: Caller) -> None:
    """Three maturity checks; each gets the whole answer to its own request."""
    for name in ("fd-1001", "fd-1002", "fd-1003"):
        answer = await caller.ask("POST", CHECK, {"marker": name, "bytes": 40})
        own = answer.status == 200 and answer.body["marker"] == name
        caller.expect(f"{name} has its own whole answer", own and len(answer.body["fill"]) == 40)


async def roll_over(caller: Caller) -> None:
    """A rollover batch, repeated through the other entry, runs once."""
    body = {
        "key": ROLLOVER_KEY,
        "job_class": "rollover",
        "team": "cooperative-banks",
        "input": {"work_ms": 400, "result": {"rolled": 212}},
    }
    first = await caller.ask("POST", "/v1/jobs", body)
    repeat = await caller.ask("POST", "/v1/jobs", body, entry=1)
    caller.expect("both are accepted", (first.status, repeat.status) == (202, 202))
    done = await caller.ask("GET", f"/v1/jobs/{ROLLOVER_KEY}?wait_ms={JOB_WAIT_MS}", entry=1)
    caller.expect("it is done, once", (done.body["outcome"], done.body["epoch"]) == ("done", 1))
    late = await caller.ask("POST", "/v1/jobs", body)
    caller.expect("a late repeat finds the result", late.body["result"] == {"rolled": 212})
    other = await caller.ask("POST", "/v1/jobs", {**body, "input": {"work_ms": 1}})
    reused = (other.status, other.body["outcome"]) == (422, "not_run")
    caller.expect("the same key with other content is refused", reused)


async def watch_renewals(caller: Caller) -> None:
    """A standing watch streams events until it is cancelled."""
    body = {
        "key": WATCH_KEY,
        "job_class": "renewal-watch",
        "input": {"event_every_ms": 150},
    }
    accepted = await caller.ask("POST", "/v1/jobs", body)
    caller.expect("the watch is accepted", accepted.status == 202)
    events = await caller.stream(f"/v1/jobs/{WATCH_KEY}/events", STREAMED_EVENTS)
    caller.expect("its events arrive in order", _in_order(events))
    await caller.ask("DELETE", f"/v1/jobs/{WATCH_KEY}")
    ended = await caller.ask("GET", f"/v1/jobs/{WATCH_KEY}?wait_ms={JOB_WAIT_MS}")
    caller.expect("the cancelled watch has ended", ended.body["state"] == "cancelled")


async def run_steps(caller: Caller) -> None:
    """A job of two steps is shown and a lasting one cancelled at the entry that did not take it."""
    read = {"tasks": 3, "cpu_millicores": 1000, "memory_mb": 500, "estimate_ms": 300}
    body = {
        "input": {"work_ms": 300},
        "steps": [read, {**read, "tasks": 1, "after": [0]}],
    }
    first = await caller.ask("POST", f"{NIGHTLY}/jobs/interest-17", body)
    repeat = await caller.ask("POST", f"{NIGHTLY}/jobs/interest-17", body, entry=1)
    caller.expect("both are accepted", (first.status, repeat.status) == (202, 202))
    state = await _until_ended(caller, f"{NIGHTLY}/jobs/interest-17", entry=1)
    caller.expect("it is completed, as the other entry shows", state == "completed")
    lasting = {"input": {"lasts": True}, "steps": [{"cpu_millicores": 500, "lasting": True}]}
    accepted = await caller.ask("POST", f"{NIGHTLY}/jobs/mirror-3", lasting)
    caller.expect("the lasting job is accepted", accepted.status == 202)
    cancelled = await caller.ask("DELETE", f"{NIGHTLY}/jobs/mirror-3", entry=1)
    caller.expect("it is cancelled at the other entry", cancelled.body["state"] == "cancelled")
    waiting = await caller.ask("GET", NIGHTLY, entry=1)
    caller.expect("nothing waits in the queue", waiting.body["waiting"] == 0)


async def _until_ended(caller: Caller, path: str, entry: int) -> str:
    deadline = now() + STEP_LIMIT_S / 2
    while now() < deadline:
        shown = await caller.ask("GET", path, entry=entry)
        if shown.body["state"] in ENDED:
            return str(shown.body["state"])
        await asyncio.sleep(0.5)
    return ""


async def change_rule(caller: Caller) -> None:
    """A rule in front of the others refuses visitors at once; an operator who raced loses."""
    before = await caller.ask("POST", CHECK, {"marker": "v1"}, x_request_team="visitors")
    shown = await caller.ask("GET", f"{ADMIN}/config")
    base = shown.body["version"]
    applied = await _apply(caller, CLOSED, base, "audit week: no visitors")
    caller.expect("the change is accepted", applied.status == 200)
    raced = await _apply(caller, DOCUMENT, base, "made against the version before")
    caller.expect("a change against the version before gets 409", raced.status == 409)
    caller.expect("it is in force everywhere", await _in_force(caller, applied.body["version"]))
    refused = await caller.ask("POST", CHECK, {"marker": "v2"}, entry=1, x_request_team="visitors")
    told = (refused.status, refused.body["outcome"], refused.body["rule"])
    caller.expect(
        "visitors are refused as not_run by that rule",
        before.status == 200 and told == (503, "not_run", "no checks for visitors"),
    )
    others = await caller.ask("POST", CHECK, {"marker": "m"}, x_request_team="cooperative-banks")
    caller.expect("members are still served", others.status == 200)


async def submit_impossible(caller: Caller) -> None:
    """A job larger than any instance is refused with the reason."""
    body = {
        "key": "rollover-too-large",
        "job_class": "rollover",
        "resources": {"cpu_millicores": 1_000_000},
    }
    answer = await caller.ask("POST", "/v1/jobs", body)
    told = (answer.status, answer.body["code"], answer.body["outcome"])
    caller.expect("it is refused as impossible and not_run", told == (422, "SL-305", "not_run"))


async def read_audit(caller: Caller) -> None:
    """The audit trail holds both accepted changes and not the refused one."""
    answer = await caller.ask("GET", f"{ADMIN}/audit", entry=1)
    own = [record["reason"] for record in answer.body["records"] if record["author"] == AUTHOR]
    caller.expect(
        "both accepted changes are in it, newest first",
        own[:2] == ["audit week: no visitors", "first configuration"],
    )


Step = Callable[[Caller], Awaitable[None]]
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


async def _apply(caller: Caller, document: Any, base: int, reason: str) -> Answer:
    body = {"document": document, "base_version": base, "author": AUTHOR, "reason": reason}
    return await caller.ask("POST", f"{ADMIN}/config", body)


async def _in_force(caller: Caller, version: int) -> bool:
    deadline = now() + STEP_LIMIT_S / 2
    while now() < deadline:
        status = await caller.ask("GET", f"{ADMIN}/config/status")
        if all(member["version"] >= version for member in status.body["processes"]):
            return True
        await asyncio.sleep(0.5)
    return False


def _in_order(events: list[dict[str, Any]]) -> bool:
    marks = [tuple(map(int, event["id"].split("."))) for event in events]
    return len(marks) == STREAMED_EVENTS and marks == sorted(set(marks))


def _header_names(headers: dict[str, str]) -> dict[str, str]:
    return {name.replace("_", "-").title(): value for name, value in headers.items()}


def _decoded(raw: bytes) -> Any:
    try:
        return json.loads(raw)
    except ValueError:
        return raw.decode("utf-8", "replace")


def _short(value: Any) -> str:
    text = value if isinstance(value, str) else json.dumps(value, separators=(",", ":"))
    return text if len(text) <= SHOWN_CHARS else text[:SHOWN_CHARS] + "..."


def _say(text: str) -> None:
    print(text, flush=True)
