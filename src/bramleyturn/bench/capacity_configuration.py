"""Measure the cost of a configuration by its number of workspaces and servers."""

import gc
import time
import tracemalloc
from collections.abc import Mapping
from functools import partial
from random import Random
from statistics import median
from typing import Final

import orjson

from bramleyturn.bench.capacity_points import (
    REPEATS,
    Point,
    Slope,
    cpu_ms,
    fit_line,
    measure_point,
)
from bramleyturn.core.configuration import (
    LoadCache,
    RefusedConfiguration,
    load_configuration,
    load_in_steps,
)
from bramleyturn.core.entry import step
from bramleyturn.core.entry_state import EntryState, entry_state
from bramleyturn.core.events import ConfigurationAccepted
from bramleyturn.core.intake import access_table
from bramleyturn.core.model import Configuration
from bramleyturn.core.tickets import ProcessRef
from bramleyturn.watch.documents import parse_instances

WORKSPACES: Final = 8_200
SERVERS: Final = 1_300
MODELS: Final = 15
ZONES: Final = 20
PIPELINES: Final = 14
DAEMONS: Final = 390
WORKSPACES_PER_FILE: Final = 410
STAGES: Final = ("encode", "retrieve", "rerank", "generate")


def synthetic_folder(workspaces: int, servers: int) -> dict[str, str]:
    """Return a configuration folder of that size, its workspaces in several files."""
    files = {
        "10-pools.ini": "".join(
            f"[pool pool-{n}]\nkind = engine\nmodel = model-{n}\n"
            f"price_micros_per_1k_tokens = 600\n"
            for n in range(MODELS)
        ),
        "20-pipelines.ini": "".join(_pipeline_text(n) for n in range(PIPELINES)),
        "30-servers.ini": "".join(
            f"[server server-{n}]\npool = pool-{n % MODELS}\n"
            f"zone = zone-{n % ZONES}\naddress = 10.{n // 250}.0.{n % 250}:8000\n"
            for n in range(servers)
        ),
    }
    for first in range(0, workspaces, WORKSPACES_PER_FILE):
        numbers = range(first, min(workspaces, first + WORKSPACES_PER_FILE))
        text = "".join(_workspace_text(n) for n in numbers)
        files[f"40-workspaces-{first:05}.ini"] = text
    return files


def _pipeline_text(number: int) -> str:
    text = f"[pipeline pipeline-{number}]\nstages = {', '.join(STAGES)}\n"
    return text + "".join(
        f"[stage pipeline-{number}.{stage}]\npool = pool-{number % MODELS}\n"
        "repeatable = yes\n"
        for stage in STAGES
    )


def _workspace_text(number: int) -> str:
    return (
        f"[workspace workspace-{number}]\nkey_sha256 = {number:064x}\nweight = 1\n"
        "rate_per_s = 20\nburst = 40\nconcurrency = 8\n"
        "budget_micros_per_hour = 1000000\n"
        f"pipelines = pipeline-{number % PIPELINES}\n"
    )


def load(files: Mapping[str, str], revision: int = 1) -> Configuration:
    """Return the configuration of a valid folder."""
    loaded = load_configuration(revision, files)
    if isinstance(loaded, RefusedConfiguration):
        raise AssertionError(loaded.faults[:3])
    return loaded


def new_entry(configuration: Configuration) -> EntryState:
    """Return an entry state with a configuration in force."""
    me = ProcessRef("10.9.0.1:7000", "incarnation")
    return entry_state("entry", "zone-0", me, configuration, Random(1), 0)


def measure_configuration() -> list[Slope]:
    """Return the slopes of loading, applying, storing and sending a configuration."""
    return [
        *_measure_folder_size(),
        _measure_load(),
        *_measure_reload(),
        _measure_apply(),
        *_measure_memory(),
        _measure_instance_list(),
    ]


def _scaled_counts() -> tuple[tuple[int, int], ...]:
    return tuple((WORKSPACES * part // 4, SERVERS * part // 4) for part in (1, 2, 3, 4))


def _measure_folder_size() -> list[Slope]:
    points = []
    for workspaces, servers in _scaled_counts():
        size = sum(map(len, synthetic_folder(workspaces, servers).values()))
        points.append(Point(workspaces, size, size, size))
    return [
        fit_line("published folder, all of it", "B", "workspace and its share", points)
    ]


def _measure_load() -> Slope:
    points = []
    for workspaces, servers in _scaled_counts():
        files = synthetic_folder(workspaces, servers)
        points.append(measure_point(workspaces, partial(cpu_ms, partial(load, files))))
    return fit_line("configuration load", "ms CPU", "workspace and its share", points)


def _measure_reload() -> list[Slope]:
    """Measure a reload after a change in one file, and the longest step of loads."""
    whole, again, longest = [], [], []
    for workspaces, servers in _scaled_counts():
        files = synthetic_folder(workspaces, servers)
        changed = files | {"90-change.ini": "[workspace workspace-1]\nweight = 2\n"}
        cache = LoadCache()
        load_configuration(1, files, cache)
        points = [_step_times(files, LoadCache()) for _ in range(REPEATS)]
        whole.append(_point(workspaces, [max(times) for times in points]))
        points = [_step_times((changed, files)[n % 2], cache) for n in range(REPEATS)]
        again.append(_point(workspaces, [sum(times) for times in points]))
        longest.append(_point(workspaces, [max(times) for times in points]))
    per = "workspace and its share"
    return [
        fit_line("configuration load, longest step", "ms", per, whole),
        fit_line("configuration load, one file changed", "ms CPU", per, again),
        fit_line("the same, longest step", "ms", per, longest),
    ]


def _point(size: int, values: list[float]) -> Point:
    return Point(size, median(values), min(values), max(values))


def _step_times(files: Mapping[str, str], cache: LoadCache) -> list[float]:
    steps = load_in_steps(1, files, cache)
    times: list[float] = []
    ended = False
    while not ended:
        started_ns = time.process_time_ns()
        try:
            next(steps)
        except StopIteration:
            ended = True
        times.append((time.process_time_ns() - started_ns) / 1e6)
    return times


def _measure_apply() -> Slope:
    points = []
    for workspaces, servers in _scaled_counts():
        configuration = load(synthetic_folder(workspaces, servers))
        points.append(measure_point(workspaces, partial(_apply_ms, configuration)))
    return fit_line(
        "configuration put in force", "ms CPU", "workspace and its share", points
    )


def _apply_ms(configuration: Configuration) -> float:
    state = new_entry(configuration)
    newer = configuration._replace(revision=2)

    def work() -> None:
        step(state, ConfigurationAccepted(newer), 1)
        access_table(newer)

    return cpu_ms(work)


def _measure_memory() -> list[Slope]:
    """Measure live and peak memory of configurations of increasing size."""
    by_workspace = [_memory_points(count, 20) for count in (1_000, 4_000, 8_200)]
    by_server = [_memory_points(20, count) for count in (300, 800, 1_300)]
    live = Point(WORKSPACES, *(_live_bytes(WORKSPACES, SERVERS)[1],) * 3)
    return [
        fit_line(
            "entry memory, live", "B", "workspace", [each[0] for each in by_workspace]
        ),
        fit_line("entry memory, live", "B", "server", [each[0] for each in by_server]),
        fit_line(
            "entry memory, peak while loading",
            "B",
            "workspace",
            [each[1] for each in by_workspace],
        ),
        fit_line(
            "entry memory, peak while loading, all of it", "B", "workspace", [live]
        ),
    ]


def _memory_points(workspaces: int, servers: int) -> tuple[Point, Point]:
    live, peak = _live_bytes(workspaces, servers)
    size = workspaces if servers == 20 else servers
    return Point(size, live, live, live), Point(size, peak, peak, peak)


def _live_bytes(workspaces: int, servers: int) -> tuple[int, int]:
    files = synthetic_folder(workspaces, servers)
    tracemalloc.start()
    cache = LoadCache()
    loaded = load_configuration(1, files, cache)
    assert not isinstance(loaded, RefusedConfiguration)
    state = new_entry(loaded)
    access = access_table(state.configuration)
    gc.collect()
    live, peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del state, access, cache
    return live, peak


def _measure_instance_list() -> Slope:
    points = []
    for daemons in (20, 100, DAEMONS):
        lines = daemons * 2 + SERVERS * daemons // DAEMONS
        packed = orjson.dumps({"instances": [_instance_line(n) for n in range(lines)]})
        points.append(
            measure_point(lines, partial(cpu_ms, partial(_read_list, packed)))
        )
    return fit_line("instance list, one read", "ms CPU", "line", points)


def _read_list(packed: bytes) -> None:
    parse_instances(orjson.loads(packed))


def _instance_line(number: int) -> dict[str, str]:
    return {
        "name": f"entry-zone-{number % ZONES}-{number}",
        "role": "entry",
        "zone": f"zone-{number % ZONES}",
        "address": f"10.{number // 250}.0.{number % 250}:7000",
        "state": "live",
    }
