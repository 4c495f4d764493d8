"""Cut passages of random length from the curriculum text."""

import random
from importlib.resources import files
from typing import Final

MEAN_LINES: Final = 8
MAX_LINES: Final = 60


def curriculum_lines() -> tuple[str, ...]:
    """Return the lines of the curriculum text."""
    text = files(__package__).joinpath("data/curriculum.txt").read_text("utf-8")
    return tuple(line for line in text.splitlines() if line)


def cut_passage(rng: random.Random, lines: tuple[str, ...]) -> str:
    """Return consecutive lines; the length is roughly exponentially distributed."""
    wanted = 1 + int(rng.expovariate(1 / MEAN_LINES))
    length = min(wanted, MAX_LINES, len(lines))
    start = rng.randrange(len(lines) - length + 1)
    return "\n".join(lines[start : start + length])
