"""Report the cells of a benchmark against their targets, as text and plots."""

from collections.abc import Callable, Iterable, Sequence
from pathlib import Path
from statistics import mean
from typing import Final, NamedTuple

import matplotlib

matplotlib.use("Agg")

from matplotlib import pyplot

from bramleyturn.bench.cells import Cell, CellResult
from bramleyturn.bench.replay import ReplayResult
from bramleyturn.bench.replay_policies import BASELINES

OWN: Final = "own"
ORACLE: Final = "oracle"
OVERLOAD_PERCENT: Final = 100
MIN_ATTAINMENT_SHARE: Final = 0.97
MIN_OVERLOAD_ATTAINMENT_SHARE: Final = 0.9
MAX_COST_SHARE: Final = 1.05
MAX_STRAGGLER_WASTE_SHARE: Final = 0.05
MAX_OFFERED_RATIO: Final = 1.2
ATTAINMENT_TOLERANCE: Final = 0.0005
DOTS_PER_INCH: Final = 110
Metric = Callable[[ReplayResult], float]


class MissedTarget(NamedTuple):
    """Describe a target that a cell missed, with the found and the wanted value."""

    cell: Cell
    target: str
    found: float
    wanted: float


def cell_name(cell: Cell) -> str:
    """Return the name of a cell as text."""
    return f"{cell.user} {cell.fault} {cell.load_percent} %"


def average(results: Iterable[ReplayResult], metric: Metric) -> float:
    """Return the mean of a metric over the seeds."""
    return mean(metric(result) for result in results)


def spread(results: Iterable[ReplayResult], metric: Metric) -> float:
    """Return the range of a metric over the seeds."""
    values = [metric(result) for result in results]
    return max(values) - min(values)


def attainment(result: ReplayResult) -> float:
    """Return the share of requests answered in time."""
    return result.attainment


def cost(result: ReplayResult) -> float:
    """Return the cost per request answered in time."""
    return result.cost_micros_per_answer


def missed_targets(result: CellResult) -> list[MissedTarget]:
    """Return the targets that a cell missed."""
    own, oracle = result.results[OWN], result.results[ORACLE]
    is_overload = result.cell.load_percent > OVERLOAD_PERCENT
    share = MIN_OVERLOAD_ATTAINMENT_SHARE if is_overload else MIN_ATTAINMENT_SHARE
    found = average(own, attainment)
    checks = [
        ("attainment", found, share * average(oracle, attainment), 1),
        ("cost", average(own, cost), MAX_COST_SHARE * average(oracle, cost), -1),
        ("offered", average(own, lambda item: item.offered), MAX_OFFERED_RATIO, -1),
    ]
    if result.cell.fault == "straggler":
        wasted = average(own, lambda item: item.wasted)
        checks.append(("wasted", wasted, MAX_STRAGGLER_WASTE_SHARE, -1))
    for name in BASELINES:
        baseline = average(result.results[name], attainment)
        checks.append((f"ahead of {name}", found, baseline - ATTAINMENT_TOLERANCE, 1))
    return [
        MissedTarget(result.cell, target, value, wanted)
        for target, value, wanted, sign in checks
        if sign * value < sign * wanted
    ]


def report_text(results: Sequence[CellResult]) -> str:
    """Return the tables of a benchmark in Markdown."""
    lines = [
        "Attainment: mean over the seeds, and for the entry's policy the spread.",
        "Cost: millionths for each request answered in time. Wasted: share of the",
        "servers' busy time. Offered: attempts for each first attempt.",
        "",
    ]
    lines += [*attainment_table(results), "", *cost_table(results), ""]
    lines += ["| cell | target missed | found | wanted |", "|---|---|---|---|"]
    for result in results:
        lines += [
            f"| {cell_name(item.cell)} | {item.target} | {item.found:.3f} "
            f"| {item.wanted:.3f} |"
            for item in missed_targets(result)
        ]
    return "\n".join(lines) + "\n"


def attainment_table(results: Sequence[CellResult]) -> list[str]:
    """Return the attainment of every policy by cell."""
    names = (ORACLE, *BASELINES)
    lines = [
        f"| cell | own | spread | of oracle | {' | '.join(names)} |",
        "|---" * (len(names) + 4) + "|",
    ]
    for result in results:
        own = average(result.results[OWN], attainment)
        oracle = average(result.results[ORACLE], attainment)
        others = [f"{average(result.results[name], attainment):.3f}" for name in names]
        lines.append(
            f"| {cell_name(result.cell)} | {own:.3f} "
            f"| {spread(result.results[OWN], attainment):.3f} | {own / oracle:.3f} "
            f"| {' | '.join(others)} |"
        )
    return lines


def cost_table(results: Sequence[CellResult]) -> list[str]:
    """Return cost, waste and offered load of the entry's policy by cell."""
    lines = [
        "| cell | cost | of oracle | wasted | wasted money | offered | refused "
        "| failed |",
        "|---|---|---|---|---|---|---|---|",
    ]
    for result in results:
        own = result.results[OWN]
        ratio = average(own, cost) / average(result.results[ORACLE], cost)
        metrics = [
            f"{average(own, metric):.3f}"
            for metric in (
                lambda item: item.wasted,
                lambda item: item.wasted_cost,
                lambda item: item.offered,
                lambda item: item.refused,
                lambda item: item.failed,
            )
        ]
        lines.append(
            f"| {cell_name(result.cell)} | {average(own, cost):.1f} | {ratio:.3f} "
            f"| {' | '.join(metrics)} |"
        )
    return lines


def variants_table(results: Sequence[CellResult]) -> list[str]:
    """Return the change of attainment and cost by cell with each mechanism off."""
    names = [name for name in results[0].results if name != OWN]
    lines = [f"| cell | own | {' | '.join(names)} |", "|---" * (len(names) + 2) + "|"]
    for result in results:
        own = average(result.results[OWN], attainment)
        money = average(result.results[OWN], cost)
        others = [
            f"{average(result.results[name], attainment) - own:+.3f} "
            f"{average(result.results[name], cost) / money - 1:+.1%}"
            for name in names
        ]
        lines.append(f"| {cell_name(result.cell)} | {own:.3f} | {' | '.join(others)} |")
    return lines


def plot_metric(
    results: Sequence[CellResult],
    policies: Sequence[str],
    title: str,
    metric: Metric,
    path: Path,
) -> None:
    """Plot a metric of several policies by cell, with its range over the seeds."""
    canvas, axes = pyplot.subplots(figsize=(15, 6))
    positions = range(len(results))
    for number, policy in enumerate(policies):
        values = [average(result.results[policy], metric) for result in results]
        half_spreads = [
            spread(result.results[policy], metric) / 2 for result in results
        ]
        shifted = [position + number * 0.1 for position in positions]
        axes.errorbar(shifted, values, yerr=half_spreads, fmt="o", ms=4, label=policy)
    axes.set_xticks(list(positions), [cell_name(item.cell) for item in results])
    axes.tick_params(axis="x", labelrotation=90, labelsize=7)
    axes.set_title(title)
    axes.grid(axis="y", alpha=0.3)
    axes.legend()
    canvas.tight_layout()
    canvas.savefig(path, dpi=DOTS_PER_INCH)
    pyplot.close(canvas)


def plot_all(results: Sequence[CellResult], folder: Path) -> None:
    """Plot attainment, cost and waste by cell into a folder."""
    policies = (OWN, ORACLE, *BASELINES)
    plot_metric(results, policies, "Attainment", attainment, folder / "attainment.png")
    plot_metric(
        results,
        policies,
        "Money per answered request, millionths",
        cost,
        folder / "cost.png",
    )
    plot_metric(
        results,
        policies,
        "Wasted share of busy time",
        lambda item: item.wasted,
        folder / "wasted.png",
    )
