"""Define the settings of pools, servers, pipelines, stages and workspaces."""

from typing import Final

from bramleyturn.core import value_types as types
from bramleyturn.core.model import PoolKind
from bramleyturn.core.schema_key import (
    HOUR_MS,
    MAX_MICROS,
    Key,
    SectionSchema,
)

ALL_PIPELINES: Final = "*"
NO_STAGE: Final = "none"

POOL: Final = SectionSchema(
    "pool",
    "NAME",
    "A group of interchangeable backend servers.",
    (
        Key(
            "kind",
            types.choice(PoolKind),
            "",
            None,
            "Kind of work that its servers do.",
        ),
        Key(
            "model",
            types.text(),
            "",
            "",
            "Model that its servers run; required for an engine.",
        ),
        Key(
            "price_micros_per_call",
            types.integer(0, MAX_MICROS),
            "micros",
            "0",
            "Price of one call, in millionths of the currency unit.",
        ),
        Key(
            "price_micros_per_1k_tokens",
            types.integer(0, MAX_MICROS),
            "micros",
            "0",
            "Price of 1,000 tokens, in millionths of the currency unit.",
        ),
        Key(
            "concurrency_per_server",
            types.integer(1, 10_000),
            "calls",
            "8",
            "Calls that one server runs at the same time.",
        ),
        Key(
            "recognises_idempotency_key",
            types.boolean(),
            "",
            "no",
            "Whether a repeated idempotency key never runs a call a second time.",
        ),
        Key(
            "checks_fencing",
            types.boolean(),
            "",
            "no",
            "Whether its engines refuse an order with an outdated fencing number.",
        ),
    ),
)

SERVER: Final = SectionSchema(
    "server",
    "NAME",
    "One backend server.",
    (
        Key("pool", types.name(), "", None, "Pool that it belongs to."),
        Key("zone", types.name(), "", None, "Availability zone that it runs in."),
        Key("address", types.address(), "", None, "Where it listens."),
    ),
)

PIPELINE: Final = SectionSchema(
    "pipeline",
    "NAME",
    "The stages that a request passes through.",
    (
        Key(
            "stages",
            types.names(""),
            "",
            None,
            "Its stages, each with a section `[stage PIPELINE.NAME]`.",
        ),
        Key(
            "deadline_ms",
            types.integer(1, HOUR_MS),
            "ms",
            "5000",
            "Deadline of a request that states none; at most `max_deadline_ms`.",
        ),
    ),
)

STAGE: Final = SectionSchema(
    "stage",
    "PIPELINE.NAME",
    "One step of a pipeline.",
    (
        Key("pool", types.name(), "", None, "Pool whose servers run it."),
        Key(
            "after",
            types.names(NO_STAGE, empty=True),
            "",
            "",
            "Stages whose outputs it takes; empty: the stage before it in `stages`; "
            "`none`: the pipeline's input.",
        ),
        Key(
            "repeatable",
            types.boolean(),
            "",
            "no",
            "Whether it may run more than once. `no` needs a ticket.",
        ),
        Key(
            "timeout_ms",
            types.integer(1, HOUR_MS),
            "ms",
            "4000",
            "Longest time that one attempt may take.",
        ),
        Key(
            "max_output_tokens",
            types.integer(1, 1_000_000),
            "tokens",
            "256",
            "Longest output of an engine.",
        ),
        Key(
            "hedge",
            types.boolean(),
            "",
            "no",
            "Whether a slow attempt gets a second, parallel one; needs `repeatable`.",
        ),
    ),
)

WORKSPACE: Final = SectionSchema(
    "workspace",
    "NAME",
    "A group of callers with a key and limits. The limits apply to the whole fleet.",
    (
        Key(
            "key_sha256",
            types.digest(),
            "",
            None,
            "SHA-256 of the bearer key of its callers.",
            secret=True,
        ),
        Key(
            "previous_key_sha256",
            types.optional(types.digest()),
            "",
            "",
            "SHA-256 of the previous key, accepted while keys are rotated.",
            secret=True,
        ),
        Key(
            "weight",
            types.integer(1, 1_000),
            "",
            "1",
            "Its share of the capacity when workspaces compete.",
        ),
        Key(
            "rate_per_s",
            types.integer(1, 1_000_000),
            "requests/s",
            "100",
            "Requests admitted per second.",
        ),
        Key(
            "burst",
            types.integer(1, 1_000_000),
            "requests",
            "200",
            "Requests admitted at once after an idle period.",
        ),
        Key(
            "concurrency",
            types.integer(1, 100_000),
            "requests",
            "64",
            "Requests that run at the same time.",
        ),
        Key(
            "budget_micros_per_hour",
            types.integer(0, MAX_MICROS),
            "micros/h",
            "0",
            "Money that it may spend in an hour; 0: no limit.",
        ),
        Key(
            "pipelines",
            types.names(ALL_PIPELINES),
            "",
            None,
            "Pipelines that it may use; `*`: all.",
        ),
    ),
)
