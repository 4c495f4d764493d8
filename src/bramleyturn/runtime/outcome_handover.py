"""Hand the kept outcomes of an ending entry process over to other ones."""

import logging
from typing import Final

from bramleyturn.core.handover import Batch, outcome_batches
from bramleyturn.core.peer_message import MessageKind
from bramleyturn.core.peers import answering_peers
from bramleyturn.runtime.entry_loop import EntryLoop
from bramleyturn.runtime.http_server import OpenServer
from bramleyturn.runtime.peer_client import send_message
from bramleyturn.runtime.shutdown import close_server

HANDOVER_LIMIT_MS: Final = 3_000
KEEP_TIMEOUT_MS: Final = 1_000

logger = logging.getLogger(__name__)


async def hand_over_outcomes(loop: EntryLoop) -> int:
    """Send the kept outcomes to other entry processes; return how many they accepted.

    Callers can collect them there. If no other process can be reached in time, they
    are lost, as they are when a process is killed.
    """
    ends_ms = loop.clock.monotonic_ms() + HANDOVER_LIMIT_MS
    peers = answering_peers(loop.state.peers, loop.clock.monotonic_ms())
    peers.sort(key=lambda peer: peer.zone != loop.state.zone)
    addresses = [peer.address for peer in peers]
    accepted = 0
    for batch in outcome_batches(loop.state.kept, loop.clock.monotonic_ms()):
        while addresses:
            left_ms = ends_ms - loop.clock.monotonic_ms()
            if left_ms <= 0:
                return accepted
            if await send_batch(
                loop, addresses[0], batch, min(left_ms, KEEP_TIMEOUT_MS)
            ):
                accepted += len(batch)
                break
            addresses.pop(0)
    return accepted


async def send_batch(
    loop: EntryLoop, address: str, batch: Batch, timeout_ms: int
) -> bool:
    """Send a batch of outcomes to one entry process; return whether it accepted it."""
    body = {"outcomes": batch}
    answer = await send_message(loop.peers, address, MessageKind.KEEP, body, timeout_ms)
    if answer is None or not isinstance(answer.body, dict):
        return False
    return answer.body.get("taken") == len(batch)


async def end_entry(loop: EntryLoop, server: OpenServer) -> None:
    """Shut down an entry process that has nothing in flight."""
    accepted = await hand_over_outcomes(loop)
    logger.info(
        "outcomes handed over",
        extra={"handed": accepted, "kept": len(loop.state.kept.by_key)},
    )
    await close_server(loop.reactor, server)
    loop.reactor.stop()
