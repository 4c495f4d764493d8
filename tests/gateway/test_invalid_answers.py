"""Test answers whose status is invalid, or that end before their request is written.

Guards against two faults: an answer with the status 000 was passed on, and the begun
body of an answer without a length, cut while its upload was written, counted as whole.
"""

from typing import Any

import pytest
from twisted.internet.defer import Deferred
from twisted.internet.error import ConnectionDone, ConnectionLost
from twisted.internet.testing import MemoryReactorClock
from twisted.python.failure import Failure

from bramleyturn.core.events import AttemptFailed
from bramleyturn.core.events import FailureReason as AttemptReason
from bramleyturn.gateway.http1_client import FailureReason
from bramleyturn.runtime.errors import CallFailed, CallFailure
from bramleyturn.runtime.http_client import BytesAnswer, call_bytes, http_client
from tests.gateway.wire import CalledConnection
from tests.runtime.test_repeated_refusals import Client, Wire

INVALID = [b"000", b"099", b"600", b"700", b"999", b"2000"]
LAST_INTERIM = [b"100", b"101", b"199"]
WHOLE = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"
UNFRAMED = b'HTTP/1.1 200 OK\r\n\r\n{"output": 1}'
ENDS = {"close": ConnectionDone, "reset": ConnectionLost}


def with_status(status: bytes) -> bytes:
    """Return a whole answer that says that nothing ran, with a status."""
    body = b'{"not_started": true, "output": 1}'
    return b"HTTP/1.1 %b X\r\nContent-Length: %d\r\n\r\n%b" % (status, len(body), body)


class OwnCall:
    """Hold a call of the own interface whose connection the test simulates."""

    def __init__(self) -> None:
        self.reactor: Any = MemoryReactorClock()
        self.client = http_client(self.reactor)
        self.connection: Any = None

    def call(self, parts: bytes, unsent: bytes, end: type[Exception]) -> Any:
        """Return how a call ends, on the connection before if that was kept."""
        ended: list[Any] = []
        sent = call_bytes(
            self.client,
            self.reactor,
            "POST",
            "http://127.0.0.1:80/",
            body=b"x" * 100,
            timeout_ms=1_000,
        )
        Deferred.fromCoroutine(sent).addBoth(ended.append)
        if self.reactor.tcpClients:
            self.connection = self.reactor.tcpClients.pop()[2].buildProtocol(None)
            self.connection.makeConnection(Wire())
        self.connection.transport.dataBuffer = unsent
        self.connection.dataReceived(parts)
        if not ended:
            self.connection.connectionLost(Failure(end()))
        self.reactor.advance(0)
        (answer,) = ended
        return answer


class TestInvalidStatus:
    """A server answers with a status that no answer may have."""

    @pytest.mark.parametrize("status", INVALID + LAST_INTERIM)
    def test_gateway_passes_on_nothing(self, status: bytes) -> None:
        called = CalledConnection()
        called.send()
        called.receive(with_status(status))
        if not called.answer.parts:
            called.close()
        assert len(called.answer.parts) == 1
        assert called.answer.parts[0] in (FailureReason.MALFORMED, FailureReason.CLOSED)
        assert called.idle == []

    @pytest.mark.parametrize("status", INVALID + LAST_INTERIM)
    def test_own_call_may_have_run(self, status: bytes) -> None:
        answer = OwnCall().call(with_status(status), b"", ConnectionDone)
        assert isinstance(answer, CallFailed)
        assert answer.failure is not CallFailure.NOT_CONNECTED

    @pytest.mark.parametrize("status", INVALID + LAST_INTERIM)
    def test_own_attempt_may_have_run(self, status: bytes) -> None:
        client = Client()
        client.start("a1")
        client.connections[0].dataReceived(with_status(status))
        if not client.fed:
            client.connections[0].connectionLost(Failure(ConnectionDone()))
        (event,) = client.fed
        assert isinstance(event, AttemptFailed)
        assert event.reason is AttemptReason.LOST


@pytest.mark.parametrize("end", ENDS.values(), ids=ENDS)
@pytest.mark.parametrize("is_reused", [False, True], ids=["new", "reused"])
class TestEndBeforeTheRequestIsWritten:
    """The connection ends while the request is being written."""

    def test_gateway_does_not_take_it_for_whole(
        self, end: type[Exception], is_reused: bool
    ) -> None:
        called = CalledConnection()
        if is_reused:
            called.send()
            called.receive(WHOLE)
        called.send()
        called.receive(UNFRAMED)
        transport: Any = called.transport
        transport.dataBuffer = b"rest of the request"
        called.connection.connectionLost(Failure(end()))
        assert called.answer.parts[-1] is FailureReason.RESET

    def test_own_call_does_not_take_it_for_whole(
        self, end: type[Exception], is_reused: bool
    ) -> None:
        own = OwnCall()
        if is_reused:
            assert isinstance(own.call(WHOLE, b"", end), BytesAnswer)
        answer = own.call(UNFRAMED, b"rest of the request", end)
        assert isinstance(answer, CallFailed)

    def test_own_attempt_does_not_take_it_for_whole(
        self, end: type[Exception], is_reused: bool
    ) -> None:
        client = Client()
        if is_reused:
            client.start("a0")
            client.connections[0].dataReceived(WHOLE)
            client.fed.clear()
        client.start("a1")
        connection = client.connections[0]
        connection.transport.dataBuffer = b"rest of the request"
        connection.dataReceived(UNFRAMED)
        connection.connectionLost(Failure(end()))
        (event,) = client.fed
        assert isinstance(event, AttemptFailed)
        assert event.reason is AttemptReason.LOST
