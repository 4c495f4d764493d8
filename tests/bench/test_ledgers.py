"""Tests of reading the ledgers of backend servers."""

from typing import Any

import orjson
import pytest
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from bramleyturn.bench import ledgers
from bramleyturn.bench.ledgers import UnreadLedger, read_runs
from bramleyturn.bench.verdicts import RunKey
from bramleyturn.runtime.errors import CallFailed, CallFailure
from bramleyturn.runtime.http_client import BytesAnswer
from tests.core.entry_simulation import configuration

RAN = BytesAnswer(200, orjson.dumps({"entries": [{"input_digest": "d"}]}), {})
EMPTY = BytesAnswer(200, orjson.dumps({"entries": []}), {})
LOST = CallFailed(CallFailure.LOST, "crashed")


def read(monkeypatch: pytest.MonkeyPatch, answers: list[Any], seconds: int) -> Any:
    """Return the runs read from two servers with scripted answers."""

    async def call_bytes(*_: Any, **__: Any) -> Any:
        return answers.pop(0) if len(answers) > 1 else answers[0]

    monkeypatch.setattr(ledgers, "call_bytes", call_bytes)
    clock: Any = Clock()
    results: list[Any] = []
    client: Any = None
    reading = Deferred.fromCoroutine(read_runs(client, clock, configuration()))
    reading.addCallback(results.append)
    for _ in range(seconds):
        clock.advance(1)
    return results[0]


class TestReadRuns:
    def test_retries_a_server_that_is_being_restarted(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        runs = read(monkeypatch, [LOST, LOST, RAN, EMPTY], seconds=10)
        assert runs == {RunKey("roster", "d"): 1}

    def test_reports_a_server_that_stays_unreachable(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        unread = read(monkeypatch, [LOST], seconds=120)
        assert isinstance(unread, UnreadLedger)
