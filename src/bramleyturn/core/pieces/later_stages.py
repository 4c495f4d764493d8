"""Find the stages that depend on a stage of a request."""

from bramleyturn.core.catalog.model import Route
from bramleyturn.core.pieces.model import LaterStage


def later_stages(
    route: Route, counts: tuple[int, ...], stage: int
) -> tuple[LaterStage, ...]:
    """Return the stages that directly or indirectly need the results of ``stage``.

    Stages without pieces are left out, and so are stages that only depend on those.
    """
    reached = {stage}
    for number, later in enumerate(route.stages):
        if counts[number] and reached.intersection(later.after):
            reached.add(number)
    return tuple(
        LaterStage(
            route.stages[number].pool, counts[number], route.stages[number].result_bytes
        )
        for number in sorted(reached - {stage})
    )
