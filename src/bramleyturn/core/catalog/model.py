"""Define the published routes, pools, workspaces and backend servers."""

from enum import StrEnum
from typing import NamedTuple


class RouteKind(StrEnum):
    """List the kinds of routes, by how their requests may be retried."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAM = "stream"


class RouteStage(NamedTuple):
    """Hold one stage that must be done before a request of a route can run.

    ``after`` has the indexes of the stages whose results it needs. ``result_bytes`` is
    the approximate size of one result.
    """

    pool: str
    after: tuple[int, ...]
    result_bytes: int


class WeightedPool(NamedTuple):
    """Hold a pool and the weight of its share of a route's requests."""

    pool: str
    weight: float


class Route(NamedTuple):
    """Hold where the requests of one host and path prefix are sent, and how.

    ``aim_ms`` is the latency target. ``priority`` 0 is the most urgent.
    ``uses_prefix_affinity`` marks routes whose requests name the parts of their prompt.
    ``pause_aim_ms`` is the longest pause between events of a stream in time, 0 if none
    is named. ``allowed_regions`` are those whose servers may get its requests, None if
    all may.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    timeout_ms: int
    aim_ms: int
    priority: int
    targets: tuple[WeightedPool, ...]
    max_attempts: int
    stages: tuple[RouteStage, ...]
    is_public: bool
    uses_prefix_affinity: bool
    is_resumable: bool
    pause_aim_ms: int = 0
    allowed_regions: frozenset[str] | None = None


class BatchLimits(NamedTuple):
    """Hold the limits and nominal times of one server of a stage.

    A call takes ``call_ms`` plus ``item_ms`` for each of its items, at most
    ``batch_items``. ``result_capacity_bytes`` is the space for results, which are
    kept for ``result_ttl_ms`` unless they are released earlier.
    """

    slots: int
    queue: int
    batch_items: int
    call_ms: float
    item_ms: float
    result_capacity_bytes: int
    result_ttl_ms: int


class Pool(NamedTuple):
    """Hold a set of identical backend servers; ``batch`` is set for stage pools.

    ``status_target`` is the target at which a server tells its status, None if unknown.
    A server is cold for ``cold_start_ms`` after its start, 0 if it never is, and then
    handles ``cold_per_s`` requests a second, 0 if they are not bounded.
    """

    name: str
    batch: BatchLimits | None
    status_target: str | None
    cold_start_ms: int = 0
    cold_per_s: float = 0.0


class CallerLimits(NamedTuple):
    """Hold the limits on the size and duration of what a caller sends."""

    max_header_bytes: int
    max_body_bytes: int
    header_timeout_ms: int
    idle_timeout_ms: int


class Workspace(NamedTuple):
    """Hold a workspace with the keys of its callers.

    ``priority`` overrides that of a route; None stands for no override.
    ``allowed_regions`` are those whose servers may get its requests, None if all may.
    """

    name: str
    keys: frozenset[str]
    priority: int | None
    allowed_regions: frozenset[str] | None = None


class PublishedConfiguration(NamedTuple):
    """Hold one version of the configuration."""

    version: int
    routes: tuple[Route, ...]
    pools: dict[str, Pool]
    limits: CallerLimits
    workspaces: tuple[Workspace, ...]


class BackendServer(NamedTuple):
    """Hold the registered entry of a backend server.

    ``warmup_left_ms`` is how much longer it stays slow after its start.
    ``started_ms`` is the Unix time of its start, which tells apart two runs with the
    same ``id``.
    """

    id: str
    pool: str
    host: str
    port: int
    zone: str
    version: str
    slots: int
    is_leaving: bool
    warmup_left_ms: int
    started_ms: int


def server_address(server: BackendServer) -> str:
    """Return the server's address as IP:PORT."""
    return f"{server.host}:{server.port}"


def run_name(server: BackendServer) -> str:
    """Return a name for the current run of a server, which may keep its id."""
    return f"{server.id}@{server.started_ms}"
