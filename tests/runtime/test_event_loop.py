"""Test that an event loop that is late reads what has arrived before it gives up."""

import socket
import time
from typing import Any, Final

import pytest
from twisted.internet.epollreactor import EPollReactor

from bramleyturn.runtime.event_loop import read_before_timers

TIMEOUT_S: Final = 0.02
DELAY_S: Final = 0.1


class Reader:
    """Read a socket, and take a while for it."""

    def __init__(self, name: str, seen: list[str], takes_s: float) -> None:
        self.name = name
        self.seen = seen
        self.takes_s = takes_s
        self.ours, self.theirs = socket.socketpair()

    def fileno(self) -> int:
        """Return the file descriptor."""
        return self.ours.fileno()

    def logPrefix(self) -> str:  # noqa: N802
        """Return the name for twisted's log."""
        return self.name

    def doRead(self) -> None:  # noqa: N802
        """Read, and be busy."""
        self.seen.append(f"{self.name} read")
        self.ours.recv(16)
        time.sleep(self.takes_s)

    def connectionLost(self, reason: Any) -> None:  # noqa: N802
        """Close both sockets."""
        self.ours.close()
        self.theirs.close()


@pytest.fixture
def loop() -> EPollReactor:
    """Return a reactor of its own."""
    return EPollReactor()


def run(loop: EPollReactor) -> None:
    """Run the reactor without signal handlers."""
    loop.run(installSignalHandlers=False)


class TestLateLoop:
    """The loop is busy while an answer arrives and the time for it ends."""

    def test_answer_that_has_arrived_is_read_before_its_time_out(
        self, loop: EPollReactor
    ) -> None:
        seen: list[str] = []
        other, answer = Reader("other", seen, DELAY_S), Reader("answer", seen, 0)
        read_before_timers(loop)
        loop.addReader(other)
        loop.addReader(answer)
        read_other = other.doRead

        def answer_arrives_while_the_loop_is_busy() -> None:
            answer.theirs.send(b"answer")
            read_other()

        other.doRead = answer_arrives_while_the_loop_is_busy  # type: ignore[method-assign]
        loop.callLater(TIMEOUT_S, seen.append, "timed out")
        loop.callLater(2 * DELAY_S, loop.stop)
        other.theirs.send(b"other")
        run(loop)
        assert seen == ["other read", "answer read", "timed out"]

    def test_time_out_without_an_answer_runs(self, loop: EPollReactor) -> None:
        seen: list[str] = []
        read_before_timers(loop)
        loop.callLater(TIMEOUT_S, seen.append, "timed out")
        loop.callLater(DELAY_S, loop.stop)
        run(loop)
        assert seen == ["timed out"]
