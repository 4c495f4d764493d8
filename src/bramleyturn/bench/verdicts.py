"""Check the outcomes that callers received against what backend servers ran."""

from collections import Counter
from collections.abc import Mapping, Sequence
from enum import StrEnum
from typing import Any, Final, NamedTuple


class Outcome(StrEnum):
    """List the ways a request can end for its caller."""

    ANSWERED = "answered"
    NOT_RUN = "not_run"
    FAILED = "failed"
    UNKNOWN = "unknown"
    LOST = "lost"
    REFUSED = "refused"


class Fault(StrEnum):
    """List the faults that must never happen to a request."""

    LOST = "lost"
    DOUBLED = "doubled"
    CUT = "cut"
    CROSSED = "crossed"
    FALSE_NOT_RUN = "false_not_run"


FAULTS: Final = tuple(Fault)


class RunKey(NamedTuple):
    """Identify one non-repeatable call by its pool and input."""

    pool: str
    input_digest: str


class Try(NamedTuple):
    """Describe one send under one ticket, or all sends of repeatable work.

    ``run_keys`` holds the non-repeatable calls.
    """

    outcome: Outcome
    run_keys: tuple[RunKey, ...]


class StageCost(NamedTuple):
    """Hold what an answer reports about one stage."""

    outcome: str
    attempts: int
    elapsed_ms: int
    cost_micros: int


class Finished(NamedTuple):
    """Describe how one request ended. ``elapsed_ms`` is measured by the caller."""

    number: int
    pipeline: str
    outcome: Outcome
    output: Any
    expected: Any
    elapsed_ms: int
    deadline_ms: int
    tries: tuple[Try, ...]
    stages: dict[str, StageCost]
    reason: str


class Verdict(NamedTuple):
    """Report one fault of one request."""

    number: int
    pipeline: str
    fault: Fault
    detail: str


def judge(
    finished: Sequence[Finished], runs: Mapping[RunKey, int]
) -> tuple[Verdict, ...]:
    """Return every fault, in the order of the requests.

    ``runs`` counts the calls by key in the ledgers of the backend servers.
    """
    owners = _owners_of_answers(finished)
    verdicts: list[Verdict] = []
    for request in finished:
        for fault, detail in _faults_of(request, owners, runs):
            verdicts.append(Verdict(request.number, request.pipeline, fault, detail))
    return tuple(verdicts)


def _owners_of_answers(finished: Sequence[Finished]) -> dict[str, int]:
    return {repr(request.expected): request.number for request in finished}


def _faults_of(
    request: Finished, owners: Mapping[str, int], runs: Mapping[RunKey, int]
) -> list[tuple[Fault, str]]:
    faults = []
    if request.outcome is Outcome.LOST:
        faults.append((Fault.LOST, request.reason))
    if request.outcome is Outcome.ANSWERED:
        faults += _faults_of_answer(request, owners)
    return faults + _faults_of_runs(request, runs)


def _faults_of_answer(
    request: Finished, owners: Mapping[str, int]
) -> list[tuple[Fault, str]]:
    if request.output == request.expected:
        return []
    owner = owners.get(repr(request.output))
    if owner is not None and owner != request.number:
        return [(Fault.CROSSED, f"the answer of request {owner}")]
    return [(Fault.CUT, _difference(request.output, request.expected))]


def _difference(output: Any, expected: Any) -> str:
    got, wanted = repr(output), repr(expected)
    return f"{len(got)} characters instead of {len(wanted)}"


def _faults_of_runs(
    request: Finished, runs: Mapping[RunKey, int]
) -> list[tuple[Fault, str]]:
    faults = []
    for each in request.tries:
        ran = [key for key in each.run_keys if runs.get(key, 0)]
        if each.outcome is Outcome.NOT_RUN and ran:
            faults.append((Fault.FALSE_NOT_RUN, f"ran in {_pools(ran)}"))
    doubled = _doubled_stages(request, runs)
    if doubled:
        faults.append((Fault.DOUBLED, f"stages {doubled} ran more than once"))
    return faults


def _doubled_stages(request: Finished, runs: Mapping[RunKey, int]) -> list[int]:
    ran_by_stage: Counter[int] = Counter()
    for each in request.tries:
        for stage, key in enumerate(each.run_keys):
            ran_by_stage[stage] += runs.get(key, 0)
    return [stage for stage, ran in sorted(ran_by_stage.items()) if ran > 1]


def _pools(keys: Sequence[RunKey]) -> str:
    return ", ".join(key.pool for key in keys)
