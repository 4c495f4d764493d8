"""Fixtures that the tests with real processes share."""

from collections.abc import Iterator

import pytest

from scripts.fleet import Fleet
from tests.proofs.fleet_calls import heal


@pytest.fixture
def healed(fleet: Fleet) -> Iterator[Fleet]:
    """Return the module's fleet, and remove every fault after the test."""
    yield fleet
    heal(fleet)
