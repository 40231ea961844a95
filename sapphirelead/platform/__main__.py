"""Entry point of ``python3 -m sapphirelead.platform``."""

from sapphirelead.platform.main import run

raise SystemExit(run())
