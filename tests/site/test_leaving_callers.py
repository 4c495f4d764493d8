"""Test that callers that send whole requests and leave end no process.

In a review bodies of callers that had left stayed in memory, until an entry exceeded
its machine's and was killed. In crowds of our own, connections that were reset after a
body took more descriptors than a process has.
"""

import time
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Final

import pytest

from tests.site.crowds import (
    LIMITS,
    assert_order_served,
    bounded,
    request,
    send_and_reset,
    visiting,
)
from tests.site.site_fleet import HOSTS, SiteFleet, running_fleet, wait_until

UPLOADS: Final = 4
MANY_CALLERS: Final = 60
LARGE_BODY_BYTES: Final = 4_000_000
CROWD_S: Final = 6.0
pytestmark = pytest.mark.crowd


def uploads() -> bytes:
    """Return a large request."""
    fields = [f"Content-Length: {LARGE_BODY_BYTES}"]
    return request(method="POST", fields=fields) + bytes(LARGE_BODY_BYTES)


def small_requests() -> bytes:
    """Return a request with a small body."""
    return request(method="POST", fields=["Content-Length: 100"]) + bytes(100)


@pytest.fixture
def site(tmp_path: Path) -> Iterator[SiteFleet]:
    """Run a site whose entry has little memory and few descriptors."""
    with running_fleet(tmp_path, entries=1, added_settings=LIMITS) as fleet:
        yield fleet


class TestCallersThatLeave:
    """Callers send whole requests and reset their connections.

    Guards against bodies that stay in memory, and connections to servers that stay
    open, after the callers have left.
    """

    @pytest.mark.parametrize(
        ("callers", "data", "wait_s"),
        [(UPLOADS, uploads, 0.2), (MANY_CALLERS, small_requests, 0.0)],
        ids=["large", "small"],
    )
    def test_memory_and_descriptors_are_bounded(
        self, site: SiteFleet, callers: int, data: Callable[[], bytes], wait_s: float
    ) -> None:
        limits = {"maxBodyBytes": LARGE_BODY_BYTES}
        version = site.send_control("/configuration", limits=limits)["version"]
        wait_until(lambda: site.in_force(0) == version, "configuration in force")
        for place in (0, 1):
            site.send_control("/fault", server=f"i-members-{place}", fault="hang")
        with bounded(site.entries[0]):
            visit = send_and_reset(data, wait_s)
            with visiting(HOSTS[0], site.ports["front"], callers, visit):
                time.sleep(CROWD_S)
        for place in (0, 1):
            site.send_control("/fault", server=f"i-members-{place}", fault="")
        wait_until(lambda: not site.in_progress(0), "every request has ended")
        assert_order_served(site)
