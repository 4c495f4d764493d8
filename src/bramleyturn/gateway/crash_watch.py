"""Detect crashes of backend servers, and share them with the other instances.

A broken connection alone proves nothing: the server may have reset it, or the network.
It counts as a crash if the server then accepts no connection, if another server has
its address, or if its registration shows that it ended.
"""

import logging
from collections.abc import Callable, Iterable, Mapping
from typing import Final, NamedTuple

from twisted.internet.defer import Deferred
from twisted.internet.task import deferLater

from bramleyturn.core.catalog.model import BackendServer, run_name
from bramleyturn.core.catalog.server_registry import is_same_run, note_reported_run
from bramleyturn.core.crashes import (
    CrashHint,
    PartMark,
    PoisonPart,
    connection_lost,
    import_hints,
    request_finished,
)
from bramleyturn.core.poison import (
    Quarantined,
    classify_request,
    linked_suspects,
)
from bramleyturn.core.poison_parts import (
    find_poison_parts,
    part_marks,
    quarantined_part,
)
from bramleyturn.core.request_names import RequestNames
from bramleyturn.core.units import MS_PER_S
from bramleyturn.core.zones.evacuations import is_evacuated
from bramleyturn.gateway.background import run_in_background
from bramleyturn.gateway.caller_request import Quarantine
from bramleyturn.gateway.calls import WholeAnswer
from bramleyturn.gateway.cold_servers import is_cold, note_crashed
from bramleyturn.gateway.http1_client import FailureReason, ServerConnection
from bramleyturn.gateway.metrics import count, gauge, observe
from bramleyturn.gateway.server_check import (
    ServerState,
    check_server,
    connect_to,
    stays_open,
)
from bramleyturn.gateway.server_limits import count_request, wait_for
from bramleyturn.gateway.server_notices import note_call_answer
from bramleyturn.gateway.serving import Serving
from bramleyturn.platform.server_status import reported_start_ms
from bramleyturn.runtime.poison_part_log import log_poison_parts

# Reasons that a crash of the server may explain.
BROKEN_CONNECTION: Final = frozenset(
    {FailureReason.CLOSED, FailureReason.RESET, FailureReason.BROKEN_OFF}
)
# Servers register every 1.2 s and are removed after three misses.
EXPIRY_MS: Final = 5_000
# States of a server whose run has ended.
ENDED: Final = frozenset(
    {ServerState.REFUSED, ServerState.REPLACED, ServerState.RESTARTED}
)
MAX_LOGGED_FINGERPRINTS: Final = 8

logger = logging.getLogger(__name__)


class OnServer(NamedTuple):
    """Hold the requests that were on a server, and the marks of their parts."""

    fingerprints: frozenset[str]
    marks: tuple[PartMark, ...]


class CrashWatch:
    """Record the crashes of servers and the requests that were on them.

    ``on_news`` is called for each crash that this instance detected or first heard of,
    for each suspect that it first finds in several crashes, and when a prompt part is
    quarantined or cleared; ``on_quarantine`` when one is
    quarantined.
    """

    def __init__(self, serving: Serving) -> None:
        self.serving = serving
        self.on_news: Callable[[], None] = lambda: None
        self.on_quarantine: Callable[[], None] = lambda: None
        self.noted_changes = 0
        self.noted_parts: Mapping[str, PoisonPart] = {}

    def quarantine_of(self, names: RequestNames) -> Quarantine | None:
        """Return why a request must not be sent now, None if it may be."""
        suspects = self.serving.suspects
        now_ms = self.serving.now_ms()
        poison = quarantined_part(suspects, names, now_ms)
        if poison is not None:
            return Quarantine("quarantined_part", poison.until_ms - now_ms)
        status = classify_request(suspects, names.fingerprint, now_ms)
        if isinstance(status, Quarantined):
            return Quarantine("quarantined", status.until_ms - now_ms)
        return None

    def marks(self, names: RequestNames) -> tuple[PartMark, ...]:
        """Return the marks of a request that is sent to a server now."""
        return part_marks(self.serving.suspects, names)

    def is_suspect(self, fingerprint: str) -> bool:
        """Return whether a request was on a server that crashed."""
        crashes = self.serving.suspects.crashes
        return any(fingerprint in crash.fingerprints for crash in crashes)

    def request_finished(self, names: RequestNames) -> None:
        """Clear a request that a server ran to its end, and its parts."""
        serving = self.serving
        request_finished(
            serving.suspects, names.fingerprint, serving.now_ms(), names.parts
        )
        self._note_poison_parts()

    def connection_broke(
        self,
        server: BackendServer,
        fingerprints: Iterable[str],
        marks: tuple[PartMark, ...] = (),
    ) -> "Deferred[None]":
        """Check a server whose connection broke.

        The result fires once it is known whether it accepts connections.
        """
        checked: Deferred[None] = Deferred()
        on_server = OnServer(frozenset(fingerprints), marks)
        work = self._check(server, on_server, True, checked)
        run_in_background(work, "check of a server")
        return checked

    def is_running(
        self,
        server: BackendServer,
        fingerprints: Iterable[str],
        marks: tuple[PartMark, ...],
        sent_ms: int,
    ) -> "Deferred[bool]":
        """Check a server that closed a connection at what may be an answer's end.

        The result is whether its run goes on that had the request, which was sent at
        ``sent_ms``. A server whose run has ended without having announced that it
        leaves has crashed; one that can't be reached may be cut off only.
        """
        checked: Deferred[bool] = Deferred()
        on_server = OnServer(frozenset(fingerprints), marks)
        work = self._check_running(server, on_server, sent_ms, checked)
        run_in_background(work, "check of a server")
        return checked

    def request_abandoned(
        self, server: BackendServer, fingerprint: str, marks: tuple[PartMark, ...]
    ) -> None:
        """Check a server that had not answered when its request was given up."""
        on_server = OnServer(frozenset((fingerprint,)), marks)
        work = self._check(server, on_server, False, Deferred())
        run_in_background(work, "check of a server")

    def merge(self, sender: str, hints: Iterable[CrashHint]) -> None:
        """Merge the crashes that another instance reported."""
        suspects = self.serving.suspects
        before = {crash.server for crash in suspects.crashes}
        changes = suspects.changes
        linked = linked_suspects(suspects)
        import_hints(suspects, hints, self.serving.now_ms())
        if suspects.changes == changes:
            return
        self._note_poison_parts()
        new = [crash for crash in suspects.crashes if crash.server not in before]
        for crash in new:
            note_crashed(self.serving, crash.server)
            self._log_crash(crash.server, crash.fingerprints, sender, crash.at_ms)
        if new or not linked_suspects(suspects) <= linked:
            self.on_news()

    async def _check(
        self,
        server: BackendServer,
        on_server: OnServer,
        is_broken: bool,
        checked: "Deferred[None]",
    ) -> None:
        """Record a crash if the server ended, now or as its registration shows later.

        A silent server that can't be reached may be cut off only, and one that can be
        may have started again.
        """
        pool = self.serving.servers_pool
        at_ms = self.serving.now_ms()
        connection = await connect_to(pool, server)
        has_ended = connection is ServerState.REFUSED or (
            is_broken and connection is ServerState.UNREACHABLE
        )
        if has_ended:
            self._record(server, on_server, at_ms)
        if not checked.called:
            checked.callback(None)
        if has_ended:
            return
        if await self._has_closed_port(connection, server):
            self._record(server, on_server, at_ms)
            return
        await deferLater(self.serving.reactor, EXPIRY_MS / MS_PER_S)
        if not self._is_registered(server):
            self._record(server, on_server, at_ms)

    async def _has_closed_port(
        self, connection: ServerConnection | ServerState, server: BackendServer
    ) -> bool:
        """Return whether a server that accepted a connection refuses them soon after.

        A process that ends may close its listening socket last.
        """
        pool = self.serving.servers_pool
        if not isinstance(connection, ServerConnection):
            return False
        if await stays_open(pool, connection):
            return False
        again = await connect_to(pool, server)
        if isinstance(again, ServerConnection):
            again.on_idle(again)
        return again is ServerState.REFUSED

    async def _check_running(
        self,
        server: BackendServer,
        on_server: OnServer,
        sent_ms: int,
        checked: "Deferred[bool]",
    ) -> None:
        serving = self.serving
        at_ms = serving.now_ms()
        published = serving.published
        pool = published.pools.get(server.pool) if published is not None else None
        target = pool.status_target if pool is not None else None
        is_closed_to_requests = is_evacuated(
            serving.registry.evacuations, server.zone
        ) or is_cold(serving, server)
        if is_closed_to_requests or wait_for(serving, server, is_sole=True):
            # Only a connection, as the server is to get no requests now.
            target = None
        else:
            count_request(serving, server)
        reported_ms: int | None = None

        def is_run_in_question(answer: WholeAnswer) -> bool:
            nonlocal reported_ms
            note_call_answer(serving, server, answer)
            reported_ms = reported_start_ms(answer.body)
            is_same = is_same_run(serving.registry, server, reported_ms, sent_ms)
            if reported_ms is not None:
                now_ms = serving.now_ms()
                note_reported_run(serving.registry, server, reported_ms, now_ms)
            return is_same

        state = await check_server(
            serving.servers_pool, server, target, is_run_in_question
        )
        is_same = is_same_run(serving.registry, server, None, sent_ms)
        if is_closed_to_requests and state is ServerState.RUNNING and not is_same:
            # The server was not asked, but has registered its next run.
            state = ServerState.RESTARTED
        took_ms = serving.now_ms() - at_ms
        observe(serving.metrics, "server_check", took_ms, f"{server.pool} {state}")
        logger.info(
            "server checked",
            extra={
                "server": server.id,
                "state": state,
                "took_ms": took_ms,
                "started_ms": server.started_ms,
                "reported_started_ms": reported_ms,
            },
        )
        if state in ENDED and self._is_expected(server):
            self._record(server, on_server, at_ms)
        if not checked.called:
            checked.callback(state is ServerState.RUNNING)

    def _is_expected(self, server: BackendServer) -> bool:
        """Return whether a server is registered and has not announced its end."""
        entry = self.serving.registry.entries.get(server.id)
        return self._is_registered(server) and not (entry and entry.server.is_leaving)

    def _is_registered(self, server: BackendServer) -> bool:
        entry = self.serving.registry.entries.get(server.id)
        return entry is not None and entry.server.started_ms == server.started_ms

    def _record(self, server: BackendServer, on_server: OnServer, at_ms: int) -> None:
        name = run_name(server)
        fingerprints, marks = on_server
        connection_lost(self.serving.suspects, name, fingerprints, at_ms, marks)
        note_crashed(self.serving, name)
        self._log_crash(name, fingerprints, self.serving.me.name, at_ms)
        self._note_poison_parts()
        self.on_news()

    def _note_poison_parts(self) -> None:
        """Log the parts that were found, or cleared, since the last call."""
        serving = self.serving
        if serving.suspects.changes == self.noted_changes:
            return
        self.noted_changes = serving.suspects.changes
        found = find_poison_parts(serving.suspects)
        log_poison_parts(self.noted_parts, found, serving.now_ms())
        is_any_new = not found.keys() <= self.noted_parts.keys()
        is_changed = found.keys() != self.noted_parts.keys()
        self.noted_parts = found
        gauge(serving.metrics, "quarantined_parts", len(found))
        if is_changed:
            self.on_news()
        if is_any_new:
            self.on_quarantine()

    def _log_crash(
        self, server: str, fingerprints: frozenset[str], reporter: str, at_ms: int
    ) -> None:
        serving = self.serving
        is_own = reporter == serving.me.name
        count(serving.metrics, "server_crashes", "detected" if is_own else "reported")
        gauge(serving.metrics, "crashes_known", len(serving.suspects.crashes))
        logger.info(
            "server crashed",
            extra={
                "server": server,
                "reporter": reporter,
                "age_ms": serving.now_ms() - at_ms,
                "fingerprints": sorted(fingerprints)[:MAX_LOGGED_FINGERPRINTS],
                "suspects": len(fingerprints),
            },
        )
