"""Stand-ins of the platform, for development and tests; never part of a deployment.

Usage:
  standin_main (table | worker | target | advice) [--host HOST] [--port PORT] [--id ID]
               [--history FILE] [--settings JSON]

Options:
  --host HOST      Address to listen on [default: 127.0.0.1].
  --port PORT      Port to listen on, 0 for any [default: 0].
  --id ID          Name in the history [default: standin].
  --history FILE   File to append the history to.
  --settings JSON  Settings of the stand-in [default: {}].

One line ``listening role=ROLE port=PORT`` tells that it is ready; SIGTERM or SIGINT stops it.
"""

import asyncio
import json
import signal
import sys
from collections.abc import Callable
from typing import Any, Final

from docopt import docopt

from sapphirelead.standin_advice import StandInAdvice
from sapphirelead.standin_history import History
from sapphirelead.standin_server import StandIn
from sapphirelead.standin_table import StandInTable
from sapphirelead.standin_target import StandInTarget
from sapphirelead.standin_worker import StandInWorker

ROLES: Final[dict[str, Callable[[History, dict[str, Any]], StandIn]]] = {
    "table": StandInTable.from_settings,
    "worker": StandInWorker.from_settings,
    "target": StandInTarget.from_settings,
    "advice": StandInAdvice.from_settings,
}


async def run_standin(
    role: str, host: str, port: int, ident: str, history: str, settings: dict[str, Any]
) -> int:
    """Run one stand-in until SIGTERM or SIGINT and return the exit code.

    :param ident: name of this stand-in in the history.
    :param history: path of the history file; empty to keep the history in memory.
    """
    events = History.open(ident, history)
    standin = ROLES[role](events, settings)
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signum in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signum, stopping.set)
    real_port = await standin.start(host, port)
    print(f"listening role={role} port={real_port}", flush=True)
    await stopping.wait()
    await standin.stop()
    events.close()
    return 0


def main() -> int:
    """Run the stand-in selected on the command line."""
    args = docopt(__doc__)
    role = next(name for name in ROLES if args[name])
    settings = json.loads(args["--settings"])
    port = int(args["--port"])
    history = args["--history"] or ""
    return asyncio.run(run_standin(role, args["--host"], port, args["--id"], history, settings))


if __name__ == "__main__":
    sys.exit(main())
