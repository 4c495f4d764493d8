"""Compare choices by stale reports at servers of unequal speed.

The targets are those of docs/design/0001-hard-load.md: at 85 % of the capacity the
spread of the queues is below that of the choice by the least load, and so is the number
of late requests, with the same requests.
"""

from typing import Final

import pytest

from tests.core.balance.queue_simulation import (
    Result,
    Site,
    StaleChoice,
    simulate,
    with_perfect_knowledge,
)

SEED: Final = 1
PLAIN: Final = (6,) * 4
ENGINES: Final = (4,) * 30


def results(slots: tuple[int, ...], load: float, run_s: int) -> list[Result]:
    """Return the results of today's choice, the even one, and perfect knowledge."""
    choices = StaleChoice(False, SEED), StaleChoice(True, SEED), with_perfect_knowledge
    return [simulate(Site(slots), each, load, SEED, run_s) for each in choices]


@pytest.mark.parametrize(
    ("slots", "run_s"), [(PLAIN, 30), (ENGINES, 6)], ids=["4-servers", "30-engines"]
)
class TestUnequalServers:
    """Requests of 119 instances with reports that are 0.1 to 1 s old."""

    @pytest.mark.parametrize("load", [0.7, 0.85, 0.95])
    def test_queues_are_more_even_and_fewer_requests_are_late(
        self, slots: tuple[int, ...], run_s: int, load: float
    ) -> None:
        """Servers were overloaded in turns while others were idle."""
        least, even, perfect = results(slots, load, run_s)
        print(f"\nload {load}: least {least} even {even} perfect {perfect}")
        assert even.spread < least.spread
        assert even.late < least.late
        assert least.requests == even.requests == perfect.requests
