"""Make blocking HTTP calls for commands."""

from collections.abc import Awaitable, Callable
from typing import Any, Final

from twisted.internet import reactor
from twisted.internet.defer import Deferred

from bramleyturn.runtime.errors import CallFailed
from bramleyturn.runtime.http_client import JsonAnswer, call_json, http_client

CALL_TIMEOUT_MS: Final = 10_000


def call_once(
    method: str, url: str, key: str, body: bytes | None = None
) -> JsonAnswer | CallFailed:
    """Return the answer to one call with a bearer key.

    Runs the reactor until then, so it works only once in a process.
    """
    return call_each(method, [url], key, body)[0]


def call_each(
    method: str, urls: list[str], key: str, body: bytes | None = None
) -> list[JsonAnswer | CallFailed]:
    """Call each URL in turn and return the answers; see ``call_once``."""

    async def make_calls() -> list[JsonAnswer | CallFailed]:
        client = http_client(reactor)
        return [
            await call_json(
                client,
                loop,
                method,
                url,
                body=body,
                headers={"Authorization": f"Bearer {key}"},
                timeout_ms=CALL_TIMEOUT_MS,
            )
            for url in urls
        ]

    loop: Any = reactor
    return run_loop(loop, make_calls)


def run_loop(
    loop: Any, work: Callable[[], Awaitable[list[JsonAnswer | CallFailed]]]
) -> list[JsonAnswer | CallFailed]:
    """Run the reactor until ``work`` is done and return its result."""
    results: list[Any] = []

    def start() -> None:
        started: Any = Deferred.fromCoroutine(work())  # type: ignore[arg-type]
        started.addBoth(results.append)
        started.addBoth(lambda _: loop.stop())

    loop.callWhenRunning(start)
    loop.run()
    if not results:
        raise KeyboardInterrupt
    if not isinstance(results[0], list):
        results[0].raiseException()
    answers: list[JsonAnswer | CallFailed] = results[0]
    return answers
