"""Judge what callers were told by what backend servers recorded."""

from typing import Final, NamedTuple

LOOKUP: Final = "lookup"
ORDER: Final = "order"
DRAFT: Final = "draft"
EVENTS: Final = 8
# These say that a request has not run and never will.
NOT_RUN_STATUSES: Final = (408, 421, 429, 503)


class Sent(NamedTuple):
    """Hold one attempt of a caller and what it was told.

    ``status`` is 0 for a connection that ended without an answer. ``is_whole`` is
    False for an answer that was visibly cut.
    """

    attempt_id: str
    kind: str
    status: int
    body: bytes
    is_whole: bool
    is_signed: bool


def whole_stream() -> bytes:
    """Return the events of a whole stream."""
    return b"".join(b"id: %d\ndata: token-%d\n\n" % (n, n) for n in range(EVENTS))


def faults(sent: list[Sent], runs: dict[str, int]) -> list[str]:
    """Return every promise that was broken, with the attempt that shows it."""
    known = {attempt.attempt_id for attempt in sent}
    found = [f"unasked: {each} ran" for each in sorted(runs.keys() - known)]
    for attempt in sent:
        ran = runs.get(attempt.attempt_id, 0)
        found += [f"{fault}: {attempt.attempt_id}" for fault in _faults(attempt, ran)]
    return found


def _faults(attempt: Sent, ran: int) -> list[str]:
    found = []
    if attempt.kind == ORDER and ran > 1:
        found.append(f"doubled, {ran} runs")
    if attempt.status in NOT_RUN_STATUSES and ran:
        found.append(f"called not run with {attempt.status}, {ran} runs")
    if attempt.status == 200 and attempt.is_whole:
        expected = b"answer to " + attempt.attempt_id.encode()
        if attempt.kind == DRAFT:
            expected = whole_stream()
        if attempt.body != expected:
            found.append("crossed or cut, and called whole")
        if not ran:
            found.append("answered without a run")
        if not attempt.is_signed:
            found.append("success without a signature")
    return found


def served_part(sent: list[Sent], kind: str) -> float:
    """Return the part of the attempts of a kind that got a whole success."""
    of_kind = [attempt for attempt in sent if attempt.kind == kind]
    served = [each for each in of_kind if each.status == 200 and each.is_whole]
    return len(served) / len(of_kind) if of_kind else 1.0
