"""Compare the answers to callers with the runs that backend servers recorded."""

from typing import Final, NamedTuple

LOOKUP: Final = "lookup"
ORDER: Final = "order"
DRAFT: Final = "draft"
EVENTS: Final = 8
# Statuses that state that the request has not run and never will.
NOT_RUN_STATUSES: Final = (408, 421, 429, 503)


class SentAttempt(NamedTuple):
    """Hold one attempt of a caller and its answer.

    ``status`` is 0 for a connection that ended without an answer. ``is_whole`` is
    False for an answer that was visibly cut off. ``must_end`` is set for an attempt on
    a kept connection to an entry that nobody killed meanwhile.
    """

    attempt_id: str
    kind: str
    status: int
    body: bytes
    is_whole: bool
    is_signed: bool
    must_end: bool = False


def whole_stream() -> bytes:
    """Return the bytes of a complete stream."""
    return b"".join(b"id: %d\ndata: token-%d\n\n" % (n, n) for n in range(EVENTS))


def find_violations(sent: list[SentAttempt], runs: dict[str, int]) -> list[str]:
    """Return every violated guarantee, with the attempt that shows it."""
    known = {attempt.attempt_id for attempt in sent}
    violations = [f"unasked: {each} ran" for each in sorted(runs.keys() - known)]
    for attempt in sent:
        ran = runs.get(attempt.attempt_id, 0)
        violations += [
            f"{fault}: {attempt.attempt_id}"
            for fault in _attempt_violations(attempt, ran)
        ]
    return violations


def _attempt_violations(attempt: SentAttempt, ran: int) -> list[str]:
    violations = []
    if attempt.kind == ORDER and ran > 1:
        violations.append(f"doubled, {ran} runs")
    if attempt.must_end and not attempt.status and ran:
        violations.append("read, run and closed without an answer")
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


def served_share(sent: list[SentAttempt], kind: str) -> float:
    """Return the share of the attempts of a kind with a complete 200 answer."""
    of_kind = [attempt for attempt in sent if attempt.kind == kind]
    served = [each for each in of_kind if each.status == 200 and each.is_whole]
    return len(served) / len(of_kind) if of_kind else 1.0
