"""Generate bursts of requests of several kinds, as a survey bureau might send them."""

from random import Random

from bramleyturn.core.catalog.model import BatchLimits
from tests.core.pieces.stage_simulation import Arrival, RequestKind, StageNeed, poisson

LIMITS = {
    "roster": BatchLimits(1, 2, 4, 150.0, 32.0, 18_000_000, 4_000),
    "bridge": BatchLimits(1, 2, 5, 150.0, 25.6, 875_000, 4_000),
    "publish": BatchLimits(1, 2, 15, 150.0, 8.5, 258_000, 4_000),
}
CHAIN = (
    StageNeed("roster", 1, 8_000),
    StageNeed("bridge", 6, 60_000),
    StageNeed("publish", 16, 6_000),
)
PAGE = RequestKind("page", CHAIN, 1_900, 15_000, 1, 3.1, 400)
RECEIPT = RequestKind("receipt", CHAIN, 1_900, 8_000, 0, 2.4, 300)
DRAFT = RequestKind(
    "draft", (StageNeed("roster", 2, 3_000_000),), 920, 12_000, 2, 0.42, 200
)
SERVERS = 3
LOAD_MS = 30_000


def varied(arrivals: list[Arrival], random: Random) -> list[Arrival]:
    """Return the arrivals with numbers of pieces that vary as in real traffic."""
    return [
        Arrival(
            arrival.at_ms,
            arrival.kind._replace(
                stages=tuple(
                    need
                    if need.pool == "bridge"
                    else need._replace(piece_count=_vary(need.piece_count, random))
                    for need in arrival.kind.stages
                )
            ),
        )
        for arrival in arrivals
    ]


def _vary(count: int, random: Random) -> int:
    return max(1, min(3 * count, round(count * random.lognormvariate(-0.1, 0.45))))


def burst(seed: int, times: float = 2.4, from_ms: int = 8_000) -> list[Arrival]:
    """Return arrivals with a burst of pages that lasts six seconds."""
    random = Random(seed)
    until_ms = from_ms + 6_000
    arrivals = [
        *poisson(PAGE, 2.8, 0, LOAD_MS, random),
        *poisson(PAGE, 2.8 * (times - 1), from_ms, until_ms, random),
        *poisson(RECEIPT, 2.25, 0, LOAD_MS, random),
        *poisson(DRAFT, 3.1 * 0.7, 0, LOAD_MS, random),
    ]
    arrivals.sort(key=lambda arrival: arrival.at_ms)
    return varied(arrivals, random)


def receipts_burst(seed: int) -> list[Arrival]:
    """Return arrivals with a burst of pages and then a burst of receipts."""
    random = Random(seed)
    arrivals = [
        *poisson(PAGE, 2.8, 0, LOAD_MS, random),
        *poisson(PAGE, 2.8 * 1.5, 4_400, 11_300, random),
        *poisson(RECEIPT, 2.25, 0, LOAD_MS, random),
        *poisson(RECEIPT, 2.25 * 1.4, 16_000, 22_800, random),
        *poisson(DRAFT, 3.1 * 0.7, 0, LOAD_MS, random),
    ]
    arrivals.sort(key=lambda arrival: arrival.at_ms)
    return varied(arrivals, random)
