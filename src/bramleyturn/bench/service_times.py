"""Define the service times of the backend server model."""

from typing import Final

from bramleyturn.core.model import Configuration, PoolKind, Stage

FULL_INPUT_TOKENS: Final = 512
CALL_MS: Final = {
    PoolKind.ENCODER: 40.0,
    PoolKind.RETRIEVER: 30.0,
    PoolKind.RERANKER: 60.0,
    PoolKind.PLAIN: 40.0,
}
PREFILL_MS: Final = 120.0
CACHED_PREFILL_SAVED_SHARE: Final = 0.8
TOKEN_MS: Final = 16.0
SLOWDOWN_PER_STREAM: Final = 0.03
SIZE_SENSITIVE: Final = frozenset({PoolKind.ENCODER, PoolKind.RERANKER})


def call_ms(kind: PoolKind, input_tokens: int) -> float:
    """Return the service time of one call on a server without slowdown."""
    if kind not in SIZE_SENSITIVE:
        return CALL_MS[kind]
    return CALL_MS[kind] * max(0.25, input_tokens / FULL_INPUT_TOKENS)


def prefill_ms(input_tokens: int, *, is_cached: bool) -> float:
    """Return an engine's prefill time of a prompt."""
    whole_ms = PREFILL_MS * max(0.25, input_tokens / FULL_INPUT_TOKENS)
    return whole_ms * (1.0 - CACHED_PREFILL_SAVED_SHARE) if is_cached else whole_ms


def token_ms(streams: int) -> float:
    """Return the time to generate one token for each stream of a batch."""
    return TOKEN_MS * (1.0 + SLOWDOWN_PER_STREAM * (max(1, streams) - 1))


def stage_work_ms(
    kind: PoolKind,
    stage: Stage,
    capacity: int,
    input_tokens: int,
    output_tokens: int,
    cached_share: float = 0.0,
) -> float:
    """Return how long a stage occupies a slot of a fully loaded server."""
    if kind is not PoolKind.ENGINE:
        return call_ms(kind, input_tokens)
    tokens = min(output_tokens, stage.max_output_tokens)
    read_ms = prefill_ms(input_tokens, is_cached=False) * (1.0 - cached_share)
    read_ms += prefill_ms(input_tokens, is_cached=True) * cached_share
    return read_ms + tokens * token_ms(capacity)


def pool_slots(configuration: Configuration, pool: str) -> int:
    """Return the total concurrency of the servers of a pool."""
    servers = [item for item in configuration.servers.values() if item.pool == pool]
    return len(servers) * configuration.pools[pool].concurrency_per_server
