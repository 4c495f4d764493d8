"""Test that calls leave nothing behind that only a collection would free."""

import gc
import weakref
from collections.abc import Iterator
from typing import Any

import pytest
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from bramleyturn.gateway.calls import Peer, WholeAnswer, WholeAnswerListener, call_on
from bramleyturn.gateway.connection_pool import ConnectionPool
from tests.gateway.wire import CalledConnection

WHOLE = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"


@pytest.fixture(autouse=True)
def without_collection() -> Iterator[None]:
    """Free only what nothing refers to any more."""
    gc.collect()
    gc.disable()
    yield
    gc.enable()


class TestListeners:
    """Listeners, which hold the bodies of answers."""

    @pytest.mark.parametrize("gap_ms", [None, 500])
    def test_are_freed_at_the_end_of_their_calls(
        self, gap_ms: int | None, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        made: list[Any] = []

        class Noted(WholeAnswerListener):
            """Note each listener."""

            def __init__(self, *arguments: Any) -> None:
                super().__init__(*arguments)
                made.append(weakref.ref(self))

        monkeypatch.setattr("bramleyturn.gateway.calls.WholeAnswerListener", Noted)
        wire = CalledConnection()
        pool = ConnectionPool(wire_clock := Clock(), lambda: 0)
        peer = Peer("store", "127.0.0.1", 80)
        sent = call_on(wire.connection, pool, peer, b"GET", "/", [], b"", 1_000, gap_ms)
        ended: list[Any] = []
        Deferred.fromCoroutine(sent).addBoth(ended.append)
        wire.receive(WHOLE)
        assert isinstance(ended[0], WholeAnswer)
        assert wire_clock.getDelayedCalls() == []
        del sent
        assert [each() for each in made] == [None]
