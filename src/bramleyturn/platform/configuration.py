"""Decode the operators' configuration into routes, pools and workspaces."""

from collections.abc import Generator
from typing import Any, Final, TypeVar

from bramleyturn.core.catalog.limits import DEFAULT_CALLER_LIMITS
from bramleyturn.core.catalog.model import (
    BatchLimits,
    CallerLimits,
    Pool,
    PublishedConfiguration,
    Route,
    RouteKind,
    RouteStage,
    WeightedPool,
    Workspace,
)
from bramleyturn.core.units import BYTES_PER_MEGABYTE, MS_PER_S
from bramleyturn.platform.errors import Malformed
from bramleyturn.platform.fields import (
    flag_field,
    int_field,
    is_int_list,
    is_text_list,
    number_field,
    objects_field,
    read_object,
    text_field,
)
from bramleyturn.platform.server_status import status_target

CONFIGURATION_KEY: Final = "op/config"
# Takes a few milliseconds of a fast core, and some ten of half a slow one.
DECODE_STEP: Final = 200
ALLOWED_REGIONS: Final = "allowedRegions"
ROUTE_KINDS: Final = {
    "idempotent": RouteKind.IDEMPOTENT,
    "non_idempotent": RouteKind.NON_IDEMPOTENT,
    "streaming": RouteKind.STREAM,
}

Decoded = TypeVar("Decoded")
Decoding = Generator[None, None, Decoded | Malformed]


def decode_configuration(value: bytes) -> PublishedConfiguration | Malformed:
    """Decode the configuration at once; any fault refuses the whole document."""
    decoding = decode_in_steps(value)
    while True:
        try:
            next(decoding)
        except StopIteration as ended:
            decoded: PublishedConfiguration | Malformed = ended.value
            return decoded


def decode_in_steps(value: bytes) -> Decoding[PublishedConfiguration]:
    """Decode the configuration, and yield from time to time.

    Any fault refuses the whole document.
    """
    document = read_object(CONFIGURATION_KEY, value)
    if isinstance(document, Malformed):
        return document
    version = int_field(document, "version")
    if version is None:
        return Malformed(CONFIGURATION_KEY, "version is missing")
    routes = yield from _decode_all(document, "routes", _decode_route)
    # The platform calls a pool of backend servers a service, and a workspace a tenant.
    pools = yield from _decode_all(document, "services", _decode_pool)
    workspaces = yield from _decode_all(document, "tenants", _decode_workspace)
    for decoded in (routes, pools, workspaces):
        if isinstance(decoded, Malformed):
            return decoded
    return PublishedConfiguration(
        version=version,
        routes=tuple(routes),
        pools={pool.name: pool for pool in pools},
        limits=_decode_limits(document.get("limits")),
        workspaces=tuple(workspaces),
    )


def _decode_all(
    document: dict[str, Any], name: str, decode: Any
) -> Generator[None, None, Any]:
    objects = objects_field(document, name)
    if objects is None:
        return Malformed(name, "not a list of objects")
    decoded = []
    for place, each in enumerate(objects, 1):
        one = decode(each)
        if one is None:
            return Malformed(
                f"{name}[{place - 1}]", "a field is missing or has the wrong type"
            )
        decoded.append(one)
        if place % DECODE_STEP == 0:
            yield
    return decoded


def _decode_route(document: dict[str, Any]) -> Route | None:
    host = text_field(document, "host")
    prefix = text_field(document, "prefix")
    kind = ROUTE_KINDS.get(text_field(document, "kind") or "")
    targets = _decode_targets(document)
    stages = _decode_stages(document)
    timeout_ms = int_field(document, "timeoutMs")
    if not host or not prefix or kind is None or targets is None or stages is None:
        return None
    if timeout_ms is None or not _has_sound_regions(document):
        return None
    return Route(
        name=text_field(document, "name") or f"{host}{prefix}",
        host=host.lower(),
        prefix=prefix,
        kind=kind,
        timeout_ms=timeout_ms,
        aim_ms=int_field(document, "targetLatencyMs") or timeout_ms,
        priority=int_field(document, "priority") or 0,
        targets=targets,
        max_attempts=max(1, int_field(document, "maxAttempts") or 1),
        stages=stages,
        is_public=flag_field(document, "public"),
        # On this platform "sticky" means that requests list the parts of their prompt,
        # not that a caller must stay at one server.
        uses_prefix_affinity=flag_field(document, "sticky"),
        is_resumable=flag_field(document, "resumable"),
        pause_aim_ms=int_field(document, "gapAimMs") or 0,
        allowed_regions=_regions(document),
    )


def _has_sound_regions(document: dict[str, Any]) -> bool:
    """Return whether the allowed regions are a list of strings, or absent."""
    return is_text_list(document.get(ALLOWED_REGIONS, []))


def _regions(document: dict[str, Any]) -> frozenset[str] | None:
    """Return the allowed regions; an empty list allows all, as an absent one does."""
    return frozenset(document.get(ALLOWED_REGIONS) or ()) or None


def _decode_targets(document: dict[str, Any]) -> tuple[WeightedPool, ...] | None:
    pool = text_field(document, "service")
    if pool is not None:
        return (WeightedPool(pool, 1.0),)
    split = objects_field(document, "trafficSplit")
    if not split:
        return None
    targets = [
        WeightedPool(
            text_field(part, "service") or "", number_field(part, "weight") or 0.0
        )
        for part in split
    ]
    if not any(target.weight > 0 for target in targets):
        return None
    return tuple(targets)


def _decode_stages(document: dict[str, Any]) -> tuple[RouteStage, ...] | None:
    objects = objects_field(document, "stages")
    if objects is None:
        return None
    stages = [_decode_stage(number, each) for number, each in enumerate(objects)]
    if any(stage is None for stage in stages):
        return None
    return tuple(stage for stage in stages if stage is not None)


def _decode_stage(number: int, document: dict[str, Any]) -> RouteStage | None:
    pool = text_field(document, "service")
    after = document.get("after", [])
    if pool is None or not is_int_list(after):
        return None
    if any(earlier >= number for earlier in after):
        return None
    return RouteStage(pool, tuple(after), int_field(document, "bytes") or 0)


def _decode_pool(document: dict[str, Any]) -> Pool | None:
    name = text_field(document, "name")
    if name is None:
        return None
    pieces = document.get("pieces")
    return Pool(
        name=name,
        batch=_decode_batch(pieces) if isinstance(pieces, dict) else None,
        status_target=status_target(document),
        cold_start_ms=int((number_field(document, "coldStartS") or 0.0) * MS_PER_S),
        cold_per_s=number_field(document, "coldPerS") or 0.0,
    )


def _decode_batch(document: dict[str, Any]) -> BatchLimits:
    return BatchLimits(
        slots=max(1, int_field(document, "slots") or 1),
        queue=int_field(document, "queue") or 0,
        batch_items=max(1, int_field(document, "batch") or 1),
        call_ms=number_field(document, "callMs") or 0.0,
        item_ms=number_field(document, "itemMs") or 0.0,
        result_capacity_bytes=int(
            (number_field(document, "headroomMb") or 0.0) * BYTES_PER_MEGABYTE
        ),
        result_ttl_ms=int((number_field(document, "handleS") or 0.0) * MS_PER_S),
    )


def _decode_limits(document: Any) -> CallerLimits:
    if not isinstance(document, dict):
        return DEFAULT_CALLER_LIMITS
    default = DEFAULT_CALLER_LIMITS
    return CallerLimits(
        int_field(document, "maxHeaderBytes") or default.max_header_bytes,
        int_field(document, "maxBodyBytes") or default.max_body_bytes,
        int_field(document, "headerTimeoutMs") or default.header_timeout_ms,
        int_field(document, "idleTimeoutMs") or default.idle_timeout_ms,
    )


def _decode_workspace(document: dict[str, Any]) -> Workspace | None:
    name = text_field(document, "name")
    keys = document.get("apiKeys", [])
    if name is None or not is_text_list(keys) or not _has_sound_regions(document):
        return None
    priority = int_field(document, "priority")
    return Workspace(name, frozenset(keys), priority, _regions(document))
