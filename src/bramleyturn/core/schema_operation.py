"""Define the settings of how processes operate."""

from enum import StrEnum
from typing import Final

from bramleyturn.core import value_types as types
from bramleyturn.core.schema_key import (
    DAY_MS,
    HOUR_MS,
    KIBIBYTE,
    MEBIBYTE,
    MINUTE_MS,
    SECOND_MS,
    Key,
    SectionSchema,
)


class LogLevel(StrEnum):
    """List the log levels of a process."""

    DEBUG = "debug"
    INFO = "info"
    WARNING = "warning"
    ERROR = "error"


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
            "Largest request body.",
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
            "Requests that run at the same time.",
        ),
        Key(
            "max_queued",
            types.integer(0, 100_000),
            "requests",
            "1024",
            "Requests that wait in the queue.",
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
            "Attempts of one stage of one request that reached a server.",
        ),
        Key(
            "hedge_percentile",
            types.integer(50, 99),
            "percentile",
            "95",
            "Percentile of a stage's latency after which a hedge starts.",
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
            "Consecutive failures after which a server is ejected.",
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
            "Largest share of a pool that may be ejected at the same time.",
        ),
        Key(
            "slow_start_ms",
            types.integer(0, HOUR_MS),
            "ms",
            "10000",
            "How long the load of a new server ramps up to its full share.",
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
            "Previous key, accepted while keys are rotated.",
            secret=True,
        ),
        Key(
            "lifetime_ms",
            types.integer(SECOND_MS, DAY_MS),
            "ms",
            "120000",
            "How long a ticket is valid for starting its request.",
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
            "Previous key, which signs too and is accepted during a rotation.",
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
            "Silence after which a suspected process is declared dead.",
        ),
        Key(
            "message_bytes",
            types.integer(KIBIBYTE, 16 * MEBIBYTE),
            "bytes",
            "65536",
            "Largest message.",
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
            "SHA-256 of the previous key, accepted while keys are rotated.",
            secret=True,
        ),
    ),
)

PROCESS: Final = SectionSchema(
    "process",
    "",
    "One process, in its own settings file; not published by the platform.",
    (
        Key("name", types.name(), "", None, "Its name, unique in the fleet."),
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
        Key(
            "peers",
            types.addresses(),
            "",
            "",
            "Watch: others to ask when it starts while the platform is unreachable.",
        ),
        Key(
            "peers_key",
            types.optional(types.secret()),
            "",
            "",
            "Watch: the `[peers]` key in force, to authenticate to the `peers`.",
            secret=True,
        ),
        Key(
            "log_level",
            types.choice(LogLevel),
            "",
            "info",
            "Lowest level that it logs.",
        ),
    ),
)
