"""Tests of fitting measured points and of the synthetic folder."""

import pytest

from bramleyturn.bench.capacity_configuration import load, synthetic_folder
from bramleyturn.bench.capacity_points import Point, fit_line, measure_point


class TestFit:
    def test_line_through_exact_points(self) -> None:
        points = [Point(size, 3 * size + 5, 0, 0) for size in (1, 2, 4)]
        slope = fit_line("a", "ms", "item", points)
        assert slope.slope == pytest.approx(3)
        assert slope.intercept == pytest.approx(5)
        assert slope.residual == pytest.approx(0)

    def test_single_point_gives_a_ratio(self) -> None:
        slope = fit_line("a", "B", "item", [Point(4, 8, 8, 8)])
        assert (slope.slope, slope.intercept, slope.residual) == (2, 0, 0)

    def test_median_and_spread(self) -> None:
        values = iter([3.0, 1.0, 2.0])
        assert measure_point(7, lambda: next(values), 3) == Point(7, 2.0, 1.0, 3.0)


class TestFolder:
    @pytest.mark.parametrize(("workspaces", "servers"), [(0, 0), (1, 1), (411, 30)])
    def test_is_valid_and_of_the_requested_size(
        self, workspaces: int, servers: int
    ) -> None:
        configuration = load(synthetic_folder(workspaces, servers))
        assert len(configuration.workspaces) == workspaces
        assert len(configuration.servers) == servers
