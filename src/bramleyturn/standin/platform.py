"""Stand in for the platform: configuration, instance list and weight store."""

from collections import Counter, OrderedDict, deque
from pathlib import Path
from typing import Any, Final, NamedTuple

import xxhash

from bramleyturn.core.clock import Clock
from bramleyturn.standin.lag import LaggedValue
from bramleyturn.standin.settings import PlatformSettings

MAX_REVISIONS: Final = 64
READ_HISTORY_S: Final = 3600
WEIGHT_UNIT_BYTES: Final = 1 << 20


class PlatformBehaviour(NamedTuple):
    """Hold the injected faults of the platform; the default has none.

    ``outage`` is none, refuse (connections are refused) or 503 (every read is answered
    503). A ``stale_revision`` above 0 is served instead of the newest.
    """

    outage: str = "none"
    stale_revision: int = 0
    list_lag_ms: int = 0


class BadChange(NamedTuple):
    """Hold why a change to the platform was rejected."""

    reason: str


class Platform:
    """Hold the published revisions, the instance list and the read counters."""

    def __init__(self, settings: PlatformSettings, clock: Clock) -> None:
        self.settings = settings
        self.clock = clock
        self.behaviour = PlatformBehaviour(list_lag_ms=settings.list_lag_ms)
        self.revisions: OrderedDict[int, dict[str, str]] = OrderedDict()
        self.instances: LaggedValue[list[Any]] = LaggedValue(settings.list_lag_ms, [])
        self.reads_by_path: Counter[str] = Counter()
        self.reads_by_second: deque[tuple[int, int]] = deque(maxlen=READ_HISTORY_S)
        self.refused_reads = 0


def read_folder(folder: str) -> dict[str, str]:
    """Return the INI files of ``folder`` by name."""
    paths = sorted(Path(folder).glob("*.ini"))
    return {path.name: path.read_text(encoding="utf-8") for path in paths}


def publish(
    platform: Platform, files: dict[str, str], revision: int | None = None
) -> int | BadChange:
    """Publish ``files`` as ``revision``, by default one above the newest."""
    newest = next(reversed(platform.revisions), 0)
    wanted = newest + 1 if revision is None else revision
    if wanted <= newest:
        return BadChange(f"revision: expected more than {newest}")
    platform.revisions[wanted] = files
    if len(platform.revisions) > MAX_REVISIONS:
        platform.revisions.popitem(last=False)
    return wanted


def served_revision(platform: Platform) -> int:
    """Return the revision that readers are served now."""
    stale = platform.behaviour.stale_revision
    if stale in platform.revisions:
        return stale
    return next(reversed(platform.revisions), 0)


def count_read(platform: Platform, path: str) -> bool:
    """Count a read; return whether the limit of this second allows it."""
    second = platform.clock.monotonic_ms() // 1000
    reads = platform.reads_by_second
    if not reads or reads[-1][0] != second:
        reads.append((second, 0))
    reads[-1] = (second, reads[-1][1] + 1)
    platform.reads_by_path[path] += 1
    allowed = reads[-1][1] <= platform.settings.reads_per_s
    if not allowed:
        platform.refused_reads += 1
    return allowed


def describe_weights(model: str) -> dict[str, Any]:
    """Return the size and digest of a model's weights."""
    model_hash = xxhash.xxh64_intdigest(model.encode())
    return {
        "model": model,
        "size_bytes": (1 + model_hash % 8192) * WEIGHT_UNIT_BYTES,
        "digest": f"{model_hash:016x}",
    }


def apply_behaviour_changes(
    behaviour: PlatformBehaviour, changes: dict[str, Any]
) -> PlatformBehaviour | BadChange:
    """Return ``behaviour`` with ``changes``."""
    for name, value in changes.items():
        if name not in PlatformBehaviour._fields:
            return BadChange(f"{name} is not a known fault")
        if name == "outage" and value not in ("none", "refuse", "503"):
            return BadChange("outage: expected none, refuse or 503")
        if name != "outage" and (not isinstance(value, int) or value < 0):
            return BadChange(f"{name}: expected a whole number of at least 0")
    return behaviour._replace(**changes)
