"""Write logs as JSON lines."""

import logging
import sys
import traceback
from pathlib import PurePath
from typing import Any, Final

from pythonjsonlogger.json import JsonFormatter
from twisted.logger import LogLevel as TwistedLevel
from twisted.logger import globalLogBeginner

LOG_FORMAT: Final = "%(asctime)s %(levelname)s %(name)s %(message)s"
DEFAULT_SOURCE: Final = "twisted"

logger = logging.getLogger(__name__)


class RevisionFilter(logging.Filter):
    """Add the revision in force to every log record that has none."""

    def __init__(self) -> None:
        super().__init__()
        self.revision = 0

    def filter(self, record: logging.LogRecord) -> bool:
        """Complete the record and accept it."""
        if not hasattr(record, "revision"):
            record.revision = self.revision
        return True


_revision_filter: Final = RevisionFilter()


def start_logging(process: str, zone: str, level: str = "info") -> None:
    """Send every log record to standard error as one JSON line.

    Each line names the instance, its availability zone and the revision in force.
    Callers' text, keys and tickets must never be passed to a logger; nor must the
    message of an exception, which may quote them.
    """
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(
        JsonFormatter(
            LOG_FORMAT,
            rename_fields={"asctime": "time", "levelname": "level", "name": "logger"},
            static_fields={"instance": process, "zone": zone},
        )
    )
    handler.addFilter(_revision_filter)
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level.upper())
    observer: Any = _log_twisted_event
    globalLogBeginner.beginLoggingTo([observer], redirectStandardIO=False)


def note_revision(revision: int) -> None:
    """Set the revision for later log lines."""
    _revision_filter.revision = revision


def error_fields(error: BaseException) -> dict[str, str]:
    """Return the loggable parts of an exception: its type and where it was raised."""
    frames = traceback.extract_tb(error.__traceback__)
    place = (
        f"{PurePath(frames[-1].filename).name}:{frames[-1].lineno}" if frames else ""
    )
    return {"error": type(error).__name__, "place": place}


def _log_twisted_event(event: dict[str, Any]) -> None:
    """Log errors and warnings of Twisted; its other messages are dropped."""
    failure = event.get("log_failure")
    if failure is not None:
        logger.error("unhandled error", extra=error_fields(failure.value))
    elif event.get("log_level", TwistedLevel.info) >= TwistedLevel.warn:
        logger.warning(
            "log message from Twisted",
            extra={"source": str(event.get("log_namespace", DEFAULT_SOURCE))},
        )
