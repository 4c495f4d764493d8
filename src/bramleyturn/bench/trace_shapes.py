"""Generate traces shaped like the users' workloads.

The shapes follow published studies of serving traces; none of their data is used.
The Azure LLM inference traces of 2023 and 2024 (Patel et al., "Splitwise"; Stojkovic
et al., "DynamoLLM") and BurstGPT (Wang et al.) show prompt and output lengths with a
heavy tail, near log-normal, and arrivals burstier than Poisson, with gamma-distributed
gaps whose coefficient of variation is above 1. Multi-tenant traces ("ServeGen", Xiang
et al.; "AlpaServe", Li et al.) show a few clients that send most of the requests, near
a Zipf distribution. Shared prompt prefixes follow the "Mooncake" traces (Qin et al.).
"""

from typing import Final, NamedTuple

import numpy as np

from bramleyturn.bench.service_times import pool_slots, stage_work_ms
from bramleyturn.bench.trace import Trace, TraceHeader, TraceRequest
from bramleyturn.core.model import Configuration
from bramleyturn.core.units import MS_PER_S

PERCENT: Final = 100
GAP_COEFFICIENT_OF_VARIATION: Final = 1.4
BURST_FACTOR: Final = 2.5
BURST_START_SHARE: Final = 0.4
BURST_END_SHARE: Final = 0.6
ZIPF_EXPONENT: Final = 1.2
MEAN_SAMPLE_COUNT: Final = 4_000
PREFIX_HIT_SHARE: Final = 0.7
MIN_TOKENS: Final = 4
MAX_INPUT_TOKENS: Final = 6_000


class Kind(NamedTuple):
    """Describe one kind of request.

    Lengths are log-normal, given by the median in tokens and the standard deviation of
    the logarithm. ``workspaces`` are ordered by descending load.
    """

    weight: float
    pipeline: str
    workspaces: tuple[str, ...]
    input_median: float
    input_sigma: float
    output_median: float
    output_sigma: float
    prefix_groups: int


class Shape(NamedTuple):
    """Describe a user's workload; ``bursting`` is the index of the bursty kind."""

    user: str
    kinds: tuple[Kind, ...]
    bursting: int


LAKESHORE: Final = Shape(
    "lakeshore",
    (
        Kind(0.40, "lesson-draft", ("lessons", "library"), 500, 0.9, 80, 0.6, 40),
        Kind(0.25, "craft-idea", ("lessons", "newsletter"), 40, 0.5, 30, 0.5, 8),
        Kind(0.20, "roster-signup", ("rosters",), 30, 0.3, 1, 0.1, 0),
        Kind(0.15, "packet-order", ("printing",), 40, 0.3, 1, 0.1, 0),
    ),
    0,
)
HARBOURVIEW: Final = Shape(
    "harbourview",
    (
        Kind(
            0.45, "page-coding", ("coders", "queries", "prices"), 700, 0.8, 50, 0.5, 30
        ),
        Kind(
            0.35, "field-lookup", ("field", "supervisors", "coders"), 20, 0.3, 1, 0.1, 0
        ),
        Kind(0.20, "diary-submission", ("field",), 200, 0.5, 1, 0.1, 0),
    ),
    0,
)
SHAPES: Final = {shape.user: shape for shape in (LAKESHORE, HARBOURVIEW)}


def capacity_per_s(configuration: Configuration, shape: Shape) -> float:
    """Return the rate of the shape's mix that the bottleneck pool can sustain.

    Most prompts with a shared prefix count as prefix cache hits.
    """
    rng = np.random.default_rng(0)
    busy_ms = dict.fromkeys(configuration.pools, 0.0)
    total = sum(kind.weight for kind in shape.kinds)
    for kind in shape.kinds:
        share = kind.weight / total
        for pool, work_ms in _mean_work_ms(configuration, kind, rng).items():
            busy_ms[pool] += share * work_ms
    return min(
        pool_slots(configuration, pool) * MS_PER_S / work_ms
        for pool, work_ms in busy_ms.items()
        if work_ms
    )


def generate(
    configuration: Configuration,
    shape: Shape,
    *,
    seed: int,
    load_percent: int,
    duration_ms: int,
    burst: bool = False,
) -> Trace:
    """Return a trace at a percentage of the fleet's capacity.

    With ``burst`` one kind sends at a multiple of its usual rate for a fifth of the
    time.
    """
    rng = np.random.default_rng(seed)
    rate_per_s = capacity_per_s(configuration, shape) * load_percent / PERCENT
    total = sum(kind.weight for kind in shape.kinds)
    requests: list[TraceRequest] = []
    for number, kind in enumerate(shape.kinds):
        kind_rate_per_s = rate_per_s * kind.weight / total
        arrivals = _arrivals_ms(rng, kind_rate_per_s, 0, duration_ms)
        if burst and number == shape.bursting:
            arrivals += _arrivals_ms(
                rng,
                kind_rate_per_s * (BURST_FACTOR - 1),
                int(duration_ms * BURST_START_SHARE),
                int(duration_ms * BURST_END_SHARE),
            )
        requests += [_request(rng, configuration, kind, at) for at in arrivals]
    requests.sort()
    header = TraceHeader(shape.user, seed, load_percent, duration_ms, {})
    return Trace(header, tuple(requests))


def _mean_work_ms(
    configuration: Configuration, kind: Kind, rng: np.random.Generator
) -> dict[str, float]:
    pipeline = configuration.pipelines[kind.pipeline]
    inputs = _tokens(rng, kind.input_median, kind.input_sigma, MEAN_SAMPLE_COUNT)
    outputs = _tokens(rng, kind.output_median, kind.output_sigma, MEAN_SAMPLE_COUNT)
    work_ms: dict[str, float] = {}
    for stage in pipeline.stages:
        pool = configuration.pools[stage.pool]
        times_ms = [
            stage_work_ms(
                pool.kind,
                stage,
                pool.concurrency_per_server,
                input_,
                output,
                PREFIX_HIT_SHARE if kind.prefix_groups else 0.0,
            )
            for input_, output in zip(inputs, outputs, strict=True)
        ]
        work_ms[pool.name] = work_ms.get(pool.name, 0.0) + float(np.mean(times_ms))
    return work_ms


def _arrivals_ms(
    rng: np.random.Generator, rate_per_s: float, start_ms: int, end_ms: int
) -> list[int]:
    count = int(rate_per_s * (end_ms - start_ms) / MS_PER_S * 2) + 50
    shape = 1.0 / GAP_COEFFICIENT_OF_VARIATION**2
    mean_ms = MS_PER_S / rate_per_s
    gaps_ms = rng.gamma(shape, mean_ms / shape, count)
    at_ms = start_ms + np.cumsum(gaps_ms)
    return [int(value) for value in at_ms if value < end_ms]


def _request(
    rng: np.random.Generator, configuration: Configuration, kind: Kind, arrival_ms: int
) -> TraceRequest:
    pipeline = configuration.pipelines[kind.pipeline]
    (input_tokens,) = _tokens(rng, kind.input_median, kind.input_sigma, 1)
    (output_tokens,) = _tokens(rng, kind.output_median, kind.output_sigma, 1)
    group = _zipf_index(rng, kind.prefix_groups)
    return TraceRequest(
        arrival_ms=arrival_ms,
        workspace=kind.workspaces[_zipf_index(rng, len(kind.workspaces))],
        pipeline=kind.pipeline,
        input_tokens=input_tokens,
        output_tokens=output_tokens,
        prefix_group=f"{kind.pipeline}-{group}" if kind.prefix_groups else "",
        repeatable=pipeline.repeatable,
        deadline_ms=pipeline.deadline_ms,
    )


def _tokens(
    rng: np.random.Generator, median: float, sigma: float, count: int
) -> list[int]:
    drawn = rng.lognormal(np.log(median), sigma, count)
    return [int(value) for value in np.clip(drawn, MIN_TOKENS, MAX_INPUT_TOKENS)]


def _zipf_index(rng: np.random.Generator, count: int) -> int:
    """Draw an index below ``count`` from a Zipf distribution."""
    if count < 2:
        return 0
    weights = 1.0 / np.arange(1, count + 1) ** ZIPF_EXPONENT
    return int(rng.choice(count, p=weights / weights.sum()))
