"""Run coroutines that nobody awaits, and log their failures."""

import logging
from collections.abc import Coroutine
from typing import Any

from twisted.internet.defer import Deferred

logger = logging.getLogger(__name__)


def run_in_background(work: Coroutine[Any, Any, None], description: str) -> None:
    """Start ``work``; log an error that it raises, as ``description``."""

    def log_failure(failure: Any) -> None:
        logger.error(
            "background work failed",
            extra={
                "work": description,
                "error": failure.type.__name__,
                "detail": failure.getErrorMessage(),
                "trace": failure.getTraceback(),
            },
        )

    Deferred.fromCoroutine(work).addErrback(log_failure)
