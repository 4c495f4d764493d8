"""List the sections of a published configuration and of a settings file."""

from typing import Final

from bramleyturn.core.schema_key import Key, SectionSchema
from bramleyturn.core.schema_operation import ADMIN, LIMITS, PEERS, PROCESS, TICKETS
from bramleyturn.core.schema_serving import (
    ALL_PIPELINES,
    NO_STAGE,
    PIPELINE,
    POOL,
    SERVER,
    STAGE,
    WORKSPACE,
)

__all__ = [
    "ADMIN",
    "ALL_PIPELINES",
    "LIMITS",
    "NO_STAGE",
    "PEERS",
    "PIPELINE",
    "POOL",
    "PROCESS",
    "PUBLISHED",
    "SERVER",
    "STAGE",
    "TICKETS",
    "WORKSPACE",
    "Key",
    "SectionSchema",
]

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
