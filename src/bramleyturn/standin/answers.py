"""Compute the only correct answer of each stand-in from its input.

The functions are pure, so that a load generator can compute the expected answer of a
whole pipeline and compare it with the one that it received.
"""

import re
from collections.abc import Iterator
from typing import Any, Final

import orjson
import xxhash

from bramleyturn.core.model import PoolKind, Stage

MAX_TEXT_WORDS: Final = 256
VECTOR_LENGTH: Final = 8
PASSAGE_COUNT: Final = 4
WORDS_PER_PASSAGE: Final = 12
WORD_PATTERN: Final = re.compile(r"\w+")
SCORE_RANGE: Final = 1000


def input_digest(value: Any) -> str:
    """Return the digest that identifies an input in a ledger."""
    return digest("", value)


def digest(label: str, value: Any) -> str:
    """Return 16 hexadecimal digits that depend on ``label`` and ``value``."""
    return xxhash.xxh64_hexdigest(label.encode() + b"\0" + canonical(value))


def canonical(value: Any) -> bytes:
    """Encode ``value`` as JSON with sorted keys."""
    return orjson.dumps(value, option=orjson.OPT_SORT_KEYS)


def words_of(value: Any) -> list[str]:
    """Return the words of every string in ``value``, in the order of its keys."""
    return [word for text in _strings(value) for word in WORD_PATTERN.findall(text)]


def expected_output(
    kind: PoolKind, model: str, value: Any, max_output_tokens: int = 0
) -> Any:
    """Return the output of a stage of ``kind`` for the input ``value``.

    An engine's output is its text: the tokens joined. Only an engine uses
    ``max_output_tokens``, and a plain service does not use ``model``.
    """
    if kind == PoolKind.ENGINE:
        return "".join(engine_tokens(model, value, max_output_tokens))
    if kind == PoolKind.ENCODER:
        return _encoder_output(model, value)
    if kind == PoolKind.RETRIEVER:
        return _retriever_output(model, value)
    if kind == PoolKind.RERANKER:
        return _reranker_output(model, value)
    return {"receipt": digest("plain", value)}


def stage_input(stage: Stage, value: Any, outputs: dict[str, Any]) -> Any:
    """Return the input of ``stage``, given the pipeline's input and earlier outputs."""
    if not stage.after:
        return value
    if len(stage.after) == 1:
        return outputs[stage.after[0]]
    return {name: outputs[name] for name in stage.after}


def engine_tokens(model: str, value: Any, max_output_tokens: int) -> list[str]:
    """Return the tokens that an engine generates; joined, they are its text.

    The first token is a digest, which distinguishes inputs with the same words.
    Each token but the first starts with a space.
    """
    seed = xxhash.xxh64_intdigest(model.encode() + b"\0" + canonical(value))
    vocabulary = words_of(value) or ["empty"]
    count = _token_count(seed, max_output_tokens)
    picked = [
        " " + vocabulary[_hash_index(seed, position) % len(vocabulary)]
        for position in range(1, count)
    ]
    return [f"{seed:016x}", *picked][:count]


def _token_count(seed: int, max_output_tokens: int) -> int:
    """Return a count between a quarter of the maximum and the maximum."""
    if max_output_tokens <= 0:
        return 0
    least = max(1, max_output_tokens // 4)
    return least + seed % (max_output_tokens - least + 1)


def _hash_index(seed: int, position: int) -> int:
    return xxhash.xxh64_intdigest(position.to_bytes(8, "big"), seed=seed)


def _strings(value: Any) -> Iterator[str]:
    if isinstance(value, str):
        yield value
    elif isinstance(value, list):
        for item in value:
            yield from _strings(item)
    elif isinstance(value, dict):
        for key in sorted(value):
            yield from _strings(value[key])


def _text_of(value: Any) -> str:
    """Return the text that the stages of a pipeline pass to each other."""
    if isinstance(value, dict) and isinstance(value.get("text"), str):
        return str(value["text"])
    return " ".join(words_of(value)[:MAX_TEXT_WORDS])


def _encoder_output(model: str, value: Any) -> dict[str, Any]:
    input_hash = digest(model, value)
    seed = int(input_hash, 16)
    vector = [_hash_index(seed, index) % 256 for index in range(VECTOR_LENGTH)]
    return {"digest": input_hash, "vector": vector, "text": _text_of(value)}


def _retriever_output(model: str, value: Any) -> dict[str, Any]:
    input_hash = digest(model, value)
    seed = int(input_hash, 16)
    text = _text_of(value)
    vocabulary = text.split() or ["empty"]
    passages = [
        _passage(vocabulary, _hash_index(seed, index)) for index in range(PASSAGE_COUNT)
    ]
    return {"digest": input_hash, "text": text, "passages": passages}


def _passage(vocabulary: list[str], seed: int) -> dict[str, Any]:
    words = [
        vocabulary[_hash_index(seed, index) % len(vocabulary)]
        for index in range(WORDS_PER_PASSAGE)
    ]
    return {"id": f"{seed:016x}", "text": " ".join(words)}


def _reranker_output(model: str, value: Any) -> dict[str, Any]:
    input_hash = digest(model, value)
    seed = int(input_hash, 16)
    passages = value.get("passages", []) if isinstance(value, dict) else []
    scored = [
        {"passage": passage, "score": _hash_index(seed, index) % SCORE_RANGE}
        for index, passage in enumerate(passages)
    ]
    scored.sort(key=lambda item: -item["score"])
    return {"digest": input_hash, "text": _text_of(value), "passages": scored}
