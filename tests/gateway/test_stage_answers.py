"""Test that the answer to a call of a stage server reaches just that call."""

from typing import Any, Final

import orjson
import pytest
from twisted.internet.defer import Deferred
from twisted.internet.testing import MemoryReactorClock

from bramleyturn.gateway.calls import CallFailed, Peer, WholeAnswer, call
from bramleyturn.gateway.connection_pool import ConnectionPool
from bramleyturn.gateway.stage_answers import (
    MAX_SEEN_RESULTS,
    release_origin,
    report_origin,
    run_origin,
)
from bramleyturn.platform.stage_calls import decode_run
from tests.gateway.wire import WireTransport

RUN: Final = "/bramleyturn/stage-run"
FREE: Final = "/bramleyturn/stage-free"
REPORT: Final = "/bramleyturn/report"
REPORTED: Final = {"waiting": 0, "busy": False, "freeMb": 18}
WRONG: Final = "wrong_answer"


def answer(document: Any, status: int = 200) -> bytes:
    """Return the bytes of an answer; None has no body."""
    body = b"" if document is None else orjson.dumps(document)
    return b"HTTP/1.1 %d Answer\r\nContent-Length: %d\r\n\r\n%b" % (
        status,
        len(body),
        body,
    )


def made(*names: str) -> bytes:
    """Return the answer to a call that made results of these names."""
    return answer({"items": [{"handle": f"10.0.0.1:80/{name}"} for name in names]})


FAILED: Final = answer({"items": [{"reason": "error"}]})
FULL: Final = answer(None, 503)
FREED: Final = answer(None)


class StageServer:
    """Hold the kept connections to a stage server that the test simulates."""

    def __init__(self) -> None:
        self.reactor: Any = MemoryReactorClock()
        self.pool = ConnectionPool(
            self.reactor, lambda: int(self.reactor.seconds() * 1_000)
        )
        self.connections: list[Any] = []
        self.transports: list[WireTransport] = []

    def send(self, target: str, pieces: int = 1) -> list[WholeAnswer | CallFailed]:
        """Start a call; return the list that receives its end."""
        judges = {FREE: release_origin, REPORT: report_origin}
        ended: list[WholeAnswer | CallFailed] = []
        work = call(
            self.pool,
            Peer("i-1", "10.0.0.1", 80),
            b"POST",
            target,
            [],
            b"{}",
            1_000,
            judge_origin=judges.get(target, run_origin(pieces)),
        )
        Deferred.fromCoroutine(work).addCallback(ended.append)
        if self.reactor.tcpClients:
            connection = self.reactor.tcpClients.pop()[2].buildProtocol(None)
            transport = WireTransport()  # type: ignore[no-untyped-call]
            connection.makeConnection(transport)
            self.connections.append(connection)
            self.transports.append(transport)
        return ended

    def write(self, data: bytes, place: int = -1) -> None:
        """Write bytes on a connection."""
        self.connections[place].dataReceived(data)

    def is_kept(self) -> bool:
        """Return whether the last connection may be used again."""
        return not self.transports[-1].is_reset


def names(ended: list[WholeAnswer | CallFailed]) -> list[str]:
    """Return the results in the answer to a call, or why it failed."""
    (end,) = ended
    if isinstance(end, CallFailed):
        return [str(end.reason)]
    found = decode_run(end.body, len(orjson.loads(end.body)["items"])) or []
    return [piece.handle.partition("/")[2] for piece in found]


class TestSecondCopies:
    """A server writes an answer a second time, when the next call has arrived.

    Guards against requests that ran with the inputs of others, which the copy named.
    """

    def test_results_of_another_call_are_not_taken(self) -> None:
        server = StageServer()
        first = server.send(RUN)
        server.write(made("a"))
        second = server.send(RUN)
        assert len(server.connections) == 1
        server.write(made("a"))
        assert (names(first), names(second)) == (["a"], [WRONG])

    def test_own_answer_that_follows_reaches_no_later_call(self) -> None:
        server = StageServer()
        server.send(RUN)
        server.write(made("a"))
        server.send(RUN)
        server.write(made("a"))
        assert not server.is_kept()
        third = server.send(RUN)
        assert len(server.connections) == 2
        server.write(made("b"), 0)
        assert third == []
        server.write(made("c"))
        assert names(third) == ["c"]

    def test_copy_of_an_answer_before_the_last_is_known(self) -> None:
        server = StageServer()
        for name in "abc":
            server.send(RUN)
            server.write(made(name))
        ended = server.send(RUN)
        server.write(made("a"))
        assert names(ended) == [WRONG]

    @pytest.mark.parametrize("copy", [made("a", "c"), made("c", "a"), made("c", "c")])
    def test_answer_with_one_known_or_doubled_result_is_not_taken(
        self, copy: bytes
    ) -> None:
        server = StageServer()
        server.send(RUN, 2)
        server.write(made("a", "b"))
        ended = server.send(RUN, 2)
        server.write(copy)
        assert names(ended) == [WRONG]


class TestOtherCopies:
    """The copy that arrives is of an answer without a result, or of another kind."""

    @pytest.mark.parametrize("copy", [FAILED, FULL])
    def test_answer_without_a_result_ends_the_use_of_its_connection(
        self, copy: bytes
    ) -> None:
        server = StageServer()
        server.send(RUN)
        server.write(copy)
        assert server.is_kept()
        second = server.send(RUN)
        server.write(copy)
        assert len(second) == 1
        assert not server.is_kept()
        third = server.send(RUN)
        server.write(made("of the second"), 0)
        assert third == []

    @pytest.mark.parametrize(
        ("before", "copy"), [(REPORT, answer(REPORTED)), (FREE, FREED)]
    )
    def test_answer_of_another_kind_is_not_taken(
        self, before: str, copy: bytes
    ) -> None:
        server = StageServer()
        server.send(before)
        server.write(copy)
        ended = server.send(RUN)
        server.write(copy)
        assert [str(getattr(each, "reason", "")) for each in ended] == [WRONG]
        assert not server.is_kept()

    @pytest.mark.parametrize("target", [REPORT, FREE])
    def test_results_are_no_answer_to_another_call(self, target: str) -> None:
        server = StageServer()
        server.send(RUN)
        server.write(made("a"))
        ended = server.send(target)
        server.write(made("a"))
        assert [str(getattr(each, "reason", "")) for each in ended] == [WRONG]
        assert not server.is_kept()

    def test_copy_that_a_release_has_taken_leads_no_results_astray(self) -> None:
        server = StageServer()
        for _ in range(2):
            server.send(FREE)
            server.write(FREED)
        # The second one was a copy: its own answer meets the next call.
        ended = server.send(RUN)
        server.write(FREED)
        assert [str(getattr(each, "reason", "")) for each in ended] == [WRONG]
        later = server.send(RUN)
        server.write(made("a"), 0)
        assert later == []


class TestSoundAnswers:
    """A sound server's connection is kept."""

    def test_calls_of_all_kinds_use_one_connection(self) -> None:
        server = StageServer()
        for number in range(20):
            ended = server.send(RUN, 2)
            server.write(made(f"{number}a", f"{number}b"))
            assert names(ended) == [f"{number}a", f"{number}b"]
            server.send(REPORT)
            server.write(answer(REPORTED))
            server.send(FREE)
            server.write(FREED)
        assert len(server.connections) == 1
        assert server.is_kept()

    def test_answer_with_a_result_and_a_failure_is_certain(self) -> None:
        server = StageServer()
        items = [{"handle": "10.0.0.1:80/a"}, {"reason": "late"}]
        for number in range(2):
            ended = server.send(RUN, 2)
            items[0] = {"handle": f"10.0.0.1:80/{number}"}
            server.write(answer({"items": items}))
            assert names(ended) == [str(number), ""]
        assert server.is_kept()

    def test_names_of_one_connection_are_bounded(self) -> None:
        server = StageServer()
        ended = server.send(RUN, MAX_SEEN_RESULTS + 1)
        server.write(made(*(str(number) for number in range(MAX_SEEN_RESULTS + 1))))
        assert len(names(ended)) == MAX_SEEN_RESULTS + 1
        assert not server.is_kept()
