"""Answers as servers send them, whole, cut, doubled or malformed."""

from bramleyturn.gateway.http1_client import BreakReason
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
    """Whole answers."""

    def test_connection_is_used_again(self) -> None:
        connection = called(WHOLE)
        assert connection.answer.parts == [("head", 200), ("data", b"ok"), "end"]
        assert connection.idle == [connection.connection]

    def test_bytes_after_the_answer_end_the_connection(self) -> None:
        connection = called(WHOLE + WHOLE)
        assert connection.answer.parts[-1] == "end"
        assert connection.idle == []
        assert connection.transport.is_reset

    def test_bytes_on_an_idle_connection_end_it(self) -> None:
        connection = called(WHOLE)
        connection.receive(b"HTTP/1.1 200 OK\r\n")
        assert connection.transport.is_reset

    def test_server_that_closes_is_not_used_again(self) -> None:
        head = b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
        assert called(head).idle == []


class TestWithoutALength:
    """An answer that ends with its connection."""

    def test_close_in_order_ends_it(self) -> None:
        connection = called(UNFRAMED)
        connection.close()
        assert connection.answer.parts[-1] == "end"

    def test_reset_breaks_it(self) -> None:
        connection = called(UNFRAMED)
        connection.reset()
        assert connection.answer.parts[-1] is BreakReason.RESET


class TestBroken:
    """Answers that are not whole."""

    def test_close_before_the_end(self) -> None:
        connection = called(WHOLE[:-1])
        connection.close()
        assert connection.answer.parts[-1] is BreakReason.CLOSED

    def test_close_before_any_answer(self) -> None:
        connection = called()
        connection.close()
        assert connection.answer.parts == [BreakReason.CLOSED]

    def test_bytes_that_are_no_answer(self) -> None:
        connection = called(b"\x00\x01 nonsense\r\n\r\n")
        assert connection.answer.parts == [BreakReason.MALFORMED]
        assert connection.transport.is_reset

    def test_cut_chunk(self) -> None:
        head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        connection = called(head + b"5\r\nab")
        connection.close()
        assert connection.answer.parts[-1] is BreakReason.CLOSED
