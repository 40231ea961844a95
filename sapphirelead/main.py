"""Usage:
sapphirelead entry --config FILE
sapphirelead agent --config FILE
sapphirelead standin (table|worker|target) --port PORT [--id ID] [--history FILE] [--settings JSON]
sapphirelead --version
"""

from sapphirelead.options import Options


def run() -> None:
    """Entry point of the program."""
    raise SystemExit(dispatch(Options(())))


def dispatch(options: Options) -> int:
    """Run the command that ``options`` names and return the exit code."""
    raise NotImplementedError(options.command)
