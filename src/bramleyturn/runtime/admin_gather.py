"""Query the processes of one availability zone concurrently."""

from collections.abc import Collection
from typing import Any, Final

from twisted.internet.defer import Deferred, DeferredList, DeferredSemaphore

from bramleyturn.core.clock import Clock
from bramleyturn.core.model import Configuration
from bramleyturn.core.zone_view import ProcessReport
from bramleyturn.runtime.errors import CallFailed
from bramleyturn.runtime.http_client import JsonAnswer, call_json, http_client
from bramleyturn.watch.documents import ListedInstance

ASK_TIMEOUT_MS: Final = 2_000
MAX_ASKED_AT_ONCE: Final = 32
STATUS_OK: Final = 200


class AdminLoop:
    """Hold what an administration process learned from its watch, and its client."""

    def __init__(
        self,
        reactor: Any,
        clock: Clock,
        zone: str,
        watch: str,
        configuration: Configuration,
    ) -> None:
        self.reactor = reactor
        self.clock = clock
        self.zone = zone
        self.watch = watch
        self.configuration = configuration
        self.client = http_client(reactor)
        self.instances: tuple[ListedInstance, ...] = ()
        self.instances_at_ms: int | None = None
        self.is_stopped = False


def instances_age_ms(loop: AdminLoop) -> int | None:
    """Return how long ago the platform's list was read, None if it never was."""
    if loop.instances_at_ms is None:
        return None
    return loop.clock.monotonic_ms() - loop.instances_at_ms


def zone_processes(loop: AdminLoop, roles: Collection[str]) -> list[ListedInstance]:
    """Return the listed processes of this availability zone with these roles."""
    return sorted(
        instance
        for instance in loop.instances
        if instance.zone == loop.zone and instance.role in roles
    )


async def gather(
    loop: AdminLoop, path: str, roles: Collection[str], authorization: str
) -> list[ProcessReport]:
    """Return what each process of the zone answers to a GET of ``path``.

    The caller's own key is forwarded: this process holds none.
    """
    semaphore = DeferredSemaphore(MAX_ASKED_AT_ONCE)
    queries = [
        semaphore.run(start_ask, loop, instance, path, authorization)
        for instance in zone_processes(loop, roles)
    ]
    results: list[tuple[bool, Any]] = await DeferredList(queries, consumeErrors=True)
    return [report for succeeded, report in results if succeeded]


def start_ask(
    loop: AdminLoop, instance: ListedInstance, path: str, authorization: str
) -> Deferred[ProcessReport]:
    """Start the query of one process once the semaphore admits it."""
    return Deferred.fromCoroutine(ask(loop, instance, path, authorization))


async def ask(
    loop: AdminLoop, instance: ListedInstance, path: str, authorization: str
) -> ProcessReport:
    """Return the answer of one process, or why there is none."""
    answer = await call_json(
        loop.client,
        loop.reactor,
        "GET",
        f"http://{instance.address}{path}",
        headers={"Authorization": authorization},
        timeout_ms=ASK_TIMEOUT_MS,
    )
    document, detail = usable(answer)
    return ProcessReport(
        name=instance.name,
        role=instance.role,
        address=instance.address,
        state=instance.state,
        document=document,
        detail=detail,
    )


def usable(answer: JsonAnswer | CallFailed) -> tuple[dict[str, Any] | None, str]:
    """Return the document of a successful answer, or None and what is wrong."""
    if isinstance(answer, CallFailed):
        return None, f"{answer.failure}: {answer.detail}"
    if answer.status != STATUS_OK:
        return None, f"status {answer.status}"
    if not isinstance(answer.document, dict):
        return None, "malformed answer"
    return answer.document, ""
