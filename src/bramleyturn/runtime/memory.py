"""Tune the garbage collector, so that it does not stop the event loop for long."""

import gc
from typing import Final

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
