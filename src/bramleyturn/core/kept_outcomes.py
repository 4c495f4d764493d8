"""Keep the outcomes of finished requests for callers that ask again."""

from collections import OrderedDict
from typing import Final, NamedTuple

import orjson

from bramleyturn.core.outcome_json import outcome_document, parse_outcome
from bramleyturn.core.outcomes import Outcome, OutcomeKind

MAX_KEPT_BYTES: Final = 64 * 1024 * 1024
MAX_KEPT_OUTCOMES: Final = 50_000
OVERHEAD_BYTES: Final = 1_024


class OutcomeKey(NamedTuple):
    """Identify a request by its workspace and the caller's request id."""

    workspace: str
    request_id: str


class KeptOutcome(NamedTuple):
    """Hold an outcome as JSON until ``forget_at_ms``.

    Long-lived objects make every full garbage collection slower, but the collector
    does not traverse bytes.
    """

    packed: bytes
    kind: OutcomeKind
    reason: str
    input_digest: bytes
    forget_at_ms: int


class KeptOutcomes:
    """Hold outcomes, the oldest first, within a limit of bytes."""

    def __init__(self, max_bytes: int = MAX_KEPT_BYTES) -> None:
        self.by_key: OrderedDict[OutcomeKey, KeptOutcome] = OrderedDict()
        self.size_bytes = 0
        self.max_bytes = max_bytes


def pack_outcome(
    outcome: Outcome, input_digest: bytes, forget_at_ms: int
) -> KeptOutcome:
    """Return an outcome in the form in which it is stored."""
    packed = orjson.dumps(outcome_document("", outcome))
    return KeptOutcome(packed, outcome.kind, outcome.reason, input_digest, forget_at_ms)


def unpack_outcome(kept: KeptOutcome) -> Outcome:
    """Return the outcome in its ordinary form."""
    outcome = parse_outcome(orjson.loads(kept.packed))
    if outcome is None:
        raise AssertionError("a kept outcome must be readable")
    return outcome


def keep_outcome(kept: KeptOutcomes, key: OutcomeKey, outcome: KeptOutcome) -> None:
    """Keep an outcome, dropping the oldest ones when the limit is reached."""
    drop_outcome(kept, key)
    kept.by_key[key] = outcome
    kept.size_bytes += size_bytes(outcome)
    while kept.size_bytes > kept.max_bytes or len(kept.by_key) > MAX_KEPT_OUTCOMES:
        drop_outcome(kept, next(iter(kept.by_key)))


def size_bytes(outcome: KeptOutcome) -> int:
    """Return approximately how much memory a kept outcome takes."""
    return len(outcome.packed) + OVERHEAD_BYTES


def find_outcome(
    kept: KeptOutcomes, key: OutcomeKey, now_ms: int
) -> KeptOutcome | None:
    """Return a kept outcome that has not expired."""
    found = kept.by_key.get(key)
    if found is None or found.forget_at_ms <= now_ms:
        return None
    return found


def forget_expired(kept: KeptOutcomes, now_ms: int) -> None:
    """Drop the expired outcomes."""
    while kept.by_key:
        key, outcome = next(iter(kept.by_key.items()))
        if outcome.forget_at_ms > now_ms:
            return
        drop_outcome(kept, key)


def drop_outcome(kept: KeptOutcomes, key: OutcomeKey) -> None:
    """Drop one outcome if it is kept."""
    dropped = kept.by_key.pop(key, None)
    if dropped is not None:
        kept.size_bytes -= size_bytes(dropped)
