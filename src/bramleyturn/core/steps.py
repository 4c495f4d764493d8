"""Do long work in steps, so that whoever drives it can do other things in between."""

from collections.abc import Generator
from typing import TypeVar

Result = TypeVar("Result")
Steps = Generator[None, None, Result]


def run_steps(steps: Steps[Result]) -> Result:
    """Return the result of work in steps, without a pause."""
    while True:
        try:
            next(steps)
        except StopIteration as stop:
            result: Result = stop.value
            return result
