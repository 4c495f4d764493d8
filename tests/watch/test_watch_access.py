"""Test which callers a watch answers."""

from random import Random
from types import SimpleNamespace
from typing import Any

import pytest
from twisted.internet.defer import Deferred, fail
from twisted.internet.error import ConnectionRefusedError as Refused
from twisted.internet.task import Clock as Reactor

from bramleyturn.core.intake import key_digest
from bramleyturn.runtime.system_clock import system_clock
from bramleyturn.watch.reader import read_folder
from bramleyturn.watch.watch_api import refuse_unauthorized
from bramleyturn.watch.watch_loop import WatchLoop, apply_folder, peers_key

OWN, OTHER = "10.0.0.5", "10.0.0.6"
KEY, OLD_KEY = "the-key-of-all-peers-1", "the-key-of-all-peers-0"


class FakeRequest:
    """Stand in for a request from ``peer`` to this instance."""

    def __init__(self, peer: str, target: str, headers: dict[str, str]) -> None:
        self.peer = peer
        self.uri = target.encode()
        self.headers = headers
        self.status = 200

    def getClientAddress(self) -> Any:  # noqa: N802
        return SimpleNamespace(host=self.peer)

    def getHost(self) -> Any:  # noqa: N802
        return SimpleNamespace(host=OWN)

    def getHeader(self, key: str) -> str | None:  # noqa: N802
        return self.headers.get(key)

    def setHeader(self, name: str, value: str) -> None:  # noqa: N802
        pass

    def setResponseCode(self, code: int) -> None:  # noqa: N802
        self.status = code


class RecordingClient:
    """Record the requests and refuse the connection."""

    def __init__(self) -> None:
        self.asked: list[tuple[str, dict[str, str]]] = []

    def request(
        self, _method: str, url: str, headers: dict[str, str], **_more: Any
    ) -> Deferred[Any]:
        self.asked.append((url, headers))
        return fail(Refused())


def watch(peers: str = f"key = {KEY}\nprevious_key = {OLD_KEY}\n") -> WatchLoop:
    client: Any = RecordingClient()
    loop = WatchLoop(
        Reactor(), system_clock(), client, "watch-1", ("127.0.0.1:1",), Random(1)
    )
    operators = f"[admin]\nkey_sha256 = {key_digest('operators')}\n"
    if peers:
        assert apply_folder(loop, 3, {"a.ini": f"[peers]\n{peers}{operators}"}, "test")
    return loop


def is_answered(loop: WatchLoop, peer: str, target: str, **headers: str) -> bool:
    named = {name.replace("_", "-"): value for name, value in headers.items()}
    request: Any = FakeRequest(peer, target, named)
    refused = refuse_unauthorized(loop, request)
    assert (refused is None) == (request.status == 200)
    return refused is None


def request_of_a_watch(key: str) -> tuple[str, dict[str, str]]:
    """Return the target and the headers that another watch would send."""
    client: Any = RecordingClient()
    url = f"http://{OWN}:7001/v1/config"
    reading = read_folder(client, Reactor(), url, 2, 0, key)
    Deferred.fromCoroutine(reading)
    asked, headers = client.asked[0]
    return asked.removeprefix(f"http://{OWN}:7001"), headers


class TestWatch:
    @pytest.mark.parametrize("peer", ["127.0.0.1", OWN])
    def test_answers_its_own_instance(self, peer: str) -> None:
        assert is_answered(watch(), peer, "/v1/config")
        assert is_answered(watch(peers=""), peer, "/v1/config")

    @pytest.mark.parametrize("key", [KEY, OLD_KEY])
    def test_answers_another_watch(self, key: str) -> None:
        target, headers = request_of_a_watch(key)
        assert is_answered(watch(), OTHER, target, **headers)

    def test_refuses_a_signature_for_another_target(self) -> None:
        _, headers = request_of_a_watch(KEY)
        assert not is_answered(watch(), OTHER, "/v1/status", **headers)

    @pytest.mark.parametrize("key", ["another-key-of-nobody", ""])
    def test_refuses_callers_without_a_valid_key(self, key: str) -> None:
        target, headers = request_of_a_watch(key)
        assert not is_answered(watch(), OTHER, target, **headers)

    def test_answers_operators(self) -> None:
        assert is_answered(
            watch(), OTHER, "/v1/status", Authorization="Bearer operators"
        )

    def test_answers_no_other_instance_without_a_configuration(self) -> None:
        target, headers = request_of_a_watch(KEY)
        headers["Authorization"] = "Bearer operators"
        assert not is_answered(watch(peers=""), OTHER, target, **headers)

    def test_signs_with_the_current_key(self) -> None:
        assert peers_key(watch()) == KEY
        assert peers_key(watch(peers="")) == ""
