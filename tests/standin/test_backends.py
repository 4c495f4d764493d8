"""Test backend server stand-ins over HTTP."""

from pathlib import Path

import pytest

from bramleyturn.core.model import PoolKind
from bramleyturn.standin.answers import expected_output
from tests.http_calls import call, connect, receive, received_part, send, wait_until
from tests.processes import launch, output_of, running, start, stop
from tests.standin.conftest import Servers, new_id

KINDS = [
    ("encoder", PoolKind.ENCODER, "embed"),
    ("retriever", PoolKind.RETRIEVER, "index"),
    ("reranker", PoolKind.RERANKER, "rank"),
    ("plain", PoolKind.PLAIN, "roster"),
]
CRASHING = """
[server a]
kind = plain
model = m
listen = 127.0.0.1:0
ledger = {ledger}

[server b]
kind = encoder
model = m
listen = 127.0.0.1:0
"""


class TestCalls:
    @pytest.mark.parametrize(("name", "kind", "model"), KINDS)
    def test_answer_is_as_predicted(
        self, servers: Servers, name: str, kind: PoolKind, model: str
    ) -> None:
        attempt_id = new_id()
        reply = servers.run(name, {"text": "paper boats"}, attempt_id=attempt_id)
        expected = expected_output(kind, model, {"text": "paper boats"})
        assert reply.document["output"] == expected
        assert reply.document["attempt_id"] == attempt_id
        assert servers.runs(name, attempt_id) == ["finished"]

    @pytest.mark.parametrize(
        "fields",
        [{"attempt_id": ""}, {"attempt_id": 3}, {"model": "other"}, {"priority": "x"}],
    )
    def test_bad_input_starts_nothing(
        self, servers: Servers, fields: dict[str, object]
    ) -> None:
        before = servers.get("encoder", "/standin/ledger")["entries"]
        reply = servers.run("encoder", "x", **fields)
        assert reply.status == 400
        assert reply.document["not_started"]
        assert servers.get("encoder", "/standin/ledger")["entries"] == before

    def test_full_queue_refuses_and_starts_nothing(self, servers: Servers) -> None:
        servers.set("encoder", hang=True)
        held = []
        for number in range(2):
            connection = connect(servers.addresses["encoder"])
            body = {"attempt_id": new_id(), "model": "embed", "input": number}
            send(connection, "POST", "/v1/run", body)
            held.append(connection)
        wait_until(
            lambda: servers.run("encoder", "x").status == 503, "a refusal", limit_s=30
        )
        attempt_id = new_id()
        reply = servers.run("encoder", "x", attempt_id=attempt_id)
        assert reply.headers["retry-after"] == "1"
        assert reply.document["not_started"]
        assert servers.runs("encoder", attempt_id) == []
        servers.set("encoder", reset=True)
        for connection in held:
            connection.close()
        wait_until(lambda: servers.run("encoder", "x").status == 200, "free places")

    @pytest.mark.parametrize("fault", ["refuse", "leaving"])
    def test_refusal_starts_nothing(self, servers: Servers, fault: str) -> None:
        servers.set("retriever", **{fault: True})
        attempt_id = new_id()
        reply = servers.run("retriever", "x", attempt_id=attempt_id)
        assert (reply.status, reply.document["not_started"]) == (503, True)
        said = reply.document.get("state")
        assert said == ("leaving" if fault == "leaving" else None)
        assert servers.runs("retriever", attempt_id) == []
        state = servers.get("retriever", "/v1/load")["state"]
        assert state == ("leaving" if fault == "leaving" else "live")

    def test_lost_connection_cancels(self, servers: Servers) -> None:
        servers.set("retriever", hang=True)
        attempt_id = new_id()
        connection = connect(servers.addresses["retriever"])
        send(connection, "POST", "/v1/run", {"attempt_id": attempt_id, "input": 1})
        wait_until(lambda: servers.runs("retriever", attempt_id) != [], "the start")
        connection.close()
        wait_until(
            lambda: servers.runs("retriever", attempt_id) == ["cancelled"], "the end"
        )


class TestFaults:
    def test_next_attempts_fail(self, servers: Servers) -> None:
        servers.set("reranker", fail_next=2)
        attempt_ids = [new_id() for _ in range(3)]
        replies = [
            servers.run("reranker", "x", attempt_id=name) for name in attempt_ids
        ]
        assert [reply.status for reply in replies] == [500, 500, 200]
        assert servers.runs("reranker", attempt_ids[0]) == ["failed"]

    def test_answer_is_dropped_after_the_work_is_done(self, servers: Servers) -> None:
        servers.set("plain", drop_answer=True, answer_faults_left=1)
        attempt_id = new_id()
        with pytest.raises(ConnectionError):
            servers.run("plain", "x", attempt_id=attempt_id)
        assert servers.runs("plain", attempt_id) == ["finished"]
        assert servers.run("plain", "x").status == 200

    def test_answer_is_cut(self, servers: Servers) -> None:
        servers.set("reranker", truncate_answer=True)
        connection = connect(servers.addresses["reranker"])
        send(connection, "POST", "/v1/run", {"attempt_id": new_id(), "input": "x"})
        response = connection.getresponse()
        announced = int(response.headers["content-length"])
        assert 0 < len(response.read1()) < announced
        assert response.read1() == b""

    def test_answer_is_longer_than_announced(self, servers: Servers) -> None:
        servers.set("reranker", longer_than_announced=True)
        connection = connect(servers.addresses["reranker"])
        send(connection, "POST", "/v1/run", {"attempt_id": new_id(), "input": "x"})
        assert connection.sock is not None
        raw = b""
        while not raw.endswith(b"\r\n\r\n{}"):
            raw += connection.sock.recv(65536)
        assert raw.count(b"HTTP/1.1 200") == 2

    def test_attempt_id_is_wrong(self, servers: Servers) -> None:
        servers.set("reranker", wrong_attempt_id=True)
        reply = servers.run("reranker", "x", attempt_id="mine")
        assert reply.document["attempt_id"] != "mine"

    def test_unknown_fault_is_refused(self, servers: Servers) -> None:
        address = servers.addresses["plain"]
        reply = call(address, "POST", "/standin/behaviour", {"colour": 1})
        assert reply.status == 400
        assert "colour" in reply.document["error"]


class TestIdempotencyKey:
    def test_is_recognised_by_every_server_of_the_model(self, servers: Servers) -> None:
        key = new_id()
        first = servers.run("keyed-1", "x", idempotency_key=key)
        attempt_id = new_id()
        second = servers.run("keyed-2", "x", idempotency_key=key, attempt_id=attempt_id)
        assert second.document["output"] == first.document["output"]
        assert second.document["attempt_id"] == attempt_id
        assert servers.runs("keyed-2", attempt_id) == []

    def test_joins_a_running_call(self, servers: Servers) -> None:
        servers.set("keyed-1", slow_factor=10)
        body = {"input": "x", "idempotency_key": new_id()}
        connections = [connect(servers.addresses["keyed-1"]) for _ in range(2)]
        for connection in connections:
            send(connection, "POST", "/v1/call", {"attempt_id": new_id(), **body})
        replies = [receive(connection).document for connection in connections]
        assert replies[0]["output"] == replies[1]["output"]
        ledger = servers.get("keyed-1", "/standin/ledger")["entries"]
        keys = [entry["idempotency_key"] for entry in ledger]
        assert keys.count(str(body["idempotency_key"])) == 1

    def test_belongs_to_one_input(self, servers: Servers) -> None:
        key = new_id()
        servers.run("keyed-1", "x", idempotency_key=key)
        assert servers.run("keyed-1", "y", idempotency_key=key).status == 422

    def test_is_ignored_unless_set(self, servers: Servers) -> None:
        key, attempt_ids = new_id(), [new_id(), new_id()]
        for attempt_id in attempt_ids:
            servers.run("plain", "x", idempotency_key=key, attempt_id=attempt_id)
        assert [servers.runs("plain", name) for name in attempt_ids] == [
            ["finished"],
            ["finished"],
        ]

    def test_started_call_outlives_its_connection(self, servers: Servers) -> None:
        servers.set("plain", slow_factor=5)
        attempt_id = new_id()
        connection = connect(servers.addresses["plain"])
        send(connection, "POST", "/v1/call", {"attempt_id": attempt_id, "input": 1})
        wait_until(lambda: servers.runs("plain", attempt_id) != [], "the start")
        connection.close()
        wait_until(lambda: servers.runs("plain", attempt_id) == ["finished"], "the end")


class TestCrash:
    def test_ends_the_process_and_is_recorded(self, tmp_path: Path) -> None:
        settings = CRASHING.format(ledger=tmp_path / "ledger")
        started = start("bramleyturn.programs.standin", settings, tmp_path)
        try:
            address = started.addresses["a"]
            call(address, "POST", "/standin/behaviour", {"crash_marker": 'a "b"'})
            body = {"attempt_id": "poison", "input": {"text": 'an a "b" c'}}
            with pytest.raises(ConnectionError):
                call(address, "POST", "/v1/call", body)
            assert started.process.wait(30) == 70
        finally:
            stop(started)
        with running("bramleyturn.programs.standin", settings, tmp_path) as again:
            ledger = call(again.addresses["a"], "GET", "/standin/ledger").document
        assert [entry["attempt_id"] for entry in ledger["entries"]] == ["poison"]

    def test_can_stop_one_server_temporarily(self, tmp_path: Path) -> None:
        settings = CRASHING.format(ledger="")
        with running("bramleyturn.programs.standin", settings, tmp_path) as process:
            address = process.addresses["a"]
            faults = {
                "crash_marker": "boom",
                "crash_server_only": True,
                "crash_down_ms": 300,
            }
            call(address, "POST", "/standin/behaviour", faults)
            connection = connect(address)
            body = {"attempt_id": "poison", "input": "boom"}
            send(connection, "POST", "/v1/call", body)
            assert received_part(connection) == b""
            other = process.addresses["b"]
            assert call(other, "GET", "/healthz").status == 200

            def is_back() -> bool:
                try:
                    return call(address, "GET", "/healthz").status == 200
                except ConnectionError:
                    return False

            wait_until(is_back, "the server")
            ledger = call(address, "GET", "/standin/ledger").document
            assert ledger["entries"][0]["state"] == "crashed"


class TestProgram:
    @pytest.mark.parametrize("program", ["standin", "faultproxy"])
    def test_bad_settings_exit_with_2(self, program: str, tmp_path: Path) -> None:
        module = f"bramleyturn.programs.{program}"
        launched = launch(module, "[bad section]\n", tmp_path)
        assert launched.process.wait(60) == 2
        assert "[bad section]" in output_of(launched)

    def test_sigterm_exits_with_0(self, tmp_path: Path) -> None:
        settings = CRASHING.format(ledger="")
        started = start("bramleyturn.programs.standin", settings, tmp_path)
        assert stop(started) == 0
