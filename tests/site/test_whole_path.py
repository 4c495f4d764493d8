"""Test requests end to end through real processes with stand-ins of the platform."""

from collections.abc import Iterator
from functools import partial
from typing import Any

import pytest

from tests.site.site_fleet import SiteFleet, running_fleet, wait_until

ALL_SERVERS = ("i-members-0", "i-members-1", "i-drafts-0", "i-drafts-1")


@pytest.fixture(scope="module")
def site(tmp_path_factory: pytest.TempPathFactory) -> Iterator[SiteFleet]:
    """Run one site for the module."""
    with running_fleet(tmp_path_factory.mktemp("site")) as fleet:
        yield fleet


@pytest.fixture
def faulty_site(site: SiteFleet) -> Iterator[SiteFleet]:
    """Return the site for a test that injects faults, and end them after it."""
    yield site
    for server in ALL_SERVERS:
        site.send_control("/fault", server=server, fault="")
    site.send_control("/store")


def set_fault(site: SiteFleet, pool: str, fault: str) -> None:
    """Inject a fault into every server of a pool."""
    for place in range(2):
        site.send_control("/fault", server=f"i-{pool}-{place}", fault=fault)


class TestPlainService:
    """Requests to a plain service."""

    def test_answer_comes_from_the_server(self, site: SiteFleet) -> None:
        answer = site.call("/lookup/1?q=2", attempt_id="p1")
        assert answer.status == 200
        assert answer.body == b"answer to p1"
        assert answer.headers["bramleyturn-response-signature"].startswith("signed-by")
        (ran,) = site.ran("p1")
        assert ran["target"] == "/lookup/1?q=2"
        assert ran["headers"]["bramleyturn-tenant"] == "north"
        assert "authorization" not in ran["headers"]

    def test_unknown_key_and_route(self, site: SiteFleet) -> None:
        assert site.call("/lookup/1", key="other").status == 401
        assert site.call("/nowhere/1").status == 404

    def test_request_refused_by_all_servers_is_not_run(
        self, faulty_site: SiteFleet
    ) -> None:
        set_fault(faulty_site, "members", "shed")
        answer = faulty_site.call("/order/1", method="POST", body=b"x", attempt_id="p2")
        assert answer.status == 503
        assert float(answer.headers["retry-after"]) <= 2 / 3
        assert faulty_site.ran("p2") == []

    def test_lost_answer_to_an_order_is_not_retried(
        self, faulty_site: SiteFleet
    ) -> None:
        set_fault(faulty_site, "members", "reset")
        answer = faulty_site.call("/order/1", method="POST", body=b"x", attempt_id="p3")
        assert answer.status == 502
        assert len(faulty_site.ran("p3")) == 1

    def test_lost_answer_to_a_lookup_is_retried(self, faulty_site: SiteFleet) -> None:
        faulty_site.send_control("/fault", server="i-members-0", fault="reset")
        for number in range(6):
            assert (
                faulty_site.call("/lookup/1", attempt_id=f"p4-{number}").status == 200
            )

    def test_cut_answer_does_not_reach_the_caller(self, faulty_site: SiteFleet) -> None:
        set_fault(faulty_site, "members", "cut")
        answer = faulty_site.call("/order/1", method="POST", body=b"x")
        assert (answer.status, answer.is_whole) == (502, True)

    def test_unresponsive_server_ends_with_the_callers_deadline(
        self, faulty_site: SiteFleet
    ) -> None:
        set_fault(faulty_site, "members", "hang")
        answer = faulty_site.call("/order/1", method="POST", body=b"x", wait_ms=400)
        assert answer.status == 504

    def test_deadline_before_any_server_was_reached_is_not_run(
        self, faulty_site: SiteFleet
    ) -> None:
        answer = faulty_site.draft(attempt_id="p5", wait_ms=16)
        assert answer.status == 503
        assert faulty_site.ran("p5") == []


class TestStreams:
    """Streams that follow a stage."""

    def test_stream_is_complete_and_has_its_inputs(self, site: SiteFleet) -> None:
        answer = site.draft(attempt_id="s1")
        assert answer.status == 200
        assert answer.body.count(b"data: token-") == 8
        (ran,) = site.ran("s1")
        assert len(ran["headers"]["bramleyturn-inputs"].split(",")) == 2

    def test_results_are_released(self, site: SiteFleet) -> None:
        assert site.draft(entry=1).status == 200

        def is_free() -> bool:
            servers = site.send_control("/ledger")["servers"]
            return all(server["kept"] == 0 for server in servers.values())

        wait_until(is_free, "every result released")

    def test_cut_stream_resumes_on_another_engine(self, faulty_site: SiteFleet) -> None:
        for server in ("i-drafts-0", "i-drafts-1"):
            faulty_site.send_control("/fault", server="i-drafts-0", fault="")
            faulty_site.send_control("/fault", server="i-drafts-1", fault="")
            faulty_site.send_control("/fault", server=server, fault="cut")
            answer = faulty_site.draft()
            assert answer.is_whole
            assert answer.body.count(b"data: token-") == 8, server

    def test_stream_that_no_engine_finishes_is_cut(
        self, faulty_site: SiteFleet
    ) -> None:
        set_fault(faulty_site, "drafts", "cut")
        answer = faulty_site.draft()
        assert not answer.is_whole
        events = answer.body.split(b"\n\n")[:-1]
        assert len(events) == len(set(events))


class TestUpdates:
    """Changes in the store and by operators."""

    def test_new_configuration_is_applied_everywhere(self, site: SiteFleet) -> None:
        def has_status(entry: int, status: int) -> bool:
            return site.call("/lookup/1", key="", entry=entry).status == status

        site.send_control("/configuration", tenants=[])
        for entry in range(2):
            wait_until(partial(has_status, entry, 200), "open to everybody")
        site.send_control("/configuration")
        for entry in range(2):
            wait_until(partial(has_status, entry, 401), "closed again")

    def test_workspace_without_keys_is_closed(self, site: SiteFleet) -> None:
        closed = [{"name": "north", "apiKeys": []}]
        site.send_control("/configuration", tenants=closed)
        wait_until(lambda: site.call("/lookup/1").status == 401, "keys taken away")
        assert site.call("/lookup/1", key="").status == 401
        site.send_control("/configuration")
        wait_until(lambda: site.call("/lookup/1").status == 200, "open again")

    def test_items_are_read_again_after_history_is_lost(
        self, faulty_site: SiteFleet
    ) -> None:
        faulty_site.send_control("/store", forget=True)
        faulty_site.send_control("/configuration", tenants=[])
        wait_until(
            lambda: faulty_site.call("/lookup/1", key="").status == 200,
            "items read again",
        )
        faulty_site.send_control("/configuration")
        wait_until(
            lambda: faulty_site.call("/lookup/1", key="").status == 401, "closed again"
        )

    def test_requests_are_served_while_the_store_is_unavailable(
        self, faulty_site: SiteFleet
    ) -> None:
        faulty_site.send_control("/store", refuses=503)
        assert faulty_site.call("/lookup/1").status == 200
        assert faulty_site.draft(entry=1).status == 200


class TestOperation:
    """Metrics and logs for operators."""

    def test_metrics_page(self, site: SiteFleet) -> None:
        site.call("/lookup/1")
        met = b"bramleyturn_live_instances 2"
        # An entry is ready before it has received a heartbeat from the other one.
        wait_until(
            lambda: met in site.get(0, "metrics", "/metrics")[1],
            "both instances are live",
        )
        status, page = site.get(0, "metrics", "/metrics")
        assert status == 200
        assert b"bramleyturn_requests_total" in page
        assert met in page

    def test_request_is_logged_with_its_id(self, site: SiteFleet) -> None:
        site.call("/lookup/1", attempt_id="o1")

        def lines() -> list[str]:
            return [
                line["event"]
                for event in ("attempt ended", "request ended")
                for line in site.events(0, event)
                if line["request_id"] == "o1"
            ]

        wait_until(lambda: lines() == ["attempt ended", "request ended"], "two lines")

    def test_log_and_metrics_tell_how_an_answer_ended(
        self, faulty_site: SiteFleet
    ) -> None:
        set_fault(faulty_site, "drafts", "cut")
        faulty_site.draft(attempt_id="o2")

        def ends() -> list[dict[str, Any]]:
            return [
                line["body_end"]
                for line in faulty_site.events(0, "attempt ended")
                if line["request_id"] == "o2"
            ]

        wait_until(lambda: len(ends()) == 2, "both engines tried")
        expected = {"framing": "chunked", "connection": "closed", "events": 4}
        assert ends()[0] == expected | {"unfinished_bytes": len(b"id: 4\nda")}
        (ended,) = (
            line
            for line in faulty_site.events(0, "request ended")
            if line["request_id"] == "o2"
        )
        assert ended["cut"]
        _, page = faulty_site.get(0, "metrics", "/metrics")
        assert b'answer_ends_total{of="drafts chunked closed broken"}' in page
