"""Entry point of ``python3 -m sapphirelead.platform``."""

import signal


def main() -> int:
    """Run the process and return its exit code."""
    # SIGHUP (settings changed) may arrive while the imports are running, and its default action
    # terminates the process.  The settings file is read later, so no change is missed.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from sapphirelead.platform.main import run

    return run()


raise SystemExit(main())
