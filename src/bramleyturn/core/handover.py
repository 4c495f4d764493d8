"""Hand kept outcomes from a process that ends to one that goes on."""

from collections.abc import Iterator
from typing import Any, Final

import orjson

from bramleyturn.core.kept_outcomes import (
    KeptOutcome,
    KeptOutcomes,
    OutcomeKey,
    find_outcome,
    keep_outcome,
    pack_outcome,
    size_bytes,
)
from bramleyturn.core.outcome_json import parse_outcome

MAX_BATCH_BYTES: Final = 4 * 1024 * 1024
MAX_HANDED_BYTES: Final = 32 * 1024 * 1024

Batch = list[dict[str, Any]]


def outcome_batches(kept: KeptOutcomes, now_ms: int) -> Iterator[Batch]:
    """Yield the documents of the kept outcomes, the newest first, within a limit."""
    batch: Batch = []
    batch_bytes = handed_bytes = 0
    for key, outcome in reversed(kept.by_key.items()):
        size = size_bytes(outcome)
        if outcome.forget_at_ms <= now_ms:
            continue
        if handed_bytes + size > MAX_HANDED_BYTES:
            break
        if batch and batch_bytes + size > MAX_BATCH_BYTES:
            yield batch
            batch, batch_bytes = [], 0
        batch.append(outcome_line(key, outcome, now_ms))
        batch_bytes += size
        handed_bytes += size
    if batch:
        yield batch


def outcome_line(key: OutcomeKey, outcome: KeptOutcome, now_ms: int) -> dict[str, Any]:
    """Return the document of one kept outcome."""
    return {
        "workspace": key.workspace,
        "request_id": key.request_id,
        "input_digest": outcome.input_digest.hex(),
        "left_ms": outcome.forget_at_ms - now_ms,
        "outcome": orjson.loads(outcome.packed),
    }


def import_batch(
    kept: KeptOutcomes, batch: Any, most_ms: int, now_ms: int
) -> int | None:
    """Keep the outcomes of another process and return how many there were.

    What is known here already stays as it is. None is kept for longer than
    ``most_ms``. Returns None for anything that is no batch.
    """
    lines = batch if isinstance(batch, list) else None
    if lines is None:
        return None
    parsed = [parse_line(line, most_ms, now_ms) for line in lines]
    # The oldest come last, and are the first to be dropped again.
    for found in reversed(parsed):
        if found is None:
            return None
        key, outcome = found
        if find_outcome(kept, key, now_ms) is None:
            keep_outcome(kept, key, outcome)
    return len(parsed)


def parse_line(
    line: Any, most_ms: int, now_ms: int
) -> tuple[OutcomeKey, KeptOutcome] | None:
    """Return one outcome of a batch, None if it is malformed."""
    try:
        outcome = parse_outcome(line["outcome"])
        left_ms = min(int(line["left_ms"]), most_ms)
        key = OutcomeKey(str(line["workspace"]), str(line["request_id"]))
        digest = bytes.fromhex(line["input_digest"])
    except (KeyError, TypeError, ValueError):
        return None
    if outcome is None or left_ms <= 0:
        return None
    return key, pack_outcome(outcome, digest, now_ms + left_ms)
