"""Draw the faults of a soak of the site from a seed, in series that overlap."""

from random import Random
from typing import Final, NamedTuple

# Time between the starts of two faults, short enough that faults overlap.
FAULT_GAPS_S: Final = (0.2, 1.2)
FAULT_DURATIONS_S: Final = (0.3, 2.5)
FAULT_COUNT: Final = 8
SERVERS: Final = tuple(
    f"i-{pool}-{place}" for pool in ("members", "drafts", "books") for place in (0, 1)
)
SERVER_FAULTS: Final = ("shed", "reset", "cut", "error", "hang")
# Where an answer without a length is broken off, and how it ends. A running server that
# closes between events, or within an answer that is no stream, can't be told from one
# that has finished.
SHAPES: Final = ("none framed", "inside reset", "inside crashed", "between crashed")
SHAPE_COUNT: Final = 6
SHAPE_SEED_OFFSET: Final = 1_000_000
# What is lost when the store comes back from its copy.
LOSSES: Final = ("nothing", "configuration", "server")
LOST_CONFIGURATIONS: Final = 20
RETURN_COUNT: Final = 2
RETURN_SEED_OFFSET: Final = 2_000_000
RESTART_COUNT: Final = 2
SLOW_MS: Final = 600
RESTART_SEED_OFFSET: Final = 3_000_000
PART_COUNT: Final = 50
PART_GAPS_S: Final = (0.1, 0.7)
PART_SEED_OFFSET: Final = 4_000_000


class Fault(NamedTuple):
    """Hold a fault, its start relative to the previous fault and its duration."""

    after_s: float
    lasts_s: float
    kind: str
    place: int
    how: str


def draw_faults(seed: int) -> list[Fault]:
    """Return the fault plan of a seed."""
    random = Random(seed)
    drawn = []
    for _ in range(FAULT_COUNT):
        kind = random.choice(("kill", "pause", "stop", "hup", "store", "server", "new"))
        how = ""
        if kind == "store":
            how = random.choice(("busy", "many", "silent", "forget"))
        if kind == "server":
            how = random.choice(SERVER_FAULTS)
        place = random.randrange(len(SERVERS))
        after_s, lasts_s = (
            random.uniform(*FAULT_GAPS_S),
            random.uniform(*FAULT_DURATIONS_S),
        )
        drawn.append(Fault(after_s, lasts_s, kind, place, how))
    return drawn


def draw_shapes(seed: int) -> list[Fault]:
    """Return the series of answers without a length, whole or broken off, of a seed.

    It overlaps the fault plan, and its draws leave that of a seed as it is.
    """
    random = Random(SHAPE_SEED_OFFSET + seed)
    return [
        Fault(
            random.uniform(*FAULT_GAPS_S),
            random.uniform(*FAULT_DURATIONS_S),
            "shape",
            random.randrange(len(SERVERS)),
            random.choice(SHAPES),
        )
        for _ in range(SHAPE_COUNT)
    ]


def draw_returns(seed: int) -> list[Fault]:
    """Return the series of returns of the store from older copies, of a seed."""
    random = Random(RETURN_SEED_OFFSET + seed)
    return [
        Fault(
            random.uniform(*FAULT_GAPS_S),
            random.uniform(*FAULT_DURATIONS_S),
            "return",
            random.randrange(len(SERVERS)),
            random.choice(LOSSES),
        )
        for _ in range(RETURN_COUNT)
    ]


def draw_restarts(seed: int) -> list[Fault]:
    """Return the series of entries that are asked to stop, of a seed."""
    random = Random(RESTART_SEED_OFFSET + seed)
    return [
        Fault(
            random.uniform(*FAULT_GAPS_S),
            random.uniform(*FAULT_DURATIONS_S),
            "stop",
            random.randrange(len(SERVERS)),
            "slow",
        )
        for _ in range(RESTART_COUNT)
    ]


def draw_parts(seed: int) -> list[Fault]:
    """Return the series of drafts with a part on which engines crash, of a seed."""
    random = Random(PART_SEED_OFFSET + seed)
    return [
        Fault(random.uniform(*PART_GAPS_S), 0.0, "part", random.randrange(2), "")
        for _ in range(PART_COUNT)
    ]


PLANS: Final = (draw_faults, draw_shapes, draw_returns, draw_restarts, draw_parts)
