"""Start a local fleet and load it, or keep it running for a first look.

Run as ``python -m scripts.local_run`` from the root of the project.
"""

import argparse
import signal
import subprocess
import sys
import tempfile
from pathlib import Path
from typing import Final, NoReturn

from scripts.fleet import (
    LAKESHORE_ZONES,
    OPERATORS,
    WORKSPACES,
    Fleet,
    FleetPlan,
    description_path,
    workspace_key,
)

EXIT_STOPPED: Final = 128 + signal.SIGTERM
EXAMPLE_KEYS_HINT: Final = "The keys belong to the example settings only."


def main() -> int:
    """Return the exit code of the load, or 0 after a kept fleet was stopped."""
    options = _parse_options()
    signal.signal(signal.SIGTERM, _stop_on_signal)
    folder = options.folder or Path(tempfile.mkdtemp(prefix="bramleyturn-"))
    plan = FleetPlan(
        folder=folder.resolve(),
        zones=LAKESHORE_ZONES[: options.zones],
        entries_per_zone=options.entries,
        admins=options.admins,
    )
    print(
        f"Starting {options.zones} availability zones; logs in {folder}/logs",
        flush=True,
    )
    with Fleet(plan) as fleet:
        if options.keep:
            return _keep(fleet)
        return _run_load(fleet, options)


def _parse_options() -> argparse.Namespace:
    parser = argparse.ArgumentParser(prog="scripts/run-local", description=__doc__)
    parser.add_argument(
        "--keep", action="store_true", help="send no load; run until Ctrl-C"
    )
    parser.add_argument("--zones", type=int, choices=range(1, 5), default=2)
    parser.add_argument("--entries", type=int, default=2, help="per availability zone")
    parser.add_argument(
        "--admins", action="store_true", help="start an admin process per zone"
    )
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--rate", type=float, default=40.0, help="requests per second")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--folder", type=Path, help="for settings, logs and ledgers")
    parser.add_argument("--out", type=Path, help="write the summary here as JSON")
    return parser.parse_args()


def _run_load(fleet: Fleet, options: argparse.Namespace) -> int:
    command = [
        *(sys.executable, "-m", "bramleyturn.bench.load"),
        *("--fleet", str(description_path(fleet))),
        *("--seconds", str(options.seconds)),
        *("--rate", str(options.rate)),
        *("--seed", str(options.seed)),
        *(("--out", str(options.out)) if options.out else ()),
    ]
    with subprocess.Popen(command) as load:
        try:
            return load.wait()
        except BaseException:
            load.terminate()
            raise


def _keep(fleet: Fleet) -> int:
    print("\n".join(_first_requests(fleet)), flush=True)
    try:
        while True:
            signal.pause()
    except KeyboardInterrupt:
        print("Stopping.")
    return 0


def _first_requests(fleet: Fleet) -> list[str]:
    entry = fleet.entry_addresses()[0]
    lessons, rosters = workspace_key("lessons"), workspace_key("rosters")
    return [
        "",
        *(f"{name:24} {address}" for name, address in fleet.addresses.items()),
        "",
        *(f"key of {name:12} {workspace_key(name)}" for name in WORKSPACES),
        f"key of {OPERATORS:12} {workspace_key(OPERATORS)}",
        EXAMPLE_KEYS_HINT,
        "",
        "A lesson draft:",
        f"curl -s http://{entry}/v1/pipelines/lesson-draft/requests \\",
        f"  -H 'Authorization: Bearer {lessons}' \\",
        "  -H 'Bramleyturn-Deadline-Ms: 5000' \\",
        """  -d '{"input": {"curriculum": "Consider the lilies of the field"}}'""",
        "",
        "A roster sign-up, which runs at most once; first its ticket:",
        f"TICKET=$(curl -s http://{entry}/v1/tickets \\",
        f"  -H 'Authorization: Bearer {rosters}' \\",
        """  -d '{"pipeline": "roster-signup"}' \\""",
        """  | sed 's/.*"ticket":"\\([^"]*\\)".*/\\1/')""",
        f"curl -s http://{entry}/v1/pipelines/roster-signup/requests \\",
        f"  -H 'Authorization: Bearer {rosters}' \\",
        "  -H 'Bramleyturn-Deadline-Ms: 4000' \\",
        '  -H "Bramleyturn-Ticket: $TICKET" \\',
        """  -d '{"input": {"child": "Ada"}}'""",
        "",
        "Ctrl-C stops the fleet.",
    ]


def _stop_on_signal(signal_number: int, frame: object) -> NoReturn:
    raise SystemExit(EXIT_STOPPED)


if __name__ == "__main__":
    raise SystemExit(main())
