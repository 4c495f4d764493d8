"""Write logs as JSON lines."""

import logging
import sys
import traceback
from pathlib import PurePath
from typing import Any, Final

from pythonjsonlogger.json import JsonFormatter
from twisted.logger import LogLevel as TwistedLevel
from twisted.logger import globalLogBeginner

FIELDS: Final = "%(asctime)s %(levelname)s %(name)s %(message)s"
LIBRARY: Final = "twisted"

logger = logging.getLogger(__name__)


class RevisionInForce(logging.Filter):
    """Add the revision in force to every line that names none."""

    def __init__(self) -> None:
        super().__init__()
        self.revision = 0

    def filter(self, record: logging.LogRecord) -> bool:
        """Complete the record and let it pass."""
        if not hasattr(record, "revision"):
            record.revision = self.revision
        return True


_in_force: Final = RevisionInForce()


def start_logging(process: str, zone: str, level: str = "info") -> None:
    """Send every log record to standard error as one JSON line.

    Each line names the instance, its availability zone and the revision in force.
    Callers' text, keys and tickets must never be passed to a logger; nor must the
    message of an exception, which may quote them.
    """
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(
        JsonFormatter(
            FIELDS,
            rename_fields={"asctime": "time", "levelname": "level", "name": "logger"},
            static_fields={"instance": process, "zone": zone},
        )
    )
    handler.addFilter(_in_force)
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level.upper())
    observer: Any = _log_library_event
    globalLogBeginner.beginLoggingTo([observer], redirectStandardIO=False)


def note_revision(revision: int) -> None:
    """Let the lines from now on name ``revision``."""
    _in_force.revision = revision


def error_fields(error: BaseException) -> dict[str, str]:
    """Return what may be logged of an exception: its type and where it was raised."""
    frames = traceback.extract_tb(error.__traceback__)
    place = (
        f"{PurePath(frames[-1].filename).name}:{frames[-1].lineno}" if frames else ""
    )
    return {"error": type(error).__name__, "place": place}


def _log_library_event(event: dict[str, Any]) -> None:
    """Log an error that the library caught; its other messages are dropped."""
    failure = event.get("log_failure")
    if failure is not None:
        logger.error("unhandled error", extra=error_fields(failure.value))
    elif event.get("log_level", TwistedLevel.info) >= TwistedLevel.warn:
        logger.warning(
            "message of the library",
            extra={"source": str(event.get("log_namespace", LIBRARY))},
        )
