"""Hand the kept outcomes of a process that stops over to another process."""

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
MAX_HANDOVER_BYTES: Final = 32 * 1024 * 1024

Batch = list[dict[str, Any]]


def outcome_batches(kept: KeptOutcomes, now_ms: int) -> Iterator[Batch]:
    """Yield the kept outcomes in batches, the newest first, up to a limit of bytes."""
    batch: Batch = []
    batch_bytes = total_bytes = 0
    for key, outcome in reversed(kept.by_key.items()):
        size = size_bytes(outcome)
        if outcome.forget_at_ms <= now_ms:
            continue
        if total_bytes + size > MAX_HANDOVER_BYTES:
            break
        if batch and batch_bytes + size > MAX_BATCH_BYTES:
            yield batch
            batch, batch_bytes = [], 0
        batch.append(outcome_item(key, outcome, now_ms))
        batch_bytes += size
        total_bytes += size
    if batch:
        yield batch


def outcome_item(key: OutcomeKey, outcome: KeptOutcome, now_ms: int) -> dict[str, Any]:
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

    Outcomes that are kept here already stay unchanged. None is kept for longer than
    ``most_ms``. Returns None for a malformed batch.
    """
    items = batch if isinstance(batch, list) else None
    if items is None:
        return None
    parsed = [parse_item(item, most_ms, now_ms) for item in items]
    # The oldest come last in a batch; they are added first, to be dropped first.
    for found in reversed(parsed):
        if found is None:
            return None
        key, outcome = found
        if find_outcome(kept, key, now_ms) is None:
            keep_outcome(kept, key, outcome)
    return len(parsed)


def parse_item(
    item: Any, most_ms: int, now_ms: int
) -> tuple[OutcomeKey, KeptOutcome] | None:
    """Return one outcome of a batch, None if it is malformed."""
    try:
        outcome = parse_outcome(item["outcome"])
        left_ms = min(int(item["left_ms"]), most_ms)
        key = OutcomeKey(str(item["workspace"]), str(item["request_id"]))
        digest = bytes.fromhex(item["input_digest"])
    except (KeyError, TypeError, ValueError):
        return None
    if outcome is None or left_ms <= 0:
        return None
    return key, pack_outcome(outcome, digest, now_ms + left_ms)
