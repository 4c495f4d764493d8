"""Tell the servers of stages which results are no longer needed."""

import logging
from collections.abc import Callable, Iterable
from typing import Final

from bramleyturn.core.catalog.model import BackendServer
from bramleyturn.core.pieces.model import Release
from bramleyturn.core.pieces.planner import Pipeline, Planner
from bramleyturn.core.pieces.releases import confirm_release, merge_releases
from bramleyturn.gateway.background import run_in_background
from bramleyturn.gateway.calls import (
    STATUS_OK,
    CallFailed,
    WholeAnswer,
    call,
    peer_of,
)
from bramleyturn.gateway.cold_servers import is_cold
from bramleyturn.gateway.server_limits import count_request, wait_for
from bramleyturn.gateway.server_notices import note_call_answer
from bramleyturn.gateway.serving import Serving
from bramleyturn.gateway.stage_answers import release_origin
from bramleyturn.platform.stage_calls import (
    RELEASE_TARGET,
    call_headers,
    encode_release,
)

# For calls that release results or read a server's report.
CONTROL_CALL_TIMEOUT_MS: Final = 1_000

logger = logging.getLogger(__name__)


class StageReleases:
    """Send releases, those for a server with a limit when it allows them.

    A cold server gets none: its turns are for calls, and its results expire anyway.
    ``held`` has the releases that wait, by pool.
    """

    def __init__(self, serving: Serving, on_confirmed: Callable[[], None]) -> None:
        self.serving = serving
        self.on_confirmed = on_confirmed
        self.held: dict[str, list[Release]] = {}

    def send(self, planner: Planner, releases: Iterable[Release]) -> None:
        """Send releases to their servers, or hold them back."""
        for release in releases:
            state = planner.servers.get(release.server_id)
            if state is None:
                continue
            is_held = is_cold(self.serving, state.server)
            if is_held or wait_for(self.serving, state.server, is_sole=True):
                self.held.setdefault(planner.pool, []).append(release)
                continue
            count_request(self.serving, state.server)
            work = self._call(planner, release, state.server)
            run_in_background(work, "release of results")

    def send_held(self, pipeline: Pipeline) -> None:
        """Send what was held back, one call a server, as far as limits allow it."""
        held, self.held = self.held, {}
        for pool, releases in held.items():
            self.send(pipeline.planners[pool], merge_releases(releases))

    async def _call(
        self, planner: Planner, release: Release, server: BackendServer
    ) -> None:
        """Tell a server to release results, and plan with the freed capacity."""
        answer = await call(
            self.serving.servers_pool,
            peer_of(server),
            b"POST",
            RELEASE_TARGET,
            call_headers(release.server_id),
            encode_release(release.handles),
            CONTROL_CALL_TIMEOUT_MS,
            judge_origin=release_origin,
            may_send=lambda: not is_cold(self.serving, server),
        )
        note_call_answer(self.serving, server, answer)
        if isinstance(answer, CallFailed) or answer.status != STATUS_OK:
            # The results count as stored until the server itself drops them.
            logger.info(
                "results not released",
                extra={"server": release.server_id, "reason": describe_answer(answer)},
            )
            return
        confirm_release(planner, release)
        self.on_confirmed()


def describe_answer(answer: WholeAnswer | CallFailed) -> str:
    """Return the outcome of a call, for logs and counters."""
    if isinstance(answer, CallFailed):
        return str(answer.reason)
    return f"status {answer.status}"
