"""Start single programs for tests, and stop them even if the test fails.

Standard library only, so that scripts can use it too.
"""

import json
import os
import signal
import subprocess
import sys
import time
from collections.abc import Iterator, Mapping, Sequence
from contextlib import contextmanager
from pathlib import Path
from typing import Any, Final

READY_LIMIT_S: Final = 60.0
STOP_LIMIT_S: Final = 30.0
POLL_S: Final = 0.02
OUTPUT_SHOWN_CHARACTERS: Final = 8000
SOURCE: Final = Path(__file__).parent.parent / "src"


class NotReadyError(Exception):
    """Raised when a program ends or hangs before its ready line."""


class RunningProcess:
    """Hold one started program, its ready line and its output files."""

    def __init__(
        self, process: subprocess.Popen[bytes], name: str, folder: Path
    ) -> None:
        self.process = process
        self.name = name
        self.output_file = folder / f"{name}.out"
        self.errors_file = folder / f"{name}.err"
        self.ready: dict[str, Any] = {}

    @property
    def pid(self) -> int:
        """Return the process id."""
        return self.process.pid

    @property
    def address(self) -> str:
        """Return the address of the ready line."""
        return str(self.ready["address"])

    @property
    def addresses(self) -> dict[str, str]:
        """Return the addresses by name of the ready line."""
        return dict(self.ready["addresses"])


def start(
    program_module: str,
    settings_text: str,
    tmp_path: Path,
    name: str = "",
    environment: Mapping[str, str] | None = None,
    ready_limit_s: float = READY_LIMIT_S,
) -> RunningProcess:
    """Start a program and wait for its ready line.

    ``program_module`` is a module such as ``bramleyturn.programs.standin``. The
    settings and the output are files in ``tmp_path`` under ``name``, by default
    the last part of the module and a number.
    """
    running = launch(program_module, settings_text, tmp_path, name, environment)
    try:
        wait_ready(running, ready_limit_s)
    except BaseException:
        kill(running)
        raise
    return running


def launch(
    program_module: str,
    settings_text: str,
    tmp_path: Path,
    name: str = "",
    environment: Mapping[str, str] | None = None,
    arguments: Sequence[str] | None = None,
) -> RunningProcess:
    """Start a program without waiting for its ready line.

    Without ``arguments`` its argument is the settings file.
    """
    name = name or _free_name(program_module.rpartition(".")[2], tmp_path)
    settings_file = tmp_path / f"{name}.ini"
    settings_file.write_text(settings_text, encoding="utf-8")
    variables = {**os.environ, "PYTHONPATH": str(SOURCE), **(environment or {})}
    with (
        (tmp_path / f"{name}.out").open("wb") as output,
        (tmp_path / f"{name}.err").open("wb") as errors,
    ):
        process = subprocess.Popen(
            [
                sys.executable,
                "-m",
                program_module,
                *(arguments or [str(settings_file)]),
            ],
            stdin=subprocess.DEVNULL,
            stdout=output,
            stderr=errors,
            env=variables,
        )
    return RunningProcess(process, name, tmp_path)


def wait_ready(running: RunningProcess, limit_s: float = READY_LIMIT_S) -> None:
    """Wait for the ready line of a launched program."""
    deadline_s = time.monotonic() + limit_s
    while time.monotonic() < deadline_s:
        line, newline, _ = running.output_file.read_bytes().partition(b"\n")
        if newline:
            running.ready = json.loads(line)
            return
        code = running.process.poll()
        if code is not None:
            raise NotReadyError(f"ended with exit code {code}\n{output_of(running)}")
        time.sleep(POLL_S)
    raise NotReadyError(f"not ready after {limit_s} s\n{output_of(running)}")


def stop(running: RunningProcess, limit_s: float = STOP_LIMIT_S) -> int:
    """Ask a program to stop with SIGTERM and return its exit code.

    A program that does not stop within the limit is killed; its exit code is then
    negative.
    """
    if running.process.poll() is None:
        running.process.send_signal(signal.SIGTERM)
        _resume(running)
    try:
        return running.process.wait(limit_s)
    except subprocess.TimeoutExpired:
        return kill(running)


def kill(running: RunningProcess) -> int:
    """Kill a program and return its exit code."""
    running.process.kill()
    return running.process.wait(STOP_LIMIT_S)


def freeze(running: RunningProcess) -> None:
    """Pause the process with SIGSTOP, until ``thaw``."""
    running.process.send_signal(signal.SIGSTOP)


def thaw(running: RunningProcess) -> None:
    """Resume a paused process."""
    running.process.send_signal(signal.SIGCONT)


def output_of(running: RunningProcess) -> str:
    """Return the end of a program's output, to report a failing test."""
    files = (running.output_file, running.errors_file)
    return "\n".join(_end_of(file) for file in files if file.exists())


@contextmanager
def running(
    program_module: str, settings_text: str, tmp_path: Path, name: str = ""
) -> Iterator[RunningProcess]:
    """Run a program for the length of a block; print its output if that fails."""
    started = start(program_module, settings_text, tmp_path, name)
    try:
        yield started
    except BaseException:
        sys.stderr.write(output_of(started) + "\n")
        raise
    finally:
        stop(started)


def _end_of(file: Path) -> str:
    text = file.read_text(encoding="utf-8", errors="replace")
    return f"--- {file.name}\n{text[-OUTPUT_SHOWN_CHARACTERS:]}"


def _resume(running: RunningProcess) -> None:
    """Resume a frozen process so that it handles pending signals."""
    running.process.send_signal(signal.SIGCONT)


def _free_name(stem: str, folder: Path) -> str:
    number = 1
    while (folder / f"{stem}-{number}.ini").exists():
        number += 1
    return f"{stem}-{number}"
