"""Sum the cost of attempts by workspace, pipeline and stage."""

from typing import Final, NamedTuple

from bramleyturn.core.model import Pool

TOKENS_PER_PRICE: Final = 1_000
MAX_COST_ROWS: Final = 8_192
OTHER_WORKSPACES: Final = "(other)"


class Charge(NamedTuple):
    """Describe what one attempt cost and whether its result was useless."""

    workspace: str
    pipeline: str
    stage: str
    micros: int
    wasted: bool


class CostRow(NamedTuple):
    """Sum the attempts of one workspace, pipeline and stage."""

    workspace: str
    pipeline: str
    stage: str
    attempts: int
    micros: int
    wasted_attempts: int
    wasted_micros: int


class CostTotals:
    """Hold the sums of all charges since the process started."""

    def __init__(self) -> None:
        self.rows: dict[tuple[str, str, str], CostRow] = {}


def attempt_cost_micros(pool: Pool, tokens: int) -> int:
    """Return the price of an attempt, rounded up to a whole millionth."""
    by_tokens = max(0, tokens) * pool.price_micros_per_1k_tokens
    return pool.price_micros_per_call + -(-by_tokens // TOKENS_PER_PRICE)


def charge(totals: CostTotals, item: Charge) -> None:
    """Add a charge to its row.

    Beyond ``MAX_COST_ROWS`` rows, further workspaces share one row for each pipeline
    and stage, so that the sum of all rows stays complete.
    """
    key = (item.workspace, item.pipeline, item.stage)
    if key not in totals.rows and len(totals.rows) >= MAX_COST_ROWS:
        key = (OTHER_WORKSPACES, item.pipeline, item.stage)
    row = totals.rows.get(key, CostRow(*key, 0, 0, 0, 0))
    totals.rows[key] = row._replace(
        attempts=row.attempts + 1,
        micros=row.micros + item.micros,
        wasted_attempts=row.wasted_attempts + int(item.wasted),
        wasted_micros=row.wasted_micros + (item.micros if item.wasted else 0),
    )


def cost_rows(totals: CostTotals) -> tuple[CostRow, ...]:
    """Return all rows, sorted by workspace, pipeline and stage."""
    return tuple(totals.rows[key] for key in sorted(totals.rows))
