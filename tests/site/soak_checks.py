"""Compare the answers to callers with the runs that backend servers recorded."""

from pathlib import Path
from typing import Final, NamedTuple

from tests.site.rolling_checks import CROSSING_MS, STOPPED_IDLE

LOOKUP: Final = "lookup"
ORDER: Final = "order"
DRAFT: Final = "draft"
# A draft with a prompt part on which engines crash.
PART: Final = "part"
EVENTS: Final = 8
# Statuses that state that the request has not run and never will.
NOT_RUN_STATUSES: Final = (408, 421, 429, 503)


class SentAttempt(NamedTuple):
    """Hold one attempt of a caller and its answer.

    ``status`` is 0 for a connection that ended without an answer. ``is_whole`` is
    False for an answer that was visibly cut off. ``must_end`` is set for an attempt on
    a kept connection to an entry that nobody killed meanwhile; ``entry`` names that
    process, and ``took_ms`` is the time from the request to the end. ``error`` is
    what a caller got instead of an answer, and ``sent_s`` is monotonic. ``is_sent`` is
    False if nothing was sent, because no connection could be opened.
    """

    attempt_id: str
    kind: str
    status: int
    body: bytes
    is_whole: bool
    is_signed: bool
    must_end: bool = False
    entry: str = ""
    took_ms: int = 0
    error: str = ""
    sent_s: float = 0.0
    is_sent: bool = True


def whole_stream() -> bytes:
    """Return the bytes of a complete stream."""
    return b"".join(b"id: %d\ndata: token-%d\n\n" % (n, n) for n in range(EVENTS))


def find_violations(
    sent: list[SentAttempt], runs: dict[str, int], folder: Path
) -> list[str]:
    """Return every violated guarantee, with the attempt that shows it.

    ``folder`` has the logs of the entries.
    """
    known = {attempt.attempt_id for attempt in sent}
    violations = [f"unasked: {each} ran" for each in sorted(runs.keys() - known)]
    for attempt in sent:
        ran = runs.get(attempt.attempt_id, 0)
        violations += [
            f"{fault}: {attempt.attempt_id}"
            for fault in _attempt_violations(attempt, ran, folder)
        ]
    return violations


def _attempt_violations(attempt: SentAttempt, ran: int, folder: Path) -> list[str]:
    violations = []
    if attempt.kind == ORDER and ran > 1:
        violations.append(f"doubled, {ran} runs")
    if attempt.must_end and not attempt.status and (ran or _is_read(attempt, folder)):
        violations.append("read and closed without an answer")
    if attempt.status in NOT_RUN_STATUSES and ran:
        violations.append(f"called not run with {attempt.status}, {ran} runs")
    if attempt.status == 200 and attempt.is_whole:
        expected = b"answer to " + attempt.attempt_id.encode()
        if attempt.kind == DRAFT:
            expected = whole_stream()
        if attempt.body != expected:
            violations.append("crossed or cut, and called whole")
        if not ran:
            violations.append("answered without a run")
        if not attempt.is_signed:
            violations.append("success without a signature")
    return violations


def _is_read(attempt: SentAttempt, folder: Path) -> bool:
    """Return whether an entry held a request and its log does not rule out a read."""
    if not attempt.is_sent or attempt.took_ms <= CROSSING_MS:
        return False
    log = (folder / f"{attempt.entry}.out").read_text()
    # Every request that is read is named at its end, unless the process ends first.
    return f'"{attempt.attempt_id}"' in log or not STOPPED_IDLE.search(log)


def served_share(sent: list[SentAttempt], kind: str) -> float:
    """Return the share of the attempts of a kind with a complete 200 answer."""
    of_kind = [attempt for attempt in sent if attempt.kind == kind]
    served = [each for each in of_kind if each.status == 200 and each.is_whole]
    return len(served) / len(of_kind) if of_kind else 1.0
