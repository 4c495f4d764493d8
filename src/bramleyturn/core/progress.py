"""Hold the requests and attempts in progress."""

from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any

from bramleyturn.core.crashes import PartMark
from bramleyturn.core.model import Pipeline, Pool, Server, Stage, Workspace
from bramleyturn.core.outcomes import OutcomeKind, StageOutcome
from bramleyturn.core.request_names import RequestNames


class StageState(StrEnum):
    """Name the state of one stage of a request."""

    WAITING = "waiting"
    AWAITING_INTENT = "awaiting_intent"
    AWAITING_SERVER = "awaiting_server"
    RUNNING = "running"
    ANSWERED = "answered"
    FAILED = "failed"


@dataclass(slots=True)
class Attempt:
    """Hold one attempt of a stage on a backend server.

    ``heard_ms`` is when the last part of the answer arrived, or the attempt started.
    ``names`` are those of the input, ``marks`` what its parts left on the server.
    """

    attempt_id: str
    request_key: str
    stage: str
    pool: Pool
    server: Server
    started_ms: int
    timeout_at_ms: int
    size_tokens: int
    names: RequestNames
    marks: tuple[PartMark, ...]
    resume_offset: int
    is_hedge: bool
    is_written: bool
    silence_limit_ms: int
    heard_ms: int
    longest_silence_ms: int = 0
    forecast_ms: float = 0.0


@dataclass(slots=True)
class StageProgress:
    """Hold the progress of one stage of a request.

    ``tokens`` is the part of a model engine's answer received so far.
    ``possible_runs`` counts the attempts that may have run on a backend server,
    ``connect_failures`` those that reached none.
    """

    stage: Stage
    state: StageState = StageState.WAITING
    attempt_ids: list[str] = field(default_factory=list)
    attempts_made: int = 0
    tried_servers: set[str] = field(default_factory=set)
    tokens: list[str] = field(default_factory=list)
    output: Any = None
    started_ms: int = 0
    ended_ms: int = 0
    cost_micros: int = 0
    possible_runs: int = 0
    connect_failures: int = 0
    outcome_is_certain: bool = True
    intended_server: str = ""

    @property
    def may_have_run(self) -> bool:
        """Tell whether any attempt may have run."""
        return self.possible_runs > 0


@dataclass(slots=True)
class RunningRequest:
    """Hold one request from its arrival to its outcome."""

    key: str
    request_id: str
    workspace: Workspace
    pipeline: Pipeline
    input: Any
    input_digest: bytes
    input_bytes: int
    arrived_ms: int
    deadline_at_ms: int
    ticket_number: int | None
    waiters: set[str]
    stages: dict[str, StageProgress]
    is_admitted: bool = False
    cost_micros: int = 0
    reserved_micros: int = 0


def new_stages(pipeline: Pipeline) -> dict[str, StageProgress]:
    """Return the stages of a pipeline, none of them started."""
    return {stage.name: StageProgress(stage) for stage in pipeline.stages}


def ready_stages(request: RunningRequest) -> list[StageProgress]:
    """Return the waiting stages whose predecessors have all answered."""
    return [
        progress
        for progress in request.stages.values()
        if progress.state is StageState.WAITING
        and all(
            request.stages[name].state is StageState.ANSWERED
            for name in progress.stage.after
        )
    ]


def stage_input(request: RunningRequest, stage: Stage) -> Any:
    """Return what a stage works on.

    A stage without predecessors gets the caller's input, one with a single
    predecessor its output, any other an object with each predecessor's output.
    """
    if not stage.after:
        return request.input
    if len(stage.after) == 1:
        return request.stages[stage.after[0]].output
    return {name: request.stages[name].output for name in stage.after}


def final_output(request: RunningRequest) -> Any:
    """Return the output of the last stage, or of each stage nothing depends on."""
    predecessors = {name for stage in request.pipeline.stages for name in stage.after}
    last = [
        stage.name
        for stage in request.pipeline.stages
        if stage.name not in predecessors
    ]
    if len(last) == 1:
        return request.stages[last[0]].output
    return {name: request.stages[name].output for name in last}


def all_answered(request: RunningRequest) -> bool:
    """Tell whether every stage has its answer."""
    return all(
        progress.state is StageState.ANSWERED for progress in request.stages.values()
    )


def stage_outcomes(request: RunningRequest, now_ms: int) -> tuple[StageOutcome, ...]:
    """Return how each stage ended."""
    return tuple(
        StageOutcome(
            name=progress.stage.name,
            kind=stage_outcome_kind(progress),
            attempts=progress.attempts_made,
            elapsed_ms=stage_elapsed_ms(progress, now_ms),
            cost_micros=progress.cost_micros,
        )
        for progress in request.stages.values()
    )


def stage_outcome_kind(progress: StageProgress) -> OutcomeKind:
    """Return the outcome of one stage."""
    if progress.state is StageState.ANSWERED:
        return OutcomeKind.ANSWERED
    if not progress.may_have_run:
        return OutcomeKind.NOT_RUN
    if not progress.stage.repeatable and not progress.outcome_is_certain:
        return OutcomeKind.UNKNOWN
    return OutcomeKind.FAILED


def stage_elapsed_ms(progress: StageProgress, now_ms: int) -> int:
    """Return how long a stage took, or has taken so far."""
    if not progress.started_ms:
        return 0
    return (progress.ended_ms or now_ms) - progress.started_ms


def overall_kind(request: RunningRequest) -> OutcomeKind:
    """Return the outcome of a request that ends without an answer.

    It is ``not_run`` only while no stage may have run, and ``unknown`` as soon as a
    stage that may not be repeated has an uncertain end.
    """
    kinds = [stage_outcome_kind(progress) for progress in request.stages.values()]
    if OutcomeKind.UNKNOWN in kinds:
        return OutcomeKind.UNKNOWN
    if all(kind is OutcomeKind.NOT_RUN for kind in kinds):
        return OutcomeKind.NOT_RUN
    return OutcomeKind.FAILED
