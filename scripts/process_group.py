"""Start separate processes, read their addresses, and end every one of them."""

import json
import os
import signal
import subprocess
import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import Final, NamedTuple

READY_LIMIT_S: Final = 60.0
STOP_LIMIT_S: Final = 20.0
POLL_INTERVAL_S: Final = 0.02
LOG_TAIL_LINES: Final = 20


class NotReadyError(Exception):
    """Raised when a process or a condition is not ready in time."""


class Started(NamedTuple):
    """Hold one running process and where it writes."""

    popen: subprocess.Popen[bytes]
    out: Path
    log: Path


class ProcessGroup:
    """Hold the processes that one script or test has started, by their names."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.started: dict[str, Started] = {}
        folder.mkdir(parents=True, exist_ok=True)

    def start(self, name: str, command: list[str]) -> None:
        """Start ``command``; its output goes to files named after it."""
        out, log = self.folder / f"{name}.out", self.folder / f"{name}.log"
        with out.open("wb") as out_file, log.open("ab") as log_file:
            popen = subprocess.Popen(
                command, stdin=subprocess.DEVNULL, stdout=out_file, stderr=log_file
            )
        self.started[name] = Started(popen, out, log)

    def wait_for_address(self, name: str) -> str:
        """Return the address in the ready line of ``name``."""
        return str(self.wait_for_ready_line(name)["address"])

    def wait_for_ready_line(self, name: str) -> dict[str, object]:
        """Return the ready line of ``name``, or raise ``NotReadyError``."""
        started = self.started[name]

        def ready_or_ended() -> bool:
            return _ready_line(started.out) is not None or _ended(started)

        wait_until(ready_or_ended, f"{name} prints its ready line")
        line = _ready_line(started.out)
        if line is None:
            code = started.popen.returncode
            raise NotReadyError(f"{name} ended with {code}\n{_tail(started.log)}")
        return line

    def send_signal(self, name: str, signal_number: signal.Signals) -> None:
        """Send a signal to one process, by its id."""
        self.started[name].popen.send_signal(signal_number)

    def wait_for_end(self, name: str, limit_s: float = STOP_LIMIT_S) -> int:
        """Wait until ``name`` has ended and return its exit code."""
        return self.started[name].popen.wait(timeout=limit_s)

    def end(self, name: str) -> int:
        """Terminate one process, or kill it if it does not stop."""
        popen = self.started[name].popen
        if popen.poll() is not None:
            return popen.returncode
        popen.send_signal(signal.SIGCONT)
        popen.terminate()
        return _wait_or_kill(popen)

    def end_all(self) -> dict[str, int]:
        """Terminate every process; return the exit codes by name."""
        running = [each.popen for each in self.started.values() if not _ended(each)]
        for popen in running:
            popen.send_signal(signal.SIGCONT)
            popen.terminate()
        return {name: _wait_or_kill(each.popen) for name, each in self.started.items()}


def wait_until(
    condition: Callable[[], bool], what: str, limit_s: float = READY_LIMIT_S
) -> None:
    """Wait until ``condition`` holds; raise ``NotReadyError`` after ``limit_s``."""
    end = time.monotonic() + limit_s
    while not condition():
        if time.monotonic() > end:
            raise NotReadyError(f"not within {limit_s:g} s: {what}")
        time.sleep(POLL_INTERVAL_S)


def program(name: str) -> str:
    """Return the path of one of the project's programs in this environment."""
    return os.fspath(Path(sys.executable).parent / name)


def _ended(started: Started) -> bool:
    return started.popen.poll() is not None


def _wait_or_kill(popen: subprocess.Popen[bytes]) -> int:
    try:
        return popen.wait(timeout=STOP_LIMIT_S)
    except subprocess.TimeoutExpired:
        popen.kill()
        return popen.wait()


def _ready_line(out: Path) -> dict[str, object] | None:
    first, newline, _ = out.read_text("utf-8").partition("\n")
    if not newline:
        return None
    line: dict[str, object] = json.loads(first)
    return line


def _tail(log: Path) -> str:
    lines = log.read_text("utf-8", errors="replace").splitlines()
    return "\n".join(lines[-LOG_TAIL_LINES:])
