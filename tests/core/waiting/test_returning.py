"""Tell refused callers when to come back, and know those that did."""

from random import Random

from bramleyturn.core.waiting.retry_after import retry_after_ms
from bramleyturn.core.waiting.time_spent import LongestWaits, time_spent_ms


class TestRetryAfter:
    """When a caller may come back."""

    def test_never_beyond_a_third_of_what_is_left(self) -> None:
        random = Random(1)
        assert all(retry_after_ms(9_000, 3_000, random) <= 1_000 for _ in range(50))

    def test_callers_refused_together_return_spread(self) -> None:
        random = Random(1)
        waits = {retry_after_ms(1_000, 30_000, random) for _ in range(50)}
        assert max(waits) - min(waits) > 300


class TestTimeSpent:
    """Callers that return after a refusal."""

    def test_fresh_request_has_spent_nothing(self) -> None:
        waits = LongestWaits()
        assert time_spent_ms(waits, "r", 8_003) == 0
        assert time_spent_ms(waits, "r", 8_001) == 0

    def test_returning_request_has_spent_what_it_lacks(self) -> None:
        waits = LongestWaits()
        time_spent_ms(waits, "r", 8_000)
        assert time_spent_ms(waits, "r", 5_000) == 3_000

    def test_routes_differ(self) -> None:
        waits = LongestWaits()
        time_spent_ms(waits, "long", 15_000)
        assert time_spent_ms(waits, "short", 1_000) == 0
