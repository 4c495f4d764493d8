"""Test that an answer that is cut off at any byte is never taken for a whole one."""

from typing import Any

import pytest
from twisted.internet.defer import Deferred
from twisted.internet.error import ConnectionDone, ConnectionLost
from twisted.internet.testing import MemoryReactorClock
from twisted.python.failure import Failure

from bramleyturn.runtime.errors import CallFailed
from bramleyturn.runtime.http_client import BytesAnswer, call_bytes, http_client
from tests.gateway.test_cut_answers import CUTS, HEAD_CUTS, UNFRAMED
from tests.runtime.test_repeated_refusals import Wire

ENDS = {"close": ConnectionDone, "reset": ConnectionLost}


def called(part: bytes, end: type[Exception]) -> BytesAnswer | CallFailed:
    """Return how a call ends whose server sends ``part`` and ends the connection."""
    reactor: Any = MemoryReactorClock()
    client = http_client(reactor)
    sent = call_bytes(client, reactor, "GET", "http://127.0.0.1:80/", timeout_ms=1_000)
    ended: list[Any] = []
    Deferred.fromCoroutine(sent).addBoth(ended.append)
    connection = reactor.tcpClients.pop()[2].buildProtocol(None)
    connection.makeConnection(Wire())
    if part:
        connection.dataReceived(part)
    connection.connectionLost(Failure(end()))
    (answer,) = ended
    assert isinstance(answer, BytesAnswer | CallFailed)
    return answer


@pytest.mark.parametrize("end", ENDS.values(), ids=ENDS)
class TestCut:
    """Connections that end in the middle of an answer."""

    @pytest.mark.parametrize("part", CUTS + HEAD_CUTS)
    def test_call_has_failed(self, part: bytes, end: type[Exception]) -> None:
        assert isinstance(called(part, end), CallFailed)


class TestSlow:
    """Answers whose bytes take longer than the time for the first one."""

    def read(self, gap_ms: int | None, parts: int, pause_s: float) -> list[Any]:
        """Return how a call has ended after so many parts of its body."""
        reactor: Any = MemoryReactorClock()
        sent = call_bytes(
            http_client(reactor),
            reactor,
            "GET",
            "http://127.0.0.1:80/",
            timeout_ms=1_000,
            gap_ms=gap_ms,
        )
        ended: list[Any] = []
        Deferred.fromCoroutine(sent).addBoth(ended.append)
        connection = reactor.tcpClients.pop()[2].buildProtocol(None)
        connection.makeConnection(Wire())
        size = parts * PART_BYTES
        connection.dataReceived(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % size)
        for _ in range(parts):
            reactor.advance(pause_s)
            if not ended:
                connection.dataReceived(b"x" * PART_BYTES)
        return ended

    def test_large_one_is_read_while_it_makes_progress(self) -> None:
        (answer,) = self.read(1_000, parts=40, pause_s=0.1)
        assert isinstance(answer, BytesAnswer)

    def test_without_a_gap_the_time_is_for_the_whole_one(self) -> None:
        (answer,) = self.read(None, parts=40, pause_s=0.1)
        assert isinstance(answer, CallFailed)

    def test_stalled_one_ends(self) -> None:
        (answer,) = self.read(1_000, parts=3, pause_s=1.1)
        assert isinstance(answer, CallFailed)


PART_BYTES = 25_000
BODY_CUTS = [
    pytest.param(UNFRAMED[:place], id=f"{place}")
    for place in range(UNFRAMED.index(b"{"), len(UNFRAMED))
]


@pytest.mark.parametrize("end", ENDS.values(), ids=ENDS)
class TestWithoutALength:
    """Answers whose end only their content can mark."""

    @pytest.mark.parametrize("part", BODY_CUTS)
    def test_call_has_failed_within_the_document(
        self, part: bytes, end: type[Exception]
    ) -> None:
        assert isinstance(called(part, end), CallFailed)

    def test_whole_document_is_an_answer(self, end: type[Exception]) -> None:
        answer = called(UNFRAMED, end)
        assert isinstance(answer, BytesAnswer)
        assert answer.content == b'{"text":"a"}'
