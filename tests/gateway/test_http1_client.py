"""Parse answers of servers: complete, truncated, duplicated or malformed."""

from bramleyturn.gateway.http1_client import FailureReason
from tests.gateway.wire import CalledConnection

WHOLE = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
UNFRAMED = b"HTTP/1.1 200 OK\r\n\r\npart"


def called(data: bytes = b"") -> CalledConnection:
    """Return a connection on which a request was sent and ``data`` arrived."""
    connection = CalledConnection()
    connection.send()
    if data:
        connection.receive(data)
    return connection


class TestAnswers:
    """Complete answers."""

    def test_connection_is_reused(self) -> None:
        connection = called(WHOLE)
        assert connection.answer.parts == [("head", 200), ("data", b"ok"), "end"]
        assert connection.idle == [connection.connection]

    def test_bytes_after_the_answer_reset_the_connection(self) -> None:
        connection = called(WHOLE + WHOLE)
        assert connection.answer.parts[-1] == "end"
        assert connection.idle == []
        assert connection.transport.is_reset

    def test_bytes_on_an_idle_connection_reset_it(self) -> None:
        connection = called(WHOLE)
        connection.receive(b"HTTP/1.1 200 OK\r\n")
        assert connection.transport.is_reset

    def test_connection_with_close_header_is_not_reused(self) -> None:
        head = b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
        assert called(head).idle == []


class TestWithoutALength:
    """Answers that end when the connection is closed."""

    def test_clean_close_completes_the_answer(self) -> None:
        connection = called(UNFRAMED)
        connection.close()
        assert connection.answer.parts[-1] == "end"

    def test_reset_fails_the_answer(self) -> None:
        connection = called(UNFRAMED)
        connection.reset()
        assert connection.answer.parts[-1] is FailureReason.RESET


class TestIncomplete:
    """Answers that are incomplete or malformed."""

    def test_close_within_the_body(self) -> None:
        connection = called(WHOLE[:-1])
        connection.close()
        assert connection.answer.parts[-1] is FailureReason.CLOSED

    def test_close_before_any_answer(self) -> None:
        connection = called()
        connection.close()
        assert connection.answer.parts == [FailureReason.CLOSED]

    def test_bytes_that_are_not_http(self) -> None:
        connection = called(b"\x00\x01 nonsense\r\n\r\n")
        assert connection.answer.parts == [FailureReason.MALFORMED]
        assert connection.transport.is_reset

    def test_close_within_a_chunk(self) -> None:
        head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        connection = called(head + b"5\r\nab")
        connection.close()
        assert connection.answer.parts[-1] is FailureReason.CLOSED
