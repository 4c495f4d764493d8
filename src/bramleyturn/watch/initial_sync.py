"""Find the newest configuration before a new watch serves one."""

from functools import partial
from typing import Final

from twisted.internet.defer import Deferred, DeferredList

from bramleyturn.runtime.peer_client import count_read
from bramleyturn.watch.errors import PlatformFailed
from bramleyturn.watch.reader import read_folder
from bramleyturn.watch.watch_loop import (
    INITIAL_BACKOFF_MS,
    MAX_BACKOFF_MS,
    WatchLoop,
    apply_folder,
    jittered_ms,
    other_watches,
    pause,
    read_watch,
    refresh_list,
    wake_all,
)

MAX_WATCHES_ASKED: Final = 5


async def run_initial_sync(loop: WatchLoop) -> None:
    """Read the platform and a few other watches until there is a configuration.

    One replica of the platform may be stale, or the whole platform unreachable. Local
    processes are answered only after this, so that a new instance starts with the
    newest configuration that it can find.
    """
    wait_ms = INITIAL_BACKOFF_MS
    while not loop.is_stopped:
        await read_all_sources(loop)
        if loop.revisions.in_force is not None:
            break
        await pause(loop, jittered_ms(loop, wait_ms))
        wait_ms = min(2 * wait_ms, MAX_BACKOFF_MS)
    loop.is_synced = True
    wake_all(loop.waiting)


async def read_all_sources(loop: WatchLoop) -> None:
    """Read all replicas of the platform concurrently, then several other watches."""
    reads = [refresh_list(loop)]
    reads += [read_platform(loop, platform) for platform in loop.platforms]
    await DeferredList([Deferred.fromCoroutine(read) for read in reads])
    watches = other_watches(loop)
    chosen = loop.random.sample(watches, min(MAX_WATCHES_ASKED, len(watches)))
    asked = [Deferred.fromCoroutine(read_watch(loop, watch)) for watch in chosen]
    await DeferredList(asked)


async def read_platform(loop: WatchLoop, platform: str) -> None:
    """Read the configuration from one replica of the platform and apply it."""
    read = await read_folder(
        loop.client,
        loop.reactor,
        f"http://{platform}/config",
        loop.revisions.revision,
        0,
        count=partial(count_read, loop.traffic, "platform_config"),
    )
    if not isinstance(read, PlatformFailed):
        loop.platform_read_ms = loop.clock.monotonic_ms()
        apply_folder(loop, read.revision, read.files, f"platform {platform}")
