"""Build gossip messages from the state of an entry process, and merge received ones."""

from typing import Any, Final

import orjson

from bramleyturn.core.crashes import import_hints
from bramleyturn.core.entry_state import EntryState
from bramleyturn.core.gossip import (
    CRASH_BYTES,
    MAX_LOADS,
    Acks,
    GossipMessage,
    LeavingHint,
    bytes_allowed,
    changes_after,
    log_change,
    note_acks,
    pack_gossip,
    parse_gossip,
    spend_bytes,
)
from bramleyturn.core.membership import (
    Liveness,
    Rumour,
    add_unproven,
    choose_rumours,
    count_rumour_sends,
    merge_rumours,
    record_draining,
    record_heard,
)
from bramleyturn.core.poison_parts import crash_hints
from bramleyturn.core.routing import load_reported, server_leaving
from bramleyturn.core.spend import CounterKey, SpendCounter, merge_spend
from bramleyturn.core.tickets import ProcessRef

LEAVING_HINT_TTL_MS: Final = 15_000
LOAD_REPORT_TTL_MS: Final = 3_000
ENVELOPE_BYTES: Final = 512
URGENT_INTERVAL_MS: Final = 25


def build_gossip(
    state: EntryState, receiver: ProcessRef, zone: str, now_ms: int
) -> dict[str, Any]:
    """Return the gossip message for ``receiver``, within the bytes allowed."""
    gossip = state.gossip
    _log_crashes(state)
    acks_received = gossip.acks_received.get(receiver, Acks())
    crashes = changes_after(gossip.crashes, acks_received.crashes)
    counters = _counters_after(state, acks_received.spend, now_ms)
    rumours = choose_rumours(state.peers, receiver.address, now_ms)
    is_about_receiver = bool(rumours) and rumours[0].address == receiver.address
    message = GossipMessage(
        rumours=tuple(rumours),
        crashes=crash_hints(state.suspects, [crash for crash, _ in crashes], now_ms),
        leaving=_leaving_hints(state, now_ms),
        spend=tuple(counter for counter, _ in counters),
        loads=_loads(state, now_ms) if zone == state.zone else (),
        acks=gossip.acks_to_send.get(receiver, Acks()),
        refutation=state.peers.refutation,
        is_draining=state.is_draining,
        crashes_upto=acks_received.crashes,
        spend_upto=acks_received.spend,
        spend_whole=True,
    )
    most_bytes = state.configuration.peers.message_bytes - ENVELOPE_BYTES
    document = pack_gossip(
        message,
        [number for _, number in crashes],
        [number for _, number in counters],
        1 if is_about_receiver else 0,
        min(bytes_allowed(gossip.allowance, now_ms), most_bytes),
        min(CRASH_BYTES, most_bytes),
    )
    count_rumour_sends(state.peers, rumours[: len(document["rumours"])])
    return document


def count_sent_bytes(state: EntryState, document: dict[str, Any]) -> None:
    """Count the bytes of a gossip message or of the answer to one, without crashes."""
    counted = {key: value for key, value in document.items() if key != "crashes"}
    spend_bytes(state.gossip.allowance, len(orjson.dumps(counted)))


def receive_peer_message(
    state: EntryState,
    sender: ProcessRef,
    name: str,
    zone: str,
    revision: int,
    body: Any,
    now_ms: int,
) -> None:
    """Merge a message that was addressed to this incarnation of the process.

    ``body`` is the content of a gossip message, None for a message of another kind.
    """
    record_heard(state.peers, name, zone, sender, now_ms)
    gossip = state.gossip
    gossip.seen_revision = max(gossip.seen_revision, revision)
    if body is None:
        return
    message = parse_gossip(body)
    about_sender = Rumour(name, zone, *sender, message.refutation, Liveness.ALIVE, 0)
    merge_rumours(state.peers, (about_sender, *message.rumours), now_ms)
    record_draining(state.peers, sender.address, message.is_draining)
    note_acks(gossip.acks_received, sender, _plausible(state, message.acks))
    note_acks(
        gossip.acks_to_send, sender, Acks(message.crashes_upto, message.spend_upto)
    )
    _merge_crashes(state, message, now_ms)
    for hint in message.leaving:
        if hint.age_ms < LEAVING_HINT_TTL_MS:
            server_leaving(state.routing, hint.server, now_ms - hint.age_ms)
    merge_spend(state.spend, name, message.spend, now_ms, whole=message.spend_whole)
    for report in message.loads:
        load_reported(state.routing, report, now_ms)


def receive_introduction(state: EntryState, name: str, zone: str, address: str) -> None:
    """Add a process that does not know the incarnation of this one yet.

    Its message may be a replay, so it does not prove that the process is alive.
    """
    add_unproven(state.peers, name, zone, address)


def take_urgent_flag(state: EntryState, now_ms: int) -> bool:
    """Return whether to send gossip at once, and clear the flag if so."""
    gossip = state.gossip
    if not gossip.is_urgent:
        return False
    last_ms = gossip.last_urgent_ms
    if last_ms is not None and now_ms - last_ms < URGENT_INTERVAL_MS:
        return False
    gossip.is_urgent = False
    gossip.last_urgent_ms = now_ms
    return True


def _plausible(state: EntryState, acks: Acks) -> Acks:
    # A peer can't have read further than this process has written.
    gossip = state.gossip
    return Acks(
        min(acks.crashes, gossip.crashes.latest), min(acks.spend, gossip.spend.latest)
    )


def _log_crashes(state: EntryState) -> None:
    log = state.gossip.crashes
    known = log.numbers
    crashes = state.suspects.crashes
    for crash in crashes:
        if crash not in known:
            log_change(log, crash)
    if len(known) > len(crashes):
        for crash in known.keys() - set(crashes):
            del known[crash]


def _merge_crashes(state: EntryState, message: GossipMessage, now_ms: int) -> None:
    if not message.crashes:
        return
    before = list(state.suspects.crashes)
    import_hints(state.suspects, message.crashes, now_ms)
    if state.suspects.crashes != before:
        state.gossip.is_urgent = True


def _counters_after(
    state: EntryState, number: int, now_ms: int
) -> list[tuple[SpendCounter, int]]:
    found = []
    for key, changed in changes_after(state.gossip.spend, number):
        workspace, slot = key
        counter_key = CounterKey(state.name, state.me.incarnation, workspace, slot)
        value = state.spend.counters.get(counter_key)
        if value is None:
            continue
        age_ms = max(0, now_ms - value.began_ms)
        counter = SpendCounter(*counter_key, micros=value.micros, age_ms=age_ms)
        found.append((counter, changed))
    return found


def _leaving_hints(state: EntryState, now_ms: int) -> tuple[LeavingHint, ...]:
    return tuple(
        LeavingHint(name, max(0, now_ms - server.left_ms))
        for name, server in state.routing.servers.items()
        if server.left_ms is not None and now_ms - server.left_ms < LEAVING_HINT_TTL_MS
    )


def _loads(state: EntryState, now_ms: int) -> tuple[Any, ...]:
    recent = [
        report._replace(age_ms=report.age_ms + now_ms - at_ms)
        for report, at_ms in state.gossip.loads.values()
        if now_ms - at_ms <= LOAD_REPORT_TTL_MS
    ]
    return tuple(reversed(recent))[:MAX_LOADS]
