"""Test the platform stand-in over HTTP."""

import time
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest

from tests.http_calls import Reply, call, connect, receive, send, wait_until
from tests.processes import running

SETTINGS = """
[platform]
listen = 127.0.0.1:0
reads_per_s = 50
folder = {folder}
"""


class Platform:
    """Call one running platform."""

    def __init__(self, addresses: dict[str, str]) -> None:
        self.address = addresses["platform"]
        self.control = addresses["platform-control"]

    def get(self, path: str) -> Reply:
        return call(self.address, "GET", path)

    def put(self, path: str, document: Any) -> Reply:
        return call(self.control, "PUT", path, document)

    def set(self, **faults: Any) -> None:
        assert call(self.control, "POST", "/standin/behaviour", faults).status == 200

    def reads(self) -> Any:
        return call(self.control, "GET", "/standin/reads").document


@pytest.fixture
def platform(tmp_path: Path) -> Iterator[Platform]:
    folder = tmp_path / "published"
    folder.mkdir()
    (folder / "10-pools.ini").write_text("[pool a]\n")
    (folder / "notes.txt").write_text("no settings")
    settings = SETTINGS.format(folder=folder)
    with running("bramleyturn.programs.standin", settings, tmp_path) as process:
        yield Platform(process.addresses)


class TestConfig:
    def test_publishes_the_folder_as_revision_1(self, platform: Platform) -> None:
        document = platform.get("/config").document
        assert document == {"revision": 1, "files": {"10-pools.ini": "[pool a]\n"}}

    def test_wait_ends_with_a_newer_revision(self, platform: Platform) -> None:
        connection = connect(platform.address)
        send(connection, "GET", "/config?after=1&wait_ms=60000")
        wait_until(lambda: platform.reads()["waiting"] == 1, "the waiting call")
        assert platform.put("/standin/config", {"files": {"a": "b"}}).status == 200
        expected = {"revision": 2, "files": {"a": "b"}}
        assert receive(connection).document == expected
        assert platform.reads()["waiting"] == 0

    def test_wait_ends_after_its_time(self, platform: Platform) -> None:
        assert platform.get("/config?after=1&wait_ms=20").document["revision"] == 1

    def test_lost_connection_ends_the_wait(self, platform: Platform) -> None:
        connection = connect(platform.address)
        send(connection, "GET", "/config?after=1&wait_ms=60000")
        wait_until(lambda: platform.reads()["waiting"] == 1, "the waiting call")
        connection.close()
        wait_until(lambda: platform.reads()["waiting"] == 0, "its end")

    def test_revision_may_be_chosen_but_not_lowered(self, platform: Platform) -> None:
        files = {"files": {}, "revision": 5}
        assert platform.put("/standin/config", files).document == {"revision": 5}
        assert platform.put("/standin/config", files).status == 409
        assert platform.put("/standin/config", {"files": {"a": 1}}).status == 400


class TestFaults:
    def test_stale_replica_serves_an_older_revision(self, platform: Platform) -> None:
        platform.put("/standin/config", {"files": {}})
        platform.set(stale_revision=1)
        assert platform.get("/config").document["revision"] == 1
        platform.set(stale_revision=0)
        assert platform.get("/config").document["revision"] == 2

    def test_outage_refuses_or_answers_503(self, platform: Platform) -> None:
        platform.set(outage="503")
        assert platform.get("/instances").status == 503
        kept = connect(platform.address)
        send(kept, "GET", "/config")
        assert receive(kept).status == 503
        platform.set(outage="refuse")
        with pytest.raises(ConnectionRefusedError):
            platform.get("/config")
        platform.set(outage="none")
        assert platform.get("/config").status == 200

    def test_instance_list_lags(self, platform: Platform) -> None:
        instances = [{"name": "a", "state": "leaving"}]
        platform.set(list_lag_ms=200)
        before = time.monotonic()
        platform.put("/standin/instances", {"instances": instances})
        assert platform.get("/instances").document["instances"] == []

        def listed() -> bool:
            return bool(platform.get("/instances").document.get("instances"))

        wait_until(listed, "the list")
        assert time.monotonic() - before >= 0.2


class TestReads:
    def test_beyond_the_limit_are_refused_and_counted(self, platform: Platform) -> None:
        statuses = [platform.get("/weights/m").status for _ in range(200)]
        reads = platform.reads()
        assert reads["by_path"] == {"/weights": 200}
        assert statuses.count(429) == reads["refused"]
        allowed = sum(min(50, number) for _, number in reads["by_second"])
        assert statuses.count(200) == allowed

    def test_weights_are_described(self, platform: Platform) -> None:
        document = platform.get("/weights/draft-7b").document
        assert document["model"] == "draft-7b"
        assert document["size_bytes"] > 0
