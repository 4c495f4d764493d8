"""Do long work in steps, so that its caller can do other work in between."""

from collections.abc import Generator
from typing import TypeVar

Result = TypeVar("Result")
Steps = Generator[None, None, Result]


def run_steps(steps: Steps[Result]) -> Result:
    """Run all steps without a pause and return the result."""
    while True:
        try:
            next(steps)
        except StopIteration as stop:
            result: Result = stop.value
            return result
