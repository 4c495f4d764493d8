"""Encode and decode what datagrams tell of crashes of backend servers."""

from collections.abc import Iterable
from typing import Any, NamedTuple

from bramleyturn.core.crashes import MAX_HINTS, CrashHint, PartMark
from bramleyturn.core.fleet.reports import Report


def encode_report(report: Report) -> dict[str, Any]:
    """Encode what a datagram tells of crashes."""
    return {
        "crashes": encode_hints(report.hints),
        "part_crashes": encode_part_hints(report.part_hints),
    }


def encode_hints(hints: Iterable[CrashHint]) -> list[Any]:
    """Encode reports of crashes."""
    return [[hint.server, hint.age_ms, list(hint.fingerprints)] for hint in hints]


def decode_hints(rows: Any) -> tuple[CrashHint, ...]:
    """Decode reports of crashes; raise ValueError or TypeError if malformed."""
    hints = []
    for server, crashed_ago_ms, fingerprints in rows[:MAX_HINTS]:
        if not isinstance(server, str) or not isinstance(crashed_ago_ms, int):
            raise TypeError("a report of a crash is malformed")
        texts = tuple(str(fingerprint) for fingerprint in fingerprints)
        hints.append(CrashHint(server, texts, crashed_ago_ms))
    return tuple(hints)


def encode_part_hints(hints: Iterable[CrashHint]) -> list[Any]:
    """Encode reports of crashes with the marks of parts."""
    return [
        [
            hint.server,
            hint.age_ms,
            [
                [*mark, int(mark.part in hint.finished), int(mark.part in hint.sound)]
                for mark in hint.parts
            ],
        ]
        for hint in hints
    ]


def decode_part_hints(rows: Any) -> tuple[CrashHint, ...]:
    """Decode reports of crashes with parts; raise as ``decode_hints`` does."""
    hints = []
    for server, crashed_ago_ms, marks in rows[:MAX_HINTS]:
        if not isinstance(server, str) or not isinstance(crashed_ago_ms, int):
            raise TypeError("a report of a crash is malformed")
        decoded = [_decode_mark(*mark) for mark in marks]
        hints.append(
            CrashHint(
                server,
                (),
                crashed_ago_ms,
                tuple(each.mark.part for each in decoded if each.has_finished),
                tuple(each.mark for each in decoded),
                tuple(each.mark.part for each in decoded if each.is_sound),
            )
        )
    return tuple(hints)


class ToldMark(NamedTuple):
    """Hold a mark that a peer tells, and whether its part finished after or before."""

    mark: PartMark
    has_finished: bool
    is_sound: bool


def _decode_mark(
    part: Any,
    workspace: Any,
    depth: Any,
    request: Any,
    has_finished: Any,
    is_sound: Any,
) -> ToldMark:
    if not all(isinstance(text, str) for text in (part, workspace, request)):
        raise TypeError("a name of a mark is no text")
    if type(depth) is not int or depth < 1:
        raise ValueError("the depth of a mark is no positive number")
    mark = PartMark(part, workspace, depth, request)
    return ToldMark(mark, bool(has_finished), bool(is_sound))
