"""Start a program: read its settings, set up logging, run its loop."""

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
    """Return the settings of a process, or end it with every fault on stderr."""
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
    """Let the loop's timers follow the clock that the deadlines are read on.

    The library reads the wall clock, and a step of that would fire or hold back
    every timer.
    """
    loop.seconds = monotonic_s


def run(loop: Any) -> None:
    """Run the loop without signal handlers of the library's own."""
    loop.run(installSignalHandlers=False)
