"""Test what is taken as the end of an answer."""

import pytest

from bramleyturn.core.answer_end import (
    BodyEnd,
    ConnectionEnd,
    EndVerdict,
    Framing,
    framing_of,
    judge_body_end,
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


class TestBodyEnd:
    """When an answer that is no stream is whole."""

    @staticmethod
    def judge(
        body: bytes,
        content_type: bytes = b"application/json",
        framing: Framing = Framing.CLOSE,
        connection: ConnectionEnd = ConnectionEnd.CLOSED,
    ) -> EndVerdict:
        """Judge the end of a body."""
        end = BodyEnd(framing, connection, events=0, unfinished_bytes=0)
        return judge_body_end(end, content_type, body)

    @pytest.mark.parametrize("framing", [Framing.LENGTH, Framing.CHUNKED])
    def test_frame_decides_alone(self, framing: Framing) -> None:
        assert self.judge(b"{", framing=framing) is EndVerdict.COMPLETE

    def test_reset_ends_no_answer(self) -> None:
        verdict = self.judge(b"{}", connection=ConnectionEnd.RESET)
        assert verdict is EndVerdict.BROKEN_OFF

    def test_every_part_of_a_json_document_is_broken_off(self) -> None:
        document = b'{"items": [{"handle": "a\\"b/1"}, {"reason": null}], "n": 1}'
        for cut in range(len(document)):
            assert self.judge(document[:cut]) is EndVerdict.BROKEN_OFF, cut
        assert self.judge(document) is EndVerdict.COMPLETE

    @pytest.mark.parametrize("body", [b"12", b"-1.5"])
    def test_number_may_go_on(self, body: bytes) -> None:
        assert self.judge(body) is EndVerdict.UNCONFIRMED

    @pytest.mark.parametrize("body", [b"null", b"true", b'"text"', b"12\n"])
    def test_other_json_values_are_whole(self, body: bytes) -> None:
        assert self.judge(body) is EndVerdict.COMPLETE

    @pytest.mark.parametrize(
        "content_type",
        [b"application/problem+json", b"Application/JSON; charset=utf-8"],
    )
    def test_other_names_of_json(self, content_type: bytes) -> None:
        assert self.judge(b"{", content_type) is EndVerdict.BROKEN_OFF

    @pytest.mark.parametrize("content_type", [b"", b"application/octet-stream"])
    def test_other_content_shows_no_end(self, content_type: bytes) -> None:
        assert self.judge(b"{", content_type) is EndVerdict.UNCONFIRMED
