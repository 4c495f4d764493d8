"""Operate a running availability zone from the command line."""

import os
import sys
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import IntEnum
from pathlib import Path
from typing import Annotated, Any, Final

import cappa
import orjson

from bramleyturn.core.address import parse_address
from bramleyturn.core.intake import MAX_KEY_CHARACTERS
from bramleyturn.core.since import parse_since_ms
from bramleyturn.core.timeline_merge import (
    MergedEvent,
    ProcessTimeline,
    merge_timelines,
    select_events,
    split_timelines,
)
from bramleyturn.core.timeline_page import timeline_page, timeline_text
from bramleyturn.programs.operate_tables import cost_text, servers_text, status_text
from bramleyturn.runtime.command_client import call_each
from bramleyturn.runtime.errors import CallFailed
from bramleyturn.runtime.http_client import JsonAnswer
from bramleyturn.runtime.settings_file import Unreadable, read_text
from bramleyturn.runtime.system_clock import system_clock

KEY_VARIABLE: Final = "BRAMLEYTURN_KEY"
FIRST_REFUSAL: Final = 400

Document = dict[str, Any]


class ExitCode(IntEnum):
    """Define the exit codes of the operators' commands."""

    OK = 0
    UNHEALTHY = 1
    USAGE = 2
    UNREACHABLE = 3


def run_status(command: "Status") -> int:
    """Print the processes of a zone; return whether any needs attention."""
    document = ask(command, "/v1/status")
    show(command, document, status_text)
    return ExitCode.UNHEALTHY if document["problems"] else ExitCode.OK


def run_cost(command: "Cost") -> int:
    """Print what each workspace has spent."""
    document = ask(command, "/v1/cost")
    show(command, document, cost_text)
    return completeness(document)


def run_servers(command: "Servers") -> int:
    """Print the backend servers."""
    document = ask(command, "/v1/servers")
    show(command, document, servers_text)
    return completeness(document)


def run_drain(command: "Drain") -> int:
    """Order an entry process to drain."""
    body = orjson.dumps({"process": command.process})
    document = ask(command, "/v1/drain", "POST", body)
    show(command, document, lambda answer: f"{answer['process']} is draining")
    return ExitCode.OK


def run_timeline(command: "Timeline") -> int:
    """Print the merged timeline, or write it to a file."""
    since_ms = since_or_exit(command.since)
    documents = ask_each(command.admin, command, "/v1/timeline")
    events = select_events(
        merge_documents(documents), command.request, command.process, since_ms
    )
    if command.html is not None:
        write_page(command.html, timeline_page(events, command.request))
        print(f"{len(events)} events written to {command.html}")
    elif command.json:
        print(orjson.dumps([event._asdict() for event in events]).decode())
    else:
        print(timeline_text(events), end="")
    missing = sorted(name for each in documents for name in each["unreachable"])
    for name in missing:
        print(f"unreachable, its events are missing: {name}", file=sys.stderr)
    return ExitCode.UNHEALTHY if missing else ExitCode.OK


def merge_documents(documents: list[Document]) -> tuple[MergedEvent, ...]:
    """Return the events of several zones in one order."""
    timelines: list[ProcessTimeline] = []
    for document in documents:
        found = split_timelines(document)
        if found is None:
            raise cappa.Exit("malformed timeline", code=ExitCode.UNREACHABLE)
        timelines += found
    return merge_timelines(timelines)


def since_or_exit(text: str) -> int | None:
    """Parse --since, None for all events, or exit if it is malformed."""
    if not text:
        return None
    since_ms = parse_since_ms(text, system_clock().wall_ms())
    if since_ms is None:
        raise cappa.Exit(
            f"--since: expected an age such as 90s, 10m or 2h, or a time such as "
            f"2031-05-04T09:30:00Z, found {text}",
            code=ExitCode.USAGE,
        )
    return since_ms


def write_page(path: Path, page: str) -> None:
    """Write the HTML page, or exit if it cannot be written."""
    try:
        path.write_text(page, encoding="utf-8")
    except OSError as error:
        message = f"cannot write {path}: {error.strerror}"
        raise cappa.Exit(message, code=ExitCode.USAGE) from error


def completeness(document: Document) -> int:
    """Return the exit code of an answer that may lack some processes."""
    return ExitCode.UNHEALTHY if document["unreachable"] else ExitCode.OK


def show(
    command: "ToAdmin", document: Document, text: Callable[[Document], str]
) -> None:
    """Print a document as text, or as JSON if the command says so."""
    print(orjson.dumps(document).decode() if command.json else text(document))


def ask(
    command: "ToOneAdmin", path: str, method: str = "GET", body: bytes | None = None
) -> Document:
    """Return the answer of the administration process, or exit on failure."""
    return ask_each([command.admin], command, path, method, body)[0]


def ask_each(
    addresses: list[str],
    command: "ToAdmin",
    path: str,
    method: str = "GET",
    body: bytes | None = None,
) -> list[Document]:
    """Return the answers of administration processes, or exit on failure."""
    for address in addresses:
        if parse_address(address) is None:
            message = f"--admin: expected IP:PORT, found {address}"
            raise cappa.Exit(message, code=ExitCode.USAGE)
    key = read_key(command.key_file)
    urls = [f"http://{address}{path}" for address in addresses]
    answers = call_each(method, urls, key, body)
    return [
        document_or_exit(address, answer)
        for address, answer in zip(addresses, answers, strict=True)
    ]


def document_or_exit(address: str, answer: JsonAnswer | CallFailed) -> Document:
    """Return the document of a successful answer, or exit."""
    if isinstance(answer, CallFailed):
        message = f"{address} is unreachable: {answer.failure}: {answer.detail}"
        raise cappa.Exit(message, code=ExitCode.UNREACHABLE)
    document = answer.document
    if not isinstance(document, dict):
        message = f"{address} gave an answer that cannot be understood"
        raise cappa.Exit(message, code=ExitCode.UNREACHABLE)
    if answer.status >= FIRST_REFUSAL:
        message = (
            f"{address} refused: {document.get('title')}: {document.get('detail')}"
        )
        raise cappa.Exit(message, code=ExitCode.UNHEALTHY)
    return document


def read_key(path: Path | None) -> str:
    """Return the operators' key from a file or the environment, or exit."""
    if path is None:
        key = os.environ.get(KEY_VARIABLE, "").strip()
        source = f"the environment variable {KEY_VARIABLE}"
    else:
        text = read_text(path)
        if isinstance(text, Unreadable):
            message = f"cannot read {path}: {text.reason}"
            raise cappa.Exit(message, code=ExitCode.USAGE)
        key, source = text.strip(), str(path)
    if not key.isascii() or not key.isprintable() or len(key) > MAX_KEY_CHARACTERS:
        raise cappa.Exit(f"{source} holds no key", code=ExitCode.USAGE)
    if not key:
        message = f"no key: use --key-file FILE or set {KEY_VARIABLE}"
        raise cappa.Exit(message, code=ExitCode.USAGE)
    return key


@dataclass(kw_only=True)
class ToAdmin:
    """Hold the options of all commands that call an administration process."""

    key_file: Annotated[
        Path | None,
        cappa.Arg(
            long="--key-file",
            value_name="FILE",
            help="File that holds the operators' key; default: the environment "
            "variable BRAMLEYTURN_KEY.",
        ),
    ] = None
    json: Annotated[
        bool, cappa.Arg(long="--json", help="Print JSON for scripts, not tables.")
    ] = False


@dataclass(kw_only=True)
class ToOneAdmin(ToAdmin):
    """Hold the options of a command about one availability zone."""

    admin: Annotated[
        str,
        cappa.Arg(
            long="--admin",
            value_name="ADDRESS",
            help="IP:PORT of the zone's bramleyturn-admin.",
        ),
    ]


@cappa.command(name="status", invoke=run_status)
@dataclass(kw_only=True)
class Status(ToOneAdmin):
    """Show every entry and watch of an availability zone.

    Below the table, each problem that needs attention is listed; docs/OPERATING.md
    says what to do about it. Exit code 0: no problem; 1: some problem, or
    refused; 2: wrong usage or no key; 3: the administration process is unreachable.
    """


@cappa.command(name="cost", invoke=run_cost)
@dataclass(kw_only=True)
class Cost(ToOneAdmin):
    """Show the cost by workspace, pipeline and stage, in the currency unit.

    Sums all attempts since the zone's entries started; WASTED is the part whose
    results were of no use. Exit code 0: complete; 1: some entry is missing, or
    refused; 2: wrong usage or no key; 3: unreachable.
    """


@cappa.command(name="servers", invoke=run_servers)
@dataclass(kw_only=True)
class Servers(ToOneAdmin):
    """Show the backend servers with their state as the zone's entries see it.

    Exit code 0: complete; 1: some entry is missing, or refused; 2: wrong usage or
    no key; 3: unreachable.
    """


@cappa.command(name="drain", invoke=run_drain)
@dataclass(kw_only=True)
class Drain(ToOneAdmin):
    """Drain an entry process: it finishes what it runs, refuses new requests and ends.

    Does what SIGTERM does. Exit code 0: it drains; 1: refused, for example because
    no entry of the zone has this name; 2: wrong usage or no key; 3: unreachable.
    """

    process: Annotated[
        str, cappa.Arg(value_name="PROCESS", help="Name, as `status` shows it.")
    ]


@cappa.command(name="timeline", invoke=run_timeline)
@dataclass(kw_only=True)
class Timeline(ToAdmin):
    """Show what the processes decided, each event after the one that led to it.

    Give --admin once for each availability zone to merge several. Exit code 0:
    complete; 1: events of some process are missing, or refused; 2: wrong usage or
    no key; 3: unreachable.
    """

    admin: Annotated[
        list[str],
        cappa.Arg(
            long="--admin",
            value_name="ADDRESS",
            required=True,
            help="IP:PORT of a zone's bramleyturn-admin; may be repeated.",
        ),
    ] = field(default_factory=list)
    request: Annotated[
        str,
        cappa.Arg(long="--request", value_name="ID", help="Only this request."),
    ] = ""
    process: Annotated[
        str, cappa.Arg(long="--process", value_name="NAME", help="Only this process.")
    ] = ""
    since: Annotated[
        str,
        cappa.Arg(
            long="--since",
            value_name="WHEN",
            help="Only from then on: an age such as 90s, 10m or 2h, or a UTC time "
            "such as 2031-05-04T09:30:00Z.",
        ),
    ] = ""
    html: Annotated[
        Path | None,
        cappa.Arg(
            long="--html",
            value_name="FILE",
            help="Write one self-contained HTML page instead of printing.",
        ),
    ] = None
