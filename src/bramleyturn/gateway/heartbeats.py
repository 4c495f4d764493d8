"""Exchange heartbeats with the other instances, as JSON in datagrams.

A datagram needs no connection that could hang, and one that is lost is followed by the
next. Whatever can't be read is counted and dropped.
"""

import logging
from typing import Any, Final, NamedTuple

import orjson
from twisted.internet.protocol import DatagramProtocol

from bramleyturn.core.fleet.freshness import age_ms, note_peer_confirmation
from bramleyturn.core.fleet.members import (
    HEARTBEAT_INTERVAL_MS,
    Heartbeat,
    MemberRef,
    is_live,
    merge_heartbeats,
    next_heartbeat,
    silent_zones,
)
from bramleyturn.core.units import MS_PER_S
from bramleyturn.gateway.metrics import count, gauge
from bramleyturn.gateway.serving import Serving

MAX_DATAGRAM_BYTES: Final = 8_192
MAX_HEARTBEATS: Final = 64

logger = logging.getLogger(__name__)


class Heartbeats(DatagramProtocol):
    """Send and receive heartbeats."""

    def __init__(self, serving: Serving) -> None:
        self.serving = serving
        self.known_live: frozenset[str] = frozenset()

    def beat(self) -> None:
        """Tell the own heartbeat at intervals, and look who fell silent."""
        self.tell()
        self._note_changes(self.serving.now_ms())
        jitter = 0.75 + 0.25 * self.serving.random.random()
        self.serving.reactor.callLater(
            HEARTBEAT_INTERVAL_MS * jitter / MS_PER_S, self.beat
        )

    def tell(self) -> None:
        """Tell the own heartbeat and some others now."""
        serving = self.serving
        now_ms = serving.now_ms()
        serving.members.is_ending = serving.is_ending
        told, addresses = next_heartbeat(
            serving.members, serving.freshness.revision, serving.random, now_ms
        )
        document = {
            "store_age_ms": age_ms(serving.freshness, now_ms),
            "heartbeats": [_encode(heartbeat) for heartbeat in told],
        }
        data = orjson.dumps(document)
        transport: Any = self.transport
        for address in addresses:
            host, _, port = address.partition(":")
            transport.write(data, (host, int(port)))

    def datagramReceived(self, datagram: bytes, addr: Any) -> None:  # noqa: N802
        """Take in what another instance tells."""
        told = decode_heartbeats(datagram)
        if told is None:
            count(self.serving.metrics, "heartbeats_malformed")
            return
        now_ms = self.serving.now_ms()
        merge_heartbeats(self.serving.members, told.heartbeats, now_ms)
        sender = told.heartbeats[0]
        note_peer_confirmation(
            self.serving.freshness, sender.revision, told.store_age_ms, now_ms
        )

    def _note_changes(self, now_ms: int) -> None:
        members = self.serving.members
        live = frozenset(
            name for name in members.others if is_live(members, name, now_ms)
        )
        for name in sorted(live - self.known_live):
            logger.info("instance heard", extra={"peer": name, "live": len(live)})
        for name in sorted(self.known_live - live):
            state = members.others.get(name)
            age_ms = now_ms - state.heard_ms if state is not None else None
            logger.info(
                "instance silent",
                extra={"peer": name, "age_ms": age_ms, "live": len(live)},
            )
        self._note_zones(now_ms)
        self.known_live = live
        gauge(self.serving.metrics, "live_instances", len(live) + 1)

    def _note_zones(self, now_ms: int) -> None:
        serving = self.serving
        silent = silent_zones(serving.members, now_ms)
        if silent != serving.silent_zones:
            logger.info(
                "silent zones",
                extra={
                    "before": sorted(serving.silent_zones),
                    "zones": sorted(silent),
                },
            )
        serving.silent_zones = silent


class Told(NamedTuple):
    """Hold what a datagram tells: its sender's heartbeat first, then others.

    ``store_age_ms`` is how long ago the store had nothing newer than the sender knows.
    """

    store_age_ms: int
    heartbeats: list[Heartbeat]


def decode_heartbeats(datagram: bytes) -> Told | None:
    """Return what a datagram tells, None if it is malformed."""
    if len(datagram) > MAX_DATAGRAM_BYTES:
        return None
    try:
        document = orjson.loads(datagram)
        store_age_ms = document["store_age_ms"]
        rows = document["heartbeats"][:MAX_HEARTBEATS]
        heartbeats = [_decode(row) for row in rows]
    except (ValueError, TypeError, KeyError, IndexError):
        return None
    if not isinstance(store_age_ms, int) or store_age_ms < 0 or not heartbeats:
        return None
    return Told(store_age_ms, heartbeats)


def _encode(heartbeat: Heartbeat) -> list[Any]:
    return [
        *heartbeat.member,
        heartbeat.beats,
        heartbeat.revision,
        int(heartbeat.is_ending),
    ]


def _decode(row: Any) -> Heartbeat:
    name, zone, address, incarnation, capacity, beats, revision, is_ending = row
    texts = (name, zone, address, incarnation)
    if not all(isinstance(text, str) and text for text in texts):
        raise ValueError("a text is missing")
    if not address.rpartition(":")[2].isdigit():
        raise ValueError("no address")
    member = MemberRef(*texts, int(capacity))
    return Heartbeat(member, int(beats), int(revision), bool(is_ending))
