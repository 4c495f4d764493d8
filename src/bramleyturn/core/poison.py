"""Find poison requests: those that crash the servers they run on.

The state is a set of crashes, each with the requests that were on the server. A
request that is the only one common to two crashes is quarantined, and so is any request
that was on a server in three crashes. Crashes do not count if a proven poison request,
one that was the only suspect of a crash and a suspect in another, or a poison part
explains them (``core/poison_parts.py``). Peers merge their crashes, so all of them
reach the same result in whatever order they learn of the crashes.
"""

from collections import Counter
from collections.abc import Iterable, Mapping
from operator import itemgetter
from random import Random
from types import MappingProxyType
from typing import Final, NamedTuple

from bramleyturn.core.crashes import (
    CRASH_RETENTION_MS,
    MAX_HINTS,
    Crash,
    CrashHint,
    Suspects,
    SuspectsByCrash,
    Told,
    crash_hint,
    expire_crashes,
    has_part,
    unfinished_names,
)

# A request on a server in this many crashes is quarantined, whatever else was on them.
QUARANTINE_CRASHES: Final = 3
# How often news tells a suspect of several crashes, and one that may turn out to be.
MAX_TIMES_TOLD: Final = 2
MAX_TIMES_OTHERS_TOLD: Final = 1
NEVER_TOLD: Final[Mapping[Told, int]] = MappingProxyType({})


class Clear(NamedTuple):
    """Classify a request that no crash is blamed on; it may run."""

    fingerprint: str


class Suspect(NamedTuple):
    """Classify a request that was on servers that crashed; it may only run alone.

    ``place`` numbers the ``suspects`` of its latest crash from 0. All processes that
    know of the crash number them alike, so they can send them to different servers.
    """

    fingerprint: str
    servers: tuple[str, ...]
    place: int
    suspects: int


class Quarantined(NamedTuple):
    """Classify a request that crashes servers; it must not run until ``until_ms``."""

    fingerprint: str
    servers: tuple[str, ...]
    until_ms: int


def classify_request(
    suspects: Suspects, fingerprint: str, now_ms: int
) -> Clear | Suspect | Quarantined:
    """Return whether a request may run, may only run alone, or must not run."""
    if not suspects.crashes:
        return Clear(fingerprint)
    expire_crashes(suspects, now_ms)
    if fingerprint not in unfinished_names(suspects):
        return Clear(fingerprint)
    oldest_ms = now_ms - CRASH_RETENTION_MS
    crashes = [
        crash
        for crash in suspects.crashes
        if crash.at_ms > oldest_ms and _is_suspect(suspects, crash, fingerprint)
    ]
    if not crashes:
        return Clear(fingerprint)
    servers = tuple(sorted({crash.server for crash in crashes}))
    if _is_quarantined(suspects, crashes, fingerprint):
        until_ms = min(crash.at_ms for crash in crashes) + CRASH_RETENTION_MS
        return Quarantined(fingerprint, servers, until_ms)
    latest = sorted(crashes[-1].fingerprints)
    return Suspect(fingerprint, servers, latest.index(fingerprint), len(latest))


def export_hints(
    suspects: Suspects, now_ms: int, limit: int = MAX_HINTS
) -> tuple[CrashHint, ...]:
    """Return the newest crashes, at most ``limit``, to send to peers."""
    expire_crashes(suspects, now_ms)
    return tuple(crash_hint(crash, now_ms) for crash in suspects.crashes[-limit:])


def choose_hints(
    suspects: Suspects,
    random: Random,
    max_fingerprints: int,
    now_ms: int,
    is_news: bool = False,
    times_told: Mapping[Told, int] = NEVER_TOLD,
) -> tuple[CrashHint, ...]:
    """Return some crashes with some suspects of each, to send to peers.

    Suspects of several crashes go first, since they are the nearest to their
    quarantine, in an order without chance: those of enough crashes for it, those told
    the fewest times, those of the most crashes, those of the newest. Then come one
    suspect of each crash, and the others that were told the fewest times. News leaves
    out what was told often enough.
    """
    expire_crashes(suspects, now_ms)
    by_crash, crashes_of = _suspects_by_crash(suspects)
    by_class: dict[int, list[tuple[tuple[int, int, int], Crash, str]]]
    by_class = {0: [], 1: [], 2: []}
    for place, (crash, known) in enumerate(by_crash):
        first = random.randrange(len(known) + 1)
        names = [*known[first:], *known[:first]]
        told = {name: times_told.get((crash.server, name, False), 0) for name in names}
        names.sort(key=told.__getitem__)
        told_of_crash = max(told.values(), default=0)
        for number, name in enumerate(names):
            if crashes_of[name] > 1:
                rounds = told[name] // MAX_TIMES_TOLD
                if not (is_news and rounds):
                    is_near = crashes_of[name] >= QUARANTINE_CRASHES
                    key = (rounds, -crashes_of[name], place)
                    by_class[0 if is_near else 1].append((key, crash, name))
                continue
            stands_for_crash = not number and told_of_crash < MAX_TIMES_TOLD
            if is_news and not stands_for_crash and told[name] >= MAX_TIMES_OTHERS_TOLD:
                continue
            turn = -1 if stands_for_crash else told[name]
            by_class[2].append(((turn, told_of_crash, place), crash, name))
    by_class[0].sort(key=lambda item: (item[0], item[2]))
    by_class[1].sort(key=lambda item: (item[0], item[2]))
    by_class[2].sort(key=itemgetter(0))
    # What is left of each class fills what the others leave free.
    shares = (max_fingerprints // 2, max_fingerprints // 4, max_fingerprints)
    ordered = [
        *(item for place, most in enumerate(shares) for item in by_class[place][:most]),
        *(item for place, most in enumerate(shares) for item in by_class[place][most:]),
    ]
    return _group(
        ((crash, name) for _, crash, name in ordered), max_fingerprints, now_ms
    )


def _group(
    ordered: Iterable[tuple[Crash, str]], max_fingerprints: int, now_ms: int
) -> tuple[CrashHint, ...]:
    """Return reports of the first names, of no more crashes than a peer reads."""
    chosen: dict[Crash, list[str]] = {}
    left = max_fingerprints
    for crash, name in ordered:
        if not left:
            break
        if crash in chosen or len(chosen) < MAX_HINTS:
            chosen.setdefault(crash, []).append(name)
            left -= 1
    return tuple(
        CrashHint(crash.server, tuple(sorted(names)), max(0, now_ms - crash.at_ms))
        for crash, names in chosen.items()
    )


def linked_suspects(suspects: Suspects) -> frozenset[tuple[str, str]]:
    """Return the suspects of several crashes, each with the servers of these."""
    by_crash, crashes_of = _suspects_by_crash(suspects)
    return frozenset(
        (crash.server, name)
        for crash, names in by_crash
        for name in names
        if crashes_of[name] > 1
    )


def _suspects_by_crash(suspects: Suspects) -> SuspectsByCrash:
    """Return the suspects of each crash, the newest first, and their crashes."""
    if suspects.by_crash is None or suspects.by_crash[0] != suspects.changes:
        by_crash = [
            (crash, sorted(_crash_suspects(suspects, crash)))
            for crash in reversed(suspects.crashes)
        ]
        crashes_of = Counter(name for _, names in by_crash for name in names)
        suspects.by_crash = (suspects.changes, SuspectsByCrash(by_crash, crashes_of))
    return suspects.by_crash[1]


def _is_suspect(suspects: Suspects, crash: Crash, fingerprint: str) -> bool:
    """Return whether the crash may be due to the request."""
    if fingerprint not in crash.fingerprints or fingerprint in crash.finished:
        return False
    cleared_ms = suspects.cleared_ms.get(fingerprint)
    return cleared_ms is None or cleared_ms < crash.at_ms


def _crash_suspects(suspects: Suspects, crash: Crash) -> frozenset[str]:
    names = crash.fingerprints - crash.finished
    cleared_ms = suspects.cleared_ms
    return names - {
        name for name in names & cleared_ms.keys() if cleared_ms[name] >= crash.at_ms
    }


def _proven_poison(suspects: Suspects) -> frozenset[str]:
    """Return the only suspects of a crash that are suspects in another one too."""
    by_crash = [_crash_suspects(suspects, crash) for crash in suspects.crashes]
    alone = {next(iter(names)) for names in by_crash if len(names) == 1}
    return frozenset(
        fingerprint
        for fingerprint in alone
        if sum(fingerprint in names for names in by_crash) > 1
    )


def _is_quarantined(suspects: Suspects, crashes: list[Crash], fingerprint: str) -> bool:
    if len(crashes) < 2:
        return False
    explained_by = _proven_poison(suspects) - {fingerprint}
    unexplained = [
        crash
        for crash in crashes
        if explained_by.isdisjoint(crash.fingerprints)
        and not has_part(crash, suspects.blamed_parts)
    ]
    if len(unexplained) >= QUARANTINE_CRASHES:
        return True
    if len(unexplained) < 2:
        return False
    by_crash = (_crash_suspects(suspects, crash) for crash in unexplained)
    return frozenset.intersection(*by_crash) == {fingerprint}
