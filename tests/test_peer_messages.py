"""Send valid, altered, replayed and misaddressed messages to real entries."""

import time
from pathlib import Path
from typing import Any

import orjson

from bramleyturn.core.peer_message import (
    MessageKind,
    PeerMessage,
    encode_message,
    message_macs,
)
from bramleyturn.core.tickets import ProcessRef
from scripts.fleet import Fleet, FleetPlan, publish_files, workspace_key
from tests.http_calls import connect, receive
from tests.operators import operate

OLD = "the-old-key-of-peers-0123456789"
NEW = "the-new-key-of-peers-9876543210"
LIMIT_S = 60.0
KEYS_FILE = "95-peers.ini"


def keys_text(key: str, previous: str = "") -> str:
    return f"[peers]\nkey = {key}\nprevious_key = {previous}\n"


def fleet_plan(folder: Path, key: str) -> FleetPlan:
    return FleetPlan(
        folder,
        zones=("duluth",),
        entries_per_zone=3,
        extra_files={KEYS_FILE: keys_text(key)},
    )


def status(fleet: Fleet, name: str) -> Any:
    return operate(fleet.addresses[name], "/v1/status").document


def wait_until(what: str, condition: Any) -> None:
    deadline_s = time.monotonic() + LIMIT_S
    while not condition():
        assert time.monotonic() < deadline_s, what
        time.sleep(0.05)


def all_peers_alive(fleet: Fleet) -> bool:
    names = fleet.entry_names()
    return all(
        sum(peer["life"] == "alive" for peer in status(fleet, name)["peers"])
        == len(names) - 1
        for name in names
    )


def send_packed(fleet: Fleet, name: str, packed: bytes, macs: str) -> tuple[int, Any]:
    connection = connect(fleet.addresses[name])
    headers = {"Content-Type": "application/json", "Bramleyturn-Mac": macs}
    connection.request("POST", "/peer/v1/message", packed, headers)
    reply = receive(connection)
    connection.close()
    return reply.status, reply.document


def hello_message(to: str, sequence: int) -> bytes:
    return encode_message(
        PeerMessage(
            ProcessRef("127.0.0.1:9", "stranger"),
            "stranger",
            "duluth",
            0,
            MessageKind.HELLO,
            {"version": 1},
            sequence,
            to,
        )
    )


def send_request(fleet: Fleet, name: str, number: int) -> int:
    """Send one request and return its status."""
    connection = connect(fleet.addresses[name])
    body = orjson.dumps({"input": {"text": f"request {number}"}})
    headers = {
        "Content-Type": "application/json",
        "Authorization": f"Bearer {workspace_key('lessons')}",
        "Bramleyturn-Request-Id": f"rotation-{number}",
    }
    connection.request("POST", "/v1/pipelines/craft-idea/requests", body, headers)
    reply = receive(connection)
    connection.close()
    return reply.status


class TestRefusal:
    def test_each_bad_message_is_refused_and_counted(self, tmp_path: Path) -> None:
        with Fleet(fleet_plan(tmp_path, OLD)) as fleet:
            name = fleet.entry_names()[0]
            incarnation = status(fleet, name)["incarnation"]
            good = hello_message(incarnation, 5)
            signed = message_macs(good, (OLD,))
            sent = [
                (good, signed, 200, ""),
                (good, signed, 403, "replayed"),
                (good.replace(b"duluth", b"toledo"), signed, 403, "bad_mac"),
                (good, message_macs(good, (NEW,)), 403, "bad_mac"),
                (good, "", 403, "bad_mac"),
                (
                    hello_message("former", 6),
                    message_macs(hello_message("former", 6), (OLD,)),
                    403,
                    "other_incarnation",
                ),
                (
                    hello_message(incarnation, 4),
                    message_macs(hello_message(incarnation, 4), (OLD,)),
                    200,
                    "",
                ),
            ]
            for packed, macs, code, reason in sent:
                answered, document = send_packed(fleet, name, packed, macs)
                assert answered == code, document
                assert not reason or document["detail"] == reason
            refused = status(fleet, name)["messages"]["refused"]
            assert refused["bad_mac"] == 3
            assert refused["replayed"] == refused["other_incarnation"] == 1

    def test_without_a_key_nothing_is_sent_or_accepted(self, tmp_path: Path) -> None:
        with Fleet(fleet_plan(tmp_path, "")) as fleet:
            name = fleet.entry_names()[0]
            incarnation = status(fleet, name)["incarnation"]
            packed = hello_message(incarnation, 1)
            for macs in ("", message_macs(packed, (OLD,))):
                assert send_packed(fleet, name, packed, macs)[0] == 403
            wait_until("peers listed", lambda: status(fleet, name)["peers"])
            for each in fleet.entry_names():
                counted = status(fleet, each)["messages"]["count"]
                assert set(counted) <= {"load_reports"}


class TestRotation:
    def test_keys_are_rotated_under_load_without_a_lost_request(
        self, tmp_path: Path
    ) -> None:
        with Fleet(fleet_plan(tmp_path, OLD)) as fleet:
            wait_until("all peers alive", lambda: all_peers_alive(fleet))
            names = fleet.entry_names()
            statuses: list[int] = []
            for key, previous in ((NEW, OLD), (NEW, "")):
                fleet.files[KEYS_FILE] = keys_text(key, previous)
                before = status(fleet, names[0])["revision"]
                publish_files(fleet)
                is_adopted = False
                for number in range(200):
                    sent = len(statuses)
                    statuses.append(send_request(fleet, names[sent % 3], sent))
                    is_adopted = all(
                        status(fleet, n)["revision"] > before for n in names
                    )
                    if is_adopted and number > 20:
                        break
                assert is_adopted
            assert set(statuses) == {200}, statuses
            wait_until("all peers still alive", lambda: all_peers_alive(fleet))
            for name in names:
                assert "bad_mac" not in status(fleet, name)["messages"]["refused"]


class TestLiveness:
    def test_killed_process_is_gone_and_a_paused_one_alive_again(
        self, tmp_path: Path
    ) -> None:
        text = keys_text(OLD) + "probe_interval_ms = 200\nsuspect_ms = 1500\n"
        plan = fleet_plan(tmp_path, OLD)._replace(extra_files={KEYS_FILE: text})
        with Fleet(plan) as fleet:
            wait_until("all peers alive", lambda: all_peers_alive(fleet))
            first, second, third = fleet.entry_names()

            def liveness(seen_by: str, name: str) -> str:
                peers = status(fleet, seen_by)["peers"]
                liveness_by_address = {
                    peer["address"]: str(peer["life"]) for peer in peers
                }
                return liveness_by_address.get(fleet.addresses[name], "")

            fleet.freeze(second)
            wait_until("paused one is gone", lambda: liveness(first, second) == "gone")
            fleet.thaw(second)
            wait_until("resumed one is alive", lambda: all_peers_alive(fleet))
            fleet.kill(third)
            for name in (first, second):
                wait_until(
                    "killed one is gone", lambda n=name: liveness(n, third) == "gone"
                )
                assert liveness(name, first if name == second else second) == "alive"
