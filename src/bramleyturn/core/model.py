"""Define the configuration: pools, servers, pipelines, workspaces and limits."""

from enum import StrEnum
from typing import Final, NamedTuple

MICROS_PER_UNIT: Final = 1_000_000


class PoolKind(StrEnum):
    """Name the kinds of work that the backend servers of a pool do."""

    ENCODER = "encoder"
    RETRIEVER = "retriever"
    RERANKER = "reranker"
    ENGINE = "engine"
    PLAIN = "plain"


class Pool(NamedTuple):
    """Describe a group of interchangeable backend servers.

    Prices are in millionths of the currency unit.
    """

    name: str
    kind: PoolKind
    model: str
    price_micros_per_call: int
    price_micros_per_1k_tokens: int
    concurrency_per_server: int
    recognises_idempotency_key: bool
    checks_fencing: bool


class Server(NamedTuple):
    """Describe one backend server and its address."""

    name: str
    pool: str
    zone: str
    address: str


class Stage(NamedTuple):
    """Describe one step of a pipeline."""

    name: str
    pool: str
    after: tuple[str, ...]
    repeatable: bool
    timeout_ms: int
    max_output_tokens: int
    hedge: bool


class Pipeline(NamedTuple):
    """Hold the stages of a pipeline in an order that respects ``after``."""

    name: str
    stages: tuple[Stage, ...]
    deadline_ms: int

    @property
    def repeatable(self) -> bool:
        """Return whether every stage may be repeated."""
        return all(stage.repeatable for stage in self.stages)


class Workspace(NamedTuple):
    """Hold the access key digests and the limits of one workspace."""

    name: str
    key_sha256: str
    previous_key_sha256: str
    weight: int
    rate_per_s: int
    burst: int
    concurrency: int
    budget_micros_per_hour: int
    pipelines: tuple[str, ...]


class Limits(NamedTuple):
    """Hold the limits that apply to each entry process."""

    max_body_bytes: int
    max_deadline_ms: int
    max_running: int
    max_queued: int
    retry_ratio_percent: int
    max_attempts: int
    hedge_percentile: int
    kept_outcome_ms: int
    ejection_failures: int
    ejection_ms: int
    ejection_max_percent: int
    slow_start_ms: int
    leaving_grace_ms: int


class TicketSettings(NamedTuple):
    """Hold the signing keys and timeouts of tickets."""

    key: str
    previous_key: str
    lifetime_ms: int
    margin_ms: int
    intent_timeout_ms: int


class PeerSettings(NamedTuple):
    """Hold the signing keys, timeouts and size of messages between entry processes."""

    key: str
    previous_key: str
    probe_interval_ms: int
    probe_timeout_ms: int
    suspect_ms: int
    message_bytes: int


class AdminSettings(NamedTuple):
    """Hold the digests of the operators' key and the one before it."""

    key_sha256: str
    previous_key_sha256: str


class Configuration(NamedTuple):
    """Hold one complete, validated revision."""

    revision: int
    pools: dict[str, Pool]
    servers: dict[str, Server]
    pipelines: dict[str, Pipeline]
    workspaces: dict[str, Workspace]
    limits: Limits
    tickets: TicketSettings
    peers: PeerSettings
    admin: AdminSettings
