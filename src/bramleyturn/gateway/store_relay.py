"""Copy the store's items from other instances.

Only some instances watch the store (core/fleet/freshness.py). The others, and those
that can't reach it, copy from them.
"""

import base64
import logging
from typing import Final, NamedTuple

import orjson
from twisted.internet.task import deferLater

from bramleyturn.core.fleet.freshness import NETWORK_DELAY_MS
from bramleyturn.core.fleet.members import newest_holder
from bramleyturn.core.units import MS_PER_S
from bramleyturn.gateway.calls import CallFailed, Peer, call
from bramleyturn.gateway.store_copy import (
    StoreCopy,
    copy_age_ms,
    drop_lapsed_servers,
    take_changes,
)
from bramleyturn.platform.store import StoreItem

STATUS_OK: Final = 200
# How often an instance checks whether others know a newer revision. Changes within one
# interval are copied together.
RELAY_INTERVAL_MS: Final = 100
RELAY_TIMEOUT_MS: Final = 500
RELAY_TARGET: Final = "/v1/store-items"
# If the store was not confirmed for this long, entries may have lapsed meanwhile.
OUTAGE_THRESHOLD_MS: Final = 2_000

logger = logging.getLogger(__name__)


async def copy_from_peers(copy: StoreCopy) -> None:
    """Copy newer items from other instances, for as long as the process runs."""
    serving = copy.serving
    while True:
        await deferLater(serving.reactor, RELAY_INTERVAL_MS / MS_PER_S)
        drop_lapsed_servers(copy)
        holder = newest_holder(
            serving.members, copy.revision, serving.random, serving.now_ms()
        )
        if holder is not None:
            await fetch_from_peer(copy, holder.name, holder.address)


async def fetch_from_peer(copy: StoreCopy, name: str, address: str) -> None:
    """Copy the items that changed after the known revision from one instance."""
    serving = copy.serving
    host = address.partition(":")[0]
    peer = Peer(name, host, serving.settings.control.port)
    target = f"{RELAY_TARGET}?after={copy.revision}"
    answer = await call(
        serving.peers_pool, peer, b"GET", target, [], b"", RELAY_TIMEOUT_MS
    )
    if isinstance(answer, CallFailed) or answer.status != STATUS_OK:
        return
    relayed = decode_relayed(answer.body)
    if relayed is None:
        logger.warning("relayed items rejected", extra={"peer": name})
        return
    before = copy.revision
    if copy_age_ms(copy) > OUTAGE_THRESHOLD_MS:
        # Another instance reached the store again first.
        copy.returned_ms = serving.now_ms()
    # The watch continues from this revision: the items cover all changes up to it.
    confirmed_ago_ms = relayed.age_ms + NETWORK_DELAY_MS
    take_changes(copy, relayed.items, relayed.revision, confirmed_ago_ms)
    logger.info(
        "store items taken over",
        extra={
            "peer": name,
            "revision_before": before,
            "revision": relayed.revision,
            "age_ms": relayed.age_ms,
        },
    )


def relay_document(copy: StoreCopy, after: int) -> bytes:
    """Encode the items that changed after a revision, for another instance."""
    items = [
        [
            item.key,
            None if item.value is None else base64.b64encode(item.value).decode(),
            item.revision,
        ]
        for item in copy.items.values()
        if item.revision > after
    ]
    document = {
        "revision": copy.revision,
        "age_ms": copy_age_ms(copy),
        "items": items,
    }
    return orjson.dumps(document)


class RelayedItems(NamedTuple):
    """Hold copied items, the revision they reach and the age of that revision."""

    items: list[StoreItem]
    revision: int
    age_ms: int


def decode_relayed(body: bytes) -> RelayedItems | None:
    """Decode items copied from an instance; return None if malformed."""
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
    return RelayedItems(items, revision, age)
