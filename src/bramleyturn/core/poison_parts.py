"""Find poison parts: parts of prompts or inputs on which servers crash.

Requests that are all different may share such a part, so that none of them is ever
known from before. What tells the part from the others in the same requests:

- A crash counts against a part that was on the server and of which no request has
  finished since. Parts of sound requests finish again and again, anywhere.
- Crashes count one after another: of several servers that crash at the same moment
  one counts, unless a request was sent to another when the first crash was known.
- The part with the most crashes explains them for the others, and one of which no
  request has ever finished does so before one that was known as sound.
- A request that was on all of these servers explains them without its parts.
- Many parts with the same crashes show that servers crash, not on which part.

A part is withheld from the workspaces whose requests were on the servers; from all of
them once there are two, so that no workspace can get another's part withheld.
"""

from collections import Counter
from collections.abc import Collection, Iterable, Mapping, Sequence
from random import Random
from typing import Final, NamedTuple

from bramleyturn.core.crashes import (
    MAX_HINTS,
    Crash,
    CrashHint,
    Evidence,
    PartMark,
    PoisonPart,
    Suspects,
    Told,
    crash_hint,
    deepest,
    evidence_of_crashes,
    unfinished_names,
)
from bramleyturn.core.poison import (
    MAX_TIMES_OTHERS_TOLD,
    MAX_TIMES_TOLD,
    NEVER_TOLD,
    Clear,
    Quarantined,
    Suspect,
    classify_request,
)
from bramleyturn.core.request_names import RequestNames, request_name

# Crashes one after another on a part of which no request has ever finished.
QUARANTINE_DEPTH: Final = 3
MIN_CRASHES: Final = QUARANTINE_DEPTH
# The same for a part of which requests had finished before.
SOUND_QUARANTINE_DEPTH: Final = 5
# Crashes, at the same moment or not, that count if there was another one later.
MANY_CRASHES: Final = 5
MANY_CRASHES_DEPTH: Final = 2
# Parts that may be blamed for the same crashes.
MAX_TIED_PARTS: Final = 4
WORKSPACES_TO_WITHHOLD_FROM_ALL: Final = 2
# Newest crashes that are sent to peers each time.
NEWEST_HINTS: Final = MAX_HINTS // 2
# Marks of a crash that are sent at once.
MAX_SENT_MARKS: Final = 16
FIRST_QUARANTINE_MS: Final = 600_000
QUARANTINE_GROWTH: Final = 4
MAX_QUARANTINE_MS: Final = 43_200_000


class Strength(NamedTuple):
    """Count the crashes on a part: one after another, and in all."""

    depths: int
    crashes: int


class CrashMarks(NamedTuple):
    """Hold the marks of one part on a crash."""

    crash: Crash
    marks: list[PartMark]


class PartEvidence(NamedTuple):
    """Hold the depths of the crashes that count against a part, by their place."""

    depths: dict[int, int]
    is_known_sound: bool


def next_depth(suspects: Suspects, part: str) -> int:
    """Return the depth of the mark that a request with the part leaves now."""
    if part not in unfinished_names(suspects):
        return 1
    if suspects.depths is None or suspects.depths[0] != suspects.changes:
        suspects.depths = (suspects.changes, {})
    depths = suspects.depths[1]
    if part not in depths:
        depths[part] = 1 + max(
            deepest(evidence.marks.get(part, ()))
            for evidence in evidence_of_crashes(suspects)
        )
    return depths[part]


def find_poison_parts(suspects: Suspects) -> dict[str, PoisonPart]:
    """Return all poison parts, also those whose quarantine is over."""
    if suspects.poison_parts is None or suspects.poison_parts[0] != suspects.changes:
        found = _find_poison_parts(suspects)
        suspects.poison_parts = (suspects.changes, found)
        suspects.blamed_parts = frozenset(found)
    return suspects.poison_parts[1]


def part_marks(suspects: Suspects, names: RequestNames) -> tuple[PartMark, ...]:
    """Return the marks that a request leaves on a server, when it is sent there."""
    request = request_name(names.fingerprint)
    return tuple(
        PartMark(part, names.workspace, next_depth(suspects, part), request)
        for part in names.parts
    )


def quarantined_part(
    suspects: Suspects, names: RequestNames, now_ms: int
) -> PoisonPart | None:
    """Return the part for which a request must not be sent, if any."""
    if unfinished_names(suspects).isdisjoint(names.parts):
        return None
    found = find_poison_parts(suspects)
    for part in names.parts:
        poison = found.get(part)
        if poison is None or poison.until_ms <= now_ms:
            continue
        is_from_many = len(poison.workspaces) >= WORKSPACES_TO_WITHHOLD_FROM_ALL
        if is_from_many or names.workspace in poison.workspaces:
            return poison
    return None


def classify(
    suspects: Suspects, names: RequestNames, now_ms: int
) -> Clear | Suspect | Quarantined:
    """Return whether a request may run, as it and its parts are known."""
    poison = quarantined_part(suspects, names, now_ms)
    if poison is not None:
        return Quarantined(names.fingerprint, poison.servers, poison.until_ms)
    return classify_request(suspects, names.fingerprint, now_ms)


def choose_part_hints(
    suspects: Suspects,
    random: Random,
    max_marks: int,
    now_ms: int,
    is_news: bool = False,
    times_told: Mapping[Told, int] = NEVER_TOLD,
) -> tuple[CrashHint, ...]:
    """Return crashes with some marks of each, to send to peers at intervals.

    Crashes on poison parts go first, then the newest and a random choice of others.
    News leaves out the marks that were told often enough.
    """
    poison = find_poison_parts(suspects).keys()
    crashes_of = _count_crashes(suspects.crashes)
    marks_of: dict[Crash, Collection[PartMark]] = {
        crash: crash.parts for crash in suspects.crashes
    }
    if is_news:
        for crash in suspects.crashes:
            marks_of[crash] = [
                mark
                for mark in crash.parts
                if not _is_told(crash, mark, crashes_of, times_told)
            ]
    marked = [crash for crash, marks in marks_of.items() if marks]
    reasons = [
        crash
        for crash in marked
        if poison
        and any(
            mark.part in poison and _counts(crash, mark) for mark in marks_of[crash]
        )
    ]
    chosen = dict.fromkeys([*reasons[: -MAX_HINTS // 2 : -1], *marked[-NEWEST_HINTS:]])
    others = [crash for crash in marked if crash not in chosen]
    count = max(0, min(len(others), MAX_HINTS - len(chosen)))
    chosen |= dict.fromkeys(random.sample(others, count))
    hints = []
    left = max_marks
    for index, crash in enumerate(list(chosen)[:MAX_HINTS]):
        most = left // (min(len(chosen), MAX_HINTS) - index)
        marks = _choose_marks(crash, marks_of[crash], crashes_of, random, most)
        left -= len(marks)
        if marks:
            hints.append(_part_hint(crash, marks, now_ms))
    return tuple(hints)


def _is_told(
    crash: Crash,
    mark: PartMark,
    crashes_of: Counter[str],
    times_told: Mapping[Told, int],
) -> bool:
    """Return whether a mark, as it is now, was told often enough."""
    has_finished = not _counts(crash, mark)
    is_linked = has_finished or crashes_of[mark.part] > 1
    most = MAX_TIMES_TOLD if is_linked else MAX_TIMES_OTHERS_TOLD
    return times_told.get((crash.server, mark, has_finished), 0) >= most


def crash_hints(
    suspects: Suspects, crashes: Iterable[Crash], now_ms: int
) -> tuple[CrashHint, ...]:
    """Return reports of crashes, each with the marks that matter most, for a peer."""
    crashes_of = _count_crashes(suspects.crashes)
    hints = []
    for crash in crashes:
        # The same choice each time, as a crash is only sent again after a change.
        marks = _choose_marks(crash, crash.parts, crashes_of, Random(0), MAX_SENT_MARKS)
        requests = crash_hint(crash, now_ms)
        parts = _part_hint(crash, marks, now_ms)
        finished = sorted(crash.finished & crash.fingerprints)
        hints.append(
            requests._replace(
                finished=(*finished, *parts.finished),
                parts=parts.parts,
                sound=parts.sound,
            )
        )
    return tuple(hints)


def _count_crashes(crashes: Iterable[Crash]) -> Counter[str]:
    """Count the crashes that count against each part."""
    crashes_of: Counter[str] = Counter()
    for crash in crashes:
        crashes_of.update({mark.part for mark in crash.parts} - crash.finished)
    return crashes_of


def _choose_marks(
    crash: Crash,
    among: Iterable[PartMark],
    crashes_of: Counter[str],
    random: Random,
    most: int,
) -> list[PartMark]:
    """Return the marks of parts with most crashes, and some of parts that finished."""
    marks = sorted(among)
    random.shuffle(marks)
    counted = [mark for mark in marks if _counts(crash, mark)]
    counted.sort(key=lambda mark: -crashes_of[mark.part])
    finished = [mark for mark in marks if not _counts(crash, mark)]
    of_finished = min(len(finished), most // 3)
    of_counted = min(len(counted), most - of_finished)
    return counted[:of_counted] + finished[: most - of_counted]


def _counts(crash: Crash, mark: PartMark) -> bool:
    return mark.part not in crash.finished


def _part_hint(crash: Crash, marks: list[PartMark], now_ms: int) -> CrashHint:
    names = {mark.part for mark in marks}
    return CrashHint(
        crash.server,
        (),
        max(0, now_ms - crash.at_ms),
        tuple(sorted(crash.finished & names)),
        tuple(marks),
        tuple(sorted(crash.sound & names)),
    )


def _find_poison_parts(suspects: Suspects) -> dict[str, PoisonPart]:
    """Blame the strongest parts first; what explains a crash explains it for others."""
    crashes = suspects.crashes
    of_crashes = evidence_of_crashes(suspects)
    evidence = _part_evidence(crashes, of_crashes)
    found: dict[str, PoisonPart] = {}
    explained: set[int] = set()
    for is_known_sound in (False, True):
        left = {
            part: each.depths
            for part, each in evidence.items()
            if each.is_known_sound is is_known_sound
        }
        while left:
            strength, tied = _strongest(left, explained)
            most_tied = _max_tied(strength, is_known_sound)
            if not most_tied:
                break
            blamed = {part: left.pop(part).keys() - explained for part in tied}
            marks_on = {
                part: [
                    CrashMarks(crashes[place], of_crashes[place].marks[part])
                    for place in sorted(places)
                ]
                for part, places in blamed.items()
            }
            is_due_to_request = any(map(_has_one_request, marks_on.values()))
            if len(tied) <= most_tied and not is_due_to_request:
                found |= {part: _poison_part(part, marks_on[part]) for part in tied}
            explained.update(*blamed.values())
    return found


def _has_one_request(marks_on: Iterable[CrashMarks]) -> bool:
    """Return whether one request with the part was on all of the servers."""
    requests = [{mark.request for mark in each.marks} for each in marks_on]
    return bool(set.intersection(*requests))


def _part_evidence(
    crashes: list[Crash], evidence: list[Evidence]
) -> dict[str, PartEvidence]:
    """Return the evidence against the parts of enough crashes."""
    crashes_of: Counter[str] = Counter()
    for each in evidence:
        crashes_of.update(each.marks.keys())
    enough = {part for part, count in crashes_of.items() if count >= MIN_CRASHES}
    depths: dict[str, dict[int, int]] = {}
    for place, each in enumerate(evidence):
        for part in each.marks.keys() & enough:
            depths.setdefault(part, {})[place] = deepest(each.marks[part])
    return {
        part: PartEvidence(
            of_part,
            any(part in crash.sound or part in crash.finished for crash in crashes),
        )
        for part, of_part in depths.items()
    }


def _strongest(
    left: dict[str, dict[int, int]], explained: set[int]
) -> tuple[Strength, list[str]]:
    """Return the parts with the most crashes that nothing explains yet."""
    by_strength: dict[Strength, list[str]] = {}
    for part, depths in left.items():
        counted = [depth for place, depth in depths.items() if place not in explained]
        strength = Strength(len(set(counted)), len(counted))
        by_strength.setdefault(strength, []).append(part)
    most = max(by_strength)
    return most, by_strength[most]


def _max_tied(strength: Strength, is_known_sound: bool) -> int:
    """Return how many parts may be blamed for the same crashes, 0 if they are few."""
    if is_known_sound:
        return 1 if strength.depths >= SOUND_QUARANTINE_DEPTH else 0
    if strength.depths >= QUARANTINE_DEPTH:
        return MAX_TIED_PARTS
    is_many = strength.depths >= MANY_CRASHES_DEPTH and strength.crashes >= MANY_CRASHES
    return 1 if is_many else 0


def _poison_part(part: str, marks_on: Sequence[CrashMarks]) -> PoisonPart:
    marks = [mark for each in marks_on for mark in each.marks]
    repeats = max(0, len({mark.depth for mark in marks}) - QUARANTINE_DEPTH)
    quarantine_ms = FIRST_QUARANTINE_MS * QUARANTINE_GROWTH**repeats
    latest_ms = max(each.crash.at_ms for each in marks_on)
    return PoisonPart(
        part,
        tuple(each.crash.server for each in marks_on),
        frozenset(mark.workspace for mark in marks),
        latest_ms + min(quarantine_ms, MAX_QUARANTINE_MS),
    )
