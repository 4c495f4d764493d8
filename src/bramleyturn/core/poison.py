"""Find the requests that crash the servers they run on.

All knowledge is a set of crashes: which requests were on which server. A request
that is the only one common to two crashes is convicted, unless another request,
which crashed a server by itself, explains one of them. Peers merge their crashes, so
each reaches the same verdict in whatever order it learns of them.
"""

import hashlib
from collections.abc import Iterable
from typing import Final, NamedTuple

DIGEST_BYTES: Final = 16
KEPT_MS: Final = 1_800_000
SAME_CRASH_MS: Final = 500
RESTART_MS: Final = 1_000
HINT_DELAY_MS: Final = 50
MAX_CRASHES: Final = 256
MAX_FINGERPRINTS: Final = 512
MAX_HINTS: Final = 16
MAX_CLEARED: Final = 4_096


class Crash(NamedTuple):
    """State which requests were on a server when its connection was lost."""

    server: str
    fingerprints: frozenset[str]
    at_ms: int


class CrashHint(NamedTuple):
    """Tell a peer of a crash ``age_ms`` milliseconds ago."""

    server: str
    fingerprints: tuple[str, ...]
    age_ms: int


class Clear(NamedTuple):
    """State that nothing speaks against the request."""

    fingerprint: str


class Suspect(NamedTuple):
    """State that the request was on servers that crashed; run it alone or not.

    ``place`` numbers the ``suspects`` of its latest crash from 0. Processes that know
    of the same crash number them alike, and so can keep them apart.
    """

    fingerprint: str
    servers: tuple[str, ...]
    place: int
    suspects: int


class Quarantined(NamedTuple):
    """State that the request crashes servers; never run it until ``until_ms``."""

    fingerprint: str
    servers: tuple[str, ...]
    until_ms: int


class Suspects:
    """Hold the crashes of late and when suspects finished after all."""

    def __init__(self) -> None:
        self.crashes: list[Crash] = []
        self.cleared_ms: dict[str, int] = {}
        self.alive_ms: dict[str, int] = {}


def request_fingerprint(pipeline: str, stage: str, payload: bytes) -> str:
    """Return the digest of a stage's input, the same for every caller and process."""
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for part in (pipeline.encode(), stage.encode(), payload):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()


def connection_lost(
    suspects: Suspects, server: str, fingerprints: Iterable[str], now_ms: int
) -> None:
    """Suspect the requests that were on a server whose connection was lost."""
    _add_crash(suspects, Crash(server, frozenset(fingerprints), now_ms))
    _expire(suspects, now_ms)


def server_answered(suspects: Suspects, server: str, now_ms: int) -> None:
    """Forget the latest crash of a server that answers too soon to have restarted.

    Peers that were told of it may still tell of it.
    """
    suspects.alive_ms[server] = now_ms
    if len(suspects.alive_ms) > MAX_CRASHES:
        del suspects.alive_ms[next(iter(suspects.alive_ms))]
    suspects.crashes = [
        crash
        for crash in suspects.crashes
        if crash.server != server or now_ms - crash.at_ms > RESTART_MS
    ]


def request_finished(suspects: Suspects, fingerprint: str, now_ms: int) -> None:
    """Clear a request that finished: no crash until now was its fault."""
    if not any(fingerprint in crash.fingerprints for crash in suspects.crashes):
        return
    suspects.cleared_ms[fingerprint] = now_ms
    if len(suspects.cleared_ms) > MAX_CLEARED:
        del suspects.cleared_ms[next(iter(suspects.cleared_ms))]


def classify_request(
    suspects: Suspects, fingerprint: str, now_ms: int
) -> Clear | Suspect | Quarantined:
    """Return whether a request may run, may run alone, or may not run."""
    if not suspects.crashes:
        return Clear(fingerprint)
    _expire(suspects, now_ms)
    own = [
        crash for crash in suspects.crashes if _accuses(suspects, crash, fingerprint)
    ]
    if not own:
        return Clear(fingerprint)
    servers = tuple(sorted({crash.server for crash in own}))
    if _is_convicted(suspects, own, fingerprint):
        until_ms = min(crash.at_ms for crash in own) + KEPT_MS
        return Quarantined(fingerprint, servers, until_ms)
    latest = sorted(own[-1].fingerprints)
    return Suspect(fingerprint, servers, latest.index(fingerprint), len(latest))


def export_hints(
    suspects: Suspects, now_ms: int, highest: int = MAX_HINTS
) -> tuple[CrashHint, ...]:
    """Return the newest crashes, at most ``highest``, to be sent to peers."""
    _expire(suspects, now_ms)
    return tuple(
        CrashHint(crash.server, tuple(sorted(crash.fingerprints)), now_ms - crash.at_ms)
        for crash in suspects.crashes[-highest:]
    )


def import_hints(suspects: Suspects, hints: Iterable[CrashHint], now_ms: int) -> None:
    """Merge the crashes that a peer knows of."""
    for hint in hints:
        if not 0 <= hint.age_ms < KEPT_MS:
            continue
        at_ms = now_ms - hint.age_ms
        alive_ms = suspects.alive_ms.get(hint.server)
        if alive_ms is not None and -HINT_DELAY_MS <= alive_ms - at_ms <= RESTART_MS:
            continue
        fingerprints = frozenset(hint.fingerprints[:MAX_FINGERPRINTS])
        _add_crash(suspects, Crash(hint.server, fingerprints, at_ms))
    _expire(suspects, now_ms)


def _add_crash(suspects: Suspects, crash: Crash) -> None:
    if not crash.fingerprints:
        return
    for index, known in enumerate(suspects.crashes):
        if _same_crash(known, crash):
            suspects.crashes[index] = Crash(
                known.server,
                known.fingerprints | crash.fingerprints,
                min(known.at_ms, crash.at_ms),
            )
            return
    suspects.crashes.append(crash)
    suspects.crashes.sort(key=lambda kept: kept.at_ms)


def _same_crash(known: Crash, crash: Crash) -> bool:
    # Processes that shared the server lose their connections at about the same time.
    if known.server != crash.server:
        return False
    return abs(known.at_ms - crash.at_ms) <= SAME_CRASH_MS


def _accuses(suspects: Suspects, crash: Crash, fingerprint: str) -> bool:
    if fingerprint not in crash.fingerprints:
        return False
    cleared_ms = suspects.cleared_ms.get(fingerprint)
    return cleared_ms is None or cleared_ms < crash.at_ms


def _accused(suspects: Suspects, crash: Crash) -> frozenset[str]:
    return frozenset(
        fingerprint
        for fingerprint in crash.fingerprints
        if _accuses(suspects, crash, fingerprint)
    )


def _proven(suspects: Suspects) -> frozenset[str]:
    # One that crashed a server by itself, and was on another that crashed.
    accused = [_accused(suspects, crash) for crash in suspects.crashes]
    alone = {next(iter(names)) for names in accused if len(names) == 1}
    return frozenset(
        fingerprint
        for fingerprint in alone
        if sum(fingerprint in names for names in accused) > 1
    )


def _is_convicted(suspects: Suspects, crashes: list[Crash], fingerprint: str) -> bool:
    if len(crashes) < 2:
        return False
    explained_by = _proven(suspects) - {fingerprint}
    unexplained = [
        crash for crash in crashes if explained_by.isdisjoint(crash.fingerprints)
    ]
    if len(unexplained) < 2:
        return False
    accused = (_accused(suspects, crash) for crash in unexplained)
    return frozenset.intersection(*accused) == {fingerprint}


def _expire(suspects: Suspects, now_ms: int) -> None:
    oldest_ms = now_ms - KEPT_MS
    suspects.crashes = [crash for crash in suspects.crashes if crash.at_ms > oldest_ms][
        -MAX_CRASHES:
    ]
    if not suspects.crashes:
        suspects.cleared_ms.clear()
