"""Replay one cell of the comparison, a user, load and fault, under each policy.

Run as ``python -m bramleyturn.bench.cells SETTINGS USER FAULT LOAD_PERCENT SEEDS
DURATION_MS POLICIES``, the lists separated by commas. Prints one JSON object.
"""

import sys
from pathlib import Path
from typing import Any, Final, NamedTuple

import orjson

from bramleyturn.bench.replay import ReplayResult, replay
from bramleyturn.bench.replay_faults import BURST
from bramleyturn.bench.replay_policies import BASELINES, SWITCHED_OFF
from bramleyturn.bench.trace_shapes import SHAPES, generate
from bramleyturn.core.configuration import RefusedConfiguration, load_configuration
from bramleyturn.core.model import Configuration
from bramleyturn.runtime.settings_file import Unreadable, read_folder

FAULT_CELLS: Final = (
    "calm",
    "straggler",
    "slow-encoder",
    "crash",
    "burst",
    "zone-cut",
    "platform-down",
    "straggler+burst",
    "crash+zone-cut",
)
LOADS_PERCENT: Final = (60, 90, 150)
COMPARED: Final = ("own", "oracle", *BASELINES)
OWN_VARIANTS: Final = ("own", *SWITCHED_OFF)


class Cell(NamedTuple):
    """Identify one cell of the comparison."""

    user: str
    fault: str
    load_percent: int


class CellResult(NamedTuple):
    """Hold a cell's replay results by policy, one per seed."""

    cell: Cell
    results: dict[str, list[ReplayResult]]


def all_cells() -> list[Cell]:
    """Return every cell of the comparison."""
    return [
        Cell(user, fault, load)
        for user in SHAPES
        for fault in FAULT_CELLS
        for load in LOADS_PERCENT
    ]


def run_cell(
    cell: Cell,
    configuration: Configuration,
    seeds: tuple[int, ...],
    duration_ms: int,
    policies: tuple[str, ...],
) -> CellResult:
    """Replay the same traces under each policy."""
    results: dict[str, list[ReplayResult]] = {policy: [] for policy in policies}
    for seed in seeds:
        trace = generate(
            configuration,
            SHAPES[cell.user],
            seed=seed,
            load_percent=cell.load_percent,
            duration_ms=duration_ms,
            burst=BURST in cell.fault.split("+"),
        )
        for policy in policies:
            results[policy].append(
                replay(trace, configuration, policy=policy, fault=cell.fault, seed=seed)
            )
    return CellResult(cell, results)


def as_document(result: CellResult) -> dict[str, Any]:
    """Return a cell's results as a JSON document."""
    by_policy = {
        policy: [item._asdict() for item in items]
        for policy, items in result.results.items()
    }
    return {"cell": result.cell._asdict(), "results": by_policy}


def from_document(document: dict[str, Any]) -> CellResult:
    """Parse a cell's results from a JSON document."""
    return CellResult(
        Cell(**document["cell"]),
        {
            policy: [ReplayResult(**item) for item in items]
            for policy, items in document["results"].items()
        },
    )


def read_configuration(folder: Path) -> Configuration:
    """Return the configuration in a folder."""
    files = read_folder(folder)
    if isinstance(files, Unreadable):
        raise SystemExit(f"cannot read {files.path}: {files.reason}")
    loaded = load_configuration(1, files)
    if isinstance(loaded, RefusedConfiguration):
        raise SystemExit(f"{folder} has {len(loaded.faults)} fault(s)")
    return loaded


def main() -> None:
    """Replay the cell that the arguments name and print its results."""
    folder, user, fault, load, seeds, duration, policies = sys.argv[1:]
    result = run_cell(
        Cell(user, fault, int(load)),
        read_configuration(Path(folder)),
        tuple(int(seed) for seed in seeds.split(",")),
        int(duration),
        tuple(policies.split(",")),
    )
    print(orjson.dumps(as_document(result)).decode())


if __name__ == "__main__":
    main()
