"""Write log records to standard output as JSON lines, bounded and without blocking.

Lines are buffered and flushed at intervals. Lines are dropped when the reader is slow
or the rate is too high; the next line that is written gives their number.
"""

import logging
import os
import sys
from collections import deque
from typing import Any, Final

import orjson

from bramleyturn.core.clock import Clock
from bramleyturn.core.units import MS_PER_S

MAX_BUFFERED_BYTES: Final = 2 * 1024 * 1024
# Lines above this rate are dropped, except warnings and errors.
MAX_LINES_PER_S: Final = 400
FLUSH_INTERVAL_S: Final = 0.1
STANDARD_OUTPUT: Final = 1
# Attributes of a log record other than the fields given in `extra`.
STANDARD_RECORD_FIELDS: Final = frozenset(vars(logging.makeLogRecord({}))) | {
    "message",
    "asctime",
}


class EventLog(logging.Handler):
    """Buffer log lines until they are written."""

    def __init__(self, reactor: Any, clock: Clock, instance: str, zone: str) -> None:
        super().__init__()
        self.reactor = reactor
        self.clock = clock
        self.common_fields = {"instance": instance, "zone": zone}
        self.lines: deque[bytes] = deque()
        self.unwritten = b""
        self.buffered_bytes = 0
        self.dropped = 0
        self.second = 0
        self.lines_this_second = 0
        self.is_flush_due = False

    def emit(self, record: logging.LogRecord) -> None:
        """Buffer a line, or count it as dropped."""
        now_ms = self.clock.monotonic_ms()
        if not self._may_add(now_ms // MS_PER_S, record.levelno):
            self.dropped += 1
            return
        fields = {
            name: value
            for name, value in vars(record).items()
            if name not in STANDARD_RECORD_FIELDS
        }
        line = {
            "time_ms": self.clock.wall_ms(),
            "at_ms": now_ms,
            "level": record.levelname.lower(),
            **self.common_fields,
            "event": record.getMessage(),
            **fields,
        }
        if self.dropped:
            line["dropped_lines"] = self.dropped
            self.dropped = 0
        data = orjson.dumps(line, default=str, option=orjson.OPT_APPEND_NEWLINE)
        self.lines.append(data)
        self.buffered_bytes += len(data)
        if not self.is_flush_due:
            self.is_flush_due = True
            self.reactor.callLater(FLUSH_INTERVAL_S, self.flush_lines)

    def _may_add(self, second: int, level: int) -> bool:
        if second != self.second:
            self.second = second
            self.lines_this_second = 0
        self.lines_this_second += 1
        if self.buffered_bytes >= MAX_BUFFERED_BYTES:
            return False
        return self.lines_this_second <= MAX_LINES_PER_S or level >= logging.WARNING

    def flush_lines(self) -> None:
        """Write as much as the reader accepts without blocking."""
        self.is_flush_due = False
        data = self.unwritten + b"".join(self.lines)
        self.lines.clear()
        try:
            written = os.write(STANDARD_OUTPUT, data)
        except BlockingIOError:
            written = 0
        except OSError:
            # The reader has closed the pipe; the process runs on without a log.
            written = len(data)
        self.unwritten = data[written:]
        self.buffered_bytes = len(self.unwritten)
        if self.unwritten and not self.is_flush_due:
            self.is_flush_due = True
            self.reactor.callLater(FLUSH_INTERVAL_S, self.flush_lines)


def start_event_log(reactor: Any, clock: Clock, instance: str, zone: str) -> EventLog:
    """Route every log record to standard output."""
    sys.stdout.flush()
    os.set_blocking(STANDARD_OUTPUT, False)
    log = EventLog(reactor, clock, instance, zone)
    root = logging.getLogger()
    root.handlers[:] = [log]
    root.setLevel(logging.INFO)
    return log
