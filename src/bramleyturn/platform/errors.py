"""Describe data of the platform that cannot be used."""

from typing import NamedTuple


class Malformed(NamedTuple):
    """Hold which document or field was rejected, and why."""

    where: str
    reason: str
