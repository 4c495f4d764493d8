"""Compute the expected output and calls of a request."""

from typing import Any, NamedTuple

from bramleyturn.bench.verdicts import RunKey
from bramleyturn.core.model import Configuration
from bramleyturn.standin.answers import expected_output, input_digest, stage_input


class Expected(NamedTuple):
    """Hold the expected output and the calls of non-repeatable stages."""

    output: Any
    run_keys: tuple[RunKey, ...]


def expect(configuration: Configuration, pipeline: str, value: Any) -> Expected:
    """Return what ``pipeline`` must return and call for the input ``value``."""
    outputs: dict[str, Any] = {}
    output = value
    run_keys = []
    for stage in configuration.pipelines[pipeline].stages:
        pool = configuration.pools[stage.pool]
        given = stage_input(stage, value, outputs)
        output = expected_output(pool.kind, pool.model, given, stage.max_output_tokens)
        outputs[stage.name] = output
        if not stage.repeatable:
            run_keys.append(RunKey(pool.name, input_digest(given)))
    return Expected(output, tuple(run_keys))
