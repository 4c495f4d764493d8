"""Keep the newest configuration and instance list of one instance."""

import logging
from collections.abc import Awaitable, Callable
from random import Random
from typing import Any, Final

from treq.client import HTTPClient
from twisted.internet.defer import Deferred
from twisted.internet.task import deferLater

from bramleyturn.core.clock import Clock
from bramleyturn.core.fault import describe_fault
from bramleyturn.core.revisions import InForce, Refused, Revisions, offer
from bramleyturn.core.timeline import EventKind, Timeline, record
from bramleyturn.platform.documents import ListedInstance
from bramleyturn.platform.errors import PlatformFailed
from bramleyturn.platform.reader import read_folder, read_instances
from bramleyturn.runtime.logs import error_fields, note_revision

WATCH_WAIT_MS: Final = 10_000
LIST_INTERVAL_MS: Final = 1_000
PEER_INTERVAL_MS: Final = 1_000
BACKOFF_FIRST_MS: Final = 100
BACKOFF_MOST_MS: Final = 3_000
PEER_SILENCE_MS: Final = 3_000
JITTER_PERCENT: Final = 30
PERCENT: Final = 100
MS_PER_S: Final = 1_000

logger = logging.getLogger(__name__)


class WatchLoop:
    """Hold what one watch knows and who waits for news of it."""

    def __init__(
        self,
        reactor: Any,
        clock: Clock,
        client: HTTPClient,
        name: str,
        platforms: tuple[str, ...],
        random: Random,
    ) -> None:
        self.reactor = reactor
        self.clock = clock
        self.client = client
        self.name = name
        self.platforms = platforms
        self.random = random
        self.revisions = Revisions()
        self.instances: tuple[ListedInstance, ...] = ()
        self.instances_read_ms: int | None = None
        self.platform_read_ms: int | None = None
        self.asked_everyone = False
        self.timeline = Timeline()
        self.waiting: list[Deferred[None]] = []
        self.is_stopped = False


def start_watching(loop: WatchLoop) -> None:
    """Start reading the platform and the other watches."""
    for work in (watch_platform, watch_list, watch_peers):
        Deferred.fromCoroutine(run(work, loop))


async def run(work: Callable[[WatchLoop], Awaitable[None]], loop: WatchLoop) -> None:
    """Run one of the reading loops and log the fault that ends it, if any does."""
    try:
        await work(loop)
    except Exception as error:
        logger.error("a reading loop ended", extra=error_fields(error))
        raise


async def watch_platform(loop: WatchLoop) -> None:
    """Read the configuration whenever the platform has a newer one.

    With several platform addresses the next one is asked after a failure.
    """
    backoff_ms = BACKOFF_FIRST_MS
    turn = loop.random.randrange(len(loop.platforms))
    while not loop.is_stopped:
        platform = loop.platforms[turn % len(loop.platforms)]
        read = await read_folder(
            loop.client,
            loop.reactor,
            f"http://{platform}/config",
            loop.revisions.revision,
            jittered_ms(loop, WATCH_WAIT_MS),
        )
        if isinstance(read, PlatformFailed):
            turn += 1
            wait_ms = max(backoff_ms, read.retry_after_ms or 0)
            backoff_ms = min(2 * backoff_ms, BACKOFF_MOST_MS)
            await pause(loop, jittered_ms(loop, wait_ms))
            continue
        backoff_ms = BACKOFF_FIRST_MS
        loop.platform_read_ms = loop.clock.monotonic_ms()
        took = take_folder(loop, read.revision, read.files, f"platform {platform}")
        if not took:
            # A refused or stale revision is answered at once, so wait here instead.
            await pause(loop, jittered_ms(loop, BACKOFF_FIRST_MS))


async def watch_list(loop: WatchLoop) -> None:
    """Read the instance list again and again."""
    while not loop.is_stopped:
        for platform in loop.platforms:
            read = await read_instances(
                loop.client, loop.reactor, f"http://{platform}/instances"
            )
            if not isinstance(read, PlatformFailed):
                loop.instances = read
                loop.instances_read_ms = loop.clock.monotonic_ms()
                break
        await pause(loop, jittered_ms(loop, LIST_INTERVAL_MS))


async def watch_peers(loop: WatchLoop) -> None:
    """Ask one other watch at a time for a newer configuration.

    A revision that one reader has seen thus reaches those whom the platform does
    not answer, or answers from a stale replica.
    """
    while not loop.is_stopped:
        await pause(loop, jittered_ms(loop, PEER_INTERVAL_MS))
        peers = [
            instance
            for instance in loop.instances
            if instance.role == "watch" and instance.name != loop.name
        ]
        if not peers:
            continue
        peer = loop.random.choice(peers)
        read = await read_folder(
            loop.client,
            loop.reactor,
            f"http://{peer.address}/v1/config",
            loop.revisions.revision,
            0,
            peers_key(loop),
        )
        if not isinstance(read, PlatformFailed):
            take_folder(loop, read.revision, read.files, f"watch {peer.name}")


def peers_key(loop: WatchLoop) -> str:
    """Return the key that proves this watch to others, empty before it has one."""
    in_force = loop.revisions.in_force
    return in_force.configuration.peers.key if in_force is not None else ""


def take_folder(
    loop: WatchLoop, revision: int, files: dict[str, str], source: str
) -> bool:
    """Offer a folder and tell those who wait if it is now in force."""
    if revision <= loop.revisions.revision and not files:
        return False
    now_ms = loop.clock.monotonic_ms()
    refused_before = len(loop.revisions.refused)
    result = offer(loop.revisions, revision, files, source, now_ms)
    if isinstance(result, InForce):
        note_revision(revision)
        logger.info("configuration in force")
        record(
            loop.timeline,
            EventKind.CONFIGURATION_IN_FORCE,
            now_ms,
            detail=f"revision {revision} from {source}",
            cause=f"revision-{revision}",
        )
        wake_waiting(loop)
        return True
    if isinstance(result, Refused) and len(loop.revisions.refused) > refused_before:
        report_refusal(loop, result, now_ms)
    return False


def report_refusal(loop: WatchLoop, refused: Refused, now_ms: int) -> None:
    """Log a refused revision with the first of its faults."""
    first = describe_fault(refused.faults[0])
    logger.error(
        "configuration refused",
        extra={
            "revision": refused.revision,
            "fault": first,
            "fault_count": refused.fault_count,
        },
    )
    record(
        loop.timeline,
        EventKind.CONFIGURATION_REFUSED,
        now_ms,
        detail=f"revision {refused.revision}: {first}",
        cause=f"revision-{refused.revision}",
    )


def wake_waiting(loop: WatchLoop) -> None:
    """Answer everyone who waits for a newer revision."""
    waiting, loop.waiting = loop.waiting, []
    for waiter in waiting:
        waiter.callback(None)


async def wait_for_newer(loop: WatchLoop, after: int, wait_ms: int) -> None:
    """Return once a revision above ``after`` is in force, or the time is over."""
    if loop.revisions.revision > after or wait_ms <= 0:
        return
    waiter: Deferred[None] = Deferred()
    loop.waiting.append(waiter)
    timer = loop.reactor.callLater(wait_ms / MS_PER_S, stop_waiting, loop, waiter)
    await waiter
    if timer.active():
        timer.cancel()


def stop_waiting(loop: WatchLoop, waiter: Deferred[None]) -> None:
    """Answer one of those who wait, because its time is over."""
    if waiter in loop.waiting:
        loop.waiting.remove(waiter)
        waiter.callback(None)


def jittered_ms(loop: WatchLoop, wait_ms: int) -> int:
    """Return a time around ``wait_ms``, so that instances don't act in step."""
    spread_ms = wait_ms * JITTER_PERCENT // PERCENT
    return wait_ms + loop.random.randint(-spread_ms, spread_ms)


async def pause(loop: WatchLoop, wait_ms: int) -> None:
    """Wait without holding up the process."""
    await deferLater(loop.reactor, wait_ms / MS_PER_S)
