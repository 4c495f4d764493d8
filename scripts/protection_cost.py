"""Measure what protections against few requests or servers cost all others.

Run as ``python -m scripts.protection_cost`` from the root of the project. Prints the
processor time that each protection takes from a sound request at its instance, with
nothing known and after crashes, at 14 and at 135 instances; and how many requests a
pool of stage servers serves while a part of them are suspects, which run alone.
"""

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from random import Random
from statistics import median
from time import perf_counter_ns
from typing import Annotated, Final, NamedTuple

import cappa

from bramleyturn.core.catalog.model import BatchLimits
from bramleyturn.core.crashes import (
    CRASH_RETENTION_MS,
    Suspects,
    connection_lost,
    import_hints,
    request_finished,
)
from bramleyturn.core.fleet.members import (
    Heartbeat,
    MemberRef,
    Members,
    live_members,
    merge_heartbeats,
)
from bramleyturn.core.fleet.owners import STAGES, owner_of
from bramleyturn.core.fleet.reports import NEWS_SIZE
from bramleyturn.core.fleet.store_revision import StoreRevision
from bramleyturn.core.pieces.call_results import isolate_asks
from bramleyturn.core.pieces.pipeline import plan
from bramleyturn.core.pieces.planner import Outcome, Pipeline
from bramleyturn.core.placement.server_limits import (
    ServerLimits,
    limit_wait_ms,
    note_limit,
    update_instances,
)
from bramleyturn.core.poison import choose_hints, classify_request
from bramleyturn.core.poison_parts import (
    choose_part_hints,
    find_poison_parts,
    part_marks,
    quarantined_part,
)
from bramleyturn.core.request_names import RequestNames, caller_fingerprint, part_digest
from tests.core.pieces.stage_simulation import (
    RequestKind,
    StageNeed,
    StageSimulation,
    poisson,
)

INSTANCES: Final = (14, 135)
CRASHES: Final = (0, 20, 256)
REQUESTS_OF_CRASH: Final = 30
SHARED_PARTS: Final = 5
ENGINES: Final = 70
LIMITED_ENGINES: Final = 8
ROUNDS: Final = 7
CALLS_OF_ROUND: Final = 40
NOW_MS: Final = 60_000
NS_PER_US: Final = 1_000
# A pool as on the grown deployments, and requests at nine tenths of what it can serve.
POOL: Final = "stage"
SERVERS: Final = 8
BATCH: Final = 41
PIECES: Final = 6
LIMITS: Final = BatchLimits(1, 2, BATCH, 150.0, 3.1122, 7_175_000, 4_000)
LOAD: Final = 0.9
SIMULATED_MS: Final = 12_000
SUSPECT_SHARES: Final = (0.0, 0.02, 0.05, 0.1, 0.3)


class Cost(NamedTuple):
    """Hold the processor time of one call in microseconds."""

    protection: str
    instances: int
    crashes: int
    us: float


class Served(NamedTuple):
    """Hold the part of all requests that a pool served within their aim."""

    suspects: float
    sound: float
    calls: int


def names_of(number: int) -> RequestNames:
    """Return the names of a request, with a part of its own and one of many."""
    body = b"%d" % number
    return RequestNames(
        caller_fingerprint("north", b"/drafts/", body),
        (part_digest(b"%d" % (number % SHARED_PARTS)), part_digest(body)),
        f"workspace-{number % 3}",
    )


def known_crashes(crashes: int) -> Suspects:
    """Return what an instance knows after crashes with many requests on each."""
    suspects = Suspects(CRASH_RETENTION_MS)
    for server in range(crashes):
        for number in range(REQUESTS_OF_CRASH):
            names = names_of(server * REQUESTS_OF_CRASH + number)
            connection_lost(
                suspects,
                f"i-{server}@5",
                [names.fingerprint],
                NOW_MS - 5_000 + server,
                part_marks(suspects, names),
            )
        # Sound requests with the parts that many share end again and again.
        for part in range(1, SHARED_PARTS):
            parts = (part_digest(b"%d" % part),)
            request_finished(suspects, f"sound-{part}", NOW_MS - 5_000, parts)
    return suspects


def known_members(instances: int) -> Members:
    """Return what an instance knows of the others."""
    refs = [
        MemberRef(f"front-{number}", f"zone-{number % 4}", f"10.0.0.{number}:1", "1")
        for number in range(instances)
    ]
    members = Members(refs[0], (), NOW_MS)
    heartbeats = [Heartbeat(ref, 5, StoreRevision(0, 1), False) for ref in refs]
    merge_heartbeats(members, heartbeats, NOW_MS)
    return members


def known_limits(members: Members) -> ServerLimits:
    """Return what an instance knows of servers that named limits."""
    limits = ServerLimits(members.me.name, 0)
    update_instances(limits, [members.me.name, *members.others], NOW_MS)
    for server in range(LIMITED_ENGINES):
        note_limit(limits, f"i-{server}@5", 2.0, NOW_MS)
    return limits


def protections(
    members: Members, limits: ServerLimits, suspects: Suspects
) -> Mapping[str, Callable[[], object]]:
    """Return each protection as a function that handles one sound request."""
    sound = names_of(10**6)
    shared = names_of(7)
    random = Random(1)
    size = NEWS_SIZE

    def merge_known_report() -> None:
        hints = choose_hints(suspects, random, size.fingerprints, NOW_MS, True)
        parts = choose_part_hints(suspects, random, size.marks, NOW_MS)
        import_hints(suspects, (*hints, *parts), NOW_MS)

    def find_after_change() -> None:
        suspects.changes += 1
        find_poison_parts(suspects)

    return {
        "quarantine: is a request withheld": lambda: (
            quarantined_part(suspects, sound, NOW_MS),
            classify_request(suspects, sound.fingerprint, NOW_MS),
        ),
        "quarantine: marks of a request": lambda: part_marks(suspects, sound),
        "quarantine: a request ended well": lambda: request_finished(
            suspects, shared.fingerprint, NOW_MS, shared.parts
        ),
        "quarantine: blame parts after a change": find_after_change,
        "reports: choose and merge one": merge_known_report,
        "suspects: is an ask one": lambda: any(
            sound.fingerprint in crash.fingerprints for crash in suspects.crashes
        ),
        "limits: turns of all engines": lambda: [
            limit_wait_ms(limits, f"i-{server}@5", NOW_MS) for server in range(ENGINES)
        ],
        "owner of the stages": lambda: owner_of(STAGES, live_members(members, NOW_MS)),
    }


def cost_us(call: Callable[[], object]) -> float:
    """Return the median processor time of a call over some rounds."""
    rounds = []
    for _ in range(ROUNDS):
        begin_ns = perf_counter_ns()
        for _ in range(CALLS_OF_ROUND):
            call()
        rounds.append((perf_counter_ns() - begin_ns) / CALLS_OF_ROUND / NS_PER_US)
    return median(rounds)


def measure_costs() -> list[Cost]:
    """Return the cost of each protection."""
    costs = []
    for instances in INSTANCES:
        members = known_members(instances)
        limits = known_limits(members)
        for crashes in CRASHES:
            calls = protections(members, limits, known_crashes(crashes))
            costs += [
                Cost(name, instances, crashes, cost_us(call))
                for name, call in calls.items()
            ]
    return costs


def measure_capacity(share: float) -> Served:
    """Return what a pool serves while a share of the requests are suspects."""
    suspect = Random(2)
    chosen: dict[str, bool] = {}

    def plan_with_suspects(pipeline: Pipeline, now_ms: int) -> dict[str, Outcome]:
        planner = pipeline.planners[POOL]
        for ask_id in planner.asks:
            if ask_id not in chosen:
                chosen[ask_id] = suspect.random() < share
        isolate_asks(planner, [each for each in planner.asks if chosen[each]])
        return plan(pipeline, now_ms)

    kind = RequestKind("r", (StageNeed(POOL, PIECES, 35_000),), 1_300, 10_000, 0, 1, 50)
    call_ms = LIMITS.call_ms + BATCH * LIMITS.item_ms
    per_s = LOAD * SERVERS * BATCH / PIECES * 1_000 / call_ms
    arrivals = poisson(kind, per_s, 0, SIMULATED_MS, Random(3))
    simulation = StageSimulation({POOL: LIMITS}, SERVERS, plan_with_suspects)
    simulation.simulate(arrivals, SIMULATED_MS + 4_000)
    sound = [
        job
        for job in simulation.jobs.values()
        if not chosen.get(f"{job.name}.0", False)
    ]
    in_time = sum(
        job.ended_ms is not None and job.ended_ms - job.at_ms <= kind.aim_ms
        for job in sound
    )
    return Served(share, in_time / len(sound), simulation.call_count)


def report_costs(costs: list[Cost]) -> str:
    """Format the costs, a row for each protection."""
    cells = [(instances, crashes) for instances in INSTANCES for crashes in CRASHES]
    found = {(cost.protection, cost.instances, cost.crashes): cost for cost in costs}
    head = " | ".join(
        f"{instances} instances, {crashes} crashes" for instances, crashes in cells
    )
    lines = [f"| microseconds | {head} |", "|---" * (len(cells) + 1) + "|"]
    for name in dict.fromkeys(cost.protection for cost in costs):
        row = " | ".join(f"{found[name, *cell].us:.1f}" for cell in cells)
        lines.append(f"| {name} | {row} |")
    return "\n".join(lines)


def report_capacity(served: list[Served]) -> str:
    """Format what is served, a row for each share of suspects."""
    lines = ["| suspects | sound requests in their aim | calls |", "|---|---|---|"]
    lines += [
        f"| {each.suspects:.2f} | {each.sound:.3f} | {each.calls} |" for each in served
    ]
    return "\n".join(lines)


@dataclass
class Options:
    """Measure what protections cost sound requests."""

    capacity: Annotated[bool, cappa.Arg(long=True)] = False
    """Measure only what a pool of stage servers serves."""


def main() -> None:
    """Print both tables."""
    options = cappa.parse(Options)
    if not options.capacity:
        print(report_costs(measure_costs()), end="\n\n")
    print(report_capacity([measure_capacity(share) for share in SUSPECT_SHARES]))


if __name__ == "__main__":
    main()
