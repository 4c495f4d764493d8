"""Replay every cell of the comparison and write a report under run-output/bench.

Starts one process for each cell, a few at a time.
"""

import subprocess
import sys
import time
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Any, Final

import cappa
import orjson

from bramleyturn.bench.bench_report import plot_all, report_text, variants_table
from bramleyturn.bench.cells import (
    COMPARED,
    OWN_VARIANTS,
    Cell,
    CellResult,
    all_cells,
    from_document,
)

ROOT: Final = Path(__file__).parents[1]
POLL_S: Final = 0.1


@cappa.command(name="bench")
@dataclass(frozen=True)
class Bench:
    """Replay the cells of both users, by fault and load, under every policy."""

    seeds: Annotated[int, cappa.Arg(long=True, help="Seeds for each cell.")] = 2
    jobs: Annotated[int, cappa.Arg(long=True, help="Processes at a time.")] = 4
    duration_ms: Annotated[int, cappa.Arg(long=True, help="Length of a trace.")] = (
        40_000
    )
    only: Annotated[
        str, cappa.Arg(long=True, help="Only cells whose name contains this.")
    ] = ""
    variants: Annotated[
        bool, cappa.Arg(long=True, help="Switch off one mechanism at a time.")
    ] = False
    folder: Annotated[Path, cappa.Arg(long=True, help="Where the report goes.")] = (
        ROOT / "run-output" / "bench"
    )

    def __call__(self) -> None:
        """Run the bench and print its tables."""
        policies = OWN_VARIANTS if self.variants else COMPARED
        cells = [cell for cell in all_cells() if self.only in " ".join(map(str, cell))]
        self.folder.mkdir(parents=True, exist_ok=True)
        results = run_cells(self, cells, policies)
        name = "variants" if self.variants else "cells"
        documents = [orjson.dumps(item) for item in results]
        (self.folder / f"{name}.jsonl").write_bytes(b"\n".join(documents) + b"\n")
        parsed: list[CellResult] = [from_document(item) for item in results]
        if self.variants:
            text = "\n".join(variants_table(parsed)) + "\n"
        else:
            text = report_text(parsed)
            plot_all(parsed, self.folder)
        (self.folder / f"{name}.md").write_text(text)
        print(text)


def run_cells(
    bench: Bench, cells: Sequence[Cell], policies: Sequence[str]
) -> list[dict[str, Any]]:
    """Return the document of each cell, in the order of the cells."""
    waiting = list(enumerate(cells))
    running: dict[int, tuple[subprocess.Popen[bytes], Path]] = {}
    documents: dict[int, dict[str, Any]] = {}
    while waiting or running:
        while waiting and len(running) < bench.jobs:
            number, cell = waiting.pop(0)
            running[number] = start_cell(bench, number, cell, policies)
        for number, (process, path) in list(running.items()):
            if process.poll() is None:
                continue
            if process.returncode:
                stop([item for item, _ in running.values()])
                raise SystemExit(f"{cells[number]} ended with {process.returncode}")
            documents[number] = orjson.loads(path.read_bytes())
            path.unlink()
            del running[number]
            print(f"{len(documents)}/{len(cells)} {cells[number]}", file=sys.stderr)
        time.sleep(POLL_S)
    return [documents[number] for number in sorted(documents)]


def start_cell(
    bench: Bench, number: int, cell: Cell, policies: Sequence[str]
) -> tuple[subprocess.Popen[bytes], Path]:
    """Start the process of one cell, which writes to a file of its own."""
    path = bench.folder / f"cell-{number}.json"
    arguments = [
        str(ROOT / "settings" / cell.user),
        *map(str, cell),
        ",".join(str(seed) for seed in range(1, bench.seeds + 1)),
        str(bench.duration_ms),
        ",".join(policies),
    ]
    command = [sys.executable, "-m", "bramleyturn.bench.cells", *arguments]
    with path.open("wb") as output:
        return subprocess.Popen(command, stdout=output), path


def stop(processes: Sequence[subprocess.Popen[bytes]]) -> None:
    """End the processes that still run."""
    for process in processes:
        if process.poll() is None:
            process.terminate()
    for process in processes:
        process.wait()


if __name__ == "__main__":
    cappa.invoke(Bench)
