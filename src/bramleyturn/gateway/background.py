"""Run work that nobody waits for, so that its failure still shows."""

import logging
from collections.abc import Coroutine
from typing import Any

from twisted.internet.defer import Deferred

logger = logging.getLogger(__name__)


def run_in_background(work: Coroutine[Any, Any, None], what: str) -> None:
    """Start ``work``; an error that it ends with is logged as one of ``what``."""

    def log_failure(failure: Any) -> None:
        logger.error(
            "background work failed",
            extra={
                "work": what,
                "error": failure.type.__name__,
                "detail": failure.getErrorMessage(),
                "trace": failure.getTraceback(),
            },
        )

    Deferred.fromCoroutine(work).addErrback(log_failure)
