"""Find poison requests: those that crash the servers they run on.

The state is a set of crashes, each with the requests that were on the server. A
request that is the only one common to two crashes is quarantined, and so is any request
that was on a server in three crashes. Crashes do not count if a proven poison request,
one that was the only suspect of a crash and a suspect in another, or a poison part
explains them (``core/poison_parts.py``). Peers merge their crashes, so all of them
reach the same result in whatever order they learn of the crashes.
"""

import hashlib
from collections import Counter, OrderedDict
from collections.abc import Iterable
from random import Random
from typing import Final, NamedTuple

DIGEST_BYTES: Final = 16
# Short, because many of them go into one datagram.
CALLER_DIGEST_BYTES: Final = 8
PART_DIGEST_BYTES: Final = 6
WORKSPACE_DIGEST_BYTES: Final = 3
REQUEST_NAME_CHARS: Final = 6
CRASH_RETENTION_MS: Final = 1_800_000
SAME_CRASH_WINDOW_MS: Final = 500
MIN_RESTART_MS: Final = 1_000
HINT_DELAY_MS: Final = 50
MAX_CRASHES: Final = 256
# A request on a server in this many crashes is quarantined, whatever else was on them.
QUARANTINE_CRASHES: Final = 3
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


class CrashHint(NamedTuple):
    """Report to a peer a crash of ``age_ms`` milliseconds ago."""

    server: str
    fingerprints: tuple[str, ...]
    age_ms: int
    finished: tuple[str, ...] = ()
    parts: tuple[PartMark, ...] = ()
    sound: tuple[str, ...] = ()


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


class RequestNames(NamedTuple):
    """Hold what a request is known by: itself, its parts and its workspace."""

    fingerprint: str
    parts: tuple[str, ...] = ()
    workspace: str = ""


class PoisonPart(NamedTuple):
    """Hold the crashes on a part, and until when it is quarantined."""

    part: str
    servers: tuple[str, ...]
    workspaces: frozenset[str]
    until_ms: int


class Suspects:
    """Hold recent crashes, and when suspects finished and servers answered.

    Reports of crashes of a server within ``same_crash_window_ms`` are about the same
    crash. If each run of a server has a name of its own, it can only crash once.
    ``finished_ms`` is when a request with a part last finished. ``blamed_parts`` are
    the poison parts, as last found. ``changes`` counts the changes of the crashes, and
    tells whether what was derived from them still holds.
    """

    def __init__(self, same_crash_window_ms: int = SAME_CRASH_WINDOW_MS) -> None:
        self.same_crash_window_ms = same_crash_window_ms
        self.crashes: list[Crash] = []
        self.cleared_ms: dict[str, int] = {}
        self.alive_ms: dict[str, int] = {}
        self.finished_ms: OrderedDict[str, int] = OrderedDict()
        self.blamed_parts: frozenset[str] = frozenset()
        self.changes = 0
        self.unfinished: tuple[int, frozenset[str]] | None = None
        self.poison_parts: tuple[int, dict[str, PoisonPart]] | None = None


def request_fingerprint(pipeline: str, stage: str, payload: bytes) -> str:
    """Return a digest of a stage's input, the same for all callers and processes."""
    return _digest(DIGEST_BYTES, pipeline.encode(), stage.encode(), payload)


def caller_fingerprint(workspace: str, target: bytes, body: bytes) -> str:
    """Return a digest of a workspace's request, the same for all of its repeats."""
    return _digest(CALLER_DIGEST_BYTES, workspace.encode(), target, body)


def part_name(part_id: str) -> str:
    """Return a short name for a part that requests share, the same in all processes."""
    if len(part_id) <= 2 * PART_DIGEST_BYTES:
        return part_id
    return part_digest(part_id.encode())


def part_digest(content: bytes) -> str:
    """Return a name for a part that has no id, the same in all processes."""
    return _digest(PART_DIGEST_BYTES, content)


def request_name(fingerprint: str) -> str:
    """Return a short name for a request, which tells it from others with a part."""
    return fingerprint[:REQUEST_NAME_CHARS]


def workspace_name(workspace: str) -> str:
    """Return a short name for a workspace, the same in all processes."""
    return _digest(WORKSPACE_DIGEST_BYTES, workspace.encode())


def _digest(size_bytes: int, *parts: bytes) -> str:
    digest = hashlib.blake2b(digest_size=size_bytes)
    for part in parts:
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()


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
    _expire(suspects, now_ms)


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
        names: set[str] = set()
        for crash in suspects.crashes:
            names |= _names(crash) - crash.finished
        suspects.unfinished = (suspects.changes, frozenset(names))
    return suspects.unfinished[1]


def classify_request(
    suspects: Suspects, fingerprint: str, now_ms: int
) -> Clear | Suspect | Quarantined:
    """Return whether a request may run, may only run alone, or must not run."""
    if not suspects.crashes:
        return Clear(fingerprint)
    _expire(suspects, now_ms)
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
    _expire(suspects, now_ms)
    return tuple(crash_hint(crash, now_ms) for crash in suspects.crashes[-limit:])


def crash_hint(crash: Crash, now_ms: int) -> CrashHint:
    """Return the report of a crash to a peer."""
    return CrashHint(
        crash.server,
        tuple(sorted(crash.fingerprints)),
        max(0, now_ms - crash.at_ms),
        tuple(sorted(crash.finished)),
    )


def choose_hints(
    suspects: Suspects, random: Random, max_fingerprints: int, now_ms: int
) -> tuple[CrashHint, ...]:
    """Return the newest crashes and a random choice of older ones, to send to peers.

    Sent at intervals, they reach peers that were cut off or started later. If there are
    too many fingerprints, each crash gets its share: first those that were in other
    crashes too, then a random choice of the others.
    """
    _expire(suspects, now_ms)
    newest = suspects.crashes[-MAX_HINTS // 2 :]
    older = suspects.crashes[: -MAX_HINTS // 2]
    others = random.sample(older, min(len(older), MAX_HINTS - len(newest)))
    chosen = [*reversed(newest), *others]
    crashes_of = Counter(
        fingerprint for crash in suspects.crashes for fingerprint in crash.fingerprints
    )
    hints = []
    left = max_fingerprints
    for index, crash in enumerate(chosen):
        blamed = sorted(_crash_suspects(suspects, crash))
        random.shuffle(blamed)
        blamed.sort(key=lambda fingerprint: -crashes_of[fingerprint])
        sent = blamed[: left // (len(chosen) - index)]
        if sent:
            left -= len(sent)
            age_ms = max(0, now_ms - crash.at_ms)
            hints.append(CrashHint(crash.server, tuple(sorted(sent)), age_ms))
    return tuple(hints)


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
    _expire(suspects, now_ms)


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


def _is_suspect(suspects: Suspects, crash: Crash, fingerprint: str) -> bool:
    """Return whether the crash may be due to the request."""
    if fingerprint not in crash.fingerprints or fingerprint in crash.finished:
        return False
    cleared_ms = suspects.cleared_ms.get(fingerprint)
    return cleared_ms is None or cleared_ms < crash.at_ms


def _crash_suspects(suspects: Suspects, crash: Crash) -> frozenset[str]:
    return frozenset(
        fingerprint
        for fingerprint in crash.fingerprints
        if _is_suspect(suspects, crash, fingerprint)
    )


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
        and not _has_part(crash, suspects.blamed_parts)
    ]
    if len(unexplained) >= QUARANTINE_CRASHES:
        return True
    if len(unexplained) < 2:
        return False
    by_crash = (_crash_suspects(suspects, crash) for crash in unexplained)
    return frozenset.intersection(*by_crash) == {fingerprint}


def _expire(suspects: Suspects, now_ms: int) -> None:
    kept = [crash for crash in suspects.crashes if _is_kept(suspects, crash, now_ms)]
    _keep(suspects, kept[-MAX_CRASHES:])
    if not suspects.crashes:
        suspects.cleared_ms.clear()


def _is_kept(suspects: Suspects, crash: Crash, now_ms: int) -> bool:
    age_ms = now_ms - crash.at_ms
    if age_ms < CRASH_RETENTION_MS:
        return True
    return age_ms < PART_MEMORY_MS and _has_part(crash, suspects.blamed_parts)


def _has_part(crash: Crash, parts: frozenset[str]) -> bool:
    """Return whether the crash counts against one of the parts."""
    return any(
        mark.part in parts and mark.part not in crash.finished for mark in crash.parts
    )


def _keep(suspects: Suspects, kept: list[Crash]) -> None:
    if len(kept) != len(suspects.crashes):
        suspects.crashes = kept
        suspects.changes += 1
