"""Describe the parts of a prompt."""

from typing import NamedTuple


class PromptPart(NamedTuple):
    """Hold one part of a prompt, which requests may share, and its tokens."""

    id: str
    tokens: int


def shared_prefix(prompt: tuple[PromptPart, ...]) -> tuple[PromptPart, ...]:
    """Return the parts that other requests may share: all but the last."""
    return prompt[:-1]
