"""Look for the newest configuration before a new watch answers with any."""

from functools import partial
from typing import Final

from twisted.internet.defer import Deferred, DeferredList

from bramleyturn.runtime.peer_client import count_read
from bramleyturn.watch.errors import PlatformFailed
from bramleyturn.watch.reader import read_folder
from bramleyturn.watch.watch_loop import (
    BACKOFF_FIRST_MS,
    BACKOFF_MOST_MS,
    WatchLoop,
    jittered_ms,
    look_at_list,
    look_at_watch,
    other_watches,
    pause,
    take_folder,
    wake_all,
)

MAX_WATCHES_ASKED: Final = 5


async def look_first(loop: WatchLoop) -> None:
    """Ask the platform and a few other watches until there is a configuration.

    One replica of the platform may be stale, and the platform may be away. The local
    processes are answered after this, so that a new instance is ready with the newest
    configuration that it could see.
    """
    wait_ms = BACKOFF_FIRST_MS
    while not loop.is_stopped:
        await look_everywhere(loop)
        if loop.revisions.in_force is not None:
            break
        await pause(loop, jittered_ms(loop, wait_ms))
        wait_ms = min(2 * wait_ms, BACKOFF_MOST_MS)
    loop.has_looked = True
    wake_all(loop.waiting)


async def look_everywhere(loop: WatchLoop) -> None:
    """Ask every replica of the platform at once, and then several other watches."""
    reads = [look_at_list(loop)]
    reads += [look_at_platform(loop, platform) for platform in loop.platforms]
    await DeferredList([Deferred.fromCoroutine(read) for read in reads])
    watches = other_watches(loop)
    chosen = loop.random.sample(watches, min(MAX_WATCHES_ASKED, len(watches)))
    asked = [Deferred.fromCoroutine(look_at_watch(loop, watch)) for watch in chosen]
    await DeferredList(asked)


async def look_at_platform(loop: WatchLoop, platform: str) -> None:
    """Take over the configuration of one replica of the platform."""
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
        take_folder(loop, read.revision, read.files, f"platform {platform}")
