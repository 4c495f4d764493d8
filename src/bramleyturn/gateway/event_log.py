"""Write decisions to standard output as JSON lines, bounded and without blocking.

Lines wait in a buffer that is written when the loop has nothing more urgent to do.
When the reader is slow, or too much happens at once, lines are dropped and counted;
the next line that is written tells how many.
"""

import logging
import os
import sys
from collections import deque
from typing import Any, Final

import orjson

from bramleyturn.core.clock import Clock
from bramleyturn.core.units import MS_PER_S

MAX_BUFFERED_LINES: Final = 2_000
# Lines of one second beyond this number are dropped, warnings excepted.
MAX_LINES_PER_S: Final = 400
FLUSH_S: Final = 0.1
STANDARD_OUTPUT: Final = 1
# What a record has besides the fields that the caller gave.
PLAIN_FIELDS: Final = frozenset(vars(logging.makeLogRecord({}))) | {
    "message",
    "asctime",
}


class EventLog(logging.Handler):
    """Hold the lines that wait to be written."""

    def __init__(self, reactor: Any, clock: Clock, instance: str, zone: str) -> None:
        super().__init__()
        self.reactor = reactor
        self.clock = clock
        self.constant = {"instance": instance, "zone": zone}
        self.lines: deque[bytes] = deque()
        self.rest = b""
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
            if name not in PLAIN_FIELDS
        }
        line = {
            "time_ms": self.clock.wall_ms(),
            "at_ms": now_ms,
            "level": record.levelname.lower(),
            **self.constant,
            "event": record.getMessage(),
            **fields,
        }
        if self.dropped:
            line["dropped_lines"] = self.dropped
            self.dropped = 0
        self.lines.append(
            orjson.dumps(line, default=str, option=orjson.OPT_APPEND_NEWLINE)
        )
        if not self.is_flush_due:
            self.is_flush_due = True
            self.reactor.callLater(FLUSH_S, self.flush_lines)

    def _may_add(self, second: int, level: int) -> bool:
        if second != self.second:
            self.second = second
            self.lines_this_second = 0
        self.lines_this_second += 1
        if len(self.lines) >= MAX_BUFFERED_LINES:
            return False
        return self.lines_this_second <= MAX_LINES_PER_S or level >= logging.WARNING

    def flush_lines(self) -> None:
        """Write as much as the reader takes without waiting."""
        self.is_flush_due = False
        data = self.rest + b"".join(self.lines)
        self.lines.clear()
        try:
            written = os.write(STANDARD_OUTPUT, data)
        except BlockingIOError:
            written = 0
        except OSError:
            # Nobody reads the log any more; the process goes on without.
            self.rest = b""
            return
        self.rest = data[written:]
        if self.rest and not self.is_flush_due:
            self.is_flush_due = True
            self.reactor.callLater(FLUSH_S, self.flush_lines)


def start_event_log(reactor: Any, clock: Clock, instance: str, zone: str) -> EventLog:
    """Send every log record to standard output."""
    sys.stdout.flush()
    os.set_blocking(STANDARD_OUTPUT, False)
    log = EventLog(reactor, clock, instance, zone)
    root = logging.getLogger()
    root.handlers[:] = [log]
    root.setLevel(logging.INFO)
    return log
