"""Test when refused callers should retry, and the detection of retries."""

from random import Random

from bramleyturn.core.waiting.retry_after import retry_after_ms
from bramleyturn.core.waiting.time_spent import LongestWaits, time_spent_ms


class TestRetryAfter:
    """How long a refused caller should wait."""

    def test_never_more_than_a_third_of_the_remaining_time(self) -> None:
        random = Random(1)
        assert all(retry_after_ms(9_000, 3_000, random) <= 1_000 for _ in range(50))

    def test_callers_refused_together_retry_at_different_times(self) -> None:
        random = Random(1)
        waits = {retry_after_ms(1_000, 30_000, random) for _ in range(50)}
        assert max(waits) - min(waits) > 300


class TestTimeSpent:
    """Callers that retry after a refusal."""

    def test_new_request_has_spent_nothing(self) -> None:
        waits = LongestWaits()
        assert time_spent_ms(waits, "r", 8_003) == 0
        assert time_spent_ms(waits, "r", 8_001) == 0

    def test_retry_has_spent_the_difference_to_the_longest_time(self) -> None:
        waits = LongestWaits()
        time_spent_ms(waits, "r", 8_000)
        assert time_spent_ms(waits, "r", 5_000) == 3_000

    def test_routes_differ(self) -> None:
        waits = LongestWaits()
        time_spent_ms(waits, "long", 15_000)
        assert time_spent_ms(waits, "short", 1_000) == 0
