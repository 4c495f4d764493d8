"""List every setting with its type, unit, bounds, default and meaning."""

from typing import Final, NamedTuple

from bramleyturn.core import value_types as types
from bramleyturn.core.model import PoolKind
from bramleyturn.core.value_types import ValueType

ALL_PIPELINES: Final = "*"
NO_STAGE: Final = "none"

SECOND_MS: Final = 1_000
MINUTE_MS: Final = 60 * SECOND_MS
HOUR_MS: Final = 60 * MINUTE_MS
DAY_MS: Final = 24 * HOUR_MS
KIBIBYTE: Final = 1024
MEBIBYTE: Final = 1024 * KIBIBYTE
MAX_MICROS: Final = 10**15


class Key(NamedTuple):
    """Describe one setting. Without a ``default`` it must be set.

    The value of a ``secret`` is never shown.
    """

    name: str
    type: ValueType
    unit: str
    default: str | None
    meaning: str
    secret: bool = False


class SectionSchema(NamedTuple):
    """Describe a kind of section. ``named`` sections read ``[kind NAME]``."""

    kind: str
    named: str
    meaning: str
    keys: tuple[Key, ...]


POOL: Final = SectionSchema(
    "pool",
    "NAME",
    "Backend servers that serve the same stage interchangeably.",
    (
        Key("kind", types.choice(PoolKind), "", None, "What its servers do."),
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
            "Calls that one server runs at a time.",
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
            "Whether its engines refuse an order with an old fencing number.",
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
            "Whether a slow attempt gets a second one beside it; needs `repeatable`.",
        ),
    ),
)

WORKSPACE: Final = SectionSchema(
    "workspace",
    "NAME",
    "A group of callers with its key and its limits. Limits hold for the fleet.",
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
            "SHA-256 of the key before, accepted while keys are rotated.",
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
            "Requests admitted at once after a quiet time.",
        ),
        Key(
            "concurrency",
            types.integer(1, 100_000),
            "requests",
            "64",
            "Requests that run at a time.",
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

LIMITS: Final = SectionSchema(
    "limits",
    "",
    "Limits of each entry process.",
    (
        Key(
            "max_body_bytes",
            types.integer(KIBIBYTE, 64 * MEBIBYTE),
            "bytes",
            "1048576",
            "Longest body of a request.",
        ),
        Key(
            "max_deadline_ms",
            types.integer(1, HOUR_MS),
            "ms",
            "120000",
            "Longest deadline that a request may state.",
        ),
        Key(
            "max_running",
            types.integer(1, 100_000),
            "requests",
            "512",
            "Requests that run at a time.",
        ),
        Key(
            "max_queued",
            types.integer(0, 100_000),
            "requests",
            "1024",
            "Requests that wait for their turn.",
        ),
        Key(
            "retry_ratio_percent",
            types.integer(0, 100),
            "%",
            "10",
            "Retries and hedges, as a share of first attempts.",
        ),
        Key(
            "max_attempts",
            types.integer(1, 10),
            "attempts",
            "3",
            "Attempts of one stage of one request, the first included.",
        ),
        Key(
            "hedge_percentile",
            types.integer(50, 99),
            "percentile",
            "95",
            "Percentile of a stage's time after which a hedge starts.",
        ),
        Key(
            "kept_outcome_ms",
            types.integer(SECOND_MS, DAY_MS),
            "ms",
            "300000",
            "How long the outcome of a request is kept for its caller.",
        ),
        Key(
            "ejection_failures",
            types.integer(1, 1_000),
            "failures",
            "5",
            "Failures in a row after which a server gets no work for a time.",
        ),
        Key(
            "ejection_ms",
            types.integer(1, HOUR_MS),
            "ms",
            "10000",
            "How long an ejected server gets no work.",
        ),
        Key(
            "ejection_max_percent",
            types.integer(0, 100),
            "%",
            "50",
            "Largest share of a pool that may be ejected at a time.",
        ),
        Key(
            "slow_start_ms",
            types.integer(0, HOUR_MS),
            "ms",
            "10000",
            "How long the load of a new server rises to its full share.",
        ),
        Key(
            "leaving_grace_ms",
            types.integer(0, HOUR_MS),
            "ms",
            "3000",
            "How long a leaving server may still start queued work.",
        ),
    ),
)

TICKETS: Final = SectionSchema(
    "tickets",
    "",
    "Tickets of requests that may not be repeated.",
    (
        Key(
            "key",
            types.optional(types.secret()),
            "",
            "",
            "Key that signs tickets; required by a stage that is not `repeatable`.",
            secret=True,
        ),
        Key(
            "previous_key",
            types.optional(types.secret()),
            "",
            "",
            "The key before, accepted while keys are rotated.",
            secret=True,
        ),
        Key(
            "lifetime_ms",
            types.integer(SECOND_MS, DAY_MS),
            "ms",
            "120000",
            "How long a ticket may start its request.",
        ),
        Key(
            "margin_ms",
            types.integer(0, DAY_MS),
            "ms",
            "60000",
            "How long a ticket is remembered after its expiry.",
        ),
        Key(
            "intent_timeout_ms",
            types.integer(1, MINUTE_MS),
            "ms",
            "500",
            "Longest wait for the backup to record an intent.",
        ),
    ),
)

PEERS: Final = SectionSchema(
    "peers",
    "",
    "Messages between entry processes.",
    (
        Key(
            "key",
            types.optional(types.secret()),
            "",
            "",
            "Key that signs messages; empty: none are sent or accepted.",
            secret=True,
        ),
        Key(
            "previous_key",
            types.optional(types.secret()),
            "",
            "",
            "The key before, accepted while keys are rotated.",
            secret=True,
        ),
        Key(
            "probe_interval_ms",
            types.integer(10, MINUTE_MS),
            "ms",
            "1000",
            "Time between heartbeats that a process sends.",
        ),
        Key(
            "probe_timeout_ms",
            types.integer(1, MINUTE_MS),
            "ms",
            "500",
            "Longest wait for the answer to a heartbeat.",
        ),
        Key(
            "suspect_ms",
            types.integer(10, HOUR_MS),
            "ms",
            "5000",
            "Silence after which a suspected process counts as gone.",
        ),
        Key(
            "message_bytes",
            types.integer(KIBIBYTE, 16 * MEBIBYTE),
            "bytes",
            "65536",
            "Longest message.",
        ),
    ),
)

ADMIN: Final = SectionSchema(
    "admin",
    "",
    "Access of operators to the administration API.",
    (
        Key(
            "key_sha256",
            types.optional(types.digest()),
            "",
            "",
            "SHA-256 of the operators' bearer key; empty: no access.",
            secret=True,
        ),
        Key(
            "previous_key_sha256",
            types.optional(types.digest()),
            "",
            "",
            "SHA-256 of the key before, accepted while keys are rotated.",
            secret=True,
        ),
    ),
)

PROCESS: Final = SectionSchema(
    "process",
    "",
    "One process, in its own settings file; not published by the platform.",
    (
        Key("name", types.name(), "", None, "Its name, unique among the fleet."),
        Key("zone", types.name(), "", None, "Availability zone that it runs in."),
        Key(
            "listen",
            types.address(any_port=True),
            "",
            None,
            "Where it listens; port 0: any free port.",
        ),
        Key(
            "watch",
            types.optional(types.address()),
            "",
            "",
            "Entry and admin: the watch of this instance.",
        ),
        Key("platform", types.addresses(), "", "", "Watch: the platform's addresses."),
        Key(
            "advertise",
            types.optional(types.address()),
            "",
            "",
            "Address that others use; empty: the one it listens on.",
        ),
    ),
)

PUBLISHED: Final = (
    POOL,
    SERVER,
    PIPELINE,
    STAGE,
    WORKSPACE,
    LIMITS,
    TICKETS,
    PEERS,
    ADMIN,
)
