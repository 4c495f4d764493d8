"""Test what callers get if a stopping entry did not run for a while."""

import signal
import time
from collections.abc import Iterator
from pathlib import Path

import pytest

from tests.processes import freeze, thaw
from tests.site.raw_caller import call, request_bytes, sleep_until, stopping
from tests.site.site_fleet import SiteFleet, running_fleet, wait_until
from tests.site.test_stopping_connections import (
    EVENTS,
    allow_long_requests,
    callers_of,
    set_servers,
    told,
)


@pytest.fixture
def fleet(tmp_path: Path) -> Iterator[SiteFleet]:
    """Run a site with one entry."""
    with running_fleet(tmp_path, entries=1) as fleet:
        yield fleet


class TestArrivedAnswers:
    """Answers arrive while the entry does not run, just before its time is over."""

    def test_stream_whose_end_has_arrived_is_not_cut(self, fleet: SiteFleet) -> None:
        allow_long_requests(fleet)
        set_servers(fleet, "drafts", gap_ms=1_000)
        with callers_of(1) as callers:
            note = request_bytes("/note/1", "POST", b"x", "stream")
            stream = callers.submit(call, fleet, note)
            wait_until(lambda: len(fleet.ran("stream")) == 1, "the stream runs")
            sleep_until(time.monotonic() + 0.5)
            with stopping(fleet) as sent_s:
                sleep_until(sent_s + 7.3)
                freeze(fleet.entries[0])
                sleep_until(sent_s + 7.8)
                thaw(fleet.entries[0])
                end = stream.result()
        assert fleet.ran("stream")[0]["is_whole"]
        found = (end.how, end.status, end.body.count(b"token-"))
        assert found == ("whole", 200, EVENTS), told(fleet, end)

    def test_answer_that_has_arrived_is_not_replaced(self, fleet: SiteFleet) -> None:
        allow_long_requests(fleet)
        set_servers(fleet, "members", processing_ms=8_000)
        with callers_of(1) as callers:
            request = request_bytes("/order/1", "POST", b"x", "order")
            order = callers.submit(call, fleet, request)
            wait_until(lambda: fleet.in_progress(0) == 1, "the order runs")
            sleep_until(time.monotonic() + 0.5)
            with stopping(fleet) as sent_s:
                sleep_until(sent_s + 7.3)
                freeze(fleet.entries[0])
                sleep_until(sent_s + 7.8)
                thaw(fleet.entries[0])
                end = order.result()
        assert (end.how, end.status) == ("whole", 200), told(fleet, end)


class TestLateSignal:
    """SIGTERM comes at the end of a time in which the entry does not run."""

    def test_stream_has_all_of_the_time_to_stop(self, fleet: SiteFleet) -> None:
        allow_long_requests(fleet)
        set_servers(fleet, "drafts", gap_ms=950)
        with callers_of(1) as callers:
            note = request_bytes("/note/1", "POST", b"x", "stream")
            stream = callers.submit(call, fleet, note)
            wait_until(lambda: len(fleet.ran("stream")) == 1, "the stream runs")
            began_s = time.monotonic()
            sleep_until(began_s + 0.4)
            freeze(fleet.entries[0])
            sleep_until(began_s + 1.4)
            with stopping(fleet):
                time.sleep(0.05)
                thaw(fleet.entries[0])
                end = stream.result()
        found = (end.how, end.status, end.body.count(b"token-"))
        assert found == ("whole", 200, EVENTS), told(fleet, end)


class TestFurtherSignals:
    """A signal comes again and again until the process is gone."""

    @pytest.mark.parametrize("further", [signal.SIGTERM, signal.SIGHUP])
    def test_entry_that_ended_by_itself_has_no_other_exit_code(
        self, fleet: SiteFleet, further: signal.Signals
    ) -> None:
        process = fleet.entries[0].process
        process.send_signal(signal.SIGTERM)
        while process.poll() is None:
            process.send_signal(further)
            time.sleep(0.001)
        assert process.returncode == 0
