"""Measure points and fit a line through them."""

import statistics
import time
from collections.abc import Callable, Sequence
from typing import Final, NamedTuple

REPEATS: Final = 5


class Point(NamedTuple):
    """Hold the median, minimum and maximum of repeated measurements of one size."""

    size: float
    median: float
    least: float
    most: float


class Slope(NamedTuple):
    """Hold a fitted line; ``residual`` is the largest deviation from it."""

    name: str
    unit: str
    per: str
    slope: float
    intercept: float
    residual: float
    points: tuple[Point, ...]


def measure_point(
    size: float, measure: Callable[[], float], repeats: int = REPEATS
) -> Point:
    """Repeat a measurement and return its point."""
    values = [measure() for _ in range(repeats)]
    return Point(size, statistics.median(values), min(values), max(values))


def fit_line(name: str, unit: str, per: str, points: Sequence[Point]) -> Slope:
    """Fit a line through the medians by least squares."""
    sizes = [point.size for point in points]
    medians = [point.median for point in points]
    if len(points) == 1:
        slope, intercept = medians[0] / (sizes[0] or 1), 0.0
    else:
        slope, intercept = statistics.linear_regression(sizes, medians)
    residual = max(
        abs(point.median - slope * point.size - intercept) for point in points
    )
    return Slope(name, unit, per, slope, intercept, residual, tuple(points))


def cpu_ms(work: Callable[[], object]) -> float:
    """Return the processor time that ``work`` takes."""
    started_ns = time.process_time_ns()
    work()
    return (time.process_time_ns() - started_ns) / 1e6


def slope_lines(slopes: Sequence[Slope]) -> list[str]:
    """Return a table of slopes in Markdown."""
    lines = [
        "| what | slope | per | at zero | largest residual "
        "| points (size: median, least to most) |",
        "|---|---|---|---|---|---|",
    ]
    for slope in slopes:
        points = "; ".join(
            f"{point.size:g}: {point.median:.4g}, {point.least:.4g} to {point.most:.4g}"
            for point in slope.points
        )
        lines.append(
            f"| {slope.name} | {slope.slope:.4g} {slope.unit} | {slope.per} | "
            f"{slope.intercept:.4g} | {slope.residual:.3g} | {points} |"
        )
    return lines
