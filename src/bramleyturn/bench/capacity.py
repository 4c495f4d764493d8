"""Measure the slopes behind docs/CAPACITY.md in one process.

Run as ``python -m bramleyturn.bench.capacity --out run-output/capacity.json``. The
figures of whole processes come from ``python -m scripts.capacity_fleet``.
"""

import argparse
import os
import platform
from pathlib import Path
from typing import Any, Final

import orjson

from bramleyturn.bench.capacity_configuration import measure_configuration
from bramleyturn.bench.capacity_http import measure_http
from bramleyturn.bench.capacity_messages import measure_messages
from bramleyturn.bench.capacity_points import Slope, slope_lines

DEFAULT_OUT: Final = Path("run-output/capacity.json")


def main() -> None:
    """Measure, write the points as JSON and print the table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--out", type=Path, default=DEFAULT_OUT)
    arguments = parser.parse_args()
    load_before = os.getloadavg()[0]
    slopes = [*measure_configuration(), *measure_messages(), *measure_http()]
    document = report_document(slopes, load_before)
    arguments.out.parent.mkdir(parents=True, exist_ok=True)
    arguments.out.write_bytes(orjson.dumps(document, option=orjson.OPT_INDENT_2))
    print("\n".join(slope_lines(slopes)))
    print(f"load average (1 min) before the run: {load_before:.1f}")


def report_document(slopes: list[Slope], load_before: float) -> dict[str, Any]:
    """Return the document to write as JSON."""
    return {
        "python": platform.python_version(),
        "cores": os.cpu_count(),
        "load_before": load_before,
        "slopes": [
            slope._asdict() | {"points": [point._asdict() for point in slope.points]}
            for slope in slopes
        ],
    }


if __name__ == "__main__":
    main()
