"""Replay a trace from the command line."""

import sys
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Final

import cappa
import orjson

from bramleyturn.bench.replay import ReplayResult, missed_outcomes, replay
from bramleyturn.bench.replay_faults import CALM, FAULTS, is_fault
from bramleyturn.bench.replay_policies import POLICIES
from bramleyturn.bench.trace import BadTrace, Trace, parse_trace
from bramleyturn.core.configuration import RefusedConfiguration, load_configuration
from bramleyturn.core.fault import describe_fault
from bramleyturn.core.model import Configuration
from bramleyturn.programs.commands_settings import ExitCode
from bramleyturn.runtime.settings_file import Unreadable, read_folder

OWN_POLICY: Final = "own"


def run_replay(command: "Replay") -> int:
    """Replay a trace and compare it with its stated outcomes."""
    trace = read_trace(command.trace)
    configuration = read_configuration(command.settings)
    check_names(command)
    check_trace(trace, configuration)
    result = replay(
        trace,
        configuration,
        policy=command.policy,
        fault=command.fault,
        seed=command.seed,
    )
    is_stated = command.fault == CALM and command.policy == OWN_POLICY
    missed = missed_outcomes(result, trace.header.stated) if is_stated else []
    print(as_json(result) if command.json else as_text(result))
    for line in missed:
        print(line, file=sys.stderr)
    return ExitCode.FAULTS if missed else ExitCode.OK


@cappa.command(name="replay", invoke=run_replay)
@dataclass(frozen=True)
class Replay:
    """Replay a trace in virtual time against modelled backend servers.

    Without a fault and with the entry's own policy the result is compared with the
    outcomes that the trace states. Exit code 0: replayed; 1: a stated outcome was
    missed; 2: trace or settings cannot be used.
    """

    trace: Annotated[Path, cappa.Arg(help="Trace of JSON lines.")]
    settings: Annotated[Path, cappa.Arg(long=True, help="Folder of .ini files.")]
    seed: Annotated[int, cappa.Arg(long=True, help="Seed of all random draws.")] = 1
    fault: Annotated[
        str,
        cappa.Arg(
            long=True, help=f"{CALM}, or of {', '.join(FAULTS)}; join several by +."
        ),
    ] = CALM
    policy: Annotated[
        str, cappa.Arg(long=True, help=f"One of {', '.join(POLICIES)}.")
    ] = OWN_POLICY
    json: Annotated[bool, cappa.Arg(long=True, help="Print one JSON object.")] = False


def read_trace(path: Path) -> Trace:
    """Return the trace in a file, or exit when it cannot be used."""
    try:
        text = path.read_bytes()
    except OSError as error:
        raise unusable(f"cannot read {path}: {error.strerror}") from error
    trace = parse_trace(text)
    if isinstance(trace, BadTrace):
        raise unusable(f"{path}:{trace.line}: {trace.reason}")
    return trace


def read_configuration(folder: Path) -> Configuration:
    """Return the configuration in a folder, or exit when it cannot be used."""
    files = read_folder(folder)
    if isinstance(files, Unreadable):
        raise unusable(f"cannot read {files.path}: {files.reason}")
    loaded = load_configuration(revision=1, files=files)
    if isinstance(loaded, RefusedConfiguration):
        raise unusable("\n".join(describe_fault(fault) for fault in loaded.faults))
    return loaded


def check_names(command: Replay) -> None:
    """Exit when the fault or the policy is unknown."""
    if command.policy not in POLICIES:
        raise unusable(f"unknown policy {command.policy}")
    if not is_fault(command.fault):
        raise unusable(f"unknown fault {command.fault}")


def check_trace(trace: Trace, configuration: Configuration) -> None:
    """Exit if the trace names a pipeline or workspace that the settings lack."""
    for number, request in enumerate(trace.requests, start=2):
        if request.pipeline not in configuration.pipelines:
            raise unusable(f"line {number}: unknown pipeline {request.pipeline}")
        if request.workspace not in configuration.workspaces:
            raise unusable(f"line {number}: unknown workspace {request.workspace}")


def unusable(message: str) -> cappa.Exit:
    """Return the exit for unusable input."""
    return cappa.Exit(message, code=ExitCode.UNUSABLE)


def as_json(result: ReplayResult) -> str:
    """Return a result as one line of JSON."""
    return orjson.dumps(result._asdict()).decode()


def as_text(result: ReplayResult) -> str:
    """Return a result as one line for each figure."""
    lines = []
    for name, value in result._asdict().items():
        if isinstance(value, dict):
            lines += [f"{name}.{key} {shown(item)}" for key, item in value.items()]
        else:
            lines.append(f"{name} {shown(value)}")
    return "\n".join(lines)


def shown(value: float) -> str:
    """Return a figure as text."""
    return f"{value:.4f}" if isinstance(value, float) else str(value)
