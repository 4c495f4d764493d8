"""Decide how many instances are told of crashes now, and how many bytes that may take.

Load pattern handled here: many servers crash at the same moment, each with requests of
many instances. What is known of these crashes is large and is remembered for long. If
all of it went to many instances at each heartbeat, the links of small instances would
be full, and requests, stages and heartbeats would wait behind it.

News goes to a few instances at once, which tell others in turn. It has only what was
not told often yet, and first what brings a request nearer to its quarantine. Without
news, each instance tells one other at a time a part of what it knows, for those that
missed the news. Both draw on a budget of bytes that depends neither on how much is
known nor on how many instances there are.
"""

from bisect import bisect
from collections import Counter
from collections.abc import Sequence
from random import Random
from typing import Final, NamedTuple

from bramleyturn.core.crashes import CrashHint, Suspects, Told
from bramleyturn.core.poison import choose_hints
from bramleyturn.core.poison_parts import choose_part_hints
from bramleyturn.core.token_bucket import TokenBucket, refill
from bramleyturn.core.units import MS_PER_S

# Together no more than 5 KB a second in any ten minutes.
REPORT_BYTES_PER_S: Final = 4_800
REPORT_BURST_BYTES: Final = 100_000
# Below the rate of the budget, so that it recovers for the next news.
REPEAT_BYTES_PER_S: Final = 4_000
NEWS_TARGETS: Final = 4
# A message may be lost, and an instance may be silent when it is told.
NEWS_ROUNDS: Final = 2
# News goes out only while the budget has this much. After that what is new is told like
# what is known.
NEWS_BYTES: Final = 32_768

# News that does not fit in one report continues after this time.
NEWS_INTERVAL_MS: Final = 100


class ReportSize(NamedTuple):
    """Bound the fingerprints of requests and the marks of parts in one report."""

    fingerprints: int
    marks: int


NEWS_SIZE: Final = ReportSize(128, 48)
# Small, so that reports come often enough for an instance that has just started.
REPEAT_SIZE: Final = ReportSize(48, 16)


class Report(NamedTuple):
    """Hold what is told of crashes, and the size it was chosen for."""

    size: ReportSize
    hints: tuple[CrashHint, ...]
    part_hints: tuple[CrashHint, ...]


class ReportSchedule:
    """Hold the bytes that may be sent, and how often news is still to be told.

    ``repeat_ms`` is when a report without news may be sent again, and ``step`` counts
    these reports. ``times_told`` counts what was told of each crash, ``changes`` is the
    state of the crashes at the last report, and ``servers`` those that had crashed.
    """

    def __init__(self, now_ms: int) -> None:
        self.bucket = TokenBucket(REPORT_BURST_BYTES, now_ms)
        self.news_rounds = 0
        self.times_told: Counter[Told] = Counter()
        self.changes = 0
        self.servers: frozenset[str] = frozenset()
        self.repeat_ms = now_ms
        self.step = 0


def note_news(schedule: ReportSchedule) -> None:
    """Let the next reports go to several instances."""
    schedule.news_rounds = NEWS_ROUNDS


def report_size(schedule: ReportSchedule, now_ms: int) -> ReportSize | None:
    """Return the size of a report that is due now, None if none is."""
    refill(schedule.bucket, REPORT_BYTES_PER_S, REPORT_BURST_BYTES, now_ms)
    if schedule.news_rounds and schedule.bucket.tokens >= NEWS_BYTES:
        return NEWS_SIZE
    return REPEAT_SIZE if now_ms >= schedule.repeat_ms else None


def next_report(
    schedule: ReportSchedule,
    suspects: Suspects,
    random: Random,
    now_ms: int,
    parts_of_size: int = 1,
) -> Report | None:
    """Return the report that is due now, None if none is.

    ``parts_of_size`` divides its size, for names that are too long for a datagram.
    """
    _note_changes(schedule, suspects)
    size = report_size(schedule, now_ms)
    if size == NEWS_SIZE:
        report = _report(schedule, suspects, random, size, now_ms, parts_of_size)
        if report.hints or report.part_hints:
            return report
        schedule.news_rounds = 0
        size = report_size(schedule, now_ms)
    if size is None or not suspects.crashes:
        return None
    return _report(schedule, suspects, random, size, now_ms, parts_of_size)


def note_told(schedule: ReportSchedule, report: Report) -> None:
    """Count that the contents of a report were told."""
    for hint in report.hints:
        for name in hint.fingerprints:
            schedule.times_told[hint.server, name, False] += 1
    for hint in report.part_hints:
        for mark in hint.parts:
            has_finished = mark.part in hint.finished
            schedule.times_told[hint.server, mark, has_finished] += 1
    if report.size == NEWS_SIZE:
        # Until nothing is left that was told too few times.
        schedule.news_rounds = max(1, schedule.news_rounds)


def is_news_left(schedule: ReportSchedule) -> bool:
    """Return whether news may go on in ``NEWS_INTERVAL_MS``."""
    return schedule.news_rounds > 0 and schedule.bucket.tokens >= NEWS_BYTES


def _note_changes(schedule: ReportSchedule, suspects: Suspects) -> None:
    if schedule.changes == suspects.changes:
        return
    schedule.changes = suspects.changes
    note_news(schedule)
    servers = frozenset(crash.server for crash in suspects.crashes)
    if not servers >= schedule.servers:
        for told in [told for told in schedule.times_told if told[0] not in servers]:
            del schedule.times_told[told]
    schedule.servers = servers


def _report(
    schedule: ReportSchedule,
    suspects: Suspects,
    random: Random,
    size: ReportSize,
    now_ms: int,
    parts_of_size: int,
) -> Report:
    is_news = size == NEWS_SIZE
    most = [max(1, each // parts_of_size) for each in size]
    return Report(
        size,
        choose_hints(suspects, random, most[0], now_ms, is_news, schedule.times_told),
        choose_part_hints(
            suspects, random, most[1], now_ms, is_news, schedule.times_told
        ),
    )


def choose_targets(
    schedule: ReportSchedule,
    size: ReportSize,
    own_address: str,
    addresses: Sequence[str],
    message_bytes: int,
    random: Random,
    now_ms: int,
) -> list[str]:
    """Return the addresses that a report of ``message_bytes`` is sent to now.

    ``size`` is what ``report_size`` returned. Without news, instances take the others
    in the order of their addresses, each from its own one on, so that all of them are
    told equally often.
    """
    if size == NEWS_SIZE:
        targets = random.sample(addresses, min(NEWS_TARGETS, len(addresses)))
    else:
        targets = _next_in_order(schedule, own_address, addresses)
    schedule.news_rounds = max(0, schedule.news_rounds - 1)
    schedule.bucket.tokens -= len(targets) * message_bytes
    schedule.repeat_ms = now_ms + message_bytes * MS_PER_S // REPEAT_BYTES_PER_S
    return targets


def _next_in_order(
    schedule: ReportSchedule, own_address: str, addresses: Sequence[str]
) -> list[str]:
    if not addresses:
        return []
    ordered = sorted(addresses)
    place = (bisect(ordered, own_address) + schedule.step) % len(ordered)
    schedule.step += 1
    return [ordered[place]]
