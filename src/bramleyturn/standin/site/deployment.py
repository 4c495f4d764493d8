"""Describe a deployment of the users' platform: its zones, pools and routes.

A deployment is plain JSON, so that a stand-in site can read one from a file.
"""

from pathlib import Path
from typing import Any, Final, TypedDict

import orjson

# Calls that a stage server lets wait, as the configuration tells the entries.
ANNOUNCED_QUEUE: Final = 2


class PoolPlan(TypedDict):
    """Hold what the servers of a pool are, and how long they work.

    A pair of times is a range. A stage call takes ``work_ms`` and ``item_ms`` for each
    piece, and ``queue`` calls wait for their turn. An engine's first event takes
    ``first_ms``; it sends ``events``, or one per output token if that is 0, each with
    ``event_bytes`` of text at least. Servers of a stage announce ``room_mb`` for
    results. A server that starts again is cold for ``cold_start_s`` and then handles
    ``cold_per_s`` requests a second; 0 for either is not announced.
    """

    name: str
    kind: str
    servers: int
    slots: int
    work_ms: int
    queue: int
    batch: int
    item_ms: tuple[int, int]
    first_ms: tuple[int, int]
    gap_ms: tuple[int, int]
    events: int
    event_bytes: int
    room_mb: float
    cold_start_s: float
    cold_per_s: float


class StagePlan(TypedDict):
    """Hold a stage: its pool, the stages that it needs and the size of a result."""

    service: str
    after: list[int]
    bytes: int


class RoutePlan(TypedDict):
    """Hold one route; ``kind`` is spelled as operators publish it."""

    name: str
    kind: str
    pool: str
    timeout_ms: int
    aim_ms: int
    priority: int
    max_attempts: int
    is_resumable: bool
    is_sticky: bool
    stages: list[StagePlan]


class Deployment(TypedDict):
    """Hold a whole deployment; ``zones`` has the number of entries in each zone.

    An entry is killed ``grace_s`` after it was asked to stop.
    """

    zones: dict[str, int]
    grace_s: int
    pools: list[PoolPlan]
    routes: list[RoutePlan]


def plain_pool(name: str, servers: int, slots: int, work_ms: int) -> PoolPlan:
    """Return a pool of plain servers."""
    return {
        "name": name,
        "kind": "plain",
        "servers": servers,
        "slots": slots,
        "work_ms": work_ms,
        "queue": 0,
        "batch": 1,
        "item_ms": (0, 0),
        "first_ms": (0, 0),
        "gap_ms": (10, 10),
        "events": 8,
        "event_bytes": 0,
        "room_mb": 1.0,
        "cold_start_s": 0.0,
        "cold_per_s": 0.0,
    }


def engine_pool(
    name: str,
    servers: int,
    slots: int,
    events: int,
    first_ms: tuple[int, int],
    gap_ms: tuple[int, int],
    event_bytes: int = 0,
) -> PoolPlan:
    """Return a pool of engines."""
    pool = plain_pool(name, servers, slots, work_ms=10)
    pool["kind"] = "engine"
    pool["events"] = events
    pool["first_ms"] = first_ms
    pool["gap_ms"] = gap_ms
    pool["event_bytes"] = event_bytes
    return pool


def stage_pool(
    name: str,
    servers: int,
    work_ms: int,
    item_ms: tuple[int, int],
    batch: int,
    queue: int = ANNOUNCED_QUEUE,
    room_mb: float = 1.0,
) -> PoolPlan:
    """Return a pool of stage servers, which run one call at a time."""
    pool = plain_pool(name, servers, slots=1, work_ms=work_ms)
    pool["kind"] = "stage"
    pool["item_ms"] = item_ms
    pool["batch"] = batch
    pool["queue"] = queue
    pool["room_mb"] = room_mb
    return pool


def route(
    name: str,
    kind: str,
    pool: str,
    timeout_ms: int,
    aim_ms: int,
    priority: int = 2,
    max_attempts: int = 2,
    stages: list[StagePlan] | None = None,
    is_resumable: bool = False,
    is_sticky: bool = False,
) -> RoutePlan:
    """Return a route, without stages by default."""
    return {
        "name": name,
        "kind": kind,
        "pool": pool,
        "timeout_ms": timeout_ms,
        "aim_ms": aim_ms,
        "priority": priority,
        "max_attempts": max_attempts,
        "is_resumable": is_resumable,
        "is_sticky": is_sticky,
        "stages": stages or [],
    }


SMALL_SITE: Final[Deployment] = {
    "zones": {"north": 1, "south": 1},
    "grace_s": 8,
    "pools": [
        plain_pool("members", servers=2, slots=6, work_ms=10),
        engine_pool(
            "drafts", servers=2, slots=64, events=8, first_ms=(0, 0), gap_ms=(10, 10)
        ),
        stage_pool("books", servers=2, work_ms=10, item_ms=(0, 0), batch=4, queue=0),
    ],
    "routes": [
        route("lookup", "idempotent", "members", 2_000, 100),
        route("order", "non_idempotent", "members", 2_000, 100, max_attempts=1),
        route(
            "draft",
            "streaming",
            "drafts",
            8_000,
            1_500,
            priority=1,
            stages=[{"service": "books", "after": [], "bytes": 8_000}],
            is_resumable=True,
            is_sticky=True,
        ),
        route("note", "streaming", "drafts", 8_000, 1_500, priority=1),
    ],
}


def read_deployment(file: str) -> Deployment:
    """Return the deployment in a file, the small site without a file."""
    if not file:
        return SMALL_SITE
    deployment: Deployment = orjson.loads(Path(file).read_bytes())
    return deployment


def route_document(plan: RoutePlan, timeout_ms: int) -> dict[str, Any]:
    """Return a route in the format that operators publish."""
    return {
        "host": "site.example",
        "name": plan["name"],
        "prefix": f"/{plan['name']}/",
        "kind": plan["kind"],
        "service": plan["pool"],
        "timeoutMs": timeout_ms,
        "targetLatencyMs": plan["aim_ms"],
        "priority": plan["priority"],
        "maxAttempts": plan["max_attempts"],
        "public": False,
        "resumable": plan["is_resumable"],
        "sticky": plan["is_sticky"],
        "gapAimMs": 250,
        "stages": plan["stages"],
    }


def pool_document(plan: PoolPlan) -> dict[str, Any]:
    """Return a pool in the format that operators publish."""
    document = _kind_document(plan)
    if plan["cold_start_s"] and plan["cold_per_s"]:
        document["coldStartS"] = plan["cold_start_s"]
        document["coldPerS"] = plan["cold_per_s"]
    return document


def _kind_document(plan: PoolPlan) -> dict[str, Any]:
    if plan["kind"] == "engine":
        engine = {"slots": plan["slots"], "kvCapacityTokens": 500_000}
        return {"name": plan["name"], "engine": engine}
    if plan["kind"] == "stage":
        least_ms, most_ms = plan["item_ms"]
        pieces = {
            "slots": plan["slots"],
            "queue": ANNOUNCED_QUEUE,
            "batch": plan["batch"],
            "callMs": float(plan["work_ms"]),
            "itemMs": (least_ms + most_ms) / 2 or 2.0,
            "headroomMb": plan["room_mb"],
            "handleS": 4.0,
            "linkMbps": 1000,
        }
        return {"name": plan["name"], "pieces": pieces}
    return {"name": plan["name"], "healthPath": "/health", "maxConnections": 200}
