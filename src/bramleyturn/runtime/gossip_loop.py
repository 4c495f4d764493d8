"""Greet other entry processes, a few a second, and follow what they answer."""

from collections.abc import Callable
from typing import Final

import orjson
from twisted.internet.defer import Deferred
from twisted.internet.task import deferLater

from bramleyturn.core.events import PeerSeen, PeerSilent
from bramleyturn.core.gossip_exchange import build_gossip, count_sent_bytes
from bramleyturn.core.membership import (
    Liveness,
    Member,
    expire_suspicions,
    is_settled,
    next_probe,
)
from bramleyturn.core.peer_message import MessageKind, PeerMessage
from bramleyturn.core.tickets import ProcessRef
from bramleyturn.core.units import MS_PER_S
from bramleyturn.runtime.entry_loop import EntryLoop, feed
from bramleyturn.runtime.peer_client import send_message

URGENT_PEERS: Final = 3
FAST_TURNS: Final = 60
FAST_DIVISOR: Final = 5
JITTER_PERCENT: Final = 20
PERCENT: Final = 100


async def follow_peers(loop: EntryLoop, tell_newer: Callable[[int], None]) -> None:
    """Greet one process after another, for ever.

    The first greetings of a process follow each other more quickly, until it has
    heard enough others to choose a backup from. ``tell_newer`` is called when a peer
    has a newer configuration in force.
    """
    turns = 0
    while True:
        settings = loop.state.configuration.peers
        turns += 1
        greet_next(loop)
        if loop.state.gossip.seen_revision > loop.state.configuration.revision:
            tell_newer(loop.state.gossip.seen_revision)
        wait_ms = settings.probe_interval_ms
        if turns < FAST_TURNS and not is_settled(loop.state.peers):
            wait_ms //= FAST_DIVISOR
        spread_ms = wait_ms * JITTER_PERCENT // PERCENT
        wait_ms += loop.state.random.randint(-spread_ms, spread_ms)
        await deferLater(loop.reactor, wait_ms / MS_PER_S)


def greet_next(loop: EntryLoop) -> None:
    """Take one turn: judge suspicions and greet the next process."""
    settings = loop.state.configuration.peers
    if not settings.key:
        return
    members = loop.state.peers
    now_ms = loop.clock.monotonic_ms()
    expire_suspicions(members, settings.probe_interval_ms, settings.suspect_ms, now_ms)
    member = next_probe(members, loop.state.random)
    if member is not None:
        Deferred.fromCoroutine(greet(loop, member))


def greet_several(loop: EntryLoop) -> None:
    """Greet a few processes at once, because there is news that can't wait."""
    alive = [
        member
        for member in loop.state.peers.by_address.values()
        if member.life is Liveness.ALIVE
    ]
    count = min(URGENT_PEERS, len(alive))
    for member in loop.state.random.sample(alive, count):
        Deferred.fromCoroutine(greet(loop, member))


async def greet(loop: EntryLoop, member: Member) -> None:
    """Exchange news with a process and feed whether it answered."""
    told = ProcessRef(member.address, member.incarnation)
    body = build_gossip(loop.state, told, member.zone, loop.clock.monotonic_ms())
    count_sent_bytes(loop.state, len(orjson.dumps(body)))
    timeout_ms = loop.state.configuration.peers.probe_timeout_ms
    answer = await send_message(
        loop.peers,
        member.address,
        MessageKind.HELLO,
        body,
        timeout_ms,
        to=member.incarnation,
    )
    if answer is None:
        feed(loop, PeerSilent(member.address))
        await ask_who_it_is(loop, member)
        return
    feed(loop, seen(answer, member.address))


async def ask_who_it_is(loop: EntryLoop, member: Member) -> None:
    """Ask the process at an address for its incarnation: it may be another one now."""
    if not member.incarnation:
        return
    timeout_ms = loop.state.configuration.peers.probe_timeout_ms
    answer = await send_message(
        loop.peers, member.address, MessageKind.HELLO, {}, timeout_ms
    )
    if answer is not None:
        feed(loop, seen(answer, member.address))


def seen(answer: PeerMessage, address: str) -> PeerSeen:
    """Return the news that the process at ``address`` answered."""
    return PeerSeen(
        answer.sender_name,
        answer.sender_zone,
        address,
        answer.sender.incarnation,
        answer.revision,
        answer.body,
    )
