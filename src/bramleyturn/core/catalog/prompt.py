"""Define the parts of a prompt."""

from typing import Final, NamedTuple

MAX_LOGGED_PARTS: Final = 8
MAX_LOGGED_ID_CHARS: Final = 16


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


def logged_parts(parts: tuple[PromptPart, ...]) -> list[str]:
    """Return the ids of the first parts, cut to the size of a log field."""
    return [part.id[:MAX_LOGGED_ID_CHARS] for part in parts[:MAX_LOGGED_PARTS]]
