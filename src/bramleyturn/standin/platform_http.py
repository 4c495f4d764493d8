"""Serve the platform stand-in over HTTP, and its control interface separately."""

from collections.abc import Callable
from typing import Any

from klein import Klein
from twisted.internet.defer import Deferred
from twisted.internet.posixbase import PosixReactorBase
from twisted.web.http import Request

from bramleyturn.runtime.timers import stop_timer
from bramleyturn.standin.json_http import (
    BadBody,
    answer,
    bad_request,
    number_argument,
    read_object,
)
from bramleyturn.standin.lag import lagged_value, set_value
from bramleyturn.standin.platform import (
    BadChange,
    Platform,
    apply_behaviour_changes,
    count_read,
    describe_weights,
    publish,
    served_revision,
)

Answer = bytes | Deferred[bytes]


class Watchers:
    """Hold the calls that wait for a newer revision."""

    def __init__(self) -> None:
        self.waiting: list[Callable[[], None]] = []


def platform_app(
    platform: Platform, watchers: Watchers, reactor: PosixReactorBase
) -> Klein:
    """Return the application that readers of the platform call."""
    app = Klein()

    def refused(request: Request, path: str) -> bytes | None:
        if not count_read(platform, path):
            return answer(request, 429, {"error": "over the read limit"})
        if platform.behaviour.outage == "503":
            return answer(request, 503, {"error": "unavailable"})
        return None

    @app.route("/config", methods=["GET"])
    def config(request: Request) -> Answer:
        refusal = refused(request, "/config")
        if refusal is not None:
            return refusal
        after = number_argument(request, b"after", 0)
        wait_ms = number_argument(request, b"wait_ms", 0)
        if served_revision(platform) > after or not wait_ms:
            return _config_answer(platform, request)
        return _wait(platform, watchers, reactor, request, after, wait_ms)

    @app.route("/instances", methods=["GET"])
    def instances(request: Request) -> bytes:
        refusal = refused(request, "/instances")
        if refusal is not None:
            return refusal
        now_ms = platform.clock.monotonic_ms()
        listed = lagged_value(platform.instances, now_ms)
        return answer(request, 200, {"instances": listed})

    @app.route("/weights/<model>", methods=["GET"])
    def weights(request: Request, model: str) -> bytes:
        refusal = refused(request, "/weights")
        if refusal is not None:
            return refusal
        return answer(request, 200, describe_weights(model))

    return app


def _config_answer(platform: Platform, request: Request) -> bytes:
    revision = served_revision(platform)
    document = {"revision": revision, "files": platform.revisions.get(revision, {})}
    return answer(request, 200, document)


def _wait(
    platform: Platform,
    watchers: Watchers,
    reactor: PosixReactorBase,
    request: Request,
    after: int,
    wait_ms: int,
) -> Deferred[bytes]:
    """Delay the answer until a revision above ``after`` is served or time runs out."""

    def finish() -> None:
        watchers.waiting.remove(wake)
        stop_timer(timer)
        if not held.called:
            held.callback(_config_answer(platform, request))

    def wake() -> None:
        if served_revision(platform) > after:
            finish()

    def on_disconnect(_: Any) -> None:
        watchers.waiting.remove(wake)
        timer.cancel()

    held: Deferred[bytes] = Deferred(on_disconnect)
    timer = reactor.callLater(wait_ms / 1000, finish)
    watchers.waiting.append(wake)
    return held


def control_app(
    platform: Platform, watchers: Watchers, set_listening: Callable[[bool], None]
) -> Klein:
    """Return the application by which a test controls the platform."""
    app = Klein()

    @app.route("/standin/config", methods=["PUT"])
    def put_config(request: Request) -> bytes:
        body = read_object(request)
        if isinstance(body, BadBody) or not _are_files(body.get("files")):
            return bad_request(request, "expected files: an object of texts")
        revision = body.get("revision")
        if revision is not None and not isinstance(revision, int):
            return bad_request(request, "revision: expected a whole number")
        published = publish(platform, body["files"], revision)
        if isinstance(published, BadChange):
            return answer(request, 409, {"error": published.reason})
        _wake_all(watchers)
        return answer(request, 200, {"revision": published})

    @app.route("/standin/instances", methods=["PUT"])
    def put_instances(request: Request) -> bytes:
        body = read_object(request)
        if isinstance(body, BadBody) or not isinstance(body.get("instances"), list):
            return bad_request(request, "expected instances: a list")
        now_ms = platform.clock.monotonic_ms()
        set_value(platform.instances, body["instances"], now_ms)
        return answer(request, 200, {"instances": len(body["instances"])})

    @app.route("/standin/reads", methods=["GET"])
    def reads(request: Request) -> bytes:
        by_second = list(platform.reads_by_second)
        document = {
            "total": sum(platform.reads_by_path.values()),
            "refused": platform.refused_reads,
            "waiting": len(watchers.waiting),
            "by_path": platform.reads_by_path,
            "by_second": by_second,
            "most_per_s": max((count for _, count in by_second), default=0),
        }
        return answer(request, 200, document)

    @app.route("/standin/behaviour", methods=["POST"])
    def change(request: Request) -> bytes:
        body = read_object(request)
        if isinstance(body, BadBody):
            return bad_request(request, body.reason)
        behaviour = apply_behaviour_changes(platform.behaviour, body)
        if isinstance(behaviour, BadChange):
            return bad_request(request, behaviour.reason)
        platform.behaviour = behaviour
        platform.instances.lag_ms = behaviour.list_lag_ms
        set_listening(behaviour.outage != "refuse")
        _wake_all(watchers)
        return answer(request, 200, behaviour._asdict())

    return app


def _wake_all(watchers: Watchers) -> None:
    for wake in list(watchers.waiting):
        wake()


def _are_files(value: Any) -> bool:
    return isinstance(value, dict) and all(
        isinstance(text, str) for text in value.values()
    )
