"""Stop the entries of a whole deployment in many ways under load; check every answer.

Run as ``python -m tests.site.rolling --seed 1 --minutes 3`` from the root of the
project. Exit codes: 0 no promise was broken; 1 one was: the folder with all logs, the
attempts, the stops and the ledger is printed.
"""

import argparse
import asyncio
import itertools
import json
import os
import signal
import subprocess
import sys
import tempfile
import time
from collections import Counter
from collections.abc import Awaitable, Callable
from contextlib import ExitStack
from pathlib import Path
from random import Random
from typing import Any, Final, NamedTuple

from bramleyturn.core.units import MS_PER_S
from bramleyturn.standin.site.deployment import (
    RoutePlan,
    route,
    route_document,
)
from tests.site.rolling_callers import (
    Attempt,
    Platform,
    Trait,
    connect,
    run_caller,
    send,
    wall_ms,
    watch_readiness,
)
from tests.site.rolling_checks import (
    Lost,
    Records,
    Stop,
    find_broken_promises,
    find_lost,
    read_ledger,
)
from tests.site.rolling_deployment import CALLERS, DEPLOYMENT, HOSTS
from tests.site.rolling_parts import PartOutcome, find_part_outcome
from tests.site.site_fleet import launch_entry, running_fleet
from tests.site.soak_parts import CRASHING_PART

PAIR_GAP_S: Final = 0.5
POLL_S: Final = 0.02
WARM_UP_S: Final = 5.0
READY_LIMIT_S: Final = 30.0
SLOW_FACTOR: Final = 5
SLOW_GAP_MS: Final = 150
MAX_EXTRA_ROUTES: Final = 4
SECONDS_PER_MINUTE: Final = 60
# Part of a run before requests have a part on which engines crash.
CALM_PART: Final = 0.3
PART_CRASH_MS: Final = 60
PLAIN_TRAIT: Final = Trait(False, 0.0, 0.0, 0.0)
SHOWN_PER_KIND: Final = 1


class Rolling:
    """Hold the state of a run: what is stopped, and what is published."""

    def __init__(self, platform: Platform, folder: Path) -> None:
        self.platform = platform
        self.folder = folder
        self.stops: list[Stop] = []
        self.stopping: set[int] = set()
        self.starts = itertools.count(1)
        self.routes: list[RoutePlan] = list(platform.deployment["routes"])
        self.extras = itertools.count(1)
        self.lags_ms: list[int] = []


class Outcome(NamedTuple):
    """Hold what a run found; ``parts`` if requests had a part that crashes engines."""

    attempts: list[Attempt]
    stops: list[Stop]
    lost: list[Lost]
    broken: list[str]
    lags_ms: list[int]
    parts: PartOutcome | None = None


async def control(state: Rolling, target: str, **fields: Any) -> dict[str, Any]:
    """Send a command to the stand-ins."""
    return await asyncio.to_thread(state.platform.fleet.send_control, target, **fields)


async def watch_lag(state: Rolling) -> None:
    """Note how late this process itself is, which its callers' times include."""
    while not state.platform.is_over:
        due_s = time.monotonic() + POLL_S
        await asyncio.sleep(POLL_S)
        state.lags_ms.append(int((time.monotonic() - due_s) * MS_PER_S))


async def stop_entry(state: Rolling, place: int, how: str) -> None:
    """Stop an entry as the platform does, and start it again."""
    if place in state.stopping:
        return
    state.stopping.add(place)
    fleet = state.platform.fleet
    running = fleet.entries[place]
    sigterm_ms = wall_ms()
    os.kill(running.pid, signal.SIGTERM)
    kill_ms = sigterm_ms + fleet.grace_s * MS_PER_S
    while running.process.poll() is None and wall_ms() < kill_ms:
        await asyncio.sleep(POLL_S)
    killed_ms = 0
    if running.process.poll() is None:
        killed_ms = wall_ms()
        running.process.kill()
    code = await asyncio.to_thread(running.process.wait)
    state.stops.append(Stop(running.name, how, sigterm_ms, wall_ms(), code, killed_ms))
    await asyncio.sleep(state.platform.random.uniform(0.2, 1.0))
    name = f"entry-{place}-{next(state.starts)}"
    fleet.entries[place] = await asyncio.to_thread(
        launch_entry, fleet, state.folder, place, name
    )
    state.stopping.discard(place)


async def stop_all(state: Rolling) -> None:
    """Stop all entries, two at a time."""
    places = list(range(len(state.platform.fleet.entries)))
    state.platform.random.shuffle(places)
    stops = []
    for first in range(0, len(places), 2):
        for place in places[first : first + 2]:
            stops.append(asyncio.create_task(stop_entry(state, place, "rolling")))
        await asyncio.sleep(PAIR_GAP_S)
    await asyncio.gather(*stops)


async def stop_zone(state: Rolling) -> None:
    """Stop all entries of a zone at once."""
    zones = state.platform.fleet.zones
    zone = state.platform.random.choice(sorted(set(zones)))
    places = [place for place, each in enumerate(zones) if each == zone]
    await asyncio.gather(*(stop_entry(state, place, "zone") for place in places))


async def stop_some(state: Rolling) -> None:
    """Stop a few entries at random times."""
    random = state.platform.random

    async def stop(place: int) -> None:
        await asyncio.sleep(random.uniform(0, 4))
        await stop_entry(state, place, "some")

    places = random.sample(range(len(state.platform.fleet.entries)), 5)
    await asyncio.gather(*map(stop, places))


async def stop_in_series(state: Rolling) -> None:
    """Stop entries in one way after another."""
    random = state.platform.random
    await asyncio.sleep(WARM_UP_S)
    ways = itertools.cycle((stop_all, stop_zone, stop_some))
    while not state.platform.is_over:
        await next(ways)(state)
        end_s = time.monotonic() + READY_LIMIT_S
        while any(state.platform.misses) and time.monotonic() < end_s:
            await asyncio.sleep(POLL_S)
        await asyncio.sleep(random.uniform(1.0, 4.0))


async def change_configuration(state: Rolling) -> None:
    """Add, remove or move a route every few seconds, and ask all entries for it."""
    random = state.platform.random
    while not state.platform.is_over:
        await asyncio.sleep(random.uniform(2.0, 4.0))
        extras = [each for each in state.routes if each["name"].startswith("extra")]
        what = random.choice(("add", "remove", "move"))
        probed = "lookup"
        if what == "add" and len(extras) < MAX_EXTRA_ROUTES:
            probed = f"extra-{next(state.extras)}"
            state.routes.append(route(probed, "idempotent", "desk", 2_000, 300))
        elif what == "remove" and extras:
            gone = random.choice(extras)
            state.routes.remove(gone)
            probed = gone["name"]
        else:
            state.routes = [_moved(each) for each in state.routes]
        documents = [route_document(each, each["timeout_ms"]) for each in state.routes]
        await control(state, "/configuration", routes=documents)
        await asyncio.sleep(random.uniform(0.1, 2.0))
        plan = route(probed, "idempotent", "desk", 2_000, 300)
        places = range(len(state.platform.fleet.entries))
        await asyncio.gather(*(probe(state, place, plan) for place in places))


def _moved(plan: RoutePlan) -> RoutePlan:
    """Return the lookup route with its other pool, and any other route as it is."""
    if plan["name"] != "lookup":
        return plan
    pool = "writers" if plan["pool"] == "desk" else "desk"
    return route("lookup", "idempotent", pool, 2_000, 300)


async def probe(state: Rolling, place: int, plan: RoutePlan) -> None:
    """Send one request directly to an entry."""
    name = state.platform.fleet.entries[place].name
    link = await connect(state.platform, place, name, PLAIN_TRAIT)
    if link is None:
        return
    _, link = await send(state.platform, Random(place), plan, "", PLAIN_TRAIT, link)
    if link is not None:
        link.sock.close()


async def disturb_servers(state: Rolling) -> None:
    """Slow servers down, let them refuse work or crash, several at a time."""
    random = state.platform.random
    servers = [
        (f"i-{pool['name']}-{place}", pool)
        for pool in state.platform.deployment["pools"]
        for place in range(pool["servers"])
    ]

    async def disturb() -> None:
        what = random.choice(("slow", "shed", "crash", "crash", "crawl", "late"))
        kind = {"crawl": "engine", "late": "plain"}.get(what, "stage")
        if what == "crash":
            kind = random.choice(("engine", "engine", "stage"))
        server, pool = random.choice(
            [each for each in servers if each[1]["kind"] == kind]
        )
        if what == "crash":
            await control(state, "/crash", server=server)
            return
        fields: dict[str, Any] = {"fault": ""}
        if what == "shed":
            fields["fault"] = "shed"
        elif what == "crawl":
            fields["gap_ms"] = SLOW_GAP_MS
        else:
            fields["processing_ms"] = pool["work_ms"] * SLOW_FACTOR
        await control(state, "/fault", server=server, **fields)
        await asyncio.sleep(random.uniform(1.0, 4.0))
        await control(state, "/fault", server=server, fault="")

    tasks = set()
    while not state.platform.is_over:
        await asyncio.sleep(random.uniform(0.4, 1.6))
        task = asyncio.create_task(disturb())
        tasks.add(task)
        task.add_done_callback(tasks.discard)
    await asyncio.gather(*tasks)


async def send_crashing_parts(state: Rolling, after_s: float, share: float) -> None:
    """Let a share of the streams have a part on which engines crash, from then on."""
    await asyncio.sleep(after_s)
    if not share:
        return
    await control(state, "/crashing-parts", ids=[CRASHING_PART], after_ms=PART_CRASH_MS)
    state.platform.part_share = share


async def run_load(state: Rolling, minutes: float, part_share: float) -> None:
    """Load the deployment and trouble it until the time is over."""
    platform = state.platform
    numbers = itertools.count()
    work: list[Awaitable[None]] = [
        run_caller(platform, number, name, number % 2 == 0)
        for name, callers in CALLERS.items()
        for number in itertools.islice(numbers, callers)
    ]
    places = range(len(platform.fleet.entries))
    work += [watch_readiness(platform, place) for place in places]
    series: tuple[Callable[[Rolling], Awaitable[None]], ...] = (
        stop_in_series,
        change_configuration,
        disturb_servers,
        watch_lag,
    )
    work += [each(state) for each in series]
    parts_after_s = minutes * SECONDS_PER_MINUTE * CALM_PART
    work.append(send_crashing_parts(state, parts_after_s, part_share))

    async def end() -> None:
        await asyncio.sleep(minutes * SECONDS_PER_MINUTE)
        platform.is_over = True

    await asyncio.gather(end(), *work)


def run(
    seed: int,
    minutes: float,
    folder: Path,
    entry_source: str = "",
    part_share: float = 0.0,
) -> Outcome:
    """Run one seed, and write what was recorded to the folder."""
    with running_fleet(folder, len(HOSTS), DEPLOYMENT, HOSTS, entry_source) as fleet:
        state = Rolling(Platform(fleet, DEPLOYMENT, seed), folder)
        asyncio.run(run_load(state, minutes, part_share))
        ledger = fleet.send_control("/ledger")["servers"]
    attempts = state.platform.attempts
    write_records(folder, attempts, state.stops, ledger)
    records: Records = read_ledger(ledger)
    grace_ms = DEPLOYMENT["grace_s"] * MS_PER_S
    lost = find_lost(attempts, state.stops, records, folder, grace_ms)
    broken = find_broken_promises(attempts, records)
    parts = None
    if part_share:
        parts = find_part_outcome(attempts, state.stops, ledger)
        broken += parts.late
    return Outcome(attempts, state.stops, lost, broken, sorted(state.lags_ms), parts)


def write_records(
    folder: Path, attempts: list[Attempt], stops: list[Stop], ledger: dict[str, Any]
) -> None:
    """Write the attempts, the stops and the servers' ledger."""
    with (folder / "attempts.jsonl").open("w") as lines:
        for attempt in attempts:
            fields = vars(attempt) | {"body": len(attempt.body)}
            lines.write(json.dumps(fields) + "\n")
    (folder / "stops.json").write_text(json.dumps([each._asdict() for each in stops]))
    (folder / "ledger.json").write_text(json.dumps(ledger))


def report(outcome: Outcome, folder: Path) -> None:
    """Print what a run found, with the first timelines of each kind."""
    ends = Counter(
        f"{each.route.partition('-')[0]} {each.end} {each.status}"
        for each in outcome.attempts
    )
    codes = Counter(f"{each.how} {each.exit_code}" for each in outcome.stops)
    kinds = Counter(each.kind for each in outcome.lost)
    print(f"{len(outcome.attempts)} attempts, {len(outcome.stops)} stops", end=": ")
    print(*(f"{each}: {count}" for each, count in sorted(codes.items())), sep=", ")
    print(*(f"  {each}: {count}" for each, count in sorted(ends.items())), sep="\n")
    lags_ms = outcome.lags_ms
    late_ms = lags_ms[len(lags_ms) * 99 // 100]
    print(
        f"callers were late by {late_ms} ms (99th percentile), {lags_ms[-1]} ms (most)"
    )
    if outcome.parts is not None:
        print(f"parts {outcome.parts._asdict()}")
    print(f"LOST {len(outcome.lost)}", dict(kinds), f"broken {len(outcome.broken)}")
    print(*outcome.broken[:10], sep="\n")
    shown: Counter[str] = Counter()
    with (folder / "lost.txt").open("w") as file:
        for lost in outcome.lost:
            title = f"{lost.kind}: {lost.attempt.id} {lost.attempt.route}"
            text = "\n".join([f"{title} at {lost.stop.entry}", *lost.timeline])
            file.write(text + "\n\n")
            shown[lost.kind] += 1
            if shown[lost.kind] <= SHOWN_PER_KIND:
                print(text)
    print(f"records: {folder}", flush=True)


def main() -> int:
    """Run the seed given on the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "--seed", type=int, default=1, help="draws the troubles and the requests"
    )
    parser.add_argument("--minutes", type=float, default=3.0)
    parser.add_argument(
        "--entry-source", default="", help="the packages that the entries run"
    )
    parser.add_argument(
        "--part-share",
        type=float,
        default=0.0,
        help="streams with a prompt part on which engines crash",
    )
    parser.add_argument(
        "--busy", type=int, default=0, help="processes that keep a core busy each"
    )
    options = parser.parse_args()
    folder = Path(tempfile.mkdtemp(prefix=f"rolling-{options.seed}-"))
    with ExitStack() as stack:
        for _ in range(options.busy):
            busy = subprocess.Popen([sys.executable, "-c", "while True: pass"])
            stack.callback(busy.kill)
        outcome = run(
            options.seed,
            options.minutes,
            folder,
            options.entry_source,
            options.part_share,
        )
    report(outcome, folder)
    return 1 if outcome.lost or outcome.broken else 0


if __name__ == "__main__":
    sys.exit(main())
