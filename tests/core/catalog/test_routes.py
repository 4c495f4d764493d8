"""Test the choice of a route and of its pool."""

from collections import Counter
from typing import Any

from bramleyturn.core.catalog.model import Route, RouteKind, WeightedPool
from bramleyturn.core.catalog.routes import RouteIndex, choose_pool, find_route


def route(prefix: str, *targets: WeightedPool) -> Route:
    """Return a route."""
    return Route(
        name=prefix,
        host="a.example",
        prefix=prefix,
        kind=RouteKind.IDEMPOTENT,
        timeout_ms=1_000,
        aim_ms=100,
        priority=0,
        targets=targets or (WeightedPool("p", 1.0),),
        max_attempts=2,
        stages=(),
        is_public=False,
        uses_prefix_affinity=False,
        is_resumable=False,
    )


class TestFind:
    """Routes by host and path prefix."""

    def test_longest_prefix(self) -> None:
        index = RouteIndex([route("/a/"), route("/a/b/"), route("/c/")])
        found = find_route(index, "A.example:8080", "/a/b/x")
        assert found is not None
        assert found.prefix == "/a/b/"

    def test_prefix_ends_at_a_slash(self) -> None:
        index = RouteIndex([route("/a/")])
        assert find_route(index, "a.example", "/ab") is None
        assert find_route(index, "b.example", "/a/x") is None

    def test_time_does_not_grow_with_the_number_of_routes(self) -> None:
        comparisons = 0

        class CountingPath(str):
            """Count how often a prefix of the path is taken or compared."""

            def __getitem__(self, key: Any) -> str:
                nonlocal comparisons
                comparisons += 1
                return super().__getitem__(key)

            def startswith(self, *arguments: Any) -> bool:
                nonlocal comparisons
                comparisons += 1
                return super().startswith(*arguments)

        index = RouteIndex([route(f"/added-{n}/") for n in range(8_200)])
        found = find_route(index, "a.example", CountingPath("/added-8199/x"))
        assert found is not None
        assert found.prefix == "/added-8199/"
        assert comparisons < 10

    def test_first_of_two_routes_with_one_prefix(self) -> None:
        first = route("/a/")
        index = RouteIndex([first, route("/a/", WeightedPool("other", 1.0))])
        assert find_route(index, "a.example", "/a/x") is first


class TestSplit:
    """Routes with several weighted pools."""

    def test_share_follows_the_weight(self) -> None:
        split = route("/a/", WeightedPool("x", 90), WeightedPool("y", 10))
        counts = Counter(choose_pool(split, f"id-{n}") for n in range(2_000))
        assert 120 < counts["y"] < 290

    def test_same_request_same_pool(self) -> None:
        split = route("/a/", WeightedPool("x", 1), WeightedPool("y", 1))
        assert len({choose_pool(split, "id") for _ in range(5)}) == 1

    def test_pool_with_weight_zero_gets_no_requests(self) -> None:
        split = route("/a/", WeightedPool("x", 0), WeightedPool("y", 1))
        assert {choose_pool(split, f"id-{n}") for n in range(50)} == {"y"}
