"""Test what is taken as the end of an answer."""

import pytest

from bramleyturn.core.answer_end import Framing, framing_of


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
