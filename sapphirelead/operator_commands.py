"""Implementation of the operators' commands, such as ``sapphirelead config`` and ``jobs``.

Each command prints its result on standard output, as text or with ``--json`` as JSON, and returns
an exit code.  Without ``--json``, errors are printed with a hint on standard error.
"""

import asyncio
import getpass
import json
import sys
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any, Final
from urllib.parse import quote

from result import Err, Ok, Result

from sapphirelead.errors import Code, Failure
from sapphirelead.keys import write_keys
from sapphirelead.model_config import ConfigDocument
from sapphirelead.operator_account import show_account
from sapphirelead.operator_client import ApiError, OperatorClient
from sapphirelead.operator_print import (
    print_audit,
    print_explanation,
    print_failure,
    print_json,
    print_problems,
    print_record,
    print_rows,
)
from sapphirelead.operator_reference import reference_text
from sapphirelead.options import BASE_CURRENT, Exit, Options
from sapphirelead.policy_rules import RuleSet
from sapphirelead.policy_rules_check import check_document
from sapphirelead.policy_rules_explain import explain, parse_situation
from sapphirelead.settings_load import read_token
from sapphirelead.settings_toml import TomlFile, read_toml

ADMIN_PATH: Final = "/v1/admin"
CONFLICT_STATUS: Final = 409
WAIT_TIMEOUT_S: Final = 30.0
WAIT_POLL_INTERVAL_S: Final = 0.5


RemoteCommand = Callable[[OperatorClient, Options], Awaitable[int]]


def run_command(options: Options) -> int:
    """Run a command and return its exit code."""
    local = LOCAL_COMMANDS.get(options.command)
    if local is not None:
        return local(options)
    return asyncio.run(_run_remote(REMOTE_COMMANDS[options.command], options))


async def _run_remote(command: RemoteCommand, options: Options) -> int:
    token = read_token(options.token_file)
    if isinstance(token, Err):
        return report_failure(token.err_value, options)
    async with OperatorClient(options.url, token.ok_value) as client:
        return await command(client, options)


# Commands that send no requests.


def check_config(options: Options) -> int:
    """``config check`` and ``rules check``."""
    loaded = _load_document(options)
    if loaded is None:
        return Exit.REFUSED
    _, document = loaded
    found = {"services": len(document.services), "rules": len(document.rules)}
    if options.json:
        print_json({"ok": True, **found})
    else:
        print(f"{options.file}: ok, {found['services']} services, {found['rules']} rules")
    return Exit.OK


def show_reference(options: Options) -> int:
    """``config reference``."""
    print(reference_text())
    return Exit.OK


def new_keys(options: Options) -> int:
    """``keys new``."""
    written = write_keys(options.name)
    if isinstance(written, Err):
        return report_failure(written.err_value, options)
    for path in written.ok_value:
        print(path)
    return Exit.OK


# Commands that send requests to an entry.


async def apply_config(client: OperatorClient, options: Options) -> int:
    """``config apply``."""
    loaded = _load_document(options)
    if loaded is None:
        return Exit.REFUSED
    file, _ = loaded
    base = await _choose_base(client, options)
    if isinstance(base, Err):
        return report_api_error(base.err_value, options)
    body = {
        "document": file.data,
        "base_version": base.ok_value,
        "author": options.author or getpass.getuser(),
        "reason": options.reason,
    }
    applied = await client.post(f"{ADMIN_PATH}/config", body)
    if isinstance(applied, Err):
        return report_api_error(applied.err_value, options)
    version: int = applied.ok_value["version"]
    behind = await _wait_until_in_force(client, version) if options.wait else None
    if options.json:
        print_json({"version": version, "behind": behind})
    else:
        print(f"version {version} is accepted" + _wait_text(behind))
    return Exit.REFUSED if behind else Exit.OK


async def show_config(client: OperatorClient, options: Options) -> int:
    """``config show``."""
    return _print_answer(await client.get(f"{ADMIN_PATH}/config"), options, print_json)


async def config_status(client: OperatorClient, options: Options) -> int:
    """``config status``."""
    answer = await client.get(f"{ADMIN_PATH}/config/status")
    return _print_answer(answer, options, lambda body: print_rows(body["processes"]))


async def show_audit(client: OperatorClient, options: Options) -> int:
    """``audit`` and ``config history``."""
    answer = await client.get(f"{ADMIN_PATH}/audit", limit=options.limit)
    return _print_answer(answer, options, lambda body: print_audit(body["records"]))


async def explain_rules(client: OperatorClient, options: Options) -> int:
    """``rules explain``; with ``--file`` it sends no request."""
    situation = _read_pairs(options.pairs)
    if isinstance(situation, Err):
        return report_failure(situation.err_value, options)
    if not options.file:
        body = {"situation": situation.ok_value}
        answer = await client.post(f"{ADMIN_PATH}/rules/explain", body)
        return _print_answer(answer, options, print_explanation)
    parsed = parse_situation(situation.ok_value)
    if isinstance(parsed, Err):
        return report_failure(parsed.err_value, options)
    loaded = _load_document(options)
    if loaded is None:
        return Exit.REFUSED
    explained = explain(RuleSet.from_config(loaded[1]), parsed.ok_value)
    return _print_answer(Ok(explained.as_dict()), options, print_explanation)


async def submit_job(client: OperatorClient, options: Options) -> int:
    """``jobs submit``: sends the JSON of the file."""
    body = _read_json(options.file)
    if isinstance(body, Err):
        return report_failure(body.err_value, options)
    return _print_answer(await client.post("/v1/jobs", body.ok_value), options, print_record)


async def list_jobs(client: OperatorClient, options: Options) -> int:
    """``jobs list``."""
    ended = "true" if options.ended else "false"
    answer = await client.get(
        f"{ADMIN_PATH}/jobs", ended=ended, after=options.after, limit=options.limit
    )
    return _print_answer(
        answer, options, lambda body: print_rows([_job_row(job) for job in body["jobs"]])
    )


async def show_job(client: OperatorClient, options: Options) -> int:
    """``jobs show``."""
    answer = await client.get(f"/v1/jobs/{quote(options.name, safe='')}")
    return _print_answer(answer, options, print_record)


async def cancel_job(client: OperatorClient, options: Options) -> int:
    """``jobs cancel``."""
    answer = await client.delete(f"/v1/jobs/{quote(options.name, safe='')}")
    return _print_answer(answer, options, print_record)


async def show_queue(client: OperatorClient, options: Options) -> int:
    """``queues show``: one job of the queue, or its number of waiting jobs."""
    path = _job_path(options) if options.name else f"/v1/queues/{quote(options.queue, safe='')}"
    return _print_answer(await client.get(path), options, print_record)


async def submit_to_queue(client: OperatorClient, options: Options) -> int:
    """``queues submit``: sends the JSON of the file."""
    body = _read_json(options.file)
    if isinstance(body, Err):
        return report_failure(body.err_value, options)
    answer = await client.post(_job_path(options), body.ok_value)
    return _print_answer(answer, options, print_record)


async def cancel_in_queue(client: OperatorClient, options: Options) -> int:
    """``queues cancel``."""
    return _print_answer(await client.delete(_job_path(options)), options, print_record)


def _job_path(options: Options) -> str:
    return f"/v1/queues/{quote(options.queue, safe='')}/jobs/{quote(options.name, safe='')}"


async def list_instances(client: OperatorClient, options: Options) -> int:
    """``instances list``."""
    answer = await client.get(f"{ADMIN_PATH}/instances")
    return _print_answer(
        answer,
        options,
        lambda body: print_rows([_instance_row(view) for view in body["instances"]]),
    )


async def drain_instance(client: OperatorClient, options: Options) -> int:
    """``instances drain``."""
    path = f"{ADMIN_PATH}/instances/{quote(options.name, safe='')}/drain"
    answer = await client.post(path, reason=options.reason)
    return _print_answer(answer, options, print_record)


async def list_zones(client: OperatorClient, options: Options) -> int:
    """``zones list``."""
    answer = await client.get(f"{ADMIN_PATH}/zones")
    return _print_answer(answer, options, lambda body: print_rows(body["zones"]))


async def change_zone(client: OperatorClient, options: Options) -> int:
    """``zones evacuate`` and ``zones restore``."""
    path = f"{ADMIN_PATH}/zones/{quote(options.zone, safe='')}/{options.command[1]}"
    body = {"author": options.author or getpass.getuser(), "reason": options.reason}
    return _print_answer(await client.post(path, body), options, print_record)


async def show_status(client: OperatorClient, options: Options) -> int:
    """``status``."""
    return _print_answer(await client.get(f"{ADMIN_PATH}/status"), options, print_record)


LOCAL_COMMANDS: Final[dict[tuple[str, ...], Callable[[Options], int]]] = {
    ("config", "check"): check_config,
    ("rules", "check"): check_config,
    ("config", "reference"): show_reference,
    ("keys", "new"): new_keys,
    ("account",): show_account,
}
REMOTE_COMMANDS: Final[dict[tuple[str, ...], RemoteCommand]] = {
    ("config", "apply"): apply_config,
    ("config", "show"): show_config,
    ("config", "status"): config_status,
    ("config", "history"): show_audit,
    ("audit",): show_audit,
    ("rules", "explain"): explain_rules,
    ("jobs", "submit"): submit_job,
    ("jobs", "list"): list_jobs,
    ("jobs", "show"): show_job,
    ("jobs", "cancel"): cancel_job,
    ("queues", "show"): show_queue,
    ("queues", "submit"): submit_to_queue,
    ("queues", "cancel"): cancel_in_queue,
    ("instances", "list"): list_instances,
    ("instances", "drain"): drain_instance,
    ("zones", "list"): list_zones,
    ("zones", "evacuate"): change_zone,
    ("zones", "restore"): change_zone,
    ("status",): show_status,
}


def report_failure(failure: Failure, options: Options) -> int:
    """Print a failure and return :attr:`Exit.REFUSED`."""
    print_failure(failure, {}, options.json)
    return Exit.REFUSED


def report_api_error(error: ApiError, options: Options) -> int:
    """Print a failed request and return the matching exit code."""
    print_failure(error.failure, error.body, options.json)
    if error.status == 0:
        return Exit.UNREACHABLE
    if error.failure.code is Code.UNAUTHORIZED:
        return Exit.UNAUTHORIZED
    if error.failure.code is Code.CONFIG_CONFLICT:
        return Exit.CONFLICT
    return Exit.REFUSED


def _print_answer(
    answer: Result[Any, ApiError], options: Options, show: Callable[[Any], None]
) -> int:
    if isinstance(answer, Err):
        return report_api_error(answer.err_value, options)
    (print_json if options.json else show)(answer.ok_value)
    return Exit.OK


def _load_document(options: Options) -> tuple[TomlFile, ConfigDocument] | None:
    """Read and check a document; print its problems and return ``None`` if it has any."""
    file = read_toml(options.file)
    if isinstance(file, Err):
        report_failure(file.err_value, options)
        return None
    checked = check_document(file.ok_value.data)
    if isinstance(checked, Err):
        print_problems(file.ok_value, checked.err_value, options.json)
        return None
    return file.ok_value, checked.ok_value


def _read_pairs(pairs: tuple[str, ...]) -> Result[dict[str, str], Failure]:
    situation = {"kind": "service"}
    for pair in pairs:
        name, equals, value = pair.partition("=")
        if not equals:
            hint = "write field=value, for instance load=0.9"
            return Err(Failure(Code.BAD_REQUEST, f"{pair!r} is no pair", hint))
        situation[name] = value
    return Ok(situation)


def _read_json(path: str) -> Result[Any, Failure]:
    try:
        text = sys.stdin.read() if path == "-" else Path(path).read_text(encoding="utf-8")
        return Ok(json.loads(text))
    except (OSError, ValueError) as exc:
        hint = "name a file with the JSON of one job, or - for standard input"
        return Err(Failure(Code.BAD_REQUEST, f"cannot read {path}: {exc}", hint))


async def _choose_base(client: OperatorClient, options: Options) -> Result[int, ApiError]:
    """Return the version that the change is based on.

    The version in force is not a default: that would silently overwrite changes that another
    operator made after the file was written.
    """
    if options.base >= 0:
        return Ok(options.base)
    shown = await client.get(f"{ADMIN_PATH}/config")
    if isinstance(shown, Err):
        return shown
    version: int = shown.ok_value["version"]
    if version == 0 or options.base == BASE_CURRENT:
        return Ok(version)
    text = f"version {version} is in force; name the version that this change was made from"
    hint = "give --base=N, or --base=current to replace whatever is in force"
    return Err(ApiError(CONFLICT_STATUS, Failure(Code.CONFIG_CONFLICT, text, hint), {}))


async def _wait_until_in_force(client: OperatorClient, version: int) -> list[str]:
    """Wait until every live process uses ``version``; return those that do not at the timeout."""
    deadline = asyncio.get_running_loop().time() + WAIT_TIMEOUT_S
    while True:
        status = await client.get(f"{ADMIN_PATH}/config/status")
        behind = _behind(status, version)
        if not behind or asyncio.get_running_loop().time() > deadline:
            return behind
        await asyncio.sleep(WAIT_POLL_INTERVAL_S)


def _behind(status: Result[Any, ApiError], version: int) -> list[str]:
    if isinstance(status, Err):
        return [str(status.err_value.failure)]
    members = status.ok_value["processes"]
    return [member["process"] for member in members if member["version"] < version]


def _wait_text(behind: list[str] | None) -> str:
    if behind is None:
        return ""
    if not behind:
        return " and in force at every live process"
    return f"; not yet in force at {', '.join(behind)}: see `sapphirelead config status`"


def _job_row(job: dict[str, Any]) -> dict[str, Any]:
    spec = job["spec"]
    holder = job.get("holder") or {}
    return {
        "key": spec["key"],
        "kind": spec["kind"],
        "job_class": spec["job_class"],
        "team": spec["team"],
        "state": job["state"],
        "epoch": job["epoch"],
        "attempts": job["attempts"],
        "losses": job.get("losses", 0),
        "instance": holder.get("instance", ""),
        "reason": job["reason"],
    }


def _instance_row(view: dict[str, Any]) -> dict[str, Any]:
    state = "draining" if view["draining"] else "live" if view["live"] else "silent"
    return {
        "id": view["id"],
        "zone": view["zone"],
        "rack": view["rack"],
        "state": "fenced" if view["fenced"] else state,
        "slots": f"{view['slots_used']}/{view['slots']}",
        "tasks": view["tasks"],
        "free_cpu": view["free"]["cpu_millicores"],
        "free_memory_mb": view["free"]["memory_mb"],
        "version": view["config_version"],
    }
