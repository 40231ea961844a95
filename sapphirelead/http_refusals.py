"""Counts and logs what the HTTP servers refuse, at a bounded rate."""

import logging
from collections import Counter
from typing import Final

from sapphirelead.clock import now
from sapphirelead.http_limits import Reason
from sapphirelead.logs import log_event
from sapphirelead.metrics import Metrics

LOG_INTERVAL_S: Final = 1.0
"""Minimum time between two log lines of the same reason."""

MAX_ERROR_LENGTH: Final = 200
ERROR: Final = "library_error"


class RefusalLog:
    """Counters of refusals, and one log line of each reason in :data:`LOG_INTERVAL_S`."""

    _metrics: Metrics
    _unlogged: Counter[str]
    _logged_at: dict[str, float]
    _last_error: str

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics
        self._unlogged = Counter()
        self._logged_at = {}
        self._last_error = "-"

    def count(self, reason: Reason) -> None:
        """Count a closed connection or a rejected request."""
        self._metrics.count("http_refused_total", reason=reason.label)
        self._add(reason.label)

    def count_error(self, error: str) -> None:
        """Count an error that the HTTP library reports."""
        self._metrics.count("http_errors_total")
        self._last_error = error
        self._add(ERROR)

    def flush(self) -> None:
        """Log the counts that are due."""
        for label in list(self._unlogged):
            self._log_if_due(label)

    def _add(self, label: str) -> None:
        self._unlogged[label] += 1
        self._log_if_due(label)

    def _log_if_due(self, label: str) -> None:
        at = now()
        logged_at = self._logged_at.get(label)
        if logged_at is not None and at - logged_at < LOG_INTERVAL_S:
            return
        self._logged_at[label] = at
        times = self._unlogged.pop(label)
        if label == ERROR:
            log_event("WARNING", "http_error", times=times, last=self._last_error)
        else:
            log_event("WARNING", "http_refused", reason=label, times=times)


class LibraryLogHandler(logging.Handler):
    """Counts the errors that the HTTP library logs, one for each failed request."""

    def __init__(self, refusal_log: RefusalLog) -> None:
        super().__init__(logging.WARNING)
        self._refusal_log = refusal_log

    def emit(self, record: logging.LogRecord) -> None:
        """Count one error."""
        exc = record.exc_info[1] if record.exc_info else None
        self._refusal_log.count_error(describe(exc) if exc else record.getMessage())


def describe(exc: BaseException) -> str:
    """Return the type, the message and the origin of an exception.

    >>> describe(ValueError("bad"))
    "ValueError: 'bad'"
    """
    trace = exc.__traceback__
    while trace is not None and trace.tb_next is not None:
        trace = trace.tb_next
    where = f" at {trace.tb_frame.f_code.co_filename}:{trace.tb_lineno}" if trace else ""
    return f"{type(exc).__name__}: {str(exc)[:MAX_ERROR_LENGTH]!r}{where}"
