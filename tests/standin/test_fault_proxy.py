"""Test the fault proxy between a caller and a stand-in."""

import http.client
import time
from collections.abc import Iterator
from contextlib import ExitStack
from typing import Any

import pytest

from bramleyturn.standin.link_behaviour import (
    BadLink,
    LinkBehaviour,
    apply_link_changes,
)
from tests.http_calls import (
    Reply,
    call,
    connect,
    receive,
    received_part,
    send,
    wait_until,
)
from tests.processes import running

SERVER = """
[server plain]
kind = plain
model = m
listen = 127.0.0.1:0
service_ms = 1
"""
LINK = "[control]\nlisten = 127.0.0.1:0\n[link a]\nlisten = 127.0.0.1:0\ntarget = {}\n"


class Proxy:
    """Control one link of a running fault proxy in front of a plain service."""

    def __init__(self, control: str, link: str, server: str) -> None:
        self.control = control
        self.link = link
        self.server = server

    def set(self, **changes: Any) -> None:
        reply = call(self.control, "PUT", "/links/a", changes)
        assert reply.status == 200, reply.body

    def counts(self) -> Any:
        return self.shown()["counts"]

    def shown(self) -> Any:
        return call(self.control, "GET", "/links/a").document

    def run(self, attempt_id: str = "x", limit_s: float = 30) -> Reply:
        return call(self.link, "POST", "/v1/call", body(attempt_id), limit_s)

    def ran(self, attempt_id: str) -> bool:
        ledger = call(self.server, "GET", "/standin/ledger").document["entries"]
        return attempt_id in [entry["attempt_id"] for entry in ledger]


def body(attempt_id: str) -> dict[str, Any]:
    return {"attempt_id": attempt_id, "input": "lake"}


def exchange(connection: http.client.HTTPConnection, attempt_id: str) -> Reply:
    send(connection, "POST", "/v1/call", body(attempt_id))
    return receive(connection)


@pytest.fixture(scope="module")
def shared_proxy(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Proxy]:
    folder = tmp_path_factory.mktemp("proxy")
    with ExitStack() as stack:
        server = stack.enter_context(
            running("bramleyturn.programs.standin", SERVER, folder)
        ).addresses["plain"]
        proxy = stack.enter_context(
            running("bramleyturn.programs.faultproxy", LINK.format(server), folder)
        )
        yield Proxy(proxy.address, proxy.addresses["a"], server)


@pytest.fixture
def proxy(shared_proxy: Proxy) -> Proxy:
    """Return a running proxy with the faults of its link reset."""
    shared_proxy.set(reset=True)
    return shared_proxy


class TestModes:
    def test_pass_forwards_and_counts(self, proxy: Proxy) -> None:
        before = proxy.counts()
        assert proxy.run().status == 200
        after = proxy.counts()
        assert after["accepted"] == before["accepted"] + 1
        assert after["bytes_to_client"] > before["bytes_to_client"]

    def test_large_bodies_pass_unchanged(self, proxy: Proxy) -> None:
        text = "boats" * 600_000
        reply = call(
            proxy.link, "POST", "/v1/call", {"attempt_id": "large", "input": text}
        )
        direct = call(
            proxy.server, "POST", "/v1/call", {"attempt_id": "direct", "input": text}
        )
        assert reply.document["output"] == direct.document["output"]

    def test_refuse_refuses_new_connections_only(self, proxy: Proxy) -> None:
        kept = connect(proxy.link)
        assert exchange(kept, "1").status == 200
        proxy.set(mode="refuse")
        with pytest.raises(ConnectionRefusedError):
            proxy.run()
        assert exchange(kept, "2").status == 200
        proxy.set(mode="pass")
        assert proxy.run().status == 200

    def test_cut_closes_open_and_new_connections(self, proxy: Proxy) -> None:
        kept = connect(proxy.link)
        assert exchange(kept, "1").status == 200
        proxy.set(mode="cut")
        # Keeps the client from reconnecting automatically.
        kept.auto_open = 0
        with pytest.raises((ConnectionError, http.client.HTTPException)):
            exchange(kept, "after-cut")
        with pytest.raises((ConnectionError, http.client.HTTPException)):
            proxy.run("after-cut")
        assert not proxy.ran("after-cut")

    def test_blackhole_holds_data_until_it_is_removed(self, proxy: Proxy) -> None:
        kept = connect(proxy.link)
        assert exchange(kept, "held-0").status == 200
        proxy.set(mode="blackhole")
        send(kept, "POST", "/v1/call", body("held-1"))
        fresh = connect(proxy.link)
        send(fresh, "POST", "/v1/call", body("held-2"))
        with pytest.raises(TimeoutError):
            proxy.run("held-3", limit_s=0.3)
        assert not any(proxy.ran(f"held-{number}") for number in (1, 2, 3))
        proxy.set(mode="pass")
        assert receive(kept).document["attempt_id"] == "held-1"
        assert receive(fresh).document["attempt_id"] == "held-2"

    def test_half_open_does_not_notify_the_client(self, proxy: Proxy) -> None:
        kept = connect(proxy.link, limit_s=0.3)
        assert exchange(kept, "0").status == 200
        proxy.set(mode="half_open")
        send(kept, "POST", "/v1/call", body("half-1"))
        with pytest.raises(TimeoutError):
            receive(kept)
        with pytest.raises(TimeoutError):
            proxy.run("half-2", limit_s=0.3)
        assert not proxy.ran("half-1")
        assert not proxy.ran("half-2")
        proxy.set(mode="pass")
        assert proxy.run().status == 200

    def test_no_target_closes_the_connection(self, proxy: Proxy) -> None:
        added = call(
            proxy.control, "PUT", "/links/gone", {"target": "127.0.0.1:1"}
        ).document["links"]["gone"]
        with pytest.raises((ConnectionError, http.client.HTTPException)):
            call(added["address"], "GET", "/healthz")


class TestFaults:
    def test_delay_holds_both_ways(self, proxy: Proxy) -> None:
        proxy.set(delay_ms=100)
        started = time.monotonic()
        assert proxy.run().status == 200
        assert time.monotonic() - started >= 0.2

    def test_answers_are_dropped_after_the_work_ran(self, proxy: Proxy) -> None:
        proxy.set(drop_answers=True)
        with pytest.raises(TimeoutError):
            proxy.run("dropped", limit_s=0.5)
        wait_until(lambda: proxy.ran("dropped"), "the run")

    def test_cuts_after_each_number_of_bytes_to_the_client(self, proxy: Proxy) -> None:
        whole = proxy.run()
        raw_bytes = proxy.counts()["bytes_to_client"]
        proxy.run()
        raw_bytes = proxy.counts()["bytes_to_client"] - raw_bytes
        head_bytes = raw_bytes - len(whole.body)
        for number in range(head_bytes, raw_bytes):
            proxy.set(cut_after_bytes_to_client=number, cuts_left=1)
            connection = connect(proxy.link)
            send(connection, "POST", "/v1/call", body("x"))
            assert received_part(connection) == whole.body[: number - head_bytes]
            assert proxy.run().body == whole.body

    def test_cuts_within_the_request(self, proxy: Proxy) -> None:
        proxy.set(cut_after_bytes_to_server=60)
        with pytest.raises((ConnectionError, http.client.HTTPException)):
            proxy.run("in-part")
        assert not proxy.ran("in-part")

    @pytest.mark.parametrize(
        "changes", [{"mode": "x"}, {"delay_ms": -1}, {"hue": 1}, {"drop_answers": 1}]
    )
    def test_unknown_change_is_refused(self, changes: dict[str, Any]) -> None:
        assert isinstance(apply_link_changes(LinkBehaviour(), changes), BadLink)


class TestControl:
    def test_adds_links(self, proxy: Proxy) -> None:
        added = call(
            proxy.control, "PUT", "/links/b", {"target": proxy.server, "delay_ms": 1}
        )
        address = added.document["links"]["b"]["address"]
        assert call(address, "GET", "/healthz").status == 200
        assert "b" in call(proxy.control, "GET", "/links").document["links"]

    def test_changes_many_at_once_or_none(self, proxy: Proxy) -> None:
        changes = {"a": {"mode": "cut"}, "unknown": {"mode": "cut"}}
        reply = call(proxy.control, "PUT", "/links", {"links": changes})
        assert reply.status == 400
        assert proxy.shown()["mode"] == "pass"
