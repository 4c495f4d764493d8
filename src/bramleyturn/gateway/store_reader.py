"""Follow the platform's store with one long-polling watch for all published entries."""

import logging
from typing import Final

from twisted.internet.task import deferLater

from bramleyturn.core.fleet.freshness import should_watch
from bramleyturn.core.units import MS_PER_S
from bramleyturn.gateway.calls import CallFailed, Peer, WholeAnswer, call
from bramleyturn.gateway.connection_pool import ConnectionPool, drop_idle
from bramleyturn.gateway.metrics import count
from bramleyturn.gateway.store_copy import (
    StoreCopy,
    copy_age_ms,
    log_malformed,
    take_changes,
    take_whole,
)
from bramleyturn.platform.errors import Malformed
from bramleyturn.platform.store import (
    StoreItem,
    decode_changes,
    decode_page,
    range_target,
    watch_target,
)

STATUS_OK: Final = 200
STATUS_GONE: Final = 410
# Shorter than any bound on the age of a configuration, because only the missing answer
# shows that a connection has gone silent. Other instances rely on what it confirms.
WATCH_WAIT_MS: Final = 700
# How often an instance that does not watch checks whether it should.
WATCH_CHECK_INTERVAL_MS: Final = 100
CALL_TIMEOUT_MS: Final = 600
FIRST_BACKOFF_MS: Final = 100
MAX_BACKOFF_MS: Final = 800
MAX_PAGES: Final = 200

logger = logging.getLogger(__name__)


class StoreReader:
    """Hold the connection to the store, and the copy that it keeps up to date."""

    def __init__(self, copy: StoreCopy) -> None:
        self.copy = copy
        self.serving = copy.serving
        self.pool = ConnectionPool(self.serving.reactor, self.serving.now_ms)
        self.is_unreachable = False

    def store(self) -> Peer:
        """Return the name and address of the store."""
        address = self.serving.settings.store
        return Peer("store", address.host, address.port)


async def follow_store(reader: StoreReader) -> None:
    """Read all items once, then every change, for as long as the process runs."""
    serving = reader.serving
    backoff_ms = FIRST_BACKOFF_MS
    while True:
        now_ms = serving.now_ms()
        if reader.copy.is_complete and not should_watch(
            serving.freshness, serving.me, serving.live(), now_ms
        ):
            await deferLater(serving.reactor, WATCH_CHECK_INTERVAL_MS / MS_PER_S)
            continue
        is_read = await (watch(reader) if reader.copy.is_complete else read_all(reader))
        if is_read:
            backoff_ms = FIRST_BACKOFF_MS
            continue
        jitter = 0.5 + serving.random.random()
        await deferLater(serving.reactor, backoff_ms * jitter / MS_PER_S)
        backoff_ms = min(2 * backoff_ms, MAX_BACKOFF_MS)


async def read_all(reader: StoreReader) -> bool:
    """Read all items, page by page; return whether that succeeded.

    The pages are not one snapshot: the watch covers the changes since the first page.
    """
    found: dict[str, StoreItem] = {}
    first_revision: int | None = None
    after = ""
    for _ in range(MAX_PAGES):
        answer = await ask_store(reader, range_target("", after), CALL_TIMEOUT_MS)
        if answer is None or answer.status != STATUS_OK:
            return False
        page = decode_page(answer.body)
        if isinstance(page, Malformed):
            log_malformed(page)
            return False
        first_revision = page.revision if first_revision is None else first_revision
        found |= {item.key: item for item in page.items}
        if page.next_after is None:
            break
        after = page.next_after
    revision = first_revision or 0
    take_whole(reader.copy, found.values(), revision)
    logger.info("store read", extra={"revision": revision, "items": len(found)})
    return True


async def watch(reader: StoreReader) -> bool:
    """Wait for changes; return whether the store answered as expected."""
    target = watch_target("", reader.copy.revision, WATCH_WAIT_MS)
    answer = await ask_store(reader, target, WATCH_WAIT_MS + CALL_TIMEOUT_MS)
    if answer is None:
        return False
    if answer.status == STATUS_GONE:
        logger.info("store history gone", extra={"revision": reader.copy.revision})
        reader.copy.is_complete = False
        return True
    if answer.status != STATUS_OK:
        return False
    changes = decode_changes(answer.body)
    if isinstance(changes, Malformed):
        log_malformed(changes)
        return False
    take_changes(reader.copy, changes.items, changes.revision)
    return True


async def ask_store(
    reader: StoreReader, target: str, timeout_ms: int
) -> WholeAnswer | None:
    """Make one call to the store; return None if it did not answer."""
    serving = reader.serving
    count(serving.metrics, "store_calls")
    answer = await call(
        reader.pool, reader.store(), b"GET", target, [], b"", timeout_ms
    )
    if isinstance(answer, CallFailed) or answer.status not in (STATUS_OK, STATUS_GONE):
        record_failure(reader, answer)
        return None if isinstance(answer, CallFailed) else answer
    if reader.is_unreachable:
        reader.copy.returned_ms = serving.now_ms()
        logger.info(
            "store answers again",
            extra={
                "away_ms": copy_age_ms(reader.copy),
                "revision": reader.copy.revision,
            },
        )
    reader.is_unreachable = False
    return answer


def record_failure(reader: StoreReader, answer: WholeAnswer | CallFailed) -> None:
    """Count a failed call, and log the first of a series."""
    reason = (
        str(answer.reason)
        if isinstance(answer, CallFailed)
        else f"status {answer.status}"
    )
    count(reader.serving.metrics, "store_failures", reason)
    if not reader.is_unreachable:
        logger.warning(
            "store does not answer",
            extra={"reason": reason, "age_ms": copy_age_ms(reader.copy)},
        )
    reader.is_unreachable = True
    if isinstance(answer, CallFailed):
        drop_idle(reader.pool, "store")
