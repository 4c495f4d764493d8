"""Test an entry process that cannot reach its watch."""

from collections.abc import Iterator
from pathlib import Path

import pytest

from tests.operators import send_raw
from tests.processes import running

SETTINGS = """
[process]
name = entry-duluth-1
zone = duluth
listen = 127.0.0.1:0
watch = 127.0.0.1:9
"""
HEADERS = {"Authorization": "Bearer a-valid-key"}


@pytest.fixture
def address(tmp_path: Path) -> Iterator[str]:
    """Return the address of an entry whose watch is unreachable."""
    with running("bramleyturn.programs.entry", SETTINGS, tmp_path) as entry:
        yield entry.address


class TestWithoutConfiguration:
    def test_is_healthy_but_not_ready(self, address: str) -> None:
        assert send_raw(address, "GET", "/healthz", None, {}).status == 200
        assert send_raw(address, "GET", "/readyz", None, {}).status == 503

    def test_answers_not_run_with_retry_after(self, address: str) -> None:
        path = "/v1/pipelines/lesson-draft/requests"
        reply = send_raw(address, "POST", path, b'{"input": 1}', HEADERS)
        assert reply.status == 503
        assert reply.headers["retry-after"] == "1"
        document = reply.document
        assert (document["outcome"], document["reason"]) == ("not_run", "starting")

    @pytest.mark.parametrize(
        ("method", "path"), [("POST", "/v1/tickets"), ("GET", "/v1/requests/r1")]
    )
    def test_answers_starting_instead_of_unknown_key(
        self, address: str, method: str, path: str
    ) -> None:
        reply = send_raw(address, method, path, b"{}", HEADERS)
        assert reply.status == 503
        assert reply.headers["retry-after"] == "1"
