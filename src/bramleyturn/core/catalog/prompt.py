"""Define the parts of a prompt."""

from typing import NamedTuple


class PromptPart(NamedTuple):
    """Hold one part of a prompt and its number of tokens; requests may share parts."""

    id: str
    tokens: int


def shared_prefix(prompt: tuple[PromptPart, ...]) -> tuple[PromptPart, ...]:
    """Return the parts that other requests may share: all except the last."""
    return prompt[:-1]


def own_tokens(parts: tuple[PromptPart, ...]) -> int:
    """Return the number of tokens of the last part, which no other request shares."""
    return parts[-1].tokens if parts else 0
