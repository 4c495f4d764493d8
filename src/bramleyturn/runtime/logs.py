"""Write logs as JSON lines."""

import logging
import sys
from typing import Final

from pythonjsonlogger.json import JsonFormatter

FIELDS: Final = "%(asctime)s %(levelname)s %(name)s %(message)s"


def start_logging(process: str, zone: str, level: int = logging.INFO) -> None:
    """Send every log record to standard error as one JSON line.

    Each line names the process and its availability zone. Callers' text, keys and
    tickets must never be passed to a logger.
    """
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(
        JsonFormatter(
            FIELDS,
            rename_fields={"asctime": "time", "levelname": "level", "name": "logger"},
            static_fields={"process": process, "zone": zone},
        )
    )
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level)
