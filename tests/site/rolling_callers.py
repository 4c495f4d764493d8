"""Call the entries of a deployment as clients of the platform do, and note every end.

A caller uses new connections or keeps one open until its entry closes it. Some read
slowly, some leave early, some send a request in two parts. A refused request is sent
once more, to another entry.
"""

import asyncio
import itertools
import socket
import time
from random import Random
from typing import Any, Final, NamedTuple

import h11

from bramleyturn.core.units import MS_PER_S
from bramleyturn.standin.site.deployment import Deployment, RoutePlan
from bramleyturn.standin.site.site import API_KEY
from tests.site.site_fleet import SiteFleet
from tests.site.soak_parts import CRASHING_PART

READINESS_INTERVAL_S: Final = 1.0
# Readiness checks without a 200 that take an entry out of rotation.
MISSES: Final = 2
CONNECT_LIMIT_S: Final = 1.0
# Time beyond its deadline after which a caller closes the connection itself.
PATIENCE_S: Final = 0.5
READ_BYTES: Final = 65_536
SLOW_READ_BYTES: Final = 256
SLOW_READ_GAP_S: Final = 0.03
SLOW_BUFFER_BYTES: Final = 2_048
# Clients wait as told for a third of the time that they have left.
RETRY_PART: Final = 3
REFUSED: Final = (429, 503)


class Trait(NamedTuple):
    """Hold how a caller behaves in one attempt; times are 0 where it does not apply."""

    is_slow: bool
    leaves_after_s: float
    waits_before_s: float
    pauses_within_s: float


class Attempt:
    """Record one attempt of a caller. Times are of the day, in milliseconds.

    ``end`` is ``whole``, ``cut`` (within the answer), ``closed`` or ``reset`` (before
    it), ``left`` (by the caller), ``late`` (no end beyond the deadline) or ``unsent``.
    """

    def __init__(self, attempt_id: str, plan: RoutePlan, place: int, name: str) -> None:
        self.id = attempt_id
        self.route = plan["name"]
        self.kind = plan["kind"]
        self.is_resumable = plan["is_resumable"]
        self.wait_ms = plan["timeout_ms"]
        self.place = place
        self.entry = name
        self.reuse = 0
        self.trait = Trait(False, 0.0, 0.0, 0.0)
        self.is_first = True
        self.has_crashing_part = False
        self.sent_ms = 0
        self.last_sent_ms = 0
        self.first_read_ms = 0
        self.last_read_ms = 0
        self.ended_ms = 0
        self.status = 0
        self.retry_after_s: float | None = None
        self.expected_events = 0
        self.body = b""
        self.end = ""


class Link:
    """Hold one open connection to an entry process."""

    def __init__(self, sock: socket.socket, place: int, entry: str) -> None:
        self.sock = sock
        self.place = place
        self.entry = entry
        self.http = h11.Connection(h11.CLIENT)
        self.uses = 0


class Platform:
    """Hold which entries are in rotation, and the attempts of all callers."""

    def __init__(self, fleet: SiteFleet, deployment: Deployment, seed: int) -> None:
        self.fleet = fleet
        self.deployment = deployment
        self.seed = seed
        self.random = Random(seed)
        self.misses = [0] * len(fleet.entries)
        self.attempts: list[Attempt] = []
        self.is_over = False
        self.ids = itertools.count(1)
        # Share of the streams with a prompt part on which engines crash.
        self.part_share = 0.0


def wall_ms() -> int:
    """Return the time of day."""
    return time.time_ns() // 1_000_000


def choose_entry(platform: Platform, zone: str, other_than: int = -1) -> int:
    """Return the entry to which the platform sends a new connection.

    These are the zone's in rotation, all of the zone if fewer than half are, and those
    of other zones if none is.
    """
    zones = platform.fleet.zones
    near = [place for place, each in enumerate(zones) if each == zone]
    usable = [place for place in near if platform.misses[place] < MISSES]
    if not usable:
        usable = [place for place, n in enumerate(platform.misses) if n < MISSES]
    elif 2 * len(usable) < len(near):
        usable = near
    usable = [place for place in usable or near if place != other_than]
    return platform.random.choice(usable or near)


async def watch_readiness(platform: Platform, place: int) -> None:
    """Ask an entry once per second whether it is ready."""
    while not platform.is_over:
        is_ready = await asyncio.to_thread(platform.fleet.is_ready, place)
        platform.misses[place] = 0 if is_ready else platform.misses[place] + 1
        await asyncio.sleep(READINESS_INTERVAL_S)


async def run_caller(
    platform: Platform, number: int, route: str, is_kept: bool
) -> None:
    """Send requests one after the other until the run is over."""
    random = Random(platform.seed * 1_000 + number)
    zone = list(platform.deployment["zones"])[
        number % len(platform.deployment["zones"])
    ]
    (plan,) = (each for each in platform.deployment["routes"] if each["name"] == route)
    link: Link | None = None
    while not platform.is_over:
        trait = draw_trait(random)
        attempt, link = await send(platform, random, plan, zone, trait, link)
        if _may_retry(attempt) and not platform.is_over:
            left_s = (attempt.sent_ms + attempt.wait_ms - wall_ms()) / MS_PER_S
            wait_s = min(attempt.retry_after_s or 0.0, max(0.0, left_s / RETRY_PART))
            await asyncio.sleep(wait_s)
            _, other = await send(
                platform, random, plan, zone, trait, None, attempt.place
            )
            link = _keep(link, other)
        if not is_kept:
            link = _keep(link, None)
        await asyncio.sleep(random.uniform(0.05, 0.6))
    _keep(link, None)


def draw_trait(random: Random) -> Trait:
    """Return how a caller behaves in its next attempt."""
    return Trait(
        is_slow=random.random() < 0.08,
        leaves_after_s=random.uniform(0.05, 2.5) if random.random() < 0.05 else 0.0,
        waits_before_s=random.uniform(0.0, 0.6) if random.random() < 0.15 else 0.0,
        pauses_within_s=random.uniform(0.0, 0.5) if random.random() < 0.15 else 0.0,
    )


def _keep(link: Link | None, other: Link | None) -> Link | None:
    """Close the first connection if there is another one, and return that."""
    if link is not None and link is not other:
        link.sock.close()
    return other


def _may_retry(attempt: Attempt) -> bool:
    if attempt.status in REFUSED and attempt.end == "whole":
        return True
    failed = attempt.end in ("cut", "closed", "reset", "unsent")
    return failed and (attempt.kind == "idempotent" or attempt.end == "unsent")


async def send(
    platform: Platform,
    random: Random,
    plan: RoutePlan,
    zone: str,
    trait: Trait,
    link: Link | None,
    other_than: int = -1,
) -> tuple[Attempt, Link | None]:
    """Make one attempt; return it, and its connection if that is still open."""
    place = link.place if link else choose_entry(platform, zone, other_than)
    name = link.entry if link else platform.fleet.entries[place].name
    attempt = Attempt(f"r{next(platform.ids):07x}", plan, place, name)
    attempt.trait = trait
    attempt.is_first = other_than < 0
    if plan["kind"] == "streaming" and platform.part_share:
        attempt.has_crashing_part = random.random() < platform.part_share
    platform.attempts.append(attempt)
    if link is None:
        link = await connect(platform, place, name, trait)
    if link is None:
        attempt.end = "unsent"
        attempt.sent_ms = attempt.ended_ms = wall_ms()
        return attempt, None
    attempt.reuse = link.uses
    link.uses += 1
    if trait.waits_before_s:
        await asyncio.sleep(trait.waits_before_s)
    limit_s = attempt.wait_ms / MS_PER_S + PATIENCE_S
    gives_up_s = trait.leaves_after_s or limit_s
    try:
        await asyncio.wait_for(_exchange(random, plan, link, attempt), gives_up_s)
    except TimeoutError:
        attempt.end = "left" if trait.leaves_after_s else "late"
    attempt.ended_ms = wall_ms()
    states = {link.http.our_state, link.http.their_state}
    if attempt.end != "whole" or states != {h11.DONE}:
        link.sock.close()
        return attempt, None
    link.http.start_next_cycle()
    return attempt, link


async def connect(
    platform: Platform, place: int, name: str, trait: Trait
) -> Link | None:
    sock = socket.socket()
    sock.setblocking(False)
    if trait.is_slow:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SLOW_BUFFER_BYTES)
    address = (platform.fleet.hosts[place], platform.fleet.ports["front"])
    loop = asyncio.get_running_loop()
    try:
        await asyncio.wait_for(loop.sock_connect(sock, address), CONNECT_LIMIT_S)
    except OSError:
        sock.close()
        return None
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return Link(sock, place, name)


async def _exchange(
    random: Random, plan: RoutePlan, link: Link, attempt: Attempt
) -> None:
    """Send the request and read its answer to whatever end it has."""
    attempt.sent_ms = wall_ms()
    head, body = _request(random, plan, link, attempt)
    loop = asyncio.get_running_loop()
    try:
        if attempt.trait.pauses_within_s:
            await loop.sock_sendall(link.sock, head)
            await asyncio.sleep(attempt.trait.pauses_within_s)
            await loop.sock_sendall(link.sock, body)
        else:
            await loop.sock_sendall(link.sock, head + body)
        attempt.last_sent_ms = wall_ms()
    except OSError:
        attempt.end = "unsent"
        return
    try:
        await _read_answer(link, attempt)
    except (OSError, h11.RemoteProtocolError):
        attempt.end = "cut" if attempt.first_read_ms else "reset"


def _request(
    random: Random, plan: RoutePlan, link: Link, attempt: Attempt
) -> tuple[bytes, bytes]:
    headers = [
        ("Host", "site.example"),
        ("Authorization", f"Bearer {API_KEY}"),
        ("Bramleyturn-Attempt-Id", attempt.id),
        ("Bramleyturn-Deadline-Ms", str(attempt.wait_ms)),
    ]
    body = b""
    if plan["kind"] != "idempotent":
        body = b"x" * random.randrange(200, 9_000)
        headers.append(("Content-Length", str(len(body))))
    if plan["kind"] == "streaming":
        # Larger streams of the routes with more time.
        mean = 17 if attempt.wait_ms < 10_000 else 40
        attempt.expected_events = max(1, int(random.gauss(mean, mean / 4)))
        counts = (1, random.randrange(2, 8), random.randrange(6, 20))
        middle = f"{CRASHING_PART}:300," if attempt.has_crashing_part else ""
        headers += [
            ("Bramleyturn-Model", "m"),
            ("Bramleyturn-Token-Counts", f"2000,{attempt.expected_events}"),
            ("Bramleyturn-Prompt-Prefix", f"aa:1500,{middle}{attempt.id[1:]}:500"),
        ]
        if plan["stages"]:
            pieces = counts[: len(plan["stages"])]
            headers += [
                ("Bramleyturn-Pieces", ",".join(map(str, pieces))),
                ("Bramleyturn-Piece-Key", f"{random.randrange(1 << 40):x}"),
            ]
    method = "GET" if plan["kind"] == "idempotent" else "POST"
    target = f"/{plan['name']}/{attempt.id}"
    head = link.http.send(h11.Request(method=method, target=target, headers=headers))
    data = link.http.send(h11.Data(data=body)) if body else b""
    return head, (data or b"") + (link.http.send(h11.EndOfMessage()) or b"")


async def _read_answer(link: Link, attempt: Attempt) -> None:
    loop = asyncio.get_running_loop()
    parts: list[bytes] = []
    while True:
        event: Any = link.http.next_event()
        if event is h11.NEED_DATA:
            size = SLOW_READ_BYTES if attempt.trait.is_slow else READ_BYTES
            data = await loop.sock_recv(link.sock, size)
            if data:
                attempt.last_read_ms = wall_ms()
                attempt.first_read_ms = attempt.first_read_ms or attempt.last_read_ms
            elif not attempt.first_read_ms:
                attempt.end = "closed"
                return
            link.http.receive_data(data)
            if attempt.trait.is_slow:
                await asyncio.sleep(SLOW_READ_GAP_S)
        elif isinstance(event, h11.Response):
            attempt.status = event.status_code
            for name, value in event.headers:
                if name == b"retry-after":
                    attempt.retry_after_s = float(value)
        elif isinstance(event, h11.Data):
            parts.append(bytes(event.data))
            attempt.body = b"".join(parts)
        elif isinstance(event, h11.EndOfMessage):
            attempt.end = "whole"
            return
        else:
            attempt.end = "cut"
            return
