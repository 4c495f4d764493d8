"""Serve callers through real processes on stand-ins of the platform."""

from collections.abc import Iterator
from functools import partial

import pytest

from tests.site.site_fleet import SiteFleet, running_fleet, until

ALL_SERVERS = ("i-members-0", "i-members-1", "i-drafts-0", "i-drafts-1")


@pytest.fixture(scope="module")
def site(tmp_path_factory: pytest.TempPathFactory) -> Iterator[SiteFleet]:
    """Run one site for the module."""
    with running_fleet(tmp_path_factory.mktemp("site")) as fleet:
        yield fleet


@pytest.fixture
def healed(site: SiteFleet) -> Iterator[SiteFleet]:
    """Return the site, and end every fault after the test."""
    yield site
    for server in ALL_SERVERS:
        site.steer("/fault", server=server, fault="")
    site.steer("/store")


def set_fault(site: SiteFleet, pool: str, fault: str) -> None:
    """Let every server of a pool misbehave."""
    for place in range(2):
        site.steer("/fault", server=f"i-{pool}-{place}", fault=fault)


class TestPlainService:
    """Requests to a plain service."""

    def test_answer_is_the_servers(self, site: SiteFleet) -> None:
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

    def test_refused_by_all_servers_is_not_run(self, healed: SiteFleet) -> None:
        set_fault(healed, "members", "shed")
        answer = healed.call("/order/1", method="POST", body=b"x", attempt_id="p2")
        assert answer.status == 503
        assert float(answer.headers["retry-after"]) <= 2 / 3
        assert healed.ran("p2") == []

    def test_lost_answer_of_an_order_is_not_asked_again(
        self, healed: SiteFleet
    ) -> None:
        set_fault(healed, "members", "reset")
        answer = healed.call("/order/1", method="POST", body=b"x", attempt_id="p3")
        assert answer.status == 502
        assert len(healed.ran("p3")) == 1

    def test_lost_answer_of_a_lookup_is_asked_again(self, healed: SiteFleet) -> None:
        healed.steer("/fault", server="i-members-0", fault="reset")
        for number in range(6):
            assert healed.call("/lookup/1", attempt_id=f"p4-{number}").status == 200

    def test_cut_answer_does_not_reach_the_caller(self, healed: SiteFleet) -> None:
        set_fault(healed, "members", "cut")
        answer = healed.call("/order/1", method="POST", body=b"x")
        assert (answer.status, answer.is_whole) == (502, True)

    def test_silent_server_ends_with_the_callers_time(self, healed: SiteFleet) -> None:
        set_fault(healed, "members", "hang")
        answer = healed.call("/order/1", method="POST", body=b"x", wait_ms=400)
        assert answer.status == 504

    def test_time_over_before_any_server_was_reached_is_not_run(
        self, healed: SiteFleet
    ) -> None:
        answer = healed.draft(attempt_id="p5", wait_ms=16)
        assert answer.status == 503
        assert healed.ran("p5") == []


class TestStreams:
    """Streams with a stage before them."""

    def test_whole_stream_with_its_inputs(self, site: SiteFleet) -> None:
        answer = site.draft(attempt_id="s1")
        assert answer.status == 200
        assert answer.body.count(b"data: token-") == 8
        (ran,) = site.ran("s1")
        assert len(ran["headers"]["bramleyturn-inputs"].split(",")) == 2

    def test_results_are_released(self, site: SiteFleet) -> None:
        assert site.draft(entry=1).status == 200

        def is_free() -> bool:
            servers = site.steer("/ledger")["servers"]
            return all(server["kept"] == 0 for server in servers.values())

        until(is_free, "every result released")

    def test_cut_stream_goes_on_at_another_engine(self, healed: SiteFleet) -> None:
        for server in ("i-drafts-0", "i-drafts-1"):
            healed.steer("/fault", server="i-drafts-0", fault="")
            healed.steer("/fault", server="i-drafts-1", fault="")
            healed.steer("/fault", server=server, fault="cut")
            answer = healed.draft()
            assert answer.is_whole
            assert answer.body.count(b"data: token-") == 8, server

    def test_stream_that_no_engine_finishes_is_cut(self, healed: SiteFleet) -> None:
        set_fault(healed, "drafts", "cut")
        answer = healed.draft()
        assert not answer.is_whole
        events = answer.body.split(b"\n\n")[:-1]
        assert len(events) == len(set(events))


class TestNews:
    """What the store and the operators tell."""

    def test_new_configuration_is_in_force_everywhere(self, site: SiteFleet) -> None:
        def has_status(entry: int, status: int) -> bool:
            return site.call("/lookup/1", key="", entry=entry).status == status

        site.steer("/configuration", tenants=[])
        for entry in range(2):
            until(partial(has_status, entry, 200), "open to everybody")
        site.steer("/configuration")
        for entry in range(2):
            until(partial(has_status, entry, 401), "closed again")

    def test_workspace_that_lost_all_keys_is_closed(self, site: SiteFleet) -> None:
        closed = [{"name": "north", "apiKeys": []}]
        site.steer("/configuration", tenants=closed)
        until(lambda: site.call("/lookup/1").status == 401, "keys taken away")
        assert site.call("/lookup/1", key="").status == 401
        site.steer("/configuration")
        until(lambda: site.call("/lookup/1").status == 200, "open again")

    def test_forgotten_history_is_read_anew(self, healed: SiteFleet) -> None:
        healed.steer("/store", forget=True)
        healed.steer("/configuration", tenants=[])
        until(lambda: healed.call("/lookup/1", key="").status == 200, "read anew")
        healed.steer("/configuration")
        until(lambda: healed.call("/lookup/1", key="").status == 401, "closed again")

    def test_requests_are_served_while_the_store_is_away(
        self, healed: SiteFleet
    ) -> None:
        healed.steer("/store", refuses=503)
        assert healed.call("/lookup/1").status == 200
        assert healed.draft(entry=1).status == 200


class TestOperation:
    """What operators see."""

    def test_metrics_page(self, site: SiteFleet) -> None:
        site.call("/lookup/1")
        met = b"bramleyturn_live_instances 2"
        # An entry is ready before it has heard from the other one.
        until(lambda: met in site.get(0, "metrics", "/metrics")[1], "instances meet")
        status, page = site.get(0, "metrics", "/metrics")
        assert status == 200
        assert b"bramleyturn_requests_total" in page
        assert met in page

    def test_request_is_followed_by_its_id(self, site: SiteFleet) -> None:
        site.call("/lookup/1", attempt_id="o1")

        def lines() -> list[str]:
            return [
                line["event"]
                for event in ("attempt ended", "request ended")
                for line in site.events(0, event)
                if line["request_id"] == "o1"
            ]

        until(lambda: lines() == ["attempt ended", "request ended"], "two lines")
