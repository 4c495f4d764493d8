"""Describe what the platform sent and cannot be used."""

from typing import NamedTuple


class Malformed(NamedTuple):
    """Explain why a document or field was not taken."""

    where: str
    reason: str
