"""Record every attempt that a stand-in actually started.

With a file, the record survives the process: a start is written before the work
begins, so that an attempt that crashes the process is recorded too.
"""

from pathlib import Path
from typing import BinaryIO, TypedDict

import orjson


class LedgerEntry(TypedDict):
    """Describe one run; times are monotonic milliseconds of the machine.

    ``state`` is running, finished, failed, cut, crashed or cancelled. An entry
    that is still running in the file of a previous process keeps that state.
    """

    number: int
    server: str
    attempt_id: str
    idempotency_key: str
    input_digest: str
    resume_offset: int
    started_ms: int
    ended_ms: int | None
    state: str


class Ledger:
    """Hold the runs of one server, and the file that they are written to."""

    def __init__(self, entries: list[LedgerEntry], file: BinaryIO | None) -> None:
        self.entries = entries
        self.file = file


def open_ledger(path: str) -> Ledger:
    """Return the ledger kept at ``path``, or one in memory for an empty path."""
    if not path:
        return Ledger([], None)
    entries = _read_entries(Path(path))
    file = Path(path).open("ab")  # noqa: SIM115, stays open as long as the ledger
    # A previous process may have died in the middle of a line.
    file.write(b"\n" if entries else b"")
    return Ledger(entries, file)


def record_start(ledger: Ledger, entry: LedgerEntry) -> LedgerEntry:
    """Add ``entry`` under the next number and return it."""
    entry["number"] = ledger.entries[-1]["number"] + 1 if ledger.entries else 0
    ledger.entries.append(entry)
    _write(ledger, entry)
    return entry


def record_end(ledger: Ledger, entry: LedgerEntry, state: str, now_ms: int) -> None:
    """Record how the run of ``entry`` ended."""
    entry["state"] = state
    entry["ended_ms"] = now_ms
    _write(ledger, entry)


def _write(ledger: Ledger, entry: LedgerEntry) -> None:
    if ledger.file is None:
        return
    ledger.file.write(orjson.dumps(entry) + b"\n")
    ledger.file.flush()


def _read_entries(path: Path) -> list[LedgerEntry]:
    """Return the entries of a file, each in its last state."""
    if not path.exists():
        return []
    entries: dict[int, LedgerEntry] = {}
    for line in path.read_bytes().splitlines():
        try:
            entry: LedgerEntry = orjson.loads(line)
        except orjson.JSONDecodeError:
            continue
        entries[entry["number"]] = entry
    return list(entries.values())
