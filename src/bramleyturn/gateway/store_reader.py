"""Follow the platform's store: one waiting watch covers everything published.

Only some instances watch (core/fleet/freshness.py). The others take over what those
know, as does every instance that the store does not answer. The copies are the store's
own items, so that there is one way to read them.
"""

import base64
import logging
from collections.abc import Callable
from typing import Any, Final, NamedTuple

import orjson
from twisted.internet.task import deferLater

from bramleyturn.core.catalog.model import BackendServer
from bramleyturn.core.catalog.server_registry import drop_lapsed, register, remove
from bramleyturn.core.fleet.freshness import (
    NETWORK_DELAY_MS,
    age_ms,
    note_confirmed,
    should_watch,
)
from bramleyturn.core.fleet.members import newest_holder
from bramleyturn.core.placement.choice import forget_loads
from bramleyturn.core.placement.health import forget_servers
from bramleyturn.core.units import MS_PER_S
from bramleyturn.gateway.calls import CallBroken, Peer, WholeAnswer, call
from bramleyturn.gateway.connection_pool import ConnectionPool, drop_idle
from bramleyturn.gateway.metrics import count, gauge
from bramleyturn.gateway.serving import Serving, servers_changed, take_published
from bramleyturn.platform.configuration import CONFIGURATION_KEY, decode_configuration
from bramleyturn.platform.errors import Malformed
from bramleyturn.platform.servers import SERVERS_PREFIX, decode_server
from bramleyturn.platform.store import (
    StoreItem,
    decode_changes,
    decode_page,
    range_target,
    watch_target,
)

STATUS_OK: Final = 200
STATUS_GONE: Final = 410
# A watch waits for less than any bound on a configuration, because a connection may
# go silent and only the missing answer shows it. Others count on what it confirms.
WATCH_WAIT_MS: Final = 700
# How often an instance that does not watch looks whether it should.
IDLE_MS: Final = 100
CALL_TIMEOUT_MS: Final = 600
FIRST_BACKOFF_MS: Final = 100
MAX_BACKOFF_MS: Final = 800
# How often an instance looks who knows something newer. Changes that come together
# are taken over together.
RELAY_INTERVAL_MS: Final = 100
RELAY_TIMEOUT_MS: Final = 500
RELAY_TARGET: Final = "/v1/store-items"
# When nothing was known to be fresh for this long, entries may have lapsed meanwhile.
OUTAGE_MS: Final = 2_000
# Servers register again within about two seconds of the store's return.
RETURN_MS: Final = 2_500
MAX_PAGES: Final = 200

logger = logging.getLogger(__name__)


class StoreReader:
    """Hold what was read, and how the reading goes."""

    def __init__(self, serving: Serving) -> None:
        self.serving = serving
        self.pool = ConnectionPool(serving.reactor, serving.now_ms)
        self.items: dict[str, StoreItem] = {}
        self.has_list = False
        self.returned_ms: int | None = None
        self.is_lost = False
        self.on_news: Callable[[], None] = lambda: None

    @property
    def revision(self) -> int:
        """Return up to where the store is known."""
        return self.serving.freshness.revision

    def store(self) -> Peer:
        """Return the store as a party to call."""
        address = self.serving.settings.store
        return Peer("store", address.host, address.port)


def store_age_ms(reader: StoreReader) -> int:
    """Return how long ago the store is known to have had nothing newer."""
    return age_ms(reader.serving.freshness, reader.serving.now_ms())


async def follow_store(reader: StoreReader) -> None:
    """Read everything once, then every change, for as long as the process runs."""
    serving = reader.serving
    backoff_ms = FIRST_BACKOFF_MS
    while True:
        now_ms = serving.now_ms()
        if reader.has_list and not should_watch(
            serving.freshness, serving.me, serving.live(), now_ms
        ):
            await deferLater(serving.reactor, IDLE_MS / MS_PER_S)
            continue
        is_read = await (watch(reader) if reader.has_list else read_all(reader))
        if is_read:
            backoff_ms = FIRST_BACKOFF_MS
            continue
        jitter = 0.5 + serving.random.random()
        await deferLater(serving.reactor, backoff_ms * jitter / MS_PER_S)
        backoff_ms = min(2 * backoff_ms, MAX_BACKOFF_MS)


async def read_all(reader: StoreReader) -> bool:
    """Read every item, page by page; return whether that succeeded.

    Pages are no snapshot. Changes since the first one are seen by the watch.
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
    missing = [
        StoreItem(key, None, revision)
        for key, item in reader.items.items()
        if item.value is not None and key not in found and item.revision <= revision
    ]
    take_items(reader, [*found.values(), *missing])
    note_revision(reader, revision)
    reader.has_list = True
    logger.info("store read", extra={"revision": revision, "items": len(found)})
    return True


async def watch(reader: StoreReader) -> bool:
    """Wait for changes; return whether the store answered as expected."""
    target = watch_target("", reader.revision, WATCH_WAIT_MS)
    answer = await ask_store(reader, target, WATCH_WAIT_MS + CALL_TIMEOUT_MS)
    if answer is None:
        return False
    if answer.status == STATUS_GONE:
        logger.info("store history gone", extra={"revision": reader.revision})
        reader.has_list = False
        return True
    if answer.status != STATUS_OK:
        return False
    changes = decode_changes(answer.body)
    if isinstance(changes, Malformed):
        log_malformed(changes)
        return False
    take_items(reader, changes.items)
    note_revision(reader, changes.revision)
    return True


async def ask_store(
    reader: StoreReader, target: str, timeout_ms: int
) -> WholeAnswer | None:
    """Make one call to the store; None stands for no answer."""
    serving = reader.serving
    count(serving.metrics, "store_calls")
    answer = await call(
        reader.pool, reader.store(), b"GET", target, [], b"", timeout_ms
    )
    if isinstance(answer, CallBroken) or answer.status not in (STATUS_OK, STATUS_GONE):
        note_refused(reader, answer)
        return None if isinstance(answer, CallBroken) else answer
    if reader.is_lost:
        reader.returned_ms = serving.now_ms()
        logger.info(
            "store answers again",
            extra={"away_ms": store_age_ms(reader), "revision": reader.revision},
        )
    reader.is_lost = False
    return answer


def note_refused(reader: StoreReader, answer: WholeAnswer | CallBroken) -> None:
    """Log the first of a row of failed calls."""
    reason = (
        str(answer.reason)
        if isinstance(answer, CallBroken)
        else f"status {answer.status}"
    )
    count(reader.serving.metrics, "store_failures", reason)
    if not reader.is_lost:
        logger.warning(
            "store does not answer",
            extra={"reason": reason, "age_ms": store_age_ms(reader)},
        )
    reader.is_lost = True
    if isinstance(answer, CallBroken):
        drop_idle(reader.pool, "store")


def take_items(reader: StoreReader, items: Any) -> None:
    """Take in items that are newer than what is known."""
    is_news = False
    for item in items:
        known = reader.items.get(item.key)
        if known is not None and item.revision <= known.revision:
            continue
        reader.items[item.key] = item
        if item.key == CONFIGURATION_KEY:
            take_configuration(reader, item)
        elif item.key.startswith(SERVERS_PREFIX):
            is_news = take_server(reader, item) or is_news
    if is_news:
        tell_servers(reader)


def take_configuration(reader: StoreReader, item: StoreItem) -> None:
    """Put a new configuration in force, unless it can't be read."""
    if item.value is None:
        logger.warning("configuration removed", extra={"revision": item.revision})
        return
    published = decode_configuration(item.value)
    if isinstance(published, Malformed):
        log_malformed(published)
        return
    take_published(reader.serving, published, item.revision)


def take_server(reader: StoreReader, item: StoreItem) -> bool:
    """Take in a server's entry or its removal; return whether it is news."""
    serving = reader.serving
    server_id = item.key.removeprefix(SERVERS_PREFIX)
    now_ms = serving.now_ms()
    server = None if item.value is None else decode_server(item.key, item.value)
    if isinstance(server, Malformed):
        log_malformed(server)
    if server is None or isinstance(server, Malformed):
        returned_ms = reader.returned_ms
        may_return = returned_ms is not None and now_ms - returned_ms < RETURN_MS
        may_return = may_return and item.value is None
        is_news = remove(serving.book, server_id, item.revision, now_ms, may_return)
        state = "lapsed" if may_return else "gone"
    else:
        is_news = register(serving.book, server, item.revision)
        state = "leaving" if server.is_leaving else "ready"
    if is_news:
        logger.info(
            "backend server",
            extra={
                "server": server_id,
                "state": state,
                "pool": server.pool if isinstance(server, BackendServer) else None,
                "zone_of": server.zone if isinstance(server, BackendServer) else None,
                "revision": item.revision,
            },
        )
    return is_news


def tell_servers(reader: StoreReader) -> None:
    """Let everybody know that the list of servers changed."""
    serving = reader.serving
    known = frozenset(serving.book.entries)
    forget_servers(serving.health, known)
    forget_loads(serving.loads, known)
    for name in set(serving.servers_pool.idle) - known:
        drop_idle(serving.servers_pool, name)
    servers_changed(serving)


def note_revision(reader: StoreReader, revision: int, age_ms: int = 0) -> None:
    """Note up to where the store is known, and tell the others of news at once."""
    serving = reader.serving
    is_news = revision > reader.revision
    note_confirmed(serving.freshness, revision, serving.now_ms() - age_ms)
    gauge(serving.metrics, "store_revision", reader.revision)
    if is_news:
        reader.on_news()


def log_malformed(malformed: Malformed) -> None:
    """Log that something published was not taken."""
    logger.warning(
        "published entry not used",
        extra={"entry": malformed.where, "reason": malformed.reason},
    )


def drop_lapsed_servers(reader: StoreReader) -> None:
    """Stop using servers whose entries did not come back after an outage."""
    for server_id in drop_lapsed(reader.serving.book, reader.serving.now_ms()):
        logger.info("backend server", extra={"server": server_id, "state": "gone"})
        tell_servers(reader)


async def relay_store(reader: StoreReader) -> None:
    """Take over what others know and this instance does not."""
    serving = reader.serving
    while True:
        await deferLater(serving.reactor, RELAY_INTERVAL_MS / MS_PER_S)
        drop_lapsed_servers(reader)
        holder = newest_holder(
            serving.members, reader.revision, serving.random, serving.now_ms()
        )
        if holder is not None:
            await take_over(reader, holder.name, holder.address)


async def take_over(reader: StoreReader, name: str, address: str) -> None:
    """Ask one instance for the items that are newer than what is known here."""
    serving = reader.serving
    host = address.partition(":")[0]
    peer = Peer(name, host, serving.settings.control.port)
    target = f"{RELAY_TARGET}?after={reader.revision}"
    answer = await call(
        serving.peers_pool, peer, b"GET", target, [], b"", RELAY_TIMEOUT_MS
    )
    if isinstance(answer, CallBroken) or answer.status != STATUS_OK:
        return
    relayed = decode_relayed(answer.body)
    if relayed is None:
        logger.warning("relayed items not used", extra={"peer": name})
        return
    before = reader.revision
    if store_age_ms(reader) > OUTAGE_MS:
        # Others were answered again first.
        reader.returned_ms = serving.now_ms()
    take_items(reader, relayed.items)
    # The watch goes on from here, because the items cover all changes until then.
    note_revision(reader, relayed.revision, relayed.age_ms + NETWORK_DELAY_MS)
    reader.has_list = True
    logger.info(
        "store items taken over",
        extra={
            "peer": name,
            "revision_before": before,
            "revision": relayed.revision,
            "age_ms": relayed.age_ms,
        },
    )


def relay_document(reader: StoreReader, after: int) -> bytes:
    """Return the items that changed after a revision, for another instance."""
    items = [
        [
            item.key,
            None if item.value is None else base64.b64encode(item.value).decode(),
            item.revision,
        ]
        for item in reader.items.values()
        if item.revision > after
    ]
    document = {
        "revision": reader.revision,
        "age_ms": store_age_ms(reader),
        "items": items,
    }
    return orjson.dumps(document)


class Relayed(NamedTuple):
    """Hold relayed items, the revision that they reach and how old that is."""

    items: list[StoreItem]
    revision: int
    age_ms: int


def decode_relayed(body: bytes) -> Relayed | None:
    """Return what an instance relayed, None if it is malformed."""
    try:
        document = orjson.loads(body)
        revision = document["revision"]
        age = document["age_ms"]
        items = [
            StoreItem(
                str(key),
                None if value is None else base64.b64decode(value, validate=True),
                int(item_revision),
            )
            for key, value, item_revision in document["items"]
        ]
    except (ValueError, TypeError, KeyError):
        return None
    if not isinstance(revision, int) or not isinstance(age, int) or age < 0:
        return None
    return Relayed(items, revision, age)
