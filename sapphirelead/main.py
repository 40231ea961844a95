"""Scheduler for latency-critical and batch work that share fixed capacity.

Usage:
  sapphirelead entry --config=FILE
  sapphirelead agent --config=FILE
  sapphirelead runner --config=FILE
  sapphirelead standin (table|worker|target|advice) [--host=HOST] [--port=PORT] [--id=ID]
                       [--history=FILE] [--settings=JSON]
  sapphirelead dev [--once] [--port=PORT]
  sapphirelead config check FILE [--json]
  sapphirelead config apply FILE [--base=N] [--author=NAME] [--reason=TEXT] [--wait]
                       [--url=URL --token-file=FILE --json]
  sapphirelead config show [--url=URL --token-file=FILE --json]
  sapphirelead config history [--limit=N] [--url=URL --token-file=FILE --json]
  sapphirelead config status [--url=URL --token-file=FILE --json]
  sapphirelead config reference
  sapphirelead rules check FILE [--json]
  sapphirelead rules explain [--file=FILE] [--url=URL --token-file=FILE --json] [PAIR...]
  sapphirelead jobs submit FILE [--url=URL --token-file=FILE --json]
  sapphirelead jobs list [--ended] [--after=KEY] [--limit=N]
                       [--url=URL --token-file=FILE --json]
  sapphirelead jobs show KEY [--url=URL --token-file=FILE --json]
  sapphirelead jobs cancel KEY [--url=URL --token-file=FILE --json]
  sapphirelead queues show QUEUE [KEY] [--url=URL --token-file=FILE --json]
  sapphirelead queues submit QUEUE KEY FILE [--url=URL --token-file=FILE --json]
  sapphirelead queues cancel QUEUE KEY [--url=URL --token-file=FILE --json]
  sapphirelead instances list [--url=URL --token-file=FILE --json]
  sapphirelead instances drain ID [--reason=TEXT] [--url=URL --token-file=FILE --json]
  sapphirelead zones list [--url=URL --token-file=FILE --json]
  sapphirelead zones evacuate ZONE [--author=NAME] [--reason=TEXT]
                       [--url=URL --token-file=FILE --json]
  sapphirelead zones restore ZONE [--author=NAME] [--reason=TEXT]
                       [--url=URL --token-file=FILE --json]
  sapphirelead audit [--limit=N] [--url=URL --token-file=FILE --json]
  sapphirelead account LOG... [--json]
  sapphirelead status [--url=URL --token-file=FILE --json]
  sapphirelead keys new DIR
  sapphirelead (-h | --help)
  sapphirelead --version

Options:
  --url=URL          Address of any entry [default: http://127.0.0.1:8080].
  --token-file=FILE  File with the operators' token.
  --json             Print JSON instead of text.
  --config=FILE      Settings of this process, TOML.
  --once             Run the worked example and stop.
  --base=N           Version that the change was made from, or `current` to replace whatever is in
                     force; needed once there is a version.
  --author=NAME      Who makes the change, for the audit trail.
  --reason=TEXT      Why, for the audit trail.
  --wait             Return when every live process decides by the new version.
  --file=FILE        Explain the rules of this file instead of those in force.
  --ended            List jobs that have ended.
  --after=KEY        Go on after this job, the last one of the list before.
  --limit=N          At most so many lines [default: 50].
  --host=HOST        Address to listen on [default: 127.0.0.1].
  --port=PORT        Port to listen on; 0 lets the system choose [default: 0].
  --id=ID            Name in the history [default: standin].
  --history=FILE     File to append the history to.
  --settings=JSON    Settings of the stand-in [default: {}].

A LOG is a file of log lines, of one process or of many, or - for standard input.

A PAIR is a field of the situation and its value, for instance service=renewals load=0.9.

Exit codes: 0 done; 1 the check failed or the request was refused; 2 wrong usage; 3 another change
came first; 4 no entry could be reached; 5 the token was not accepted.
"""

import asyncio
import json
import os
import sys
from importlib.metadata import PackageNotFoundError, version
from typing import Any, Final

from docopt import DocoptExit, docopt
from result import Err, Result

from sapphirelead.errors import Failure
from sapphirelead.options import BASE_CURRENT, BASE_UNSET, Exit, Options
from sapphirelead.settings import AgentSettings, EntrySettings, RunnerSettings

PACKAGE: Final = "sapphirelead"
COMMANDS: Final = (
    ("entry",),
    ("agent",),
    ("runner",),
    ("standin", "table"),
    ("standin", "worker"),
    ("standin", "target"),
    ("standin", "advice"),
    ("dev",),
    ("config", "check"),
    ("config", "apply"),
    ("config", "show"),
    ("config", "history"),
    ("config", "status"),
    ("config", "reference"),
    ("rules", "check"),
    ("rules", "explain"),
    ("jobs", "submit"),
    ("jobs", "list"),
    ("jobs", "show"),
    ("jobs", "cancel"),
    ("queues", "show"),
    ("queues", "submit"),
    ("queues", "cancel"),
    ("instances", "list"),
    ("instances", "drain"),
    ("zones", "list"),
    ("zones", "evacuate"),
    ("zones", "restore"),
    ("audit",),
    ("account",),
    ("status",),
    ("keys", "new"),
)


def run() -> None:
    """Run the command line of this process and exit with its exit code."""
    try:
        code = run_with(sys.argv[1:])
        sys.stdout.flush()
    except BrokenPipeError:
        # The reader of the pipe (``| head``) has exited.  Redirect standard output, or the
        # interpreter raises the same error when it flushes at exit.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        code = Exit.OK
    raise SystemExit(code)


def run_with(argv: list[str]) -> int:
    """Parse ``argv``, run its command and return the exit code."""
    try:
        args = docopt(__doc__ or "", argv=argv, version=_version())
        options = parse_options(args)
    except DocoptExit as exc:
        print(exc, file=sys.stderr)
        print("Run `sapphirelead --help` for what each option means.", file=sys.stderr)
        return Exit.USAGE
    except ValueError as exc:
        print(f"{exc}; run `sapphirelead --help` for what each option means", file=sys.stderr)
        return Exit.USAGE
    return dispatch(options)


def parse_options(args: dict[str, Any]) -> Options:
    """Convert docopt's result to typed options.

    :raises ValueError: if a numeric option is not a number.
    """
    return Options(
        command=next(words for words in COMMANDS if all(args[word] for word in words)),
        config=args["--config"] or "",
        file=args["FILE"] or args["--file"] or "",
        name=args["KEY"] or args["ID"] or args["DIR"] or (args["--id"] if args["standin"] else ""),
        zone=args["ZONE"] or "",
        queue=args["QUEUE"] or "",
        url=args["--url"],
        token_file=args["--token-file"] or "",
        json=args["--json"],
        wait=args["--wait"],
        once=args["--once"],
        ended=args["--ended"],
        after=args["--after"] or "",
        pairs=tuple(args["PAIR"]),
        logs=tuple(args["LOG"]),
        base=_parse_base(args["--base"]),
        author=args["--author"] or "",
        reason=args["--reason"] or "",
        limit=_parse_number("--limit", args["--limit"]),
        host=args["--host"],
        port=_parse_number("--port", args["--port"]),
        history=args["--history"] or "",
        settings=args["--settings"],
    )


def dispatch(options: Options) -> int:
    """Run the command that ``options`` names and return the exit code."""
    match options.command:
        case ("entry",):
            return _run_entry(options)
        case ("agent",):
            return _run_agent(options)
        case ("runner",):
            return _run_runner(options)
        case ("standin", role):
            return _run_standin(role, options)
        case ("dev",):
            from sapphirelead.dev import run_dev

            return asyncio.run(run_dev(options))
        case _:
            from sapphirelead.operator_commands import run_command

            return run_command(options)


# Each role imports only its own modules, to keep the start-up time and memory of agents low.


def _run_entry(options: Options) -> int:
    from sapphirelead.entry_main import run_entry
    from sapphirelead.settings_load import load_settings, prepare

    settings = load_settings(options.config, EntrySettings).and_then(prepare)
    if isinstance(settings, Err):
        return _print_refusal(settings)
    return asyncio.run(run_entry(settings.ok_value))


def _run_agent(options: Options) -> int:
    from sapphirelead.agent_main import run_agent
    from sapphirelead.settings_load import load_settings, prepare

    settings = load_settings(options.config, AgentSettings).and_then(prepare)
    if isinstance(settings, Err):
        return _print_refusal(settings)
    return asyncio.run(run_agent(settings.ok_value))


def _run_runner(options: Options) -> int:
    from sapphirelead.runner_main import run_runner
    from sapphirelead.settings_load import load_settings, prepare

    settings = load_settings(options.config, RunnerSettings).and_then(prepare)
    if isinstance(settings, Err):
        return _print_refusal(settings)
    return asyncio.run(run_runner(settings.ok_value))


def _run_standin(role: str, options: Options) -> int:
    from sapphirelead.standin_main import run_standin

    try:
        settings = json.loads(options.settings)
    except ValueError as exc:
        print(f"--settings wants JSON: {exc}", file=sys.stderr)
        return Exit.USAGE
    return asyncio.run(
        run_standin(role, options.host, options.port, options.name, options.history, settings)
    )


def _print_refusal(error: Result[Any, Failure]) -> int:
    print(error.err(), file=sys.stderr)
    return Exit.REFUSED


def _parse_number(option: str, text: str) -> int:
    try:
        return int(text)
    except ValueError:
        raise ValueError(f"{option} wants a whole number, not {text!r}") from None


def _parse_base(text: str | None) -> int:
    if text is None:
        return BASE_UNSET
    return BASE_CURRENT if text == "current" else _parse_number("--base", text)


def _version() -> str:
    try:
        return version(PACKAGE)
    except PackageNotFoundError:
        return "0 (not installed)"
