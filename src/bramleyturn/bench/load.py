"""Send an open-loop load to a running fleet and check every answer.

Run as ``python -m bramleyturn.bench.load``.
"""

import random
import sys
from collections import Counter
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Any, Final

import cappa
import orjson
from twisted.internet.defer import Deferred, gatherResults
from twisted.internet.task import LoopingCall, deferLater, react

from bramleyturn.bench.caller import Caller, entries_in_turn, send_request
from bramleyturn.bench.ledgers import UnreadLedger, read_runs
from bramleyturn.bench.load_report import (
    Progress,
    Summary,
    format_summary,
    progress_line,
    summarise,
)
from bramleyturn.bench.requests_mix import PlannedRequest, default_mix, plan_requests
from bramleyturn.bench.targets import BadTargets, Targets, read_targets
from bramleyturn.bench.verdicts import Finished, judge
from bramleyturn.core.units import MS_PER_S
from bramleyturn.runtime.http_client import http_client
from bramleyturn.runtime.system_clock import system_clock

EXIT_FAULTS: Final = 1
EXIT_BAD_INPUT: Final = 2
PROGRESS_INTERVAL_S: Final = 2.0
RUN_NAME_BITS: Final = 64


@cappa.command(
    name="bramleyturn.bench.load",
    help=(
        "Send a seeded, mixed load to a running fleet and check every answer. "
        "Exit codes: 0 all is well, 1 an answer was lost, doubled, cut, crossed or "
        "falsely called not run, 2 bad input or an unreadable ledger."
    ),
)
@dataclass(frozen=True)
class Load:
    """Hold the command-line arguments of one load."""

    fleet: Annotated[
        Path, cappa.Arg(long=True, help="JSON file that describes the fleet.")
    ]
    seconds: Annotated[
        float, cappa.Arg(long=True, help="Time during which requests are sent.")
    ] = 20.0
    rate: Annotated[
        float, cappa.Arg(long=True, help="Mean number of requests per second.")
    ] = 40.0
    seed: Annotated[int, cappa.Arg(long=True, help="Seed of arrivals and inputs.")] = 1
    out: Annotated[
        Path | None, cappa.Arg(long=True, help="Write the summary here as JSON.")
    ] = None


class LoadState:
    """Count the sent requests and collect the finished ones."""

    def __init__(self) -> None:
        self.sent = 0
        self.finished: list[Finished] = []

    def progress(self) -> Progress:
        """Return the current counts."""
        outcomes = Counter(request.outcome for request in self.finished)
        return Progress(self.sent, outcomes)


async def run_load(
    reactor: Any, load: Load, targets: Targets
) -> Summary | UnreadLedger:
    """Send one load and return its summary once every request has ended."""
    planned = plan_requests(
        random.Random(load.seed),
        default_mix(),
        load.rate,
        int(load.seconds * MS_PER_S),
    )
    caller = _create_caller(reactor, targets)
    state = LoadState()
    started_ms = caller.clock.monotonic_ms()

    def show_progress() -> None:
        passed_ms = caller.clock.monotonic_ms() - started_ms
        print(progress_line(state.progress(), passed_ms), flush=True)

    ticker = LoopingCall(show_progress)
    ticker.clock = reactor
    ticker.start(PROGRESS_INTERVAL_S, now=False)
    await gatherResults(
        [
            Deferred.fromCoroutine(_send_when_due(caller, state, request))
            for request in planned
        ],
        consumeErrors=True,
    )
    ticker.stop()
    show_progress()
    runs = await read_runs(caller.client, reactor, targets.configuration)
    if isinstance(runs, UnreadLedger):
        return runs
    finished = sorted(state.finished)
    return summarise(finished, judge(finished, runs))


def _create_caller(reactor: Any, targets: Targets) -> Caller:
    return Caller(
        client=http_client(reactor),
        reactor=reactor,
        clock=system_clock(),
        targets=targets,
        next_entry=entries_in_turn(targets.entries),
        # Unlike the inputs, request ids must differ from those of earlier loads.
        run_name=f"load-{random.SystemRandom().getrandbits(RUN_NAME_BITS):x}",
    )


async def _send_when_due(
    caller: Caller, state: LoadState, request: PlannedRequest
) -> None:
    await deferLater(caller.reactor, request.at_ms / MS_PER_S, lambda: None)
    state.sent += 1
    state.finished.append(await send_request(caller, request))


async def _main(reactor: Any, load: Load, targets: Targets) -> None:
    print(f"seed {load.seed}, {load.rate:g} requests/s for {load.seconds:g} s")
    summary = await run_load(reactor, load, targets)
    if isinstance(summary, UnreadLedger):
        print(f"ledger of {summary.server}: {summary.reason}", file=sys.stderr)
        raise SystemExit(EXIT_BAD_INPUT)
    print(format_summary(summary))
    if load.out is not None:
        load.out.write_bytes(orjson.dumps(summary, option=orjson.OPT_INDENT_2))
    if summary["faults"]:
        raise SystemExit(EXIT_FAULTS)


def main() -> None:
    """Run one load from the command line."""
    load = cappa.parse(Load)
    targets = read_targets(load.fleet)
    if isinstance(targets, BadTargets):
        print(targets.reason, file=sys.stderr)
        raise SystemExit(EXIT_BAD_INPUT)
    react(lambda reactor: Deferred.fromCoroutine(_main(reactor, load, targets)))


if __name__ == "__main__":
    main()
