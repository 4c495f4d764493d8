"""Decode the store's documents: configuration, servers, pages and changes."""

import base64
from typing import Any

import orjson
import pytest
from hypothesis import given
from hypothesis import strategies as st

from bramleyturn.core.catalog.model import (
    BackendServer,
    PublishedConfiguration,
    RouteKind,
)
from bramleyturn.core.fleet.store_revision import UNKNOWN_ERA, StoreRevision
from bramleyturn.platform.configuration import decode_configuration
from bramleyturn.platform.errors import Malformed
from bramleyturn.platform.servers import decode_server
from bramleyturn.platform.store import (
    StoreChanges,
    StoreItem,
    StorePage,
    decode_changes,
    decode_era,
    decode_page,
    range_target,
    watch_target,
)
from tests.odd_entries import ODD_VALUES

AT_5 = StoreRevision(3, 5)
FIELDS = [
    "version",
    "routes",
    "services",
    "tenants",
    "limits",
    "items",
    "events",
    "currentRev",
    "key",
    "value",
    "revision",
    "name",
    "host",
    "prefix",
    "kind",
    "timeoutMs",
    "service",
    "state",
    "address",
    "zone",
    "slots",
    "pieces",
    "stages",
    "after",
]
JSON = st.recursive(
    st.none()
    | st.booleans()
    | st.floats()
    | st.integers(-(2**63), 2**63)
    | st.text(max_size=8),
    lambda inner: (
        st.lists(inner, max_size=4)
        | st.dictionaries(
            st.sampled_from(FIELDS),
            inner,
            max_size=6,
        )
    ),
    max_leaves=20,
)


def route(**changes: Any) -> dict[str, Any]:
    """Return a route as the platform encodes it."""
    document = {
        "name": "r-1",
        "host": "A.example",
        "prefix": "/a/",
        "kind": "streaming",
        "timeoutMs": 8000,
        "targetLatencyMs": 1900,
        "priority": 1,
        "service": "drafts",
        "maxAttempts": 2,
        "resumable": True,
        "sticky": True,
        "stages": [{"service": "books", "after": [], "bytes": 8000}],
        "gapAimMs": 250,
    }
    return document | changes


def configuration(**changes: Any) -> bytes:
    """Return a configuration document."""
    document: dict[str, Any] = {
        "version": 7,
        "routes": [route()],
        "services": [
            {"name": "drafts", "engine": {"slots": 64, "kvCapacityTokens": 1000}},
            {
                "name": "books",
                "pieces": {
                    "slots": 1,
                    "queue": 2,
                    "batch": 4,
                    "callMs": 150.0,
                    "itemMs": 32.0,
                    "headroomMb": 18.0,
                    "handleS": 4.0,
                },
            },
        ],
        "limits": {"maxHeaderBytes": 100, "maxBodyBytes": 200},
        "tenants": [{"name": "north", "apiKeys": ["k"], "priority": 0}],
    }
    return orjson.dumps(document | changes)


class TestConfiguration:
    """The operators' configuration."""

    def test_whole_document(self) -> None:
        published = decode_configuration(configuration())
        assert isinstance(published, PublishedConfiguration)
        (found,) = published.routes
        assert (found.kind, found.host) == (RouteKind.STREAM, "a.example")
        assert found.is_resumable
        batch = published.pools["books"].batch
        assert batch is not None
        assert (batch.result_capacity_bytes, batch.result_ttl_ms) == (18_000_000, 4_000)
        assert published.workspaces[0].keys == {"k"}
        assert published.limits.max_body_bytes == 200

    @pytest.mark.parametrize(
        ("service", "target"),
        [
            ({"engine": {}, "healthPath": "/health"}, "/bramleyturn/report"),
            ({"pieces": {}, "healthPath": "/health"}, "/bramleyturn/report"),
            ({"healthPath": "/health"}, "/health"),
            ({"healthPath": "/a b"}, None),
            ({"healthPath": 3}, None),
            ({}, None),
        ],
    )
    def test_target_of_the_status(
        self, service: dict[str, Any], target: str | None
    ) -> None:
        services = [{"name": "desk"} | service]
        published = decode_configuration(configuration(services=services))
        assert isinstance(published, PublishedConfiguration)
        assert published.pools["desk"].status_target == target

    def test_traffic_split_by_weight(self) -> None:
        split = [{"service": "a", "weight": 9}, {"service": "b", "weight": 1}]
        document = route(trafficSplit=split)
        del document["service"]
        published = decode_configuration(configuration(routes=[document]))
        assert isinstance(published, PublishedConfiguration)
        assert [target.weight for target in published.routes[0].targets] == [9, 1]

    @pytest.mark.parametrize(
        "changes",
        [
            {"version": None},
            {"routes": {}},
            {"routes": [route(kind="other")]},
            {"routes": [route(timeoutMs="8")]},
            {"routes": [route(stages=[{"service": "x", "after": [0]}])]},
            {"tenants": [{"name": "n", "apiKeys": [1]}]},
            {"routes": [route(allowedRegions="")]},
            {"tenants": [{"name": "n", "apiKeys": [], "allowedRegions": {}}]},
        ],
    )
    def test_one_fault_refuses_the_whole_document(
        self, changes: dict[str, Any]
    ) -> None:
        assert isinstance(decode_configuration(configuration(**changes)), Malformed)

    @pytest.mark.parametrize(
        "changes",
        [{"kind": "odd"}, {"service": "odd"}, {"trafficSplit": [{"service": "odd"}]}],
        ids=["kind", "service", "split"],
    )
    @pytest.mark.parametrize("what", ODD_VALUES)
    def test_odd_value_is_refused(self, what: str, changes: dict[str, Any]) -> None:
        document = configuration(routes=[route(**{"service": "", **changes})])
        value = document.replace(b'"odd"', ODD_VALUES[what])
        assert isinstance(decode_configuration(value), Malformed)

    @given(JSON)
    def test_any_document_is_decoded_or_refused(self, document: Any) -> None:
        decoded = decode_configuration(orjson.dumps(document, default=str))
        assert isinstance(decoded, PublishedConfiguration | Malformed)

    @given(st.binary(max_size=60))
    def test_any_bytes_are_decoded_or_refused(self, value: bytes) -> None:
        assert isinstance(
            decode_configuration(value), PublishedConfiguration | Malformed
        )


class TestServer:
    """A backend server's entry."""

    GOOD = {
        "service": "drafts",
        "address": "10.0.0.9:8080",
        "zone": "north",
        "version": "v1",
        "slots": 64,
        "state": "ready",
        "born": 5,
    }

    def test_entry(self) -> None:
        server = decode_server("servers/i-1", orjson.dumps(self.GOOD))
        assert isinstance(server, BackendServer)
        assert (server.id, server.port, server.started_ms) == ("i-1", 8080, 5)

    @pytest.mark.parametrize(
        "changes",
        [
            {"state": "other"},
            {"service": None},
            {"address": "host:80"},
            {"address": "10.0.0.9:0"},
            {"slots": "64"},
            {"zone": 3},
        ],
    )
    def test_malformed_entry_is_refused(self, changes: dict[str, Any]) -> None:
        value = orjson.dumps(self.GOOD | changes)
        assert isinstance(decode_server("servers/i-1", value), Malformed)

    @given(JSON)
    def test_any_document(self, document: Any) -> None:
        decoded = decode_server("servers/x", orjson.dumps(document, default=str))
        assert isinstance(decoded, BackendServer | Malformed)


class TestStore:
    """Pages and changes."""

    def test_truncated_page_continues_after_its_last_key(self) -> None:
        value = base64.b64encode(b"x").decode()
        item = {"key": "servers/a", "value": value, "revision": 4}
        body = orjson.dumps({"items": [item], "truncated": True, "currentRev": 9})
        page = decode_page(body, 3)
        assert page == StorePage(
            (StoreItem("servers/a", b"x", StoreRevision(3, 4)),),
            StoreRevision(3, 9),
            "servers/a",
        )

    def test_tombstone_is_a_removal(self) -> None:
        event = {"key": "k", "revision": 5, "tombstone": True}
        changes = decode_changes(orjson.dumps({"events": [event], "currentRev": 5}), 3)
        assert changes == StoreChanges((StoreItem("k", None, AT_5),), AT_5)

    def test_value_that_is_not_base64_becomes_empty(self) -> None:
        event = {"key": "k", "revision": 5, "value": "%%"}
        changes = decode_changes(orjson.dumps({"events": [event], "currentRev": 5}), 3)
        assert changes == StoreChanges((StoreItem("k", b"", AT_5),), AT_5)

    def test_malformed_items_are_left_out(self) -> None:
        body = orjson.dumps({"events": [{"key": 1}, {}], "currentRev": 5})
        assert decode_changes(body, 3) == StoreChanges((), AT_5)

    def test_targets(self) -> None:
        assert range_target("servers/", "servers/a b").endswith(
            "prefix=servers%2F&after=servers%2Fa%20b"
        )
        assert "waitMs=30000" in watch_target("", 5, 99_000)

    @given(JSON)
    def test_any_document(self, document: Any) -> None:
        body = orjson.dumps(document, default=str)
        assert isinstance(decode_page(body, 3), StorePage | Malformed)
        assert isinstance(decode_changes(body, 3), StoreChanges | Malformed)


class TestEra:
    """The era in the headers of the store's answers."""

    @pytest.mark.parametrize(("text", "era"), [(b"1", 1), (b" 12 ", 12)])
    def test_number(self, text: bytes, era: int) -> None:
        assert decode_era([(b"store-era", text)]) == era

    def test_missing(self) -> None:
        assert decode_era([(b"content-length", b"2")]) == UNKNOWN_ERA
        assert decode_era([(b"store-era", b"")]) == UNKNOWN_ERA

    @pytest.mark.parametrize(
        "text", [b"0", b"-1", b"1.5", b"first", b"9" * 40, b"\xff", b"1 2"]
    )
    def test_malformed(self, text: bytes) -> None:
        assert isinstance(decode_era([(b"store-era", text)]), Malformed)
