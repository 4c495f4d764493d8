"""Draw a random mix of requests: lesson drafts, craft ideas, sign-ups and orders."""

import random
from collections.abc import Callable
from typing import Any, Final, NamedTuple

from bramleyturn.bench.arrivals import poisson_arrivals
from bramleyturn.bench.passages import curriculum_lines, cut_passage

CHILDREN: Final = ("Ada", "Ben", "Clara", "Dan", "Esther", "Frank", "Grace", "Hugh")
CRAFTS: Final = ("paper", "felt", "clay", "yarn", "cardboard", "seeds", "beads")
MAX_COPIES: Final = 40


class PlannedRequest(NamedTuple):
    """Describe one request before it is sent.

    ``input`` is unique, so that the request's runs can be identified in the ledgers of
    the backend servers.
    """

    number: int
    at_ms: int
    pipeline: str
    workspace: str
    input: dict[str, Any]


class Share(NamedTuple):
    """Describe one kind of request in the mix and its weight."""

    weight: int
    pipeline: str
    workspaces: tuple[str, ...]
    draw_input: Callable[[random.Random], dict[str, Any]]


def default_mix() -> tuple[Share, ...]:
    """Return the mix of a Sunday school cooperative: mostly lesson drafts."""
    lines = curriculum_lines()
    return (
        Share(
            50, "lesson-draft", ("lessons", "library"), lambda rng: _draft(rng, lines)
        ),
        Share(15, "craft-idea", ("lessons", "newsletter"), _craft),
        Share(20, "roster-signup", ("rosters",), _signup),
        Share(15, "packet-order", ("printing",), _order),
    )


def plan_requests(
    rng: random.Random, mix: tuple[Share, ...], rate_per_s: float, duration_ms: int
) -> list[PlannedRequest]:
    """Return the requests of one load in the order of their arrival."""
    arrivals = poisson_arrivals(rng, rate_per_s, duration_ms)
    weights = [share.weight for share in mix]
    planned = []
    for number, at_ms in enumerate(arrivals):
        share = rng.choices(mix, weights)[0]
        drawn = {"number": number, **share.draw_input(rng)}
        workspace = rng.choice(share.workspaces)
        planned.append(PlannedRequest(number, at_ms, share.pipeline, workspace, drawn))
    return planned


def input_of_try(request: PlannedRequest, try_number: int) -> dict[str, Any]:
    """Return the input with the number of the try added.

    Each try under a new ticket has a different input, so that the ledgers show which
    tries ran.
    """
    return {**request.input, "try": try_number}


def _draft(rng: random.Random, lines: tuple[str, ...]) -> dict[str, Any]:
    return {"ask": "Draft one lesson.", "curriculum": cut_passage(rng, lines)}


def _craft(rng: random.Random) -> dict[str, Any]:
    return {"ask": f"A craft idea with {rng.choice(CRAFTS)} for ages 5 to 7."}


def _signup(rng: random.Random) -> dict[str, Any]:
    return {"child": rng.choice(CHILDREN), "class": rng.randint(1, 12)}


def _order(rng: random.Random) -> dict[str, Any]:
    return {
        "packet": f"unit-{rng.randint(1, 13)}",
        "copies": rng.randint(1, MAX_COPIES),
    }
