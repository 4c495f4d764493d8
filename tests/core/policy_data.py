"""Build configurations for the tests of admission, routing and other policies."""

from typing import Final

from bramleyturn.core.model import (
    AdminSettings,
    Configuration,
    Limits,
    PeerSettings,
    Pipeline,
    Pool,
    PoolKind,
    Server,
    Stage,
    TicketSettings,
    Workspace,
)

LIMITS: Final = Limits(
    max_body_bytes=1 << 20,
    max_deadline_ms=60_000,
    max_running=8,
    max_queued=32,
    retry_ratio_percent=10,
    max_attempts=3,
    hedge_percentile=95,
    kept_outcome_ms=60_000,
    ejection_failures=3,
    ejection_ms=5_000,
    ejection_max_percent=30,
    slow_start_ms=10_000,
    leaving_grace_ms=1_000,
)


def stage(name: str, after: tuple[str, ...] = (), **changes: object) -> Stage:
    """Return an idempotent stage that may be hedged."""
    plain = Stage(name, name, after, True, 4_000, 256, True)
    return plain._replace(**changes)  # type: ignore[arg-type]


def pipeline(*stages: Stage) -> Pipeline:
    """Return a pipeline of the stages."""
    return Pipeline("lesson-draft", stages, 5_000)


def workspace(name: str, **changes: object) -> Workspace:
    """Return a workspace with wide limits."""
    wide = Workspace(name, "", "", 1, 1_000, 1_000, 1_000, 0, ("*",))
    return wide._replace(**changes)  # type: ignore[arg-type]


def server(name: str, zone: str = "duluth", address: str = "10.0.0.1:1") -> Server:
    """Return a server of the pool ``drafting``."""
    return Server(name, "drafting", zone, address)


def configuration(
    *servers: Server, limits: Limits = LIMITS, workspaces: tuple[Workspace, ...] = ()
) -> Configuration:
    """Return a configuration of one pool, ``drafting``."""
    pool = Pool("drafting", PoolKind.ENGINE, "draft-7b", 5, 600, 8, False, False)
    return Configuration(
        revision=1,
        pools={pool.name: pool},
        servers={item.name: item for item in servers},
        pipelines={},
        workspaces={item.name: item for item in workspaces},
        limits=limits,
        tickets=TicketSettings("", "", 60_000, 10_000, 500),
        peers=PeerSettings("", "", 1_000, 500, 3_000, 65_536),
        admin=AdminSettings("", ""),
    )
