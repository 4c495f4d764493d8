"""Run a stand-in program: settings file, log, ready line, event loop."""

import logging
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any, Final, NoReturn

import orjson
from pythonjsonlogger.json import JsonFormatter
from twisted.internet.error import CannotListenError
from twisted.internet.posixbase import PosixReactorBase
from twisted.python.log import PythonLoggingObserver

from bramleyturn.runtime.lifecycle import stop_on_signals

BAD_SETTINGS_EXIT_CODE: Final = 2
CANNOT_LISTEN_EXIT_CODE: Final = 3


def fail(message: str, exit_code: int = BAD_SETTINGS_EXIT_CODE) -> NoReturn:
    """Print ``message`` on standard error and exit."""
    sys.stderr.write(message + "\n")
    sys.exit(exit_code)


def read_settings_file(path: Path) -> str:
    """Return the text of a settings file, or exit with a message."""
    try:
        return path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        fail(f"{path}: {error}")


def log_json_lines() -> None:
    """Log JSON lines to standard error, including Twisted's own messages."""
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(JsonFormatter("%(asctime)s %(levelname)s %(name)s"))
    root = logging.getLogger()
    root.addHandler(handler)
    root.setLevel(logging.WARNING)
    PythonLoggingObserver().start()


def run(reactor: PosixReactorBase, host: Callable[[], dict[str, Any]]) -> None:
    """Call ``host`` to listen, print the ready line and run the loop until SIGTERM."""
    try:
        ready = host()
    except CannotListenError as error:
        fail(str(error), CANNOT_LISTEN_EXIT_CODE)
    stop_on_signals(reactor, reactor.stop)
    sys.stdout.write(orjson.dumps({"ready": True, **ready}).decode() + "\n")
    sys.stdout.flush()
    reactor.run(installSignalHandlers=False)
