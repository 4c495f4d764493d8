"""Test that an answer that is cut off at any byte is never taken for a whole one."""

from collections.abc import Callable

import pytest

from bramleyturn.gateway.http1_client import FailureReason
from tests.gateway.wire import CalledConnection

HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
ANSWERS = {
    "length": HEAD + b'Content-Length: 12\r\n\r\n{"text":"a"}',
    "chunks": HEAD
    + b'Transfer-Encoding: chunked\r\n\r\nc\r\n{"text":"a"}\r\n0\r\n\r\n',
    "trailer": HEAD
    + b'Transfer-Encoding: chunked\r\n\r\nc\r\n{"text":"a"}\r\n0\r\nx-sum: 1\r\n\r\n',
    "interim": b"HTTP/1.1 103 Early\r\nLink: </a>\r\n\r\n"
    + HEAD
    + b'Content-Length: 12\r\n\r\n{"text":"a"}',
    "empty": HEAD + b"Content-Length: 0\r\n\r\n",
    "refusal": b"HTTP/1.1 503 Busy\r\nRetry-After: 1\r\nContent-Length: 0\r\n\r\n",
}
UNFRAMED = HEAD + b'\r\n{"text":"a"}'
WHOLE = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
CUTS = [
    pytest.param(answer[:place], id=f"{name}-{place}")
    for name, answer in ANSWERS.items()
    for place in range(len(answer))
]
HEAD_CUTS = [
    pytest.param(UNFRAMED[:place], id=f"unframed-{place}")
    for place in range(UNFRAMED.index(b"{"))
]


def close(connection: CalledConnection) -> None:
    """End a connection with FIN."""
    connection.close()


def reset(connection: CalledConnection) -> None:
    """End a connection with RST."""
    connection.reset()


def new_connection() -> CalledConnection:
    """Return a connection without an earlier answer."""
    return CalledConnection()


def kept_connection() -> CalledConnection:
    """Return a connection that has brought a whole answer."""
    connection = CalledConnection()
    connection.send()
    connection.receive(WHOLE)
    connection.answer.parts.clear()
    return connection


@pytest.mark.parametrize("end", [close, reset])
@pytest.mark.parametrize("connect", [new_connection, kept_connection])
class TestCut:
    """Connections that end in the middle of an answer."""

    @pytest.mark.parametrize("part", CUTS + HEAD_CUTS)
    def test_answer_has_failed(
        self,
        part: bytes,
        connect: Callable[[], CalledConnection],
        end: Callable[[CalledConnection], None],
    ) -> None:
        connection = connect()
        connection.send()
        if part:
            connection.receive(part)
        end(connection)
        assert connection.answer.parts.count("end") == 0
        assert isinstance(connection.answer.parts[-1], FailureReason)

    @pytest.mark.parametrize("part", HEAD_CUTS)
    def test_head_is_not_passed_on_before_it_is_whole(
        self,
        part: bytes,
        connect: Callable[[], CalledConnection],
        end: Callable[[CalledConnection], None],
    ) -> None:
        connection = connect()
        connection.send()
        for byte in part:
            connection.receive(bytes([byte]))
        end(connection)
        assert len(connection.answer.parts) == 1
