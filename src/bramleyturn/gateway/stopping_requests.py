"""Decide which requests a process that stops still takes."""

from bramleyturn.core.catalog.model import RouteKind
from bramleyturn.core.waiting.run_times import (
    ExpectedRun,
    ends_in_time,
    expect_run,
    expect_stream,
    is_better_elsewhere,
    typical_ms,
)
from bramleyturn.gateway.caller_request import CallerRequest
from bramleyturn.gateway.serving import Serving


def should_be_elsewhere(serving: Serving, request: CallerRequest) -> bool:
    """Return whether the process stops and another one should take a request."""
    if serving.shutdown is None:
        return False
    is_stream = request.route.kind is RouteKind.STREAM
    has_alternative = any(
        member.zone == serving.me.zone and member.name != serving.me.name
        for member in serving.live()
    )
    return is_better_elsewhere(
        serving.shutdown, request.arrived_ms, is_stream, has_alternative
    )


def typical_stages_ms(serving: Serving, request: CallerRequest) -> int:
    """Return how long the stages of a request usually take before its run."""
    aim_ms = request.route.aim_ms
    request_ms = typical_ms(serving.request_times, request.route.name, aim_ms)
    return max(0, request_ms - typical_ms(serving.run_times, request.pool, aim_ms))


def ends_too_late(serving: Serving, request: CallerRequest, stages_ms: int) -> bool:
    """Return whether the process stops before a request that begins now can end.

    ``stages_ms`` is how long the stages before its run usually take. A request whose
    deadline comes first ends in time.
    """
    if serving.shutdown is None or request.deadline_ms <= serving.shutdown.ends_ms:
        return False
    expected = _expected_run(serving, request)
    return not ends_in_time(
        serving.shutdown,
        request.arrived_ms,
        serving.now_ms() + stages_ms,
        expected.typical_ms,
        expected.longest_ms,
    )


def _expected_run(serving: Serving, request: CallerRequest) -> ExpectedRun:
    """Return how long the server of a request is expected to work on it."""
    times, route = serving.run_times, request.route
    if route.kind is not RouteKind.STREAM:
        return expect_run(times, request.pool, route.aim_ms)
    tokens = request.head.output_tokens
    return expect_stream(times, request.pool, tokens, route.aim_ms)
