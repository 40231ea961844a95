"""Entry point of ``python -m sapphirelead``."""

from sapphirelead.main import run

run()
