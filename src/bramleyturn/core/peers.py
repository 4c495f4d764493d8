"""Know the other entry processes."""

from collections.abc import Iterable
from random import Random
from typing import Final, NamedTuple

from bramleyturn.core.events import ListedEntry
from bramleyturn.core.tickets import ProcessRef

SILENT_MS: Final = 3_000


class Peer(NamedTuple):
    """Hold what is known of another entry process.

    ``incarnation`` is empty until it has answered. ``seen_ms`` is when it last did.
    """

    name: str
    zone: str
    address: str
    incarnation: str
    seen_ms: int
    is_leaving: bool


class Peers:
    """Hold the other entry processes by address."""

    def __init__(self) -> None:
        self.by_address: dict[str, Peer] = {}


def list_peers(peers: Peers, entries: Iterable[ListedEntry], own_address: str) -> None:
    """Take over the platform's list, keeping what is known of those still on it."""
    known = peers.by_address
    peers.by_address = {}
    for entry in entries:
        if entry.address == own_address:
            continue
        old = known.get(entry.address)
        peers.by_address[entry.address] = Peer(
            name=entry.name,
            zone=entry.zone,
            address=entry.address,
            incarnation=old.incarnation if old is not None else "",
            seen_ms=old.seen_ms if old is not None else 0,
            is_leaving=entry.leaving,
        )


def peer_seen(
    peers: Peers, name: str, zone: str, address: str, incarnation: str, now_ms: int
) -> None:
    """Write down that a peer answered."""
    old = peers.by_address.get(address)
    peers.by_address[address] = Peer(
        name=name,
        zone=zone,
        address=address,
        incarnation=incarnation,
        seen_ms=now_ms,
        is_leaving=old.is_leaving if old is not None else False,
    )


def peer_silent(peers: Peers, address: str) -> None:
    """Write down that a peer did not answer."""
    old = peers.by_address.get(address)
    if old is not None:
        peers.by_address[address] = old._replace(seen_ms=0)


def answering_peers(peers: Peers, now_ms: int) -> list[Peer]:
    """Return the peers that answered lately and are not leaving."""
    return [
        peer
        for peer in peers.by_address.values()
        if peer.incarnation
        and not peer.is_leaving
        and peer.seen_ms > 0
        and now_ms - peer.seen_ms <= SILENT_MS
    ]


def choose_backup(
    peers: Peers, zone: str, now_ms: int, random: Random
) -> ProcessRef | None:
    """Return a process in another failure domain where there is one.

    A process in another availability zone is preferred, because a zone may be lost
    as a whole.
    """
    candidates = answering_peers(peers, now_ms)
    elsewhere = [peer for peer in candidates if peer.zone != zone]
    chosen_from = elsewhere or candidates
    if not chosen_from:
        return None
    chosen = random.choice(chosen_from)
    return ProcessRef(chosen.address, chosen.incarnation)
