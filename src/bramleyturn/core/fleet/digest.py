"""Tell which instances are alive in a few bytes for each.

A digest has an entry for each instance that its sender believes live: the key of its
incarnation, its newest count of heartbeats, and whether it is shutting down. A receiver
asks the sender for the heartbeats of instances whose keys it doesn't know.
"""

import struct
from collections.abc import Iterable
from operator import attrgetter
from typing import Final

from bramleyturn.core.fleet.members import (
    MAX_MEMBERS,
    Heartbeat,
    Members,
    MemberState,
    live_states,
)

ENTRY_BYTES: Final = 6
# Counts wrap around: one that is higher by more is an earlier one.
BEATS_MASK: Final = 2**15 - 1
MAX_BEATS_AHEAD: Final = 2**14
# So that heartbeats take up to a tenth of a link of 5 Mbit/s.
MAX_ENTRIES: Final = 288
# Keys asked for in one datagram, and the time after which one is asked for again.
MAX_ASKED_KEYS: Final = 40
ASK_INTERVAL_MS: Final = 200

# Key and count.
DigestEntry = tuple[int, int]

_heard_ms = attrgetter("heard_ms")


def live_digest(members: Members, now_ms: int) -> bytes:
    """Encode which other instances are believed to be alive."""
    live = live_states(members, now_ms)
    # Others are least likely to know what was heard last.
    live.sort(key=_heard_ms, reverse=True)
    return encode_digest(live[:MAX_ENTRIES])


def encode_digest(states: Iterable[MemberState]) -> bytes:
    """Encode keys, then counts, with the flag of shutting down as their last bit."""
    chosen = list(states)
    keys = [state.key for state in chosen]
    counts = [(state.beats & BEATS_MASK) << 1 | state.is_ending for state in chosen]
    return struct.pack(f"<{len(chosen)}I{len(chosen)}H", *keys, *counts)


def decode_digest(digest: bytes) -> tuple[DigestEntry, ...]:
    """Decode the entries of a digest; raise ValueError if it is malformed."""
    size, rest = divmod(len(digest), ENTRY_BYTES)
    if rest or size > MAX_ENTRIES:
        raise ValueError("the length of a digest is wrong")
    values = struct.unpack(f"<{size}I{size}H", digest)
    return tuple(zip(values[:size], values[size:], strict=True))


def merge_digest(
    members: Members, entries: Iterable[DigestEntry], now_ms: int
) -> list[int]:
    """Take over the counts that are higher; return the keys that are unknown."""
    by_key = members.by_key
    unknown = []
    for key, count in entries:
        state = by_key.get(key)
        if state is None:
            unknown.append(key)
            continue
        beats_ahead = ((count >> 1) - state.beats) & BEATS_MASK
        if 0 < beats_ahead < MAX_BEATS_AHEAD:
            state.beats += beats_ahead
            state.heard_ms = now_ms
            state.is_ending = state.is_ending or bool(count & 1)
    return [key for key in unknown if key != members.own_key]


def keys_to_ask(members: Members, unknown: list[int], now_ms: int) -> list[int]:
    """Return the unknown keys to ask for now."""
    asked_ms = members.asked_ms
    if len(asked_ms) > MAX_MEMBERS:
        asked_ms.clear()
    due = [
        key
        for key in unknown
        if now_ms - asked_ms.get(key, now_ms - ASK_INTERVAL_MS) >= ASK_INTERVAL_MS
    ][:MAX_ASKED_KEYS]
    asked_ms.update(dict.fromkeys(due, now_ms))
    return due


def heartbeats_by_key(members: Members, keys: Iterable[int]) -> list[Heartbeat]:
    """Return the heartbeats of the instances with the keys that are known."""
    asked = set(keys)
    return [state.heartbeat for state in members.others.values() if state.key in asked]
