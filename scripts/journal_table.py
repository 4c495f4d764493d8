"""Write the worth of every standard day, for all sources scored, into a page.

Run as ``python -m scripts.journal_table``; reads the entries of ``journal/``.
"""

import re
import sys
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Any, Final, NamedTuple

import cappa
import orjson

ROOT: Final = Path(__file__).parents[1]
START: Final = "<!-- worth by landing -->"
END: Final = "<!-- end -->"
SITES: Final = (
    "lakeshore-commons",
    "hvsb-diaries",
    "lakeshore-commons-grown",
    "hvsb-diaries-grown",
    "kijun-costing",
    "kijun-costing-grown",
    "lakeshore-commons-large",
)
MARKED_FALL: Final = 0.05
WORTH_DIGITS: Final = 4
ABBREVIATION: Final = 7
SOURCES_ABBREVIATION: Final = 8
GIVEN_UP: Final = "given up"
NOT_PLAYED: Final = "-"
# The day drawn for one play has a name of its own and is never played again.
DRAWN_DAY: Final = "fresh-"
TRIAL: Final = re.compile(r"^\s*trial\b|\bscratch copy\b", re.IGNORECASE)
OPTIONS_OF_OTHER_DAYS: Final = ("--no-cpu", "--small")


class OddEntryError(Exception):
    """Report an entry whose figures cannot be read."""


class DayWorth(NamedTuple):
    """Hold what one day of a score was worth.

    ``worth`` is None for a day that was given up. ``definition`` identifies the
    day and its seed.
    """

    worth: float | None
    gate_passed: bool
    definition: str


class Score(NamedTuple):
    """Hold the standard days of one site as played on some sources."""

    started_at: str
    sources: str
    commit: str
    site: str
    days: Mapping[str, DayWorth]


class Row(NamedTuple):
    """Hold the latest worth of each day as played on the same sources."""

    started_at: str
    sources: str
    commits: Sequence[str]
    days: Mapping[tuple[str, str], DayWorth]


class Left(NamedTuple):
    """Name an entry that is left out, and why."""

    entry: str
    reason: str


@cappa.command(name="journal-table")
@dataclass(frozen=True)
class JournalTable:
    """Rewrite the table of worth by landing from the journal."""

    check: Annotated[
        bool, cappa.Arg(long=True, help="Only compare; exit 1 if they differ.")
    ] = False
    journal: Annotated[Path, cappa.Arg(long=True, help="Folder of the entries.")] = (
        ROOT / "journal"
    )
    page: Annotated[Path, cappa.Arg(long=True, help="Page with the markers.")] = (
        ROOT / "docs" / "MEASURES.md"
    )

    def __call__(self) -> int:
        """Return the exit code."""
        scores, left = read_journal(self.journal)
        for item in left:
            print(f"{item.entry} is left out: {item.reason}", file=sys.stderr)
        page = self.page.read_text("utf-8")
        wanted = replace_table(page, table_text(rows_of(scores)))
        if page == wanted:
            return 0
        if self.check:
            print(f"{self.page} differs from the journal: make measures")
            return 1
        self.page.write_text(wanted, "utf-8")
        return 0


def read_journal(folder: Path) -> tuple[list[Score], list[Left]]:
    """Return the scores of untouched sources, and the scores that are left out."""
    scores: list[Score] = []
    left: list[Left] = []
    for path in sorted(folder.glob("*.json")):
        try:
            entry = orjson.loads(path.read_bytes())
            if not isinstance(entry, dict):
                raise OddEntryError("it is no object")
            if entry.get("cmd") != "score":
                continue
            reason = reason_to_leave(entry)
            if reason is None:
                scores.append(score_of(entry))
            else:
                left.append(Left(path.name, reason))
        except (OSError, ValueError, OddEntryError) as error:
            left.append(Left(path.name, str(error)))
    return scores, left


def reason_to_leave(entry: Mapping[str, Any]) -> str | None:
    """Return why a score says nothing about a landing, or None."""
    if TRIAL.search(str(entry.get("why") or "")):
        return "a trial"
    if entry.get("dirty") or entry.get("edited_meanwhile"):
        return "its sources were changed"
    options = entry.get("argv") or []
    other = [option for option in OPTIONS_OF_OTHER_DAYS if option in options]
    if other:
        return f"played with {other[0]}"
    if not entry.get("days"):
        return str(entry.get("error") or "no day was played")
    return None


def score_of(entry: Mapping[str, Any]) -> Score:
    """Return the standard days of an entry, or raise ``OddEntryError``."""
    try:
        started_at = str(entry["at"][0])
        commit = str(entry["head"] or "")[:ABBREVIATION]
        policy = entry.get("policy") or [{}]
        sources = str(policy[0].get("sha256") or "")[:SOURCES_ABBREVIATION]
        site = entry["site"]
        days = {
            str(day["name"]): day_worth(day)
            for day in entry["days"]
            if not str(day["name"]).startswith(DRAWN_DAY)
        }
    except (KeyError, IndexError, TypeError, AttributeError) as error:
        raise OddEntryError(f"it has another form: {error!r}") from error
    if not site or not (sources or commit):
        raise OddEntryError("it names no site or no sources")
    return Score(started_at, sources or commit, commit, str(site), days)


def day_worth(day: Mapping[str, Any]) -> DayWorth:
    """Return the worth of one day, or raise ``OddEntryError``."""
    definition = f"{day.get('day')} {day.get('seed')}"
    if day.get("fault"):
        return DayWorth(None, False, definition)
    worth = day["G"]
    if isinstance(worth, bool) or not isinstance(worth, int | float):
        raise OddEntryError(f"{day['name']} has no worth and no fault")
    return DayWorth(worth, bool(day.get("gate")), definition)


def rows_of(scores: Iterable[Score]) -> list[Row]:
    """Return a row for all scores of the same sources, the first played first."""
    rows: dict[str, Row] = {}
    for score in sorted(scores, key=lambda score: score.started_at):
        row = rows.get(score.sources, Row(score.started_at, score.sources, (), {}))
        days = {(score.site, name): day for name, day in score.days.items()}
        commits = dict.fromkeys([*row.commits, score.commit])
        rows[score.sources] = row._replace(
            commits=[commit for commit in commits if commit],
            days={**row.days, **days},
        )
    return list(rows.values())


def table_text(rows: Sequence[Row]) -> str:
    """Return the table in Markdown, with the falls marked."""
    columns = columns_of(rows)
    titles = ["from (UTC)", "sources", "commits", *map(" ".join, columns)]
    lines = [titles, ["---"] * len(titles)]
    before: dict[tuple[str, str], DayWorth] = {}
    for row in rows:
        cells = [cell(row.days.get(name), before.get(name)) for name in columns]
        when = row.started_at[:16].replace("T", " ")
        lines.append([when, row.sources, ", ".join(row.commits), *cells])
        before.update(
            {name: day for name, day in row.days.items() if day.worth is not None}
        )
    return "".join(f"| {' | '.join(line)} |\n" for line in lines)


def columns_of(rows: Iterable[Row]) -> list[tuple[str, str]]:
    """Return the days of the four sites and of any other, by site."""
    found = dict.fromkeys(name for row in rows for name in row.days)
    sites = dict.fromkeys([*SITES, *(site for site, _ in found)])
    return [name for site in sites for name in found if name[0] == site]


def cell(day: DayWorth | None, before: DayWorth | None) -> str:
    """Return the text of one day; ``before`` is the last worth in the column."""
    if day is None:
        return NOT_PLAYED
    if day.worth is None:
        return GIVEN_UP
    text = f"{day.worth:.3f}" if day.gate_passed else f"{day.worth:.3f} short"
    if before is None or before.worth is None or before.definition != day.definition:
        return text
    change = round(day.worth - before.worth, WORTH_DIGITS)
    return f"**{text} ({change:+.3f})**" if change <= -MARKED_FALL else text


def replace_table(page: str, table: str) -> str:
    """Return the page with ``table`` between its markers."""
    head, start, rest = page.partition(START)
    _, end, tail = rest.partition(END)
    if not start or not end:
        raise SystemExit(f"the page lacks {START} or {END}")
    return f"{head}{start}\n{table}{end}{tail}"


if __name__ == "__main__":
    sys.exit(cappa.invoke(JournalTable))
