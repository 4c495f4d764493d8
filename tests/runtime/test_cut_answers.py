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
