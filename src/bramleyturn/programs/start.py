"""Start a program: read its settings, set up logging, run the reactor."""

import sys
from collections.abc import Collection
from pathlib import Path
from typing import Any, Final

from twisted.internet import reactor

from bramleyturn.core.fault import describe_fault
from bramleyturn.core.process_settings import ProcessSettings, RefusedSettings
from bramleyturn.runtime.logs import start_logging
from bramleyturn.runtime.settings_file import Unreadable, read_process_settings
from bramleyturn.runtime.system_clock import monotonic_s

EXIT_BAD_SETTINGS: Final = 2


def read_settings(path: str, required: Collection[str]) -> ProcessSettings:
    """Return the settings of a process, or print every fault to stderr and exit."""
    settings = read_process_settings(Path(path), required)
    if isinstance(settings, Unreadable):
        print(f"cannot read {path}: {settings.reason}", file=sys.stderr)
        sys.exit(EXIT_BAD_SETTINGS)
    if isinstance(settings, RefusedSettings):
        for fault in settings.faults:
            print(describe_fault(fault), file=sys.stderr)
        sys.exit(EXIT_BAD_SETTINGS)
    start_logging(settings.name, settings.zone, settings.log_level)
    use_monotonic_time(reactor)
    return settings


def use_monotonic_time(loop: Any) -> None:
    """Make the reactor's timers use the monotonic clock that deadlines use.

    Twisted uses the wall clock, and a step of that clock would fire or delay every
    timer.
    """
    loop.seconds = monotonic_s
