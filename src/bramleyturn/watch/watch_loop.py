"""Keep the newest configuration and instance list for one instance."""

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
INITIAL_BACKOFF_MS: Final = 100
MAX_BACKOFF_MS: Final = 3_000
PEER_SILENCE_MS: Final = 3_000
JITTER_PERCENT: Final = 30
SAME_ZONE_SHARE: Final = 0.5
PERCENT: Final = 100

logger = logging.getLogger(__name__)


class WatchLoop:
    """Hold what one watch knows and the requests that wait for a change."""

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
        self.is_synced = False
        self.seed_watches: tuple[str, ...] = ()
        self.seed_key = ""
        self.timeline = Timeline()
        self.list_version = 0
        self.waiting: list[Deferred[None]] = []
        self.waiting_for_list: list[Deferred[None]] = []
        self.is_stopped = False
        self.seen_revision = 0
        self.traffic = Traffic()
        self.peer_wait: Deferred[None] | None = None


def start_watching(
    loop: WatchLoop, run_initial_sync: Callable[[WatchLoop], Awaitable[None]]
) -> None:
    """Run the initial sync, then follow the platform and the other watches."""

    async def start() -> None:
        await run(run_initial_sync, loop)
        start_following(loop)

    Deferred.fromCoroutine(start())


def start_following(loop: WatchLoop) -> None:
    """Follow the platform and the other watches."""
    for work in (follow_platform, follow_list, poll_peers):
        Deferred.fromCoroutine(run(work, loop))


async def run(work: Callable[[WatchLoop], Awaitable[None]], loop: WatchLoop) -> None:
    """Run one of the background loops and log the exception that ends it, if any."""
    try:
        await work(loop)
    except Exception as error:
        logger.error("watch background loop failed", extra=error_fields(error))
        raise


async def follow_platform(loop: WatchLoop) -> None:
    """Read each newer configuration from the platform by long polling.

    After a failure the next of the platform addresses is tried.
    """
    backoff_ms = INITIAL_BACKOFF_MS
    refused_backoff_ms = INITIAL_BACKOFF_MS
    platform_index = loop.random.randrange(len(loop.platforms))
    while not loop.is_stopped:
        platform = loop.platforms[platform_index % len(loop.platforms)]
        read = await read_folder(
            loop.client,
            loop.reactor,
            f"http://{platform}/config",
            loop.revisions.revision,
            jittered_ms(loop, WATCH_WAIT_MS),
            count=partial(count_read, loop.traffic, "platform_config"),
        )
        if isinstance(read, PlatformFailed):
            platform_index += 1
            wait_ms = max(backoff_ms, read.retry_after_ms or 0)
            backoff_ms = min(2 * backoff_ms, MAX_BACKOFF_MS)
            await pause(loop, jittered_ms(loop, wait_ms))
            continue
        backoff_ms = INITIAL_BACKOFF_MS
        loop.platform_read_ms = loop.clock.monotonic_ms()
        is_accepted = apply_folder(
            loop, read.revision, read.files, f"platform {platform}"
        )
        if is_accepted or not read.files:
            refused_backoff_ms = INITIAL_BACKOFF_MS
            continue
        # The platform answers at once as long as it has a newer revision, also one that
        # is refused here, so back off.
        await pause(loop, jittered_ms(loop, refused_backoff_ms))
        refused_backoff_ms = min(2 * refused_backoff_ms, MAX_BACKOFF_MS)


async def follow_list(loop: WatchLoop) -> None:
    """Read the instance list at intervals."""
    while not loop.is_stopped:
        await refresh_list(loop)
        await pause(loop, jittered_ms(loop, list_interval_ms(len(loop.instances))))


async def refresh_list(loop: WatchLoop) -> None:
    """Read the instance list, which names the other watches, and apply it.

    The platform addresses are tried in order until one answers.
    """
    for platform in loop.platforms:
        read = await read_instances(
            loop.client,
            loop.reactor,
            f"http://{platform}/instances",
            partial(count_read, loop.traffic, "platform_list"),
        )
        if not isinstance(read, PlatformFailed):
            apply_list(loop, read)
            return


async def read_watch(loop: WatchLoop, watch: ListedInstance) -> None:
    """Read the configuration of another watch and apply it if it is newer."""
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
        apply_folder(loop, read.revision, read.files, f"watch {watch.name}")


def apply_list(loop: WatchLoop, instances: tuple[ListedInstance, ...]) -> None:
    """Apply an instance list that was just read; wake waiters if it differs."""
    loop.instances_read_ms = loop.clock.monotonic_ms()
    if loop.list_version and instances == loop.instances:
        return
    loop.instances = instances
    loop.list_version += 1
    wake_all(loop.waiting_for_list)


def list_interval_ms(lines: int) -> int:
    """Return the time between two reads of an instance list with that many lines.

    The platform sends the whole list each time, so a long one is read less often, at
    a fixed byte rate. Peers, which read it at other times, and the backend servers
    themselves make up for the lost freshness.
    """
    if lines <= SHORT_LIST_LINES:
        return LIST_INTERVAL_MS
    return max(LIST_INTERVAL_MS, lines * LIST_LINE_BYTES * MS_PER_S // LIST_BYTES_PER_S)


async def poll_peers(loop: WatchLoop) -> None:
    """Poll one other watch at a time for a newer configuration.

    A revision that one watch has read thus reaches those that cannot reach the
    platform or that read a stale replica. Watches are polled at shorter intervals
    while a newer revision is known to be in force somewhere.
    """
    while not loop.is_stopped:
        await wait_for_next_peer(loop)
        peer = choose_watch(loop)
        if peer is not None:
            await read_watch(loop, peer)


def peers_key(loop: WatchLoop) -> str:
    """Return the key that signs this watch's requests to other watches."""
    in_force = loop.revisions.in_force
    return in_force.configuration.peers.key if in_force is not None else loop.seed_key


def choose_watch(loop: WatchLoop) -> ListedInstance | None:
    """Return a random other watch, half the time one of the own availability zone."""
    zones = {each.zone for each in loop.instances if each.name == loop.name}
    others = other_watches(loop)
    near = [each for each in others if each.zone in zones]
    chosen_from = near if near and loop.random.random() < SAME_ZONE_SHARE else others
    return loop.random.choice(chosen_from) if chosen_from else None


def other_watches(loop: WatchLoop) -> list[ListedInstance]:
    """Return the other watches on the list, or those in the settings if it has none."""
    listed = [
        each
        for each in loop.instances
        if each.role == "watch" and each.name != loop.name
    ]
    return listed or [
        ListedInstance(address, "watch", "", address, "live")
        for address in loop.seed_watches
    ]


async def wait_for_next_peer(loop: WatchLoop) -> None:
    """Wait until the next poll of another watch is due."""
    if loop.seen_revision > loop.revisions.revision:
        await pause(loop, jittered_ms(loop, NEWER_REVISION_POLL_MS))
        return
    loop.peer_wait = Deferred()
    wait_s = jittered_ms(loop, PEER_INTERVAL_MS) / MS_PER_S
    timer = loop.reactor.callLater(wait_s, end_peer_wait, loop)
    await loop.peer_wait
    stop_timer(timer)


def end_peer_wait(loop: WatchLoop) -> None:
    """Cut the wait short and poll another watch now."""
    peer_wait, loop.peer_wait = loop.peer_wait, None
    if peer_wait is not None:
        peer_wait.callback(None)


def note_seen_revision(loop: WatchLoop, seen_revision: int) -> None:
    """Poll for a newer revision that a local process knows to be in force elsewhere."""
    if seen_revision <= max(loop.seen_revision, loop.revisions.revision):
        return
    loop.seen_revision = seen_revision
    end_peer_wait(loop)


def apply_folder(
    loop: WatchLoop, revision: int, files: dict[str, str], source: str
) -> bool:
    """Offer a folder; wake waiters and return True if it is now in force."""
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
        if loop.is_synced:
            wake_all(loop.waiting)
        return True
    if isinstance(result, Refused) and len(loop.revisions.refused) > refused_before:
        report_refusal(loop, result, now_ms)
    return False


def report_refusal(loop: WatchLoop, refused: Refused, now_ms: int) -> None:
    """Log and record a refused revision with the first of its faults."""
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
    """Wake all of these waiters."""
    woken = list(waiting)
    waiting.clear()
    for waiter in woken:
        waiter.callback(None)


async def wait_for_newer(loop: WatchLoop, after: int, wait_ms: int) -> None:
    """Return once a revision above ``after`` is in force, or after ``wait_ms``."""
    is_newer = loop.is_synced and loop.revisions.revision > after
    if not is_newer and wait_ms > 0:
        await wait_for_wake(loop, loop.waiting, wait_ms)


async def wait_for_list(loop: WatchLoop, after: int, wait_ms: int) -> None:
    """Return once the list differs from version ``after``, or after ``wait_ms``."""
    if loop.list_version == after and wait_ms > 0:
        await wait_for_wake(loop, loop.waiting_for_list, wait_ms)


async def wait_for_wake(
    loop: WatchLoop, waiting: list[Deferred[None]], wait_ms: int
) -> None:
    """Wait until ``waiting`` is woken, at most ``wait_ms``; not while stopping."""
    if loop.is_stopped:
        return
    waiter: Deferred[None] = Deferred()
    waiting.append(waiter)
    timer = loop.reactor.callLater(wait_ms / MS_PER_S, stop_waiting, waiting, waiter)
    await waiter
    stop_timer(timer)


def stop_waiting(waiting: list[Deferred[None]], waiter: Deferred[None]) -> None:
    """Wake one waiter whose time is over."""
    if waiter in waiting:
        waiting.remove(waiter)
        waiter.callback(None)


def jittered_ms(loop: WatchLoop, wait_ms: int) -> int:
    """Return ``wait_ms`` with random jitter, so that instances don't act in step."""
    spread_ms = wait_ms * JITTER_PERCENT // PERCENT
    return wait_ms + loop.random.randint(-spread_ms, spread_ms)


async def pause(loop: WatchLoop, wait_ms: int) -> None:
    """Wait without blocking the reactor."""
    await deferLater(loop.reactor, wait_ms / MS_PER_S)
