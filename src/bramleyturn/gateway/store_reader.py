"""Follow the platform's store with one long-polling watch for all published entries."""

import logging
from typing import Final, NamedTuple

from twisted.internet.task import deferLater

from bramleyturn.core.fleet.freshness import should_watch, watcher_place
from bramleyturn.core.fleet.store_revision import UNKNOWN_ERA, StoreRevision
from bramleyturn.core.units import MS_PER_S
from bramleyturn.gateway.calls import CallFailed, Peer, WholeAnswer, call
from bramleyturn.gateway.connection_pool import ConnectionPool, drop_idle
from bramleyturn.gateway.metrics import count
from bramleyturn.gateway.store_copy import (
    StoreCopy,
    apply_changes,
    copy_age_ms,
    log_malformed,
    note_return,
    take_changes,
    take_whole,
)
from bramleyturn.platform.errors import Malformed
from bramleyturn.platform.store import (
    StoreItem,
    decode_changes,
    decode_era,
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
# How long the bytes of an answer that has begun may pause. A page may take longer than
# that on a small link, see core/waiting/transfers.py.
GAP_MS: Final = CALL_TIMEOUT_MS
FIRST_BACKOFF_MS: Final = 100
MAX_BACKOFF_MS: Final = 800
MAX_PAGES: Final = 200
# Well below any bound on the age of a configuration; a copy takes some 200 ms.
REREAD_STEP_MS: Final = 200
REREAD_WAIT_MS: Final = 1_200
REREAD_CHECK_MS: Final = 50

logger = logging.getLogger(__name__)


class PagesRead(NamedTuple):
    """Hold the pages of a list that have been read, and where the next one begins.

    ``first`` is the revision of the first page.
    """

    first: StoreRevision
    items: dict[str, StoreItem]
    after: str


class StoreReader:
    """Hold the connection to the store, and the copy that it keeps up to date.

    ``era`` is the highest era that the store has named. ``pages`` are kept when reading
    all items breaks off.
    """

    def __init__(self, copy: StoreCopy) -> None:
        self.copy = copy
        self.serving = copy.serving
        self.pool = ConnectionPool(self.serving.reactor, self.serving.now_ms)
        self.pool.on_over_bound = self.serving.servers_pool.on_over_bound
        self.era = UNKNOWN_ERA
        self.is_unreachable = False
        self.is_era_rejected = False
        self.pages: PagesRead | None = None

    def store(self) -> Peer:
        """Return the name and address of the store."""
        address = self.serving.settings.store
        return Peer("store", address.host, address.port)


class StoreAnswer(NamedTuple):
    """Hold an answer of the store, and the era that it belongs to."""

    status: int
    body: bytes
    era: int


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
        if not reader.copy.is_complete:
            await wait_for_others(reader)
        is_read = await (watch(reader) if reader.copy.is_complete else read_all(reader))
        if is_read:
            backoff_ms = FIRST_BACKOFF_MS
            continue
        jitter = 0.5 + serving.random.random()
        await deferLater(serving.reactor, backoff_ms * jitter / MS_PER_S)
        backoff_ms = min(2 * backoff_ms, MAX_BACKOFF_MS)


async def wait_for_others(reader: StoreReader) -> None:
    """Leave it to the watchers to read the whole store again, for a short time.

    After an outage all instances watch, and would read it at once.
    """
    serving = reader.serving
    live = serving.live()
    place = watcher_place(serving.me, live)
    if not reader.copy.items or len(live) == 1 or place == 0:
        return
    jitter = 0.75 + 0.25 * serving.random.random()
    wait_ms = int(min(place * REREAD_STEP_MS, REREAD_WAIT_MS) * jitter)
    until_ms = serving.now_ms() + wait_ms
    while not reader.copy.is_complete and serving.now_ms() < until_ms:
        await deferLater(serving.reactor, REREAD_CHECK_MS / MS_PER_S)


async def read_all(reader: StoreReader) -> bool:
    """Read all items, page by page; return whether that succeeded.

    The pages are not one snapshot: the watch covers the changes since the first page.
    """
    copy = reader.copy
    found: dict[str, StoreItem] = {}
    first: StoreRevision | None = None
    after = ""
    if reader.pages is not None:
        first, found, after = reader.pages
        reader.pages = None
    for _ in range(MAX_PAGES):
        answer = await ask_store(reader, range_target("", after), CALL_TIMEOUT_MS)
        if answer is None:
            if first is not None:
                reader.pages = PagesRead(first, found, after)
            return False
        if answer.status != STATUS_OK:
            return False
        page = decode_page(answer.body, answer.era)
        if isinstance(page, Malformed):
            log_malformed(page)
            return False
        first = first or page.revision
        if page.revision.era != first.era:
            return False
        found |= {item.key: item for item in page.items}
        if page.next_after is None:
            break
        after = page.next_after
    else:
        return False
    if first < copy.revision:
        # Another instance was faster, or the store lost changes without a new era.
        count(reader.serving.metrics, "store_behind")
        apply_changes(copy, found.values())
        return False
    take_whole(copy, found.values(), first)
    logger.info(
        "store read",
        extra={"revision": first.number, "era": first.era, "items": len(found)},
    )
    return True


async def watch(reader: StoreReader) -> bool:
    """Wait for changes; return whether the store answered as expected."""
    copy = reader.copy
    known = copy.revision
    target = watch_target("", known.number, WATCH_WAIT_MS)
    answer = await ask_store(reader, target, WATCH_WAIT_MS + CALL_TIMEOUT_MS)
    if answer is None:
        return False
    if answer.era != known.era or answer.status == STATUS_GONE:
        logger.info(
            "store history gone", extra={"revision": known.number, "era": known.era}
        )
        # Another instance may have sent a newer state while the watch waited.
        is_current = copy.revision > known and copy.revision.era == answer.era
        copy.is_complete = copy.is_complete and is_current
        return True
    changes = decode_changes(answer.body, answer.era)
    if isinstance(changes, Malformed):
        log_malformed(changes)
        return False
    take_changes(copy, changes.items, changes.revision)
    return True


async def ask_store(
    reader: StoreReader, target: str, timeout_ms: int
) -> StoreAnswer | None:
    """Make one call to the store; return None if it did not answer."""
    serving = reader.serving
    count(serving.metrics, "store_calls")
    answer = await call(
        reader.pool, reader.store(), b"GET", target, [], b"", timeout_ms, GAP_MS
    )
    if isinstance(answer, CallFailed) or answer.status not in (STATUS_OK, STATUS_GONE):
        record_failure(reader, answer)
        return None
    era = note_era(reader, answer)
    if era is None:
        drop_idle(reader.pool, "store")
        return None
    if reader.is_unreachable:
        reader.copy.returned_ms = serving.now_ms()
        logger.info(
            "store answers again",
            extra={
                "away_ms": copy_age_ms(reader.copy),
                "revision": reader.copy.revision.number,
                "era": era,
            },
        )
    reader.is_unreachable = False
    return StoreAnswer(answer.status, answer.body, era)


def note_era(reader: StoreReader, answer: WholeAnswer) -> int | None:
    """Return the era of an answer, None if it belongs to an earlier one.

    An answer whose era is missing or malformed is taken to be of the era known.
    """
    copy = reader.copy
    known = max(reader.era, copy.revision.era)
    told = decode_era(answer.headers)
    if isinstance(told, Malformed):
        reject_era(reader, "malformed", known)
        return known
    if told == UNKNOWN_ERA != known:
        reject_era(reader, "missing", known)
        return known
    if told < known:
        reject_era(reader, "earlier", known)
        return None
    reader.is_era_rejected = False
    reader.era = told
    if told > known and copy.items:
        note_return(copy, told)
    return told


def reject_era(reader: StoreReader, fault: str, known: int) -> None:
    """Count an era that can't be used, and log the first of a series."""
    count(reader.serving.metrics, "store_eras_rejected", fault)
    if not reader.is_era_rejected:
        logger.warning(
            "era of the store rejected", extra={"reason": fault, "era": known}
        )
    reader.is_era_rejected = True


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
