"""Test that the bodies of callers that have left are freed at once."""

import gc
import tracemalloc
from collections.abc import Iterator
from typing import Final

import pytest

from bramleyturn.core.catalog.model import RouteKind
from tests.gateway.one_entry import Caller, OneEntry, plain_route, server

BODY_BYTES: Final = 1_000_000
CALLERS: Final = 10
WAIT_MS: Final = 1_000


@pytest.fixture
def _no_collector() -> Iterator[None]:
    """Free only what no reference holds, and measure what is not freed."""
    gc.collect()
    gc.disable()
    tracemalloc.start()
    yield
    tracemalloc.stop()
    gc.enable()


@pytest.mark.usefixtures("_no_collector")
class TestCallersThatLeave:
    """Callers send large bodies and leave, or their deadlines pass.

    Guards against bodies that stayed in cycles of references until the collector ran,
    which counts objects and not their bytes.
    """

    @pytest.mark.parametrize("is_leaving", [True, False], ids=["leaves", "deadline"])
    def test_bodies_are_freed(self, is_leaving: bool) -> None:
        entry = OneEntry([plain_route(RouteKind.NON_IDEMPOTENT)], [server("i-1")])
        for number in range(CALLERS):
            caller = Caller(entry)
            length = f"Content-Length: {BODY_BYTES}"
            caller.send(f"a{number}", wait_ms=WAIT_MS, fields=[length])
            caller.connection.dataReceived(bytes(BODY_BYTES))
            called = entry.accept()
            if not is_leaving:
                entry.run(WAIT_MS)
            caller.lose()
            called.reset()
            entry.reactor.connectors.clear()
            entry.run(1)
            entry.reactor.tcpClients.clear()
            del caller, called
        assert tracemalloc.get_traced_memory()[0] < 2 * BODY_BYTES
