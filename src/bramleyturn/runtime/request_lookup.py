"""Find the outcome of a request that another entry process keeps."""

from typing import Any, Final

from twisted.internet.defer import Deferred, DeferredList

from bramleyturn.core.arrivals import StillRunning
from bramleyturn.core.outcome_json import parse_outcome
from bramleyturn.core.outcomes import Outcome
from bramleyturn.core.peer_message import MessageKind, PeerMessage
from bramleyturn.core.peers import reachable_peers
from bramleyturn.runtime.entry_loop import EntryLoop
from bramleyturn.runtime.peer_client import send_message

LOOKUP_TIMEOUT_MS: Final = 1_000
MAX_ASKED: Final = 32


async def look_up_elsewhere(
    loop: EntryLoop, workspace: str, request_id: str
) -> Outcome | StillRunning | None:
    """Ask other entry processes for a request, those of the own zone first."""
    peers = reachable_peers(loop.state.peers)
    peers.sort(key=lambda peer: peer.zone != loop.state.zone)
    body = {"workspace": workspace, "request_id": request_id}
    calls = [
        Deferred.fromCoroutine(
            send_message(
                loop.peers,
                peer.address,
                MessageKind.LOOKUP,
                body,
                LOOKUP_TIMEOUT_MS,
                to=peer.incarnation,
            )
        )
        for peer in peers[:MAX_ASKED]
    ]
    results: list[tuple[bool, Any]] = await DeferredList(calls, consumeErrors=True)
    found = [parse_found(answer) for success, answer in results if success]
    outcomes = [item for item in found if isinstance(item, Outcome)]
    if outcomes:
        return outcomes[0]
    running = [item for item in found if isinstance(item, StillRunning)]
    return running[0] if running else None


def parse_found(answer: PeerMessage | None) -> Outcome | StillRunning | None:
    """Return what a peer answered about a request, None if it knows nothing."""
    if answer is None or not isinstance(answer.body, dict):
        return None
    if answer.body.get("state") == "running":
        return StillRunning()
    return parse_outcome(answer.body.get("outcome"))
