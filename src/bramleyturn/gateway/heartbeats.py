"""Exchange heartbeats with the other instances, as JSON over UDP.

A datagram needs no connection that could hang, and a lost one is soon followed by the
next. Malformed datagrams are counted and dropped.
"""

import base64
import logging
from collections.abc import Iterable, Sequence
from typing import Any, Final, NamedTuple

import orjson
from twisted.internet.protocol import DatagramProtocol

from bramleyturn.core.crashes import CrashHint
from bramleyturn.core.fleet.digest import (
    MAX_ASKED_KEYS,
    DigestEntry,
    decode_digest,
    heartbeats_by_key,
    keys_to_ask,
    live_digest,
    merge_digest,
)
from bramleyturn.core.fleet.freshness import (
    age_ms,
    full_revision,
    note_peer_confirmation,
)
from bramleyturn.core.fleet.members import (
    GOSSIP_FANOUT,
    HEARTBEAT_INTERVAL_MS,
    Heartbeat,
    MemberRef,
    Members,
    heartbeats_to_repeat,
    live_addresses,
    live_states,
    merge_heartbeats,
    next_announcement,
    next_heartbeat,
    own_heartbeat,
    recent_members,
    silent_zones,
)
from bramleyturn.core.fleet.reports import (
    NEWS_INTERVAL_MS,
    Report,
    ReportSchedule,
    choose_targets,
    is_news_left,
    next_report,
    note_news,
    note_told,
)
from bramleyturn.core.fleet.store_revision import UNKNOWN_ERA, StoreRevision
from bramleyturn.core.placement.server_limits import (
    LimitHint,
    choose_limit_hints,
    update_instances,
)
from bramleyturn.core.units import MS_PER_S
from bramleyturn.gateway.crash_hints import (
    decode_hints,
    decode_part_hints,
    encode_report,
)
from bramleyturn.gateway.crash_watch import CrashWatch
from bramleyturn.gateway.load_reports import LoadReports, merge_loads, tell_loads
from bramleyturn.gateway.metrics import count, gauge
from bramleyturn.gateway.server_limits import (
    MAX_SENT_LIMITS,
    decode_limits,
    encode_limits,
    merge_limits,
)
from bramleyturn.gateway.serving import Serving

MAX_DATAGRAM_BYTES: Final = 8_192
MAX_HEARTBEATS: Final = 64
# Connections to a server that crashed break one after another: news of them waits for
# this long, to be sent together.
NEWS_DELAY_MS: Final = 25
# Names may be long: a report that does not fit is tried at these parts of its size.
PARTS_OF_REPORT: Final = (1, 2, 4, 8, 16, 32, 64)
# News of one kind that comes more often is told together.
ANNOUNCEMENT_INTERVAL_MS: Final = 200
TRAFFIC_LOG_INTERVAL_S: Final = 2.0
# A link of 5 Mbit/s passes as many heartbeats on in this time.
DATAGRAMS_PER_TURN: Final = 4
TURN_MS: Final = 25

logger = logging.getLogger(__name__)


class Heartbeats(DatagramProtocol):
    """Send and receive heartbeats."""

    def __init__(self, serving: Serving, crashes: CrashWatch) -> None:
        self.serving = serving
        self.crashes = crashes
        self.reports = ReportSchedule(serving.now_ms())
        self.loads = LoadReports(serving.now_ms())
        self.are_limits_new = False
        self.limits_ms = serving.now_ms() - ANNOUNCEMENT_INTERVAL_MS
        self.is_sending_soon = False
        self.announced_ms = serving.now_ms() - ANNOUNCEMENT_INTERVAL_MS
        self.is_announcing_soon = False
        self.logged_live: frozenset[str] = frozenset()

    def send_periodically(self) -> None:
        """Send heartbeats at intervals, and log which instances came or fell silent."""
        self.send_heartbeats()
        self._log_live_changes(self.serving.now_ms())
        jitter = 0.75 + 0.25 * self.serving.random.random()
        interval_s = HEARTBEAT_INTERVAL_MS * jitter / MS_PER_S
        reactor = self.serving.reactor
        # Between two heartbeats, as a small link holds only so many datagrams.
        reactor.callLater(interval_s / 2, self.send_reports)
        reactor.callLater(interval_s, self.send_periodically)

    def log_traffic(self) -> None:
        """Log at intervals what has been sent to other instances, in bytes."""
        serving = self.serving
        serving.reactor.callLater(TRAFFIC_LOG_INTERVAL_S, self.log_traffic)
        counters = serving.metrics.counters
        logger.info(
            "messages to instances",
            extra={
                "datagram_bytes": {
                    content: total
                    for (name, content), total in counters.items()
                    if name == "datagram_bytes_sent"
                },
                "received_datagram_bytes": counters["datagram_bytes_received", ""],
                "call_bytes": counters["peer_call_bytes", ""],
                "calls_taken": counters["peer_calls", "taken"],
                "calls_failed": counters["peer_calls", "failed"],
                "crashes_known": len(serving.suspects.crashes),
            },
        )

    def send_soon(self) -> None:
        """Tell others of crashes shortly, because there is news that can't wait."""
        note_news(self.reports)
        self._send_soon()

    def send_limits_soon(self) -> None:
        """Tell others of limits of servers shortly, and not too often."""
        if not self.are_limits_new:
            self.are_limits_new = True
            delay_ms = max(NEWS_DELAY_MS, self._left_ms(self.limits_ms))
            self.serving.reactor.callLater(delay_ms / MS_PER_S, self._send_new_limits)

    def _left_ms(self, told_ms: int) -> int:
        """Return how long to wait until news of the same kind is told again."""
        return told_ms + ANNOUNCEMENT_INTERVAL_MS - self.serving.now_ms()

    def _send_new_limits(self) -> None:
        members = self.serving.members
        addresses = live_addresses(members, self.serving.now_ms())
        count = min(GOSSIP_FANOUT, len(addresses))
        self._send_limits(self.serving.random.sample(addresses, count))

    def _send_soon(self, delay_ms: int = NEWS_DELAY_MS) -> None:
        if not self.is_sending_soon:
            self.is_sending_soon = True
            self.serving.reactor.callLater(delay_ms / MS_PER_S, self._send_news)

    def _send_news(self) -> None:
        self.is_sending_soon = False
        if self.reports.news_rounds:
            self.send_reports()

    def send_heartbeats(self) -> None:
        """Send this instance's heartbeat and some of the others' now."""
        serving = self.serving
        now_ms = serving.now_ms()
        serving.members.is_ending = serving.is_ending
        heartbeats, addresses = next_heartbeat(
            serving.members, serving.freshness.revision, serving.random, now_ms
        )
        digest = live_digest(serving.members, now_ms)
        document = _encode_rows(heartbeats[1:]) | {"digest": _encode_digest(digest)}
        earlier = earlier_addresses(serving.members, now_ms)
        if earlier:
            repeated = heartbeats_to_repeat(serving.members, serving.random, now_ms)
            self._send_in_turns(
                _encode_rows(repeated),
                [each for each in addresses if each in earlier],
                "heartbeats",
            )
        recent = [each for each in addresses if each not in earlier]
        for group, loads in tell_loads(serving, self.loads, recent):
            self._send_in_turns(document | loads, group, "heartbeats")
        self._send_limits(addresses)

    def _send_limits(self, addresses: Sequence[str]) -> None:
        serving = self.serving
        self.are_limits_new = False
        self.limits_ms = serving.now_ms()
        limits = choose_limit_hints(
            serving.server_limits, serving.random, MAX_SENT_LIMITS, self.limits_ms
        )
        if limits:
            document = {"server_limits": encode_limits(limits)}
            self._send_in_turns(document, addresses, "server limits")

    def announce_soon(self) -> None:
        """Tell many that this instance has a new revision, and not too often."""
        if self.is_announcing_soon:
            return
        left_ms = self._left_ms(self.announced_ms)
        if left_ms <= 0:
            self.announce()
            return
        self.is_announcing_soon = True
        self.serving.reactor.callLater(left_ms / MS_PER_S, self.announce)

    def announce(self) -> None:
        """Tell many that this instance has a new revision or is shutting down."""
        serving = self.serving
        self.is_announcing_soon = False
        self.announced_ms = serving.now_ms()
        serving.members.is_ending = serving.is_ending
        addresses = next_announcement(serving.members, serving.random, serving.now_ms())
        self._send_in_turns({}, addresses, "announcements")

    def send_reports(self) -> None:
        """Tell some instances of crashes, as far as the budget for it allows."""
        serving = self.serving
        now_ms = serving.now_ms()
        report = self._fitting_report(now_ms)
        if report is None:
            return
        document = encode_report(report)
        addresses = choose_targets(
            self.reports,
            report.size,
            serving.members.me.address,
            live_addresses(serving.members, now_ms),
            len(orjson.dumps(self._own_document() | document)),
            serving.random,
            now_ms,
        )
        self._send(document, addresses, "crashes")
        if not addresses:
            return
        note_told(self.reports, report)
        if is_news_left(self.reports):
            self._send_soon(NEWS_INTERVAL_MS)

    def _fitting_report(self, now_ms: int) -> Report | None:
        """Return a report that is due and fits in a datagram, None if there is none."""
        serving = self.serving
        for parts_of_size in PARTS_OF_REPORT:
            report = next_report(
                self.reports, serving.suspects, serving.random, now_ms, parts_of_size
            )
            if report is None:
                return None
            document = self._own_document() | encode_report(report)
            if len(orjson.dumps(document)) <= MAX_DATAGRAM_BYTES:
                return report
        count(serving.metrics, "reports_too_large")
        return None

    def _own_document(self) -> dict[str, Any]:
        """Return what each message holds: the last heartbeat of this instance."""
        serving = self.serving
        now_ms = serving.now_ms()
        heartbeat = own_heartbeat(serving.members, serving.freshness.revision)
        published = serving.published
        return {
            "store_age_ms": age_ms(serving.freshness, now_ms),
            **_encode_rows([heartbeat]),
            "digest": "",
            "configuration_version": published.version if published is not None else 0,
        }

    def _send_in_turns(
        self, document: dict[str, Any], addresses: Sequence[str], content: str
    ) -> None:
        """Send a message to a few instances at a time, as small links hold no more."""
        reactor = self.serving.reactor
        for turn, first in enumerate(range(0, len(addresses), DATAGRAMS_PER_TURN)):
            group = addresses[first : first + DATAGRAMS_PER_TURN]
            if turn:
                delay_s = turn * TURN_MS / MS_PER_S
                reactor.callLater(delay_s, self._send, document, group, content)
            else:
                self._send(document, group, content)

    def _send(
        self, document: dict[str, Any], addresses: Iterable[str], content: str
    ) -> None:
        transport: Any = self.transport
        if transport is None:
            return
        # The revision of the store and its age are those of now, and belong together.
        own = self._own_document()
        merged = own | document
        for field in ("heartbeats", "eras"):
            merged[field] = own[field] + document.get(field, [])
        data = orjson.dumps(merged)
        for address in addresses:
            host, _, port = address.partition(":")
            transport.write(data, (host, int(port)))
            count(self.serving.metrics, "datagrams_sent", content)
            count(self.serving.metrics, "datagram_bytes_sent", content, len(data))

    def datagramReceived(self, datagram: bytes, addr: Any) -> None:  # noqa: N802
        """Process the heartbeats of another instance."""
        count(self.serving.metrics, "datagram_bytes_received", by=len(datagram))
        message = decode_heartbeats(datagram)
        if message is None:
            count(self.serving.metrics, "heartbeats_malformed")
            return
        now_ms = self.serving.now_ms()
        members = self.serving.members
        freshness = self.serving.freshness
        heartbeats = [
            each._replace(revision=full_revision(freshness, *each.revision))
            for each in message.heartbeats
        ]
        merge_heartbeats(members, heartbeats, now_ms)
        sender = heartbeats[0]
        state = members.others.get(sender.member.name)
        if state is not None:
            state.configuration_version = message.configuration_version
            state.reads_digests = message.digest is not None
        self._exchange_unknown(sender.member, message, now_ms)
        if message.crashes:
            self.crashes.merge(sender.member.name, message.crashes)
        merge_limits(self.serving, sender.member.name, message.server_limits)
        merge_loads(self.serving, sender.member.name, message.server_loads)
        note_peer_confirmation(freshness, sender.revision, message.store_age_ms, now_ms)

    def _exchange_unknown(
        self, sender: MemberRef, message: "HeartbeatMessage", now_ms: int
    ) -> None:
        """Ask for the instances of a digest that are unknown, and tell those asked."""
        members = self.serving.members
        if message.asked_keys:
            heartbeats = heartbeats_by_key(members, message.asked_keys)
            self._send(_encode_rows(heartbeats), [sender.address], "heartbeats")
        unknown = merge_digest(members, message.digest or (), now_ms)
        keys = keys_to_ask(members, unknown, now_ms) if unknown else []
        if keys:
            self._send({"asked_keys": keys}, [sender.address], "asked keys")

    def _log_live_changes(self, now_ms: int) -> None:
        members = self.serving.members
        live = frozenset(state.member.name for state in live_states(members, now_ms))
        for name in sorted(live - self.logged_live):
            logger.info("instance heard", extra={"peer": name, "live": len(live)})
        for name in sorted(self.logged_live - live):
            state = members.others.get(name)
            age_ms = now_ms - state.heard_ms if state is not None else None
            logger.info(
                "instance silent",
                extra={"peer": name, "age_ms": age_ms, "live": len(live)},
            )
        self._update_silent_zones(now_ms)
        recent = recent_members(members, now_ms)
        update_instances(self.serving.server_limits, recent, now_ms)
        self.logged_live = live
        gauge(self.serving.metrics, "live_instances", len(live) + 1)

    def _update_silent_zones(self, now_ms: int) -> None:
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


class HeartbeatMessage(NamedTuple):
    """Hold the contents of a datagram: its sender's heartbeat first, then others.

    ``store_age_ms`` is how long ago the store had nothing newer than the sender knows.
    ``crashes`` are crashes of backend servers that the sender knows of, and
    ``server_limits`` the limits that servers named. ``server_loads`` are rows of their
    loads, still encoded, as a malformed one is dropped alone. ``digest`` has the
    entries of other instances, and ``asked_keys`` the keys of those whose heartbeats
    the sender lacks. Instances of earlier builds send neither these nor eras nor the
    version of their configuration.
    """

    store_age_ms: int
    heartbeats: list[Heartbeat]
    crashes: tuple[CrashHint, ...] = ()
    configuration_version: int = 0
    server_limits: tuple[LimitHint, ...] = ()
    digest: tuple[DigestEntry, ...] | None = None
    asked_keys: tuple[int, ...] = ()
    server_loads: Any = ()


def decode_heartbeats(datagram: bytes) -> HeartbeatMessage | None:
    """Decode a datagram; return None if it is malformed."""
    if len(datagram) > MAX_DATAGRAM_BYTES:
        return None
    try:
        document = orjson.loads(datagram)
        store_age_ms = document["store_age_ms"]
        rows = document["heartbeats"][:MAX_HEARTBEATS]
        eras = document.get("eras", [UNKNOWN_ERA] * len(rows))[:MAX_HEARTBEATS]
        heartbeats = [_decode(*row) for row in zip(rows, eras, strict=True)]
        version = document.get("configuration_version", 0)
        crashes = (
            *decode_hints(document.get("crashes", [])),
            *decode_part_hints(document.get("part_crashes", [])),
        )
        limits = decode_limits(document.get("server_limits", []))
        digest = _decode_digest(document.get("digest"))
        asked_keys = tuple(map(int, document.get("asked_keys", [])[:MAX_ASKED_KEYS]))
    except (ValueError, TypeError, KeyError, IndexError):
        return None
    if not isinstance(store_age_ms, int) or store_age_ms < 0 or not heartbeats:
        return None
    if not isinstance(version, int):
        return None
    return HeartbeatMessage(
        store_age_ms,
        heartbeats,
        crashes,
        version,
        limits,
        digest,
        asked_keys,
        document.get("server_loads", ()),
    )


def earlier_addresses(members: Members, now_ms: int) -> set[str]:
    """Return the addresses of live instances whose build reads no digests."""
    return {
        state.member.address
        for state in live_states(members, now_ms)
        if not state.reads_digests
    }


def _encode_digest(digest: bytes) -> str:
    return base64.b64encode(digest).decode("ascii")


def _decode_digest(text: Any) -> tuple[DigestEntry, ...] | None:
    if text is None:
        return None
    return decode_digest(base64.b64decode(text, validate=True))


def _encode_rows(heartbeats: Iterable[Heartbeat]) -> dict[str, list[Any]]:
    rows = list(heartbeats)
    return {
        "heartbeats": [_encode(heartbeat) for heartbeat in rows],
        "eras": [heartbeat.revision.era for heartbeat in rows],
    }


def _encode(heartbeat: Heartbeat) -> list[Any]:
    return [
        *heartbeat.member,
        heartbeat.beats,
        heartbeat.revision.number,
        int(heartbeat.is_ending),
    ]


def _decode(row: Any, era: Any) -> Heartbeat:
    name, zone, address, incarnation, capacity, beats, number, is_ending = row
    texts = (name, zone, address, incarnation)
    if not all(isinstance(text, str) and text for text in texts):
        raise ValueError("a string is missing or empty")
    if not address.rpartition(":")[2].isdigit():
        raise ValueError("the address has no port")
    member = MemberRef(*texts, int(capacity))
    revision = StoreRevision(int(era), int(number))
    return Heartbeat(member, int(beats), revision, bool(is_ending))
