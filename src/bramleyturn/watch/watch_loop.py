"""Keep the newest configuration and instance list of one instance."""

import logging
from collections.abc import Awaitable, Callable
from functools import partial
from random import Random
from typing import Any, Final

from treq.client import HTTPClient
from twisted.internet.defer import Deferred
from twisted.internet.task import deferLater

from bramleyturn.core.clock import Clock
from bramleyturn.core.fault import describe_fault
from bramleyturn.core.revisions import InForce, Refused, Revisions, offer
from bramleyturn.core.timeline import EventKind, Timeline, record
from bramleyturn.core.units import MS_PER_S
from bramleyturn.runtime.logs import error_fields, note_revision
from bramleyturn.runtime.peer_client import Traffic, count_read
from bramleyturn.runtime.timers import stop_timer
from bramleyturn.watch.documents import ListedInstance
from bramleyturn.watch.errors import PlatformFailed
from bramleyturn.watch.reader import read_folder, read_instances

WATCH_WAIT_MS: Final = 10_000
LIST_INTERVAL_MS: Final = 1_000
PEER_INTERVAL_MS: Final = 5_000
NEWER_REVISION_POLL_MS: Final = 200
LIST_BYTES_PER_S: Final = 700
LIST_LINE_BYTES: Final = 120
SHORT_LIST_LINES: Final = 128
BACKOFF_FIRST_MS: Final = 100
BACKOFF_MOST_MS: Final = 3_000
PEER_SILENCE_MS: Final = 3_000
JITTER_PERCENT: Final = 30
SAME_ZONE_SHARE: Final = 0.5
PERCENT: Final = 100

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
        self.has_looked = False
        self.first_watches: tuple[str, ...] = ()
        self.first_key = ""
        self.timeline = Timeline()
        self.list_version = 0
        self.waiting: list[Deferred[None]] = []
        self.waiting_for_list: list[Deferred[None]] = []
        self.is_stopped = False
        self.seen_revision = 0
        self.traffic = Traffic()
        self.hurry: Deferred[None] | None = None


def start_watching(
    loop: WatchLoop, look_first: Callable[[WatchLoop], Awaitable[None]]
) -> None:
    """Start reading the platform and the other watches, after a first look at all."""

    async def start() -> None:
        await run(look_first, loop)
        start_following(loop)

    Deferred.fromCoroutine(start())


def start_following(loop: WatchLoop) -> None:
    """Follow the platform and the other watches."""
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
    useless_ms = BACKOFF_FIRST_MS
    turn = loop.random.randrange(len(loop.platforms))
    while not loop.is_stopped:
        platform = loop.platforms[turn % len(loop.platforms)]
        read = await read_folder(
            loop.client,
            loop.reactor,
            f"http://{platform}/config",
            loop.revisions.revision,
            jittered_ms(loop, WATCH_WAIT_MS),
            count=partial(count_read, loop.traffic, "platform_config"),
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
        if took or not read.files:
            useless_ms = BACKOFF_FIRST_MS
            continue
        # A refused revision is answered at once, again and again, so wait here instead.
        await pause(loop, jittered_ms(loop, useless_ms))
        useless_ms = min(2 * useless_ms, BACKOFF_MOST_MS)


async def watch_list(loop: WatchLoop) -> None:
    """Read the instance list again and again."""
    while not loop.is_stopped:
        await look_at_list(loop)
        await pause(loop, jittered_ms(loop, list_interval_ms(len(loop.instances))))


async def look_at_list(loop: WatchLoop) -> None:
    """Take over the instance list, to know the other watches."""
    for platform in loop.platforms:
        read = await read_instances(
            loop.client,
            loop.reactor,
            f"http://{platform}/instances",
            partial(count_read, loop.traffic, "platform_list"),
        )
        if not isinstance(read, PlatformFailed):
            take_list(loop, read)
            return


async def look_at_watch(loop: WatchLoop, watch: ListedInstance) -> None:
    """Take over the configuration of another watch if it is newer."""
    read = await read_folder(
        loop.client,
        loop.reactor,
        f"http://{watch.address}/v1/config",
        loop.revisions.revision,
        0,
        peers_key(loop),
        partial(count_read, loop.traffic, "watch_config"),
    )
    if not isinstance(read, PlatformFailed):
        take_folder(loop, read.revision, read.files, f"watch {watch.name}")


def take_list(loop: WatchLoop, instances: tuple[ListedInstance, ...]) -> None:
    """Keep a list that was just read, and tell those who wait if it differs."""
    loop.instances_read_ms = loop.clock.monotonic_ms()
    if loop.list_version and instances == loop.instances:
        return
    loop.instances = instances
    loop.list_version += 1
    wake_all(loop.waiting_for_list)


def list_interval_ms(lines: int) -> int:
    """Return how long to wait between two reads of a list of that many lines.

    The platform sends the whole list each time, so a long one is read less often, at
    a fixed rate of bytes. What is lost in freshness comes from the peers, whose reads
    fall at other times, and from the backend servers themselves.
    """
    if lines <= SHORT_LIST_LINES:
        return LIST_INTERVAL_MS
    return max(LIST_INTERVAL_MS, lines * LIST_LINE_BYTES * MS_PER_S // LIST_BYTES_PER_S)


async def watch_peers(loop: WatchLoop) -> None:
    """Ask one other watch at a time for a newer configuration.

    A revision that one reader has seen thus reaches those whom the platform does
    not answer, or answers from a stale replica. Watches are asked in quick
    succession while a newer revision is known to be in force somewhere.
    """
    while not loop.is_stopped:
        await pause_unless_hurried(loop)
        peer = choose_watch(loop)
        if peer is not None:
            await look_at_watch(loop, peer)


def peers_key(loop: WatchLoop) -> str:
    """Return the key that proves this watch to others."""
    in_force = loop.revisions.in_force
    return in_force.configuration.peers.key if in_force is not None else loop.first_key


def choose_watch(loop: WatchLoop) -> ListedInstance | None:
    """Return another watch, half the time one of the own availability zone."""
    zones = {each.zone for each in loop.instances if each.name == loop.name}
    others = other_watches(loop)
    near = [each for each in others if each.zone in zones]
    chosen_from = near if near and loop.random.random() < SAME_ZONE_SHARE else others
    return loop.random.choice(chosen_from) if chosen_from else None


def other_watches(loop: WatchLoop) -> list[ListedInstance]:
    """Return the other watches on the list, or those of the settings without one."""
    listed = [
        each
        for each in loop.instances
        if each.role == "watch" and each.name != loop.name
    ]
    return listed or [
        ListedInstance(address, "watch", "", address, "live")
        for address in loop.first_watches
    ]


async def pause_unless_hurried(loop: WatchLoop) -> None:
    """Wait until it is time to ask another watch."""
    if loop.seen_revision > loop.revisions.revision:
        await pause(loop, jittered_ms(loop, NEWER_REVISION_POLL_MS))
        return
    loop.hurry = Deferred()
    wait_s = jittered_ms(loop, PEER_INTERVAL_MS) / MS_PER_S
    timer = loop.reactor.callLater(wait_s, end_pause, loop)
    await loop.hurry
    stop_timer(timer)


def end_pause(loop: WatchLoop) -> None:
    """Ask another watch now."""
    hurry, loop.hurry = loop.hurry, None
    if hurry is not None:
        hurry.callback(None)


def look_at_once(loop: WatchLoop, seen_revision: int) -> None:
    """Look for a revision that a local process knows to be in force elsewhere."""
    if seen_revision <= max(loop.seen_revision, loop.revisions.revision):
        return
    loop.seen_revision = seen_revision
    end_pause(loop)


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
        if loop.has_looked:
            wake_all(loop.waiting)
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


def wake_all(waiting: list[Deferred[None]]) -> None:
    """Answer everyone who waits for the same news."""
    woken = list(waiting)
    waiting.clear()
    for waiter in woken:
        waiter.callback(None)


async def wait_for_newer(loop: WatchLoop, after: int, wait_ms: int) -> None:
    """Return once a revision above ``after`` is in force, or the time is over."""
    is_newer = loop.has_looked and loop.revisions.revision > after
    if not is_newer and wait_ms > 0:
        await wait_among(loop, loop.waiting, wait_ms)


async def wait_for_list(loop: WatchLoop, after: int, wait_ms: int) -> None:
    """Return once the list differs from version ``after``, or the time is over."""
    if loop.list_version == after and wait_ms > 0:
        await wait_among(loop, loop.waiting_for_list, wait_ms)


async def wait_among(
    loop: WatchLoop, waiting: list[Deferred[None]], wait_ms: int
) -> None:
    """Wait with the others of ``waiting`` for as long as ``wait_ms``."""
    waiter: Deferred[None] = Deferred()
    waiting.append(waiter)
    timer = loop.reactor.callLater(wait_ms / MS_PER_S, stop_waiting, waiting, waiter)
    await waiter
    stop_timer(timer)


def stop_waiting(waiting: list[Deferred[None]], waiter: Deferred[None]) -> None:
    """Answer one of those who wait, because its time is over."""
    if waiter in waiting:
        waiting.remove(waiter)
        waiter.callback(None)


def jittered_ms(loop: WatchLoop, wait_ms: int) -> int:
    """Return a time around ``wait_ms``, so that instances don't act in step."""
    spread_ms = wait_ms * JITTER_PERCENT // PERCENT
    return wait_ms + loop.random.randint(-spread_ms, spread_ms)


async def pause(loop: WatchLoop, wait_ms: int) -> None:
    """Wait without holding up the process."""
    await deferLater(loop.reactor, wait_ms / MS_PER_S)
