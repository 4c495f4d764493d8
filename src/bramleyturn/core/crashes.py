"""Record which requests and shared parts were on a server when it crashed.

Peers merge their crashes, so all of them reach the same result in whatever order they
learn of the crashes.
"""

from collections import Counter, OrderedDict
from collections.abc import Iterable
from typing import Final, NamedTuple

CRASH_RETENTION_MS: Final = 1_800_000
SAME_CRASH_WINDOW_MS: Final = 500
MIN_RESTART_MS: Final = 1_000
HINT_DELAY_MS: Final = 50
MAX_CRASHES: Final = 256
MAX_FINGERPRINTS: Final = 512
MAX_HINTS: Final = 16
MAX_CLEARED: Final = 4_096
# Crashes on a part that is quarantined are kept for longer, since they are the reason.
PART_MEMORY_MS: Final = 86_400_000
MAX_FINISHED_PARTS: Final = 4_096
MAX_PARTS: Final = 256
# Marks of a crash that are kept of each part and workspace.
MAX_REQUESTS_OF_PART: Final = 2


class PartMark(NamedTuple):
    """Record that a request of a workspace with a part was on a server.

    ``depth`` is 1 if no crash on the part was known when the request was sent, else one
    more than that of the deepest one. ``request`` is a short name of the request.
    """

    part: str
    workspace: str
    depth: int
    request: str


class Crash(NamedTuple):
    """Record which requests were on a server when its connection was lost.

    ``finished`` are the requests and parts that ran to their end afterwards, anywhere,
    ``sound`` the parts of which a request had done so before.
    """

    server: str
    fingerprints: frozenset[str]
    at_ms: int
    finished: frozenset[str] = frozenset()
    parts: frozenset[PartMark] = frozenset()
    sound: frozenset[str] = frozenset()


class Evidence(NamedTuple):
    """Hold what still counts against the requests and parts of a crash.

    ``marks`` has those of each part.
    """

    names: frozenset[str]
    marks: dict[str, list[PartMark]]


class CrashHint(NamedTuple):
    """Report to a peer a crash of ``age_ms`` milliseconds ago."""

    server: str
    fingerprints: tuple[str, ...]
    age_ms: int
    finished: tuple[str, ...] = ()
    parts: tuple[PartMark, ...] = ()
    sound: tuple[str, ...] = ()


# A suspect or a mark of a crash, by its server, and whether the part had finished.
Told = tuple[str, str | PartMark, bool]


class PoisonPart(NamedTuple):
    """Hold the crashes on a part, and until when it is quarantined."""

    part: str
    servers: tuple[str, ...]
    workspaces: frozenset[str]
    until_ms: int


class SuspectsByCrash(NamedTuple):
    """Hold the suspects of each crash, and of how many crashes each one is."""

    names: list[tuple[Crash, list[str]]]
    crashes_of: Counter[str]


class Suspects:
    """Hold recent crashes, and when suspects finished and servers answered.

    Reports of crashes of a server within ``same_crash_window_ms`` are about the same
    crash. If each run of a server has a name of its own, it can only crash once.
    ``finished_ms`` is when a request with a part last finished. ``blamed_parts`` are
    the poison parts, as last found. ``changes`` counts the changes of the crashes, and
    tells whether what was derived from them still holds. ``evidence_by_id`` has what
    was derived from each crash, by the crash's identity.
    """

    def __init__(self, same_crash_window_ms: int = SAME_CRASH_WINDOW_MS) -> None:
        self.same_crash_window_ms = same_crash_window_ms
        self.crashes: list[Crash] = []
        self.cleared_ms: dict[str, int] = {}
        self.alive_ms: dict[str, int] = {}
        self.finished_ms: OrderedDict[str, int] = OrderedDict()
        self.blamed_parts: frozenset[str] = frozenset()
        self.changes = 0
        self.evidence: tuple[int, list[Evidence]] | None = None
        self.depths: tuple[int, dict[str, int]] | None = None
        self.evidence_by_id: dict[int, tuple[Crash, Evidence]] = {}
        self.unfinished: tuple[int, frozenset[str]] | None = None
        self.poison_parts: tuple[int, dict[str, PoisonPart]] | None = None
        self.by_crash: tuple[int, SuspectsByCrash] | None = None


def connection_lost(
    suspects: Suspects,
    server: str,
    fingerprints: Iterable[str],
    now_ms: int,
    parts: Iterable[PartMark] = (),
) -> None:
    """Record a crash of the server, with requests and parts that were on it."""
    names = frozenset(fingerprints)
    _add_crash(suspects, Crash(server, names, now_ms, parts=frozenset(parts)))
    expire_crashes(suspects, now_ms)


def server_answered(suspects: Suspects, server: str, now_ms: int) -> None:
    """Drop the latest crash of a server that answered too soon to have restarted.

    Peers may still report the crash; ``import_hints`` ignores such reports.
    """
    suspects.alive_ms[server] = now_ms
    if len(suspects.alive_ms) > MAX_CRASHES:
        del suspects.alive_ms[next(iter(suspects.alive_ms))]
    kept = [
        crash
        for crash in suspects.crashes
        if crash.server != server or now_ms - crash.at_ms > MIN_RESTART_MS
    ]
    _keep(suspects, kept)


def request_finished(
    suspects: Suspects, fingerprint: str, now_ms: int, parts: tuple[str, ...] = ()
) -> None:
    """Clear a request that finished and its parts: they caused no crash until now."""
    for part in parts:
        suspects.finished_ms[part] = now_ms
        suspects.finished_ms.move_to_end(part)
        if len(suspects.finished_ms) > MAX_FINISHED_PARTS:
            suspects.finished_ms.popitem(last=False)
    if any(fingerprint in crash.fingerprints for crash in suspects.crashes):
        suspects.cleared_ms[fingerprint] = now_ms
        if len(suspects.cleared_ms) > MAX_CLEARED:
            del suspects.cleared_ms[next(iter(suspects.cleared_ms))]
    names = unfinished_names(suspects).intersection((fingerprint, *parts))
    if not names:
        return
    suspects.changes += 1
    for index, crash in enumerate(suspects.crashes):
        finished = names & _names(crash)
        if finished:
            suspects.crashes[index] = crash._replace(finished=crash.finished | finished)


def unfinished_names(suspects: Suspects) -> frozenset[str]:
    """Return the requests and parts on crashed servers that have not finished since."""
    if suspects.unfinished is None or suspects.unfinished[0] != suspects.changes:
        names = (evidence.names for evidence in evidence_of_crashes(suspects))
        suspects.unfinished = (suspects.changes, frozenset().union(*names))
    return suspects.unfinished[1]


def evidence_of_crashes(suspects: Suspects) -> list[Evidence]:
    """Return what counts against the requests and parts of each crash.

    Only crashes that are new or changed are looked through: there are changes with
    each report of a peer, and crashes with hundreds of names.
    """
    if suspects.evidence is None or suspects.evidence[0] != suspects.changes:
        known = suspects.evidence_by_id
        suspects.evidence_by_id = {
            id(crash): known.get(id(crash)) or (crash, _evidence(crash))
            for crash in suspects.crashes
        }
        found = [evidence for _, evidence in suspects.evidence_by_id.values()]
        suspects.evidence = (suspects.changes, found)
    return suspects.evidence[1]


def _evidence(crash: Crash) -> Evidence:
    marks: dict[str, list[PartMark]] = {}
    for mark in crash.parts:
        if mark.part not in crash.finished:
            marks.setdefault(mark.part, []).append(mark)
    return Evidence(crash.fingerprints.union(marks) - crash.finished, marks)


def deepest(marks: Iterable[PartMark]) -> int:
    """Return the depth of the deepest mark, 0 if there is none."""
    return max((mark.depth for mark in marks), default=0)


def crash_hint(crash: Crash, now_ms: int) -> CrashHint:
    """Return the report of a crash to a peer."""
    return CrashHint(
        crash.server,
        tuple(sorted(crash.fingerprints)),
        max(0, now_ms - crash.at_ms),
        tuple(sorted(crash.finished)),
    )


def import_hints(suspects: Suspects, hints: Iterable[CrashHint], now_ms: int) -> None:
    """Merge the crashes that a peer reported.

    A crash is ignored if its server answered too soon after it to have restarted. The
    latency of the message makes the crash seem up to ``HINT_DELAY_MS`` later.
    """
    latest = {crash.server: crash for crash in suspects.crashes}
    for hint in hints:
        if not 0 <= hint.age_ms < PART_MEMORY_MS:
            continue
        at_ms = now_ms - hint.age_ms
        alive_ms = suspects.alive_ms.get(hint.server)
        if (
            alive_ms is not None
            and -HINT_DELAY_MS <= alive_ms - at_ms <= MIN_RESTART_MS
        ):
            continue
        fingerprints = frozenset(hint.fingerprints[:MAX_FINGERPRINTS])
        parts = frozenset(hint.parts[:MAX_PARTS])
        names = {mark.part for mark in parts}
        finished = (fingerprints | names).intersection(hint.finished)
        sound = frozenset(names.intersection(hint.sound))
        crash = Crash(hint.server, fingerprints, at_ms, finished, parts, sound)
        known = latest.get(hint.server)
        window_ms = suspects.same_crash_window_ms
        is_known = known is not None and _same_crash(known, crash, window_ms)
        if known is None or not is_known or not _adds_nothing(known, crash):
            _add_crash(suspects, crash)
    expire_crashes(suspects, now_ms)


def _add_crash(suspects: Suspects, crash: Crash) -> None:
    if not crash.fingerprints and not crash.parts:
        return
    for index, known in enumerate(suspects.crashes):
        if _same_crash(known, crash, suspects.same_crash_window_ms):
            merged = _merge(suspects, known, crash)
            if merged != known:
                suspects.crashes[index] = merged
                suspects.changes += 1
            return
    suspects.crashes.append(_merge(suspects, crash, crash))
    suspects.crashes.sort(key=lambda kept: kept.at_ms)
    suspects.changes += 1


def _adds_nothing(known: Crash, crash: Crash) -> bool:
    return (
        known.at_ms - crash.at_ms <= HINT_DELAY_MS
        and crash.fingerprints <= known.fingerprints
        and crash.parts <= known.parts
        and crash.finished <= known.finished
        and crash.sound <= known.sound
    )


def _merge(suspects: Suspects, known: Crash, crash: Crash) -> Crash:
    """Return what two reports of a crash say, with what this process knows of parts."""
    at_ms = min(known.at_ms, crash.at_ms)
    if known.at_ms - at_ms <= HINT_DELAY_MS:
        # Peers differ by the latency of their messages.
        at_ms = known.at_ms
    finished = known.finished | crash.finished
    sound = known.sound | crash.sound
    for mark in crash.parts:
        finished_ms = suspects.finished_ms.get(mark.part)
        if finished_ms is not None and finished_ms > at_ms:
            finished |= {mark.part}
        elif finished_ms is not None:
            sound |= {mark.part}
    return Crash(
        known.server,
        known.fingerprints | crash.fingerprints,
        at_ms,
        finished,
        _deepest(known.parts | crash.parts),
        sound,
    )


def _deepest(marks: Iterable[PartMark]) -> frozenset[PartMark]:
    """Return the deepest marks of each workspace and part."""
    by_part: dict[tuple[str, str], dict[str, PartMark]] = {}
    for mark in sorted(marks, key=lambda mark: (mark.depth, mark.request)):
        by_part.setdefault((mark.part, mark.workspace), {})[mark.request] = mark
    return frozenset(
        mark
        for by_request in by_part.values()
        for mark in sorted(by_request.values(), key=lambda mark: -mark.depth)[
            :MAX_REQUESTS_OF_PART
        ]
    )


def _names(crash: Crash) -> frozenset[str]:
    return crash.fingerprints.union(mark.part for mark in crash.parts)


def _same_crash(known: Crash, crash: Crash, window_ms: int) -> bool:
    # Processes that share a server lose their connections at about the same time.
    if known.server != crash.server:
        return False
    return abs(known.at_ms - crash.at_ms) <= window_ms


def expire_crashes(suspects: Suspects, now_ms: int) -> None:
    """Forget old crashes; those that count against a blamed part last longer."""
    crashes = suspects.crashes
    is_any_old = crashes and now_ms - crashes[0].at_ms >= CRASH_RETENTION_MS
    if crashes and not is_any_old and len(crashes) <= MAX_CRASHES:
        return
    kept = [crash for crash in crashes if _is_kept(suspects, crash, now_ms)]
    _keep(suspects, kept[-MAX_CRASHES:])
    if not suspects.crashes:
        suspects.cleared_ms.clear()


def _is_kept(suspects: Suspects, crash: Crash, now_ms: int) -> bool:
    age_ms = now_ms - crash.at_ms
    if age_ms < CRASH_RETENTION_MS:
        return True
    return age_ms < PART_MEMORY_MS and has_part(crash, suspects.blamed_parts)


def has_part(crash: Crash, parts: frozenset[str]) -> bool:
    """Return whether the crash counts against one of the parts."""
    return any(
        mark.part in parts and mark.part not in crash.finished for mark in crash.parts
    )


def _keep(suspects: Suspects, kept: list[Crash]) -> None:
    if len(kept) != len(suspects.crashes):
        suspects.crashes = kept
        suspects.changes += 1
