"""Choose among the other entry processes, called peers."""

from random import Random

from bramleyturn.core.membership import Liveness, Member, Membership, alive_members
from bramleyturn.core.tickets import ProcessRef


def answering_peers(membership: Membership, now_ms: int) -> list[Member]:
    """Return the peers that answered recently and are not stopping."""
    return alive_members(membership, now_ms)


def reachable_peers(membership: Membership) -> list[Member]:
    """Return every peer that is not known to be gone.

    A peer that has not answered yet may hold the wanted outcome, and so may one that
    is about to stop.
    """
    return [
        member
        for member in membership.by_address.values()
        if member.life is not Liveness.GONE
    ]


def choose_backup(
    membership: Membership, zone: str, now_ms: int, random: Random
) -> ProcessRef | None:
    """Return a random process, preferably in another availability zone.

    A zone may be lost as a whole. Returns None if no peer answered recently.
    """
    candidates = answering_peers(membership, now_ms)
    elsewhere = [peer for peer in candidates if peer.zone != zone]
    chosen_from = elsewhere or candidates
    if not chosen_from:
        return None
    chosen = random.choice(chosen_from)
    return ProcessRef(chosen.address, chosen.incarnation)
