"""Tell a peer what this entry process knows, and learn what the peer does."""

from typing import Any, Final

from bramleyturn.core.entry_state import EntryState
from bramleyturn.core.gossip import (
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
    choose_rumours,
    hear_rumours,
    introduced,
    record_heard,
    rumours_told,
    said_draining,
)
from bramleyturn.core.poison import Crash, CrashHint, import_hints
from bramleyturn.core.routing import load_reported, server_leaving
from bramleyturn.core.spend import CounterKey, SpendCounter, merge_spend
from bramleyturn.core.tickets import ProcessRef

LEAVING_TOLD_MS: Final = 15_000
LOADS_TOLD_MS: Final = 3_000
ENVELOPE_BYTES: Final = 512
URGENT_INTERVAL_MS: Final = 25


def build_gossip(
    state: EntryState, told: ProcessRef, zone: str, now_ms: int
) -> dict[str, Any]:
    """Return what to tell the process ``told``, within the bytes allowed."""
    gossip = state.gossip
    _log_crashes(state)
    acked = gossip.acked.get(told, Acks())
    crashes = changes_after(gossip.crashes, acked.crashes)
    counters = _counters_after(state, acked.spend, now_ms)
    rumours = choose_rumours(state.peers, told.address, now_ms)
    about_told = bool(rumours) and rumours[0].address == told.address
    news = GossipMessage(
        rumours=tuple(rumours),
        crashes=tuple(_crash_hint(crash, now_ms) for crash, _ in crashes),
        leaving=_leaving_hints(state, now_ms),
        spend=tuple(counter for counter, _ in counters),
        loads=_loads(state, now_ms) if zone == state.zone else (),
        acks=gossip.read.get(told, Acks()),
        refutation=state.peers.refutation,
        is_draining=state.is_draining,
        crashes_upto=acked.crashes,
        spend_upto=acked.spend,
        spend_whole=True,
    )
    most_bytes = state.configuration.peers.message_bytes
    document = pack_gossip(
        news,
        [number for _, number in crashes],
        [number for _, number in counters],
        1 if about_told else 0,
        min(bytes_allowed(gossip.allowance, now_ms), most_bytes - ENVELOPE_BYTES),
    )
    rumours_told(state.peers, rumours[: len(document["rumours"])])
    return document


def count_sent_bytes(state: EntryState, sent_bytes: int) -> None:
    """Count the bytes of a greeting or of the answer to one."""
    spend_bytes(state.gossip.allowance, sent_bytes)


def receive_peer_message(
    state: EntryState,
    sender: ProcessRef,
    name: str,
    zone: str,
    revision: int,
    body: Any,
    now_ms: int,
) -> None:
    """Take in a message that was meant for this very process.

    ``body`` is the content of a greeting, None for any other message.
    """
    record_heard(state.peers, name, zone, sender, now_ms)
    gossip = state.gossip
    gossip.seen_revision = max(gossip.seen_revision, revision)
    if body is None:
        return
    news = parse_gossip(body)
    of_itself = Rumour(name, zone, *sender, news.refutation, Liveness.ALIVE, 0)
    hear_rumours(state.peers, (of_itself, *news.rumours), now_ms)
    said_draining(state.peers, sender.address, news.is_draining)
    note_acks(gossip.acked, sender, _plausible(state, news.acks))
    note_acks(gossip.read, sender, Acks(news.crashes_upto, news.spend_upto))
    _hear_crashes(state, news, now_ms)
    for hint in news.leaving:
        if hint.age_ms < LEAVING_TOLD_MS:
            server_leaving(state.routing, hint.server, now_ms - hint.age_ms)
    merge_spend(state.spend, name, news.spend, now_ms, whole=news.spend_whole)
    for report in news.loads:
        load_reported(state.routing, report, now_ms)


def receive_introduction(state: EntryState, name: str, zone: str, address: str) -> None:
    """Take in a process that does not know this one yet.

    Its message may be an old one sent again, so it is no proof of life.
    """
    introduced(state.peers, name, zone, address)


def take_urgent_flag(state: EntryState, now_ms: int) -> bool:
    """Tell whether there is news that must not wait for the next greeting."""
    gossip = state.gossip
    if not gossip.is_urgent:
        return False
    last_ms = gossip.urgent_ms
    if last_ms is not None and now_ms - last_ms < URGENT_INTERVAL_MS:
        return False
    gossip.is_urgent = False
    gossip.urgent_ms = now_ms
    return True


def _plausible(state: EntryState, acks: Acks) -> Acks:
    # A peer can't have read further than this process wrote.
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


def _crash_hint(crash: Crash, now_ms: int) -> CrashHint:
    fingerprints = tuple(sorted(crash.fingerprints))
    return CrashHint(crash.server, fingerprints, max(0, now_ms - crash.at_ms))


def _hear_crashes(state: EntryState, news: GossipMessage, now_ms: int) -> None:
    if not news.crashes:
        return
    before = list(state.suspects.crashes)
    import_hints(state.suspects, news.crashes, now_ms)
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
        if server.left_ms is not None and now_ms - server.left_ms < LEAVING_TOLD_MS
    )


def _loads(state: EntryState, now_ms: int) -> tuple[Any, ...]:
    recent = [
        report._replace(age_ms=report.age_ms + now_ms - at_ms)
        for report, at_ms in state.gossip.loads.values()
        if now_ms - at_ms <= LOADS_TOLD_MS
    ]
    return tuple(reversed(recent))[:MAX_LOADS]
