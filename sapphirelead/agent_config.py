"""Holds the highest version of the operators' configuration that the agent has received."""

from collections.abc import Callable

from result import Err, Ok

from sapphirelead.agent_ports import Links, Sender
from sapphirelead.logs import log_event
from sapphirelead.model_config import EMPTY_CONFIG, Config, parse_document
from sapphirelead.wire_messages import ConfigPush


class ConfigHolder:
    """Keeps the highest version received and ignores lower ones that arrive late."""

    _sender: Sender
    current: Config
    _listeners: list[Callable[[Config], None]]

    def __init__(self, sender: Sender) -> None:
        self._sender = sender
        self.current = EMPTY_CONFIG
        self._listeners = []

    def on_change(self, listener: Callable[[Config], None]) -> None:
        """Call ``listener`` with each version that comes into force."""
        self._listeners.append(listener)

    def register(self, links: Links) -> None:
        """Subscribe to configuration pushes on ``links``."""
        links.on(ConfigPush, self._on_push)

    def _on_push(self, _index: int, push: ConfigPush) -> None:
        if push.version <= self.current.version:
            return
        match parse_document(push.document):
            case Err(failure):
                log_event("ERROR", "config_rejected", version=push.version, reason=failure.message)
            case Ok(document):
                self.current = Config(push.version, document)
                self._sender.config_version = push.version
                log_event("INFO", "config_in_force", version=push.version)
                for listener in self._listeners:
                    listener(self.current)
