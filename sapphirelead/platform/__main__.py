"""Entry point of ``python3 -m sapphirelead.platform``."""

import signal


def main() -> int:
    """Run the process and return its exit code."""
    # The platform may say that the settings have changed while the libraries are loading, and the
    # signal ends a process that has no handler yet.  The file is read after this, so that nothing
    # is missed.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from sapphirelead.platform.main import run

    return run()


raise SystemExit(main())
