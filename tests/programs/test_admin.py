"""Test the administration process against a running fleet."""

from collections.abc import Iterator
from pathlib import Path

import pytest

from scripts.fleet import Fleet, FleetPlan, publish_files, restart
from tests.http_calls import wait_until
from tests.operators import OPERATORS_KEY, operate, send_raw, send_request

READS = (
    "/v1/status",
    "/v1/configuration",
    "/v1/cost",
    "/v1/servers",
    "/v1/requests",
    "/v1/timeline",
)
ENTRY_READS = ("/v1/status", "/v1/cost", "/v1/running", "/v1/timeline")
ADMIN = "admin-duluth-1"
FIRST, SECOND = "entry-duluth-1", "entry-duluth-2"
INPUT = "Consider the lilies of the field"


@pytest.fixture(scope="module")
def fleet(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Fleet]:
    folder: Path = tmp_path_factory.mktemp("admin")
    with Fleet(FleetPlan(folder, zones=("duluth",), admins=True)) as started:
        admin = started.addresses[ADMIN]
        wait_until(lambda: operate(admin, "/readyz").status == 200, "admin is ready")
        wait_until(
            lambda: len(operate(admin, "/v1/status").document["processes"]) == 4,
            "the admin has the instance list",
        )
        yield started


class TestAccess:
    @pytest.mark.parametrize("key", ["", "wrong", "example-key-of-lessons"])
    @pytest.mark.parametrize("name", [ADMIN, FIRST])
    def test_only_operators_read(self, fleet: Fleet, name: str, key: str) -> None:
        for path in READS if name == ADMIN else ENTRY_READS:
            reply = operate(fleet.addresses[name], path, key)
            assert reply.status == 401
            assert reply.headers["content-type"] == "application/problem+json"
            assert reply.headers["www-authenticate"] == "Bearer"
            assert reply.document["status"] == 401

    @pytest.mark.parametrize("name", [ADMIN, FIRST])
    def test_only_operators_drain(self, fleet: Fleet, name: str) -> None:
        order = {"process": FIRST}
        assert operate(fleet.addresses[name], "/v1/drain", "no", order).status == 401
        assert operate(fleet.addresses[FIRST], "/readyz", "").status == 200

    @pytest.mark.parametrize("name", [ADMIN, FIRST])
    @pytest.mark.parametrize("path", ["/healthz", "/readyz"])
    def test_health_needs_no_key(self, fleet: Fleet, name: str, path: str) -> None:
        assert operate(fleet.addresses[name], path, "").status == 200


class TestUnknownRoutes:
    @pytest.mark.parametrize("name", [ADMIN, FIRST, "watch-duluth-1"])
    def test_get_a_problem_document(self, fleet: Fleet, name: str) -> None:
        address = fleet.addresses[name]
        missing = operate(address, "/v1/nothing")
        wrong = operate(address, "/v1/status", document={})
        assert (missing.status, wrong.status) == (404, 405)
        assert wrong.headers["allow"] == "GET, HEAD"
        for reply in (missing, wrong):
            assert reply.headers["content-type"] == "application/problem+json"
            assert reply.document["status"] == reply.status


class TestReads:
    def test_status_names_every_process(self, fleet: Fleet) -> None:
        status = operate(fleet.addresses[ADMIN], "/v1/status").document
        assert [each["name"] for each in status["processes"]] == [
            FIRST,
            SECOND,
            "watch-duluth-1",
            "watch-duluth-2",
        ]
        assert all(each["is_reachable"] for each in status["processes"])
        assert status["problems"] == []

    def test_configuration_shows_files_but_no_secrets(self, fleet: Fleet) -> None:
        reply = operate(fleet.addresses[ADMIN], "/v1/configuration")
        values = {
            (value["section"], value["key"]): value
            for value in reply.document["values"]
        }
        assert values["pool drafting", "model"]["file"] == "10-pools.ini"
        assert values["tickets", "key"]["value"] == "(set, not shown)"
        shown = reply.body.decode()
        assert "example-key" not in shown
        assert "479eb4da" not in shown

    def test_cost_sums_the_entries(self, fleet: Fleet) -> None:
        for name in (FIRST, SECOND):
            reply = send_request(
                fleet.addresses[name], "lessons", "craft-idea", {"text": INPUT}
            )
            assert reply.status == 200
        cost = operate(fleet.addresses[ADMIN], "/v1/cost").document
        row = next(each for each in cost["rows"] if each["pipeline"] == "craft-idea")
        assert row["workspace"] == "lessons"
        assert row["attempts"] >= 2
        assert cost["total_micros"] == sum(each["micros"] for each in cost["rows"])

    def test_servers_are_listed_as_each_entry_sees_them(self, fleet: Fleet) -> None:
        servers = operate(fleet.addresses[ADMIN], "/v1/servers").document["servers"]
        assert {each["name"] for each in servers} == {
            server.name for server in fleet.servers
        }
        assert all(
            {seen["entry"] for seen in each["seen_by"]} == {FIRST, SECOND}
            for each in servers
        )

    def test_requests_are_listed_without_content(self, fleet: Fleet) -> None:
        reply = send_request(
            fleet.addresses[FIRST],
            "lessons",
            "craft-idea",
            {"text": INPUT},
            Bramleyturn_Request_Id="listed-without-content",
        )
        assert reply.status == 200
        listed = operate(fleet.addresses[ADMIN], "/v1/requests")
        row = next(
            each
            for each in listed.document["requests"]
            if each["request_id"] == "listed-without-content"
        )
        assert (row["entry"], row["state"], row["outcome"]) == (
            FIRST,
            "kept",
            "answered",
        )
        assert "lilies" not in listed.body.decode()

    def test_timeline_of_one_request(self, fleet: Fleet) -> None:
        send_request(
            fleet.addresses[SECOND],
            "lessons",
            "craft-idea",
            {"text": INPUT},
            Bramleyturn_Request_Id="on-the-timeline",
        )
        path = "/v1/timeline?request=on-the-timeline"
        events = operate(fleet.addresses[ADMIN], path).document["events"]
        kinds = [event["kind"] for event in events]
        assert kinds[0] == "request_arrived"
        assert kinds[-1] == "request_ended"
        assert "attempt_started" in kinds
        assert {event["process"] for event in events} == {SECOND}

    def test_bad_query(self, fleet: Fleet) -> None:
        path = "/v1/timeline?since_ms=yesterday"
        assert operate(fleet.addresses[ADMIN], path).status == 400

    def test_a_watch_answers_its_own_instance(self, fleet: Fleet) -> None:
        watch = fleet.addresses["watch-duluth-1"]
        assert operate(watch, "/v1/config", "").status == 200


class TestRefusedRevision:
    def test_is_reported_with_faults_but_without_secrets(self, fleet: Fleet) -> None:
        valid_text = fleet.files["40-keys.ini"]
        fleet.files["40-keys.ini"] = (
            f"{valid_text}\n[tickets]\nlifetime_ms = soon\nkey = a-secret-of-ours\n"
            "[peers]\nkey\n[admin]\nkey_sha256 = a-secret-of-ours\n"
        )
        publish_files(fleet)
        admin = fleet.addresses[ADMIN]

        def refused_revisions() -> list[dict[str, object]]:
            found = operate(admin, "/v1/configuration").document["refused"]
            assert isinstance(found, list)
            return found

        wait_until(lambda: bool(refused_revisions()), "the revision is refused")
        reply = operate(admin, "/v1/configuration")
        faults = reply.document["refused"][0]["faults"]
        assert any(fault["key"] == "lifetime_ms" for fault in faults)
        assert "a-secret-of-ours" not in reply.body.decode()
        problems = operate(admin, "/v1/status").document["problems"]
        assert any("refused revision" in line for line in problems)
        fleet.files["40-keys.ini"] = valid_text
        publish_files(fleet)
        wait_until(
            lambda: not operate(admin, "/v1/status").document["problems"],
            "a valid revision is in force",
        )


class TestDrain:
    @pytest.mark.parametrize(
        ("order", "status"),
        [({"process": "entry-nowhere-1"}, 404), ({}, 400), ([], 400)],
    )
    def test_malformed_or_unknown_orders(
        self, fleet: Fleet, order: object, status: int
    ) -> None:
        reply = operate(fleet.addresses[ADMIN], "/v1/drain", document=order)
        assert reply.status == status

    def test_malformed_json(self, fleet: Fleet) -> None:
        headers = {"Authorization": f"Bearer {OPERATORS_KEY}"}
        reply = send_raw(fleet.addresses[ADMIN], "POST", "/v1/drain", b"{", headers)
        assert reply.status == 400

    def test_order_for_another_process_is_refused(self, fleet: Fleet) -> None:
        order = {"process": SECOND}
        reply = operate(fleet.addresses[FIRST], "/v1/drain", document=order)
        assert reply.status == 409
        assert operate(fleet.addresses[FIRST], "/readyz", "").status == 200

    def test_ends_the_process_as_sigterm_does(self, fleet: Fleet) -> None:
        admin = fleet.addresses[ADMIN]
        reply = operate(admin, "/v1/drain", document={"process": SECOND})
        assert reply.status == 202
        assert fleet.processes.wait_for_end(SECOND) == 0
        status = operate(admin, "/v1/status").document
        assert any(SECOND in line for line in status["problems"])
        gone = next(each for each in status["processes"] if each["name"] == SECOND)
        assert not gone["is_reachable"]
        assert SECOND in operate(admin, "/v1/cost").document["unreachable"]
        assert operate(admin, "/v1/drain", document={"process": SECOND}).status == 502
        restart(fleet, SECOND)
        wait_until(
            lambda: not operate(admin, "/v1/status").document["problems"],
            "the restarted entry is back",
        )
