"""Test what is taken as the end of an answer."""

import pytest

from bramleyturn.core.answer_end import (
    BodyEnd,
    ConnectionEnd,
    EndVerdict,
    Framing,
    framing_of,
    judge_stream_end,
)


class TestFraming:
    """What marks the end of a body."""

    @pytest.mark.parametrize(
        ("headers", "framing"),
        [
            ([(b"content-length", b"2")], Framing.LENGTH),
            ([(b"transfer-encoding", b"chunked")], Framing.CHUNKED),
            (
                [(b"content-length", b"2"), (b"transfer-encoding", b"chunked")],
                Framing.CHUNKED,
            ),
            ([(b"connection", b"close")], Framing.CLOSE),
        ],
    )
    def test_headers_decide(
        self, headers: list[tuple[bytes, bytes]], framing: Framing
    ) -> None:
        assert framing_of(b"GET", 200, headers) is framing

    @pytest.mark.parametrize(
        ("method", "status"), [(b"HEAD", 200), (b"GET", 204), (b"GET", 304)]
    )
    def test_answer_that_has_no_body(self, method: bytes, status: int) -> None:
        assert framing_of(method, status, []) is Framing.NO_BODY


class TestStreamEnd:
    """When a stream of events is whole."""

    @pytest.mark.parametrize("framing", list(Framing))
    @pytest.mark.parametrize("connection", list(ConnectionEnd))
    def test_end_inside_an_event_is_broken_off(
        self, framing: Framing, connection: ConnectionEnd
    ) -> None:
        end = BodyEnd(framing, connection, events=3, unfinished_bytes=1)
        assert judge_stream_end(end) is EndVerdict.BROKEN_OFF

    @pytest.mark.parametrize("framing", [Framing.LENGTH, Framing.CHUNKED])
    @pytest.mark.parametrize("connection", list(ConnectionEnd))
    @pytest.mark.parametrize("events", [0, 3])
    def test_framed_stream_is_complete_at_the_end_of_its_frame(
        self, framing: Framing, connection: ConnectionEnd, events: int
    ) -> None:
        end = BodyEnd(framing, connection, events, unfinished_bytes=0)
        assert judge_stream_end(end) is EndVerdict.COMPLETE

    @pytest.mark.parametrize(
        ("connection", "events", "verdict"),
        [
            (ConnectionEnd.CLOSED, 3, EndVerdict.UNCONFIRMED),
            (ConnectionEnd.CLOSED, 0, EndVerdict.BROKEN_OFF),
            (ConnectionEnd.RESET, 3, EndVerdict.BROKEN_OFF),
            (ConnectionEnd.OPEN, 3, EndVerdict.BROKEN_OFF),
        ],
    )
    def test_close_alone_confirms_nothing(
        self, connection: ConnectionEnd, events: int, verdict: EndVerdict
    ) -> None:
        end = BodyEnd(Framing.CLOSE, connection, events, unfinished_bytes=0)
        assert judge_stream_end(end) is verdict
