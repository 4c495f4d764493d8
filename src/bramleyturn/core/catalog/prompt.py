"""Describe the parts of a prompt."""

from typing import NamedTuple


class PromptPart(NamedTuple):
    """Hold one part of a prompt, which requests may share, and its tokens."""

    id: str
    tokens: int


def shared_prefix(prompt: tuple[PromptPart, ...]) -> tuple[PromptPart, ...]:
    """Return the parts that other requests may share: all but the last."""
    return prompt[:-1]


def own_tokens(parts: tuple[PromptPart, ...]) -> int:
    """Return the tokens of the part that no other request shares."""
    return parts[-1].tokens if parts else 0
