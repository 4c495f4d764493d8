"""Run the stages of one request, each as soon as its inputs are ready."""

from typing import Final, NamedTuple

from twisted.internet.defer import Deferred

from bramleyturn.core.catalog.model import Route
from bramleyturn.core.pieces.later_stages import later_stages
from bramleyturn.core.pieces.model import AskDone, PieceFailure, StageAsk
from bramleyturn.core.placement.engine_queues import EngineNeed
from bramleyturn.gateway.serving import Serving
from bramleyturn.gateway.stage_asks import StageAsks

# If a result is lost before it is used, all stages are run once more.
MAX_ROUNDS: Final = 2


class StageSpec(NamedTuple):
    """Hold the data of a request that its stages need.

    ``due_ms`` is when all stages must be done for the request to be in time, and
    ``given_up_ms`` for its caller still to wait, None if it waits until the deadline.
    """

    route: Route
    attempt_id: str
    counts: tuple[int, ...]
    key: str
    due_ms: int
    deadline_ms: int
    urgency: int
    near_zone: str
    fingerprint: str
    given_up_ms: int | None
    engine_need: EngineNeed | None = None


class StageResults(NamedTuple):
    """Hold the result handles that the request needs as inputs, or the failure.

    ``engine`` is the one that was chosen for the request, empty if none was.
    """

    inputs: tuple[str, ...]
    zones: tuple[str, ...]
    failure: PieceFailure | None
    wait_ms: int = 0
    engine: str = ""


class StageWork:
    """Track the progress of the stages of one request."""

    def __init__(self, serving: Serving, asks: StageAsks, spec: StageSpec) -> None:
        self.serving = serving
        self.asks = asks
        self.spec = spec
        self.round = 0
        self.results: dict[int, AskDone] = {}
        self.running: dict[int, Deferred[AskDone]] = {}
        self.released: set[int] = set()
        self.ended: Deferred[StageResults] | None = None

    def start(self) -> "Deferred[StageResults]":
        """Start the first stages. Cancelling the result stops all stages."""
        self.round += 1
        self.results = {}
        self.released = set()
        self.ended = Deferred(lambda _: self.stop())
        self._start_ready()
        self._end_if_done()
        return self.ended

    def stop(self) -> None:
        """Withdraw the running asks and release all results."""
        running = list(self.running.values())
        self.running = {}
        for pending in running:
            pending.addErrback(lambda _: None)
            pending.cancel()
        self.release_all()

    def release_all(self) -> None:
        """Release every result that is not released yet."""
        for stage in list(self.results):
            self._release(stage)

    def _start_ready(self) -> None:
        for number, stage in enumerate(self.spec.route.stages):
            is_new = number not in self.results and number not in self.running
            if not is_new or not self.spec.counts[number]:
                continue
            needed = self._needed(stage.after)
            if all(earlier in self.results for earlier in needed):
                self._ask(number, needed)

    def _needed(self, after: tuple[int, ...]) -> list[int]:
        return [earlier for earlier in after if self.spec.counts[earlier]]

    def _ask(self, number: int, needed: list[int]) -> None:
        spec = self.spec
        stage = spec.route.stages[number]
        ask = StageAsk(
            ask_id=f"{spec.attempt_id}.{number}.{self.round}",
            pool=stage.pool,
            attempt_id=spec.attempt_id,
            stage=number,
            piece_count=spec.counts[number],
            key=spec.key,
            inputs=tuple(
                handle for earlier in needed for handle in self.results[earlier].handles
            ),
            result_bytes=stage.result_bytes,
            due_ms=spec.due_ms,
            deadline_ms=spec.deadline_ms,
            urgency=spec.urgency,
            near_zone=self._near_zone(),
            has_started=bool(self.results),
            later=later_stages(spec.route, spec.counts, number),
            input_bytes=self._input_bytes(needed),
            fingerprint=spec.fingerprint,
            is_only_reader=self._is_only_reader(number, needed),
            given_up_ms=spec.given_up_ms,
            engine_need=spec.engine_need,
            engine=self._engine(),
        )
        pending = self.asks.ask(ask)
        self.running[number] = pending
        pending.addCallback(lambda done: self._handle_done(number, done))

    def _engine(self) -> str:
        """Return the engine that was chosen with an earlier stage, empty if none."""
        return next((done.engine for done in self.results.values()), "")

    def _near_zone(self) -> str:
        """Return the availability zone of the engine that will use the results."""
        need, engine = self.spec.engine_need, self._engine()
        options = need.options if need is not None else ()
        zones = [option.zone for option in options if option.server_id == engine]
        return zones[0] if zones else self.spec.near_zone

    def _input_bytes(self, needed: list[int]) -> tuple[tuple[str, int], ...]:
        """Return how many bytes of the earlier stages' results are in each zone."""
        by_zone: dict[str, int] = {}
        for earlier in needed:
            size = self.spec.route.stages[earlier].result_bytes
            for zone in self.results[earlier].zones:
                by_zone[zone] = by_zone.get(zone, 0) + size
        return tuple(sorted(by_zone.items()))

    def _handle_done(self, number: int, done: AskDone) -> None:
        if self.running.pop(number, None) is None:
            return
        if done.failure is not None:
            self._handle_failure(done.failure, done.wait_ms)
            return
        self.results[number] = done
        self._release_used()
        self._start_ready()
        self._end_if_done()

    def _handle_failure(self, failure: PieceFailure, wait_ms: int) -> None:
        ended = self.ended
        self.stop()
        # If the results expired while a late request waited, they would expire again.
        is_late = self.serving.now_ms() > self.spec.due_ms
        may_retry = failure is PieceFailure.INPUT_GONE and self.round < MAX_ROUNDS
        if may_retry and not is_late:
            self.round += 1
            self.results = {}
            self.released = set()
            self._start_ready()
            return
        if ended is not None and not ended.called:
            ended.callback(StageResults((), (), failure, wait_ms))

    def _is_only_reader(self, number: int, needed: list[int]) -> bool:
        """Return whether no other stage needs the results of the ``needed`` ones."""
        return all(
            not set(stage.after).intersection(needed)
            for later, stage in enumerate(self.spec.route.stages)
            if later != number and self.spec.counts[later]
        )

    def is_space_short(self) -> bool:
        """Return whether results should be released once they are fetched."""
        return any(done.is_space_short for done in self.results.values())

    def _release_used(self) -> None:
        """Release the results that all of the following stages have read."""
        for number in list(self.results):
            followers = [
                later
                for later, stage in enumerate(self.spec.route.stages)
                if number in stage.after and self.spec.counts[later]
            ]
            if followers and all(later in self.results for later in followers):
                self._release(number)

    def _release(self, number: int) -> None:
        if number in self.released:
            return
        self.released.add(number)
        stage = self.spec.route.stages[number]
        handles = self.results[number].handles
        self.asks.release(stage.pool, handles, stage.result_bytes)

    def _last_stages(self) -> list[int]:
        """Return the stages whose results the request itself needs."""
        stages = self.spec.route.stages
        counts = self.spec.counts
        followed = {
            earlier
            for number, stage in enumerate(stages)
            if counts[number]
            for earlier in stage.after
        }
        return [
            number
            for number in range(len(stages))
            if counts[number] and number not in followed
        ]

    def _end_if_done(self) -> None:
        last = self._last_stages()
        if self.running or not all(number in self.results for number in last):
            return
        ended = self.ended
        if ended is None or ended.called:
            return
        ended.callback(
            StageResults(
                tuple(handle for each in last for handle in self.results[each].handles),
                tuple(zone for each in last for zone in self.results[each].zones),
                None,
                engine=self._engine(),
            )
        )
