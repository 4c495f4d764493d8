"""Exchange gossip with other entry processes, a few times per second."""

from collections.abc import Callable
from typing import Final

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

URGENT_FANOUT: Final = 3
FAST_ROUNDS: Final = 60
FAST_INTERVAL_DIVISOR: Final = 5
JITTER_PERCENT: Final = 20
PERCENT: Final = 100


async def run_gossip(loop: EntryLoop, report_newer: Callable[[int], None]) -> None:
    """Gossip with one peer after another, endlessly.

    A new process gossips at shorter intervals until enough peers have answered to
    choose a backup from. ``report_newer`` is called when a peer has a newer
    configuration in force.
    """
    rounds = 0
    while True:
        settings = loop.state.configuration.peers
        rounds += 1
        gossip_next(loop)
        if loop.state.gossip.seen_revision > loop.state.configuration.revision:
            report_newer(loop.state.gossip.seen_revision)
        wait_ms = settings.probe_interval_ms
        if rounds < FAST_ROUNDS and not is_settled(loop.state.peers):
            wait_ms //= FAST_INTERVAL_DIVISOR
        spread_ms = wait_ms * JITTER_PERCENT // PERCENT
        wait_ms += loop.state.random.randint(-spread_ms, spread_ms)
        await deferLater(loop.reactor, wait_ms / MS_PER_S)


def gossip_next(loop: EntryLoop) -> None:
    """Run one round: expire suspicions and gossip with the next peer."""
    settings = loop.state.configuration.peers
    if not settings.key:
        return
    members = loop.state.peers
    now_ms = loop.clock.monotonic_ms()
    expire_suspicions(members, settings.probe_interval_ms, settings.suspect_ms, now_ms)
    member = next_probe(members, loop.state.random)
    if member is not None:
        Deferred.fromCoroutine(exchange_gossip(loop, member))


def gossip_to_several(loop: EntryLoop) -> None:
    """Gossip with a few random peers now, because of an urgent update."""
    alive = [
        member
        for member in loop.state.peers.by_address.values()
        if member.life is Liveness.ALIVE
    ]
    count = min(URGENT_FANOUT, len(alive))
    for member in loop.state.random.sample(alive, count):
        Deferred.fromCoroutine(exchange_gossip(loop, member))


async def exchange_gossip(loop: EntryLoop, member: Member) -> None:
    """Exchange gossip with a peer and feed whether it answered."""
    recipient = ProcessRef(member.address, member.incarnation)
    body = build_gossip(loop.state, recipient, member.zone, loop.clock.monotonic_ms())
    count_sent_bytes(loop.state, body)
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
        await query_incarnation(loop, member)
        return
    feed(loop, peer_seen(answer, member.address))


async def query_incarnation(loop: EntryLoop, member: Member) -> None:
    """Ask a silent peer's address for its incarnation: it may be a new process."""
    if not member.incarnation:
        return
    timeout_ms = loop.state.configuration.peers.probe_timeout_ms
    answer = await send_message(
        loop.peers, member.address, MessageKind.HELLO, {}, timeout_ms
    )
    if answer is not None:
        feed(loop, peer_seen(answer, member.address))


def peer_seen(answer: PeerMessage, address: str) -> PeerSeen:
    """Return the event that the process at ``address`` answered."""
    return PeerSeen(
        answer.sender_name,
        answer.sender_zone,
        address,
        answer.sender.incarnation,
        answer.revision,
        answer.body,
    )
