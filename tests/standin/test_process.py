"""Test how stand-in programs start."""

import io
import signal
import sys
from collections.abc import Iterator
from typing import Any

import pytest

from bramleyturn.programs import standin_site
from bramleyturn.standin.process import run


class ReadyLine(io.StringIO):
    """Record whether SIGTERM is handled when the ready line is written."""

    handled: list[bool]

    def __init__(self) -> None:
        super().__init__()
        self.handled = []

    def write(self, text: str) -> int:
        """Record the handler of SIGTERM."""
        self.handled.append(signal.getsignal(signal.SIGTERM) is not signal.SIG_DFL)
        return super().write(text)


class IdleLoop:
    """Stand in for a reactor that returns at once."""

    def stop(self) -> None:
        """Do nothing."""

    def runUntilCurrent(self) -> None:  # noqa: N802
        """Do nothing: no timer is due."""

    def run(self, installSignalHandlers: bool = True) -> None:  # noqa: N803
        """Return at once."""


@pytest.fixture
def ready_line() -> Iterator[ReadyLine]:
    """Return a standard output, and put the signal handlers back afterwards."""
    changed = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
    before = {each: signal.getsignal(each) for each in changed}
    signal.signal(signal.SIGTERM, signal.SIG_DFL)
    yield ReadyLine()
    for number, handler in before.items():
        signal.signal(number, handler)


class TestReadyLine:
    """SIGTERM right after the ready line ends a program with code 0."""

    def test_signals_are_handled_before_it(
        self, ready_line: ReadyLine, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr(sys, "stdout", ready_line)
        loop: Any = IdleLoop()
        run(loop, lambda: {"addresses": {}})
        assert ready_line.handled
        assert all(ready_line.handled)

    def test_signals_are_handled_before_that_of_a_site(
        self, ready_line: ReadyLine, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr(sys, "stdout", ready_line)
        monkeypatch.setattr(sys, "argv", ["standin_site", "127.0.0.1"])
        monkeypatch.setattr(standin_site, "reactor", IdleLoop())
        monkeypatch.setattr(standin_site, "start_site", lambda *_: (None, {}))
        standin_site.main()
        assert ready_line.handled
        assert all(ready_line.handled)
