"""Parse requests of callers: complete, split, too large or malformed."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from tests.gateway.wire import LIMITS, ServedConnection

GET = b"GET /a HTTP/1.1\r\nHost: x\r\n\r\n"
POST = b"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\nhello"


class TestRequests:
    """Valid requests."""

    def test_body_with_content_length(self) -> None:
        served = ServedConnection()
        for byte in POST:
            served.receive(bytes([byte]))
        (exchange,) = served.exchanges
        assert (exchange.method, exchange.body) == (b"POST", b"hello")

    def test_body_in_chunks(self) -> None:
        served = ServedConnection()
        head = b"POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
        served.receive(head + b"3\r\nhel\r\n2\r\nlo\r\n0\r\n\r\n")
        assert served.exchanges[0].body == b"hello"

    def test_next_request_waits_for_the_answer(self) -> None:
        served = ServedConnection()
        served.receive(GET + POST)
        assert len(served.exchanges) == 1
        served.exchanges[0].answer(200, [], b"one")
        assert len(served.exchanges) == 2
        served.exchanges[1].answer(200, [], b"two")
        assert served.written().count(b"HTTP/1.1 200") == 2

    def test_request_sent_ahead_is_answered_while_the_process_stops(self) -> None:
        served = ServedConnection()
        served.server.is_closing = True
        served.receive(GET + GET)
        served.exchanges[0].answer(200, [], b"one")
        served.exchanges[1].answer(200, [], b"two")
        first, _, second = served.written().partition(b"one")
        assert b"connection: close" not in first.lower()
        assert b"connection: close" in second.lower()
        assert served.transport.disconnecting

    def test_too_many_bytes_before_the_answer_reset_the_connection(self) -> None:
        served = ServedConnection()
        served.receive(GET)
        served.receive(b"x" * 100_000)
        assert served.transport.is_reset


class TestRefused:
    """Requests that are refused before they are complete."""

    @pytest.mark.parametrize(
        ("data", "status"),
        [
            (b"nonsense\r\n\r\n", b"400"),
            (b"GET /a HTTP/1.1\r\n\r\n", b"400"),
            (b"GET /a HTTP/1.1\r\nHost: x\r\nHost: y\r\n\r\n", b"400"),
            (b"GET /a HTTP/1.1\r\nHost: x\r\nA: " + b"y" * 3_000, b"431"),
            (b"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 101\r\n\r\n", b"413"),
            (
                b"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n"
                b"Content-Length: 6\r\n\r\n",
                b"400",
            ),
            (
                b"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n"
                b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + GET,
                b"400",
            ),
        ],
    )
    def test_error_answer_and_closed_connection(
        self, data: bytes, status: bytes
    ) -> None:
        served = ServedConnection()
        served.receive(data)
        assert served.written().startswith(b"HTTP/1.1 " + status)
        assert served.transport.disconnecting
        assert served.exchanges == []

    def test_chunked_body_beyond_the_limit(self) -> None:
        served = ServedConnection()
        head = b"POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
        served.receive(head + b"80\r\n" + b"x" * 128 + b"\r\n")
        assert served.written().startswith(b"HTTP/1.1 413")

    def test_head_that_takes_too_long_times_out(self) -> None:
        served = ServedConnection()
        served.receive(b"GET /a HTT")
        served.clock.advance(LIMITS.header_timeout_ms / 1_000 + 0.1)
        assert served.written().startswith(b"HTTP/1.1 408")

    @pytest.mark.parametrize("size", [10, len(POST) - 2], ids=["head", "body"])
    def test_rest_that_a_late_loop_has_not_read_is_not_refused(self, size: int) -> None:
        served = ServedConnection()
        served.receive(POST[:size])
        served.transport.unread = POST[size:]
        served.clock.advance(LIMITS.header_timeout_ms / 1_000)
        assert served.written() == b""
        served.transport.unread = b""
        served.receive(POST[size:])
        served.clock.advance(LIMITS.header_timeout_ms / 1_000)
        assert served.written() == b""
        assert [each.body for each in served.exchanges] == [b"hello"]

    def test_request_of_which_a_late_loop_has_read_too_little_times_out(self) -> None:
        served = ServedConnection()
        served.receive(POST[:10])
        served.transport.unread = POST[10:20]
        served.clock.advance(LIMITS.header_timeout_ms / 1_000)
        served.transport.unread = b""
        served.receive(POST[10:20])
        served.clock.advance(0.1)
        assert served.written().startswith(b"HTTP/1.1 408")

    def test_pipelined_head_that_takes_too_long_times_out(self) -> None:
        served = ServedConnection()
        served.receive(GET + b"GET /b HTT")
        served.exchanges[0].answer(200, [], b"one")
        served.clock.advance(LIMITS.idle_timeout_ms / 1_000 + 0.1)
        assert b"HTTP/1.1 408" in served.written()
        assert served.transport.disconnecting

    def test_idle_connection_is_closed(self) -> None:
        served = ServedConnection()
        served.clock.advance(LIMITS.idle_timeout_ms / 1_000 + 0.1)
        assert served.transport.disconnecting

    @pytest.mark.parametrize("is_stopping", [True, False])
    def test_request_that_a_late_loop_has_not_read_is_not_cut_off(
        self, is_stopping: bool
    ) -> None:
        served = ServedConnection()
        served.transport.unread = GET
        served.clock.advance(LIMITS.idle_timeout_ms / 1_000 + 0.1)
        if is_stopping:
            served.server.close_idle(500)
        assert not served.transport.disconnecting
        served.transport.unread = b""
        served.receive(GET)
        assert len(served.exchanges) == 1

    @given(st.lists(st.binary(max_size=30), max_size=8))
    def test_any_bytes_yield_valid_requests_or_none(self, parts: list[bytes]) -> None:
        served = ServedConnection()
        for part in parts:
            served.receive(part)
        assert served.exchanges == [] or served.exchanges[0].method


class TestAnswers:
    """Answers as callers receive them."""

    def test_cut_answer_has_no_final_chunk(self) -> None:
        served = ServedConnection()
        served.receive(GET)
        exchange = served.exchanges[0]
        exchange.start(200, [])
        exchange.send(b"part")
        exchange.cut()
        assert not served.written().endswith(b"0\r\n\r\n")
        assert served.transport.disconnecting

    def test_lost_caller_is_reported_once(self) -> None:
        served = ServedConnection()
        served.receive(GET)
        gone: list[int] = []
        served.exchanges[0].on_gone = lambda: gone.append(1)
        served.lose()
        served.exchanges[0].answer(200, [], b"late")
        assert gone == [1]
        assert served.written() == b""

    def test_answer_while_stopping_closes_the_connection(self) -> None:
        served = ServedConnection()
        served.server.is_closing = True
        served.receive(GET)
        served.exchanges[0].answer(200, [], b"x")
        assert b"Connection: close" in served.written()
        assert served.transport.disconnecting

    def test_answer_is_not_lost_if_the_process_is_killed_in_the_same_turn(self) -> None:
        served = ServedConnection()
        served.server.is_closing = True
        served.receive(GET)
        served.exchanges[0].answer(200, [], b"whole")
        assert served.transport.sent.endswith(b"whole")


class TestCutAnswers:
    """Answers that can't be completed."""

    @staticmethod
    def cut(request: bytes) -> ServedConnection:
        """Begin an answer to a request and cut it."""
        served = ServedConnection()
        served.receive(request)
        (exchange,) = served.exchanges
        exchange.start(200, [])
        exchange.send(b"part")
        exchange.cut()
        return served

    def test_cut_answer_lacks_its_last_chunk(self) -> None:
        served = self.cut(GET)
        assert served.written().endswith(b"4\r\npart\r\n")
        assert served.transport.disconnecting

    def test_cut_answer_to_http_1_0_does_not_look_complete(self) -> None:
        served = self.cut(b"GET /a HTTP/1.0\r\nHost: x\r\n\r\n")
        assert served.written().endswith(b"\r\n\r\npart")
        assert served.transport.is_reset

    def test_whole_answer_to_http_1_0_ends_with_a_clean_close(self) -> None:
        served = ServedConnection()
        served.receive(b"GET /a HTTP/1.0\r\nHost: x\r\n\r\n")
        (exchange,) = served.exchanges
        exchange.start(200, [])
        exchange.send(b"whole")
        exchange.finish()
        assert served.transport.disconnecting
        assert not served.transport.is_reset
