"""Tune the garbage collector, so that it does not stop the event loop for long."""

import gc
import time
from collections.abc import Callable, Mapping
from typing import Final

from bramleyturn.runtime.system_clock import NANOSECONDS_PER_MS

YOUNG_OBJECTS: Final = 20_000
YOUNG_COLLECTIONS: Final = 10
MIDDLE_COLLECTIONS: Final = 10


def freeze_start_up_objects() -> None:
    """Exempt everything that exists now from later collections.

    Modules and the first configuration live as long as the process. Scanning them
    in every full collection would stop the event loop for tens of milliseconds.
    """
    gc.collect()
    gc.freeze()
    # One request leaves a few hundred objects in cycles. With the default threshold
    # of 700 the collector would run several times per request.
    gc.set_threshold(YOUNG_OBJECTS, YOUNG_COLLECTIONS, MIDDLE_COLLECTIONS)


def observe_collections(note_pause_ms: Callable[[int], None]) -> None:
    """Call ``note_pause_ms`` after each collection with the time that it took."""
    began_ns = time.monotonic_ns()

    def note_phase(phase: str, _: Mapping[str, int]) -> None:
        nonlocal began_ns
        if phase == "start":
            began_ns = time.monotonic_ns()
        else:
            note_pause_ms((time.monotonic_ns() - began_ns) // NANOSECONDS_PER_MS)

    gc.callbacks.append(note_phase)


def collected_objects() -> int:
    """Return the number of objects that only the collector could free."""
    return sum(generation["collected"] for generation in gc.get_stats())
