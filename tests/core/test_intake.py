"""Tests of the validation of callers' requests."""

import hashlib
from typing import Any

import orjson
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from bramleyturn.core.intake import (
    MAX_TICKET_CHARACTERS,
    BadRequest,
    CallerHeaders,
    CheckedRequest,
    access_table,
    check_request,
)
from tests.core.entry_simulation import FOLDER, configuration

KEY = "a-key"
DIGEST = hashlib.sha256(KEY.encode()).hexdigest()
TABLE = access_table(
    configuration({"10.ini": FOLDER["10.ini"].replace("a" * 64, DIGEST)})
)
GOOD = CallerHeaders(f"Bearer {KEY}", "1000", "r-1", "")
BODY = b'{"input": "text"}'


def check(
    headers: CallerHeaders = GOOD, body: bytes = BODY, pipeline: str = "draft"
) -> CheckedRequest | BadRequest:
    return check_request(TABLE, pipeline, headers, body, "new-id")


class TestGoodRequest:
    def test_is_accepted_as_sent(self) -> None:
        checked = check()
        assert isinstance(checked, CheckedRequest)
        assert (checked.workspace.name, checked.pipeline.name) == ("lessons", "draft")
        assert (checked.request_id, checked.left_ms) == ("r-1", 1_000)

    def test_gets_an_id_and_the_deadline_of_its_pipeline(self) -> None:
        checked = check(GOOD._replace(deadline="", request_id=""))
        assert isinstance(checked, CheckedRequest)
        assert (checked.request_id, checked.left_ms) == ("new-id", 5_000)


class TestBadRequest:
    @pytest.mark.parametrize(
        ("change", "status", "field"),
        [
            ({"authorization": ""}, 401, "Authorization"),
            ({"authorization": "Basic abc"}, 401, "Authorization"),
            ({"authorization": "Bearer wrong"}, 401, "Authorization"),
            ({"authorization": "Bearer " + "x" * 999}, 401, "Authorization"),
            ({"deadline": "0"}, 400, "Bramleyturn-Deadline-Ms"),
            ({"deadline": "-5"}, 400, "Bramleyturn-Deadline-Ms"),
            ({"deadline": "1.5"}, 400, "Bramleyturn-Deadline-Ms"),
            ({"deadline": "9" * 400}, 400, "Bramleyturn-Deadline-Ms"),
            ({"deadline": "\u0665\u0660\u0660"}, 400, "Bramleyturn-Deadline-Ms"),
            ({"request_id": "has blanks"}, 400, "Bramleyturn-Request-Id"),
            ({"request_id": "x" * 129}, 400, "Bramleyturn-Request-Id"),
            ({"ticket": "t" * (MAX_TICKET_CHARACTERS + 1)}, 400, "Bramleyturn-Ticket"),
        ],
    )
    def test_names_the_header_that_is_wrong(
        self, change: dict[str, str], status: int, field: str
    ) -> None:
        bad = check(GOOD._replace(**change))
        assert isinstance(bad, BadRequest)
        assert (bad.status, bad.field) == (status, field)

    @pytest.mark.parametrize(
        ("body", "status", "field"),
        [
            (b"", 400, "body"),
            (b"{", 400, "body"),
            (b"\xff\xfe", 400, "body"),
            (b"[1]", 400, "input"),
            (b'{"text": 1}', 400, "input"),
            (b"[" * 5_000, 400, "body"),
            (b'{"input": "' + b"x" * (9 << 20) + b'"}', 413, "body"),
        ],
        ids=["empty", "cut", "no text", "list", "other", "deep", "large"],
    )
    def test_names_what_is_wrong_with_the_body(
        self, body: bytes, status: int, field: str
    ) -> None:
        bad = check(body=body)
        assert isinstance(bad, BadRequest)
        assert (bad.status, bad.field) == (status, field)

    def test_does_not_distinguish_unknown_from_forbidden_pipelines(self) -> None:
        bad = check(pipeline="nothing")
        assert isinstance(bad, BadRequest)
        assert bad.status == 404

    def test_never_echoes_a_key(self) -> None:
        bad = check(GOOD._replace(authorization="Bearer secret-of-mine"))
        assert isinstance(bad, BadRequest)
        assert "secret-of-mine" not in " ".join(map(str, bad))


class TestAnyRequest:
    @settings(derandomize=True, max_examples=400)
    @given(
        headers=st.builds(
            CallerHeaders,
            st.one_of(st.just(f"Bearer {KEY}"), st.text(max_size=80)),
            st.one_of(st.integers().map(str), st.text(max_size=30)),
            st.text(max_size=140),
            st.text(max_size=40),
        ),
        body=st.one_of(
            st.binary(max_size=60),
            st.recursive(
                st.none() | st.booleans() | st.text(max_size=9),
                lambda inner: st.dictionaries(st.just("input"), inner, max_size=1),
            ).map(orjson.dumps),
        ),
        pipeline=st.sampled_from(["draft", "signup", "", "../draft", "x" * 300]),
    )
    def test_is_accepted_or_refused_with_a_field(
        self, headers: CallerHeaders, body: bytes, pipeline: str
    ) -> None:
        result: Any = check(headers, body, pipeline)
        if isinstance(result, BadRequest):
            assert 400 <= result.status < 500
            assert result.title
            assert result.field
            return
        assert 1 <= result.left_ms <= TABLE.configuration.limits.max_deadline_ms
        assert result.pipeline.name == pipeline
