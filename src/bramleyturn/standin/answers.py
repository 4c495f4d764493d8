"""Derive the one right answer of each stand-in from its input.

The functions are pure, so that a load generator can tell the answer of a whole
pipeline beforehand and compare it with the one that it received.
"""

import re
from collections.abc import Iterator
from typing import Any, Final

import orjson
import xxhash

from bramleyturn.core.model import PoolKind, Stage

WORDS_KEPT: Final = 256
VECTOR_VALUES: Final = 8
PASSAGES: Final = 4
WORDS_PER_PASSAGE: Final = 12
WORD_PATTERN: Final = re.compile(r"\w+")
PASSAGE_SCORES: Final = 1000


def input_digest(value: Any) -> str:
    """Return the digest by which a ledger names an input."""
    return digest("", value)


def digest(label: str, value: Any) -> str:
    """Return 16 hexadecimal digits that depend on ``label`` and ``value``."""
    return xxhash.xxh64_hexdigest(label.encode() + b"\0" + canonical(value))


def canonical(value: Any) -> bytes:
    """Return ``value`` as JSON that does not depend on the order of keys."""
    return orjson.dumps(value, option=orjson.OPT_SORT_KEYS)


def words_of(value: Any) -> list[str]:
    """Return the words of every string in ``value``, in the order of its keys."""
    return [word for text in _strings(value) for word in WORD_PATTERN.findall(text)]


def expected_output(
    kind: PoolKind, model: str, value: Any, max_output_tokens: int = 0
) -> Any:
    """Return the output of a stage of ``kind`` for the input ``value``.

    An engine's output is its text: the tokens joined. Only an engine looks at
    ``max_output_tokens``, and a plain service does not look at ``model``.
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
    """Return what ``stage`` gets, given the pipeline's input and earlier outputs."""
    if not stage.after:
        return value
    if len(stage.after) == 1:
        return outputs[stage.after[0]]
    return {name: outputs[name] for name in stage.after}


def engine_tokens(model: str, value: Any, max_output_tokens: int) -> list[str]:
    """Return the tokens that an engine generates; joined, they are its text.

    The first token is a digest, which tells inputs with the same words apart.
    Each token but the first starts with a space.
    """
    seed = xxhash.xxh64_intdigest(model.encode() + b"\0" + canonical(value))
    vocabulary = words_of(value) or ["empty"]
    count = _token_count(seed, max_output_tokens)
    picked = [
        " " + vocabulary[_mix(seed, position) % len(vocabulary)]
        for position in range(1, count)
    ]
    return [f"{seed:016x}", *picked][:count]


def _token_count(seed: int, max_output_tokens: int) -> int:
    """Return a count between a quarter of the maximum and the maximum."""
    if max_output_tokens <= 0:
        return 0
    least = max(1, max_output_tokens // 4)
    return least + seed % (max_output_tokens - least + 1)


def _mix(seed: int, position: int) -> int:
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
    """Return the text that the stages of a pipeline hand on to each other."""
    if isinstance(value, dict) and isinstance(value.get("text"), str):
        return str(value["text"])
    return " ".join(words_of(value)[:WORDS_KEPT])


def _encoder_output(model: str, value: Any) -> dict[str, Any]:
    mark = digest(model, value)
    seed = int(mark, 16)
    vector = [_mix(seed, index) % 256 for index in range(VECTOR_VALUES)]
    return {"digest": mark, "vector": vector, "text": _text_of(value)}


def _retriever_output(model: str, value: Any) -> dict[str, Any]:
    mark = digest(model, value)
    seed = int(mark, 16)
    text = _text_of(value)
    vocabulary = text.split() or ["empty"]
    passages = [_passage(vocabulary, _mix(seed, index)) for index in range(PASSAGES)]
    return {"digest": mark, "text": text, "passages": passages}


def _passage(vocabulary: list[str], seed: int) -> dict[str, Any]:
    words = [
        vocabulary[_mix(seed, index) % len(vocabulary)]
        for index in range(WORDS_PER_PASSAGE)
    ]
    return {"id": f"{seed:016x}", "text": " ".join(words)}


def _reranker_output(model: str, value: Any) -> dict[str, Any]:
    mark = digest(model, value)
    seed = int(mark, 16)
    passages = value.get("passages", []) if isinstance(value, dict) else []
    scored = [
        {"passage": passage, "score": _mix(seed, index) % PASSAGE_SCORES}
        for index, passage in enumerate(passages)
    ]
    scored.sort(key=lambda item: -item["score"])
    return {"digest": mark, "text": _text_of(value), "passages": scored}
