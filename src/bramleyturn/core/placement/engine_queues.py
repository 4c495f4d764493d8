"""Choose the engines of the requests of all instances, by what each still has to read.

Load pattern handled here: a burst of long prompts over a hundred instances or more.
Each instance sends an engine too few requests to learn its load, so that all of them
prefer the same engine for a prompt part: its queue grows to seconds while others are
idle. The owner of the stages hears of the requests of all instances before they reach
their engines. It counts what it has assigned to each engine, and knows by which one a
part was read lately. Engines that turn slow are found by the instances whose requests
wait there: what they report counts as work that the engine still has to do. Engines of
uneven pools take as long as was learned of them.
"""

from collections import OrderedDict
from collections.abc import Mapping
from typing import Final, NamedTuple

# What a request takes of an engine's time beside reading its prompt.
REQUEST_MS: Final = 10
# For how long an engine is expected to keep a part that no other request has used.
PART_KEPT_MS: Final = 10_000
# Callers name the length of their prompts. One that names too much must not keep an
# engine from others.
MAX_READ_MS: Final = 2_000
MAX_ENGINES: Final = 1_024
MAX_READ_PARTS: Final = 8_192
MAX_ASSIGNED: Final = 8_192
# A first event that takes longer than this is reported, and how late at most.
LATE_FACTOR: Final = 2
LATE_EXTRA_MS: Final = 200
MAX_LATE_MS: Final = 5_000


class EngineOption(NamedTuple):
    """Name an engine that may serve a request, and its availability zone."""

    server_id: str
    zone: str


class EngineNeed(NamedTuple):
    """Hold what a request needs of an engine.

    ``part`` is the last part of the prompt that others may share, empty if there is
    none. ``shared_ms`` is the time to read the shared parts, ``own_ms`` that for the
    rest, each ``MAX_READ_MS`` at most. Of equal ``options`` the first is chosen.
    """

    part: str
    shared_ms: int
    own_ms: int
    options: tuple[EngineOption, ...]


class Assigned(NamedTuple):
    """Hold the engine of a request, and how long it is busy with the request."""

    option: EngineOption
    work_ms: int


class EngineQueues:
    """Hold the work assigned to each engine.

    ``busy_until_ms`` is when an engine has done its work, ``read_ms`` when it was last
    assigned a prompt with a part, and ``assigned`` has the latest requests by attempt.
    ``paces`` has the learned paces of engines of uneven pools by id, relative to their
    pool; 2 is half as fast. Other engines take the usual time.
    """

    def __init__(self) -> None:
        self.busy_until_ms: dict[str, int] = {}
        self.read_ms: OrderedDict[tuple[str, str], int] = OrderedDict()
        self.assigned: OrderedDict[str, Assigned] = OrderedDict()
        self.paces: Mapping[str, float] = {}


def assign_engine(
    queues: EngineQueues, attempt_id: str, need: EngineNeed, now_ms: int
) -> EngineOption | None:
    """Return the engine on which a prompt is read first; None if there is no option.

    A further stage of the same attempt gets the same engine.
    """
    known = queues.assigned.get(attempt_id)
    if known is not None:
        return known.option
    if not need.options:
        return None
    ends_ms = [_end_ms(queues, each, need, now_ms) for each in need.options]
    end_ms = min(ends_ms)
    option = need.options[ends_ms.index(end_ms)]
    work_ms = _work_ms(queues, option, need, now_ms)
    _set_busy(queues, option.server_id, end_ms, now_ms)
    if need.part:
        key = (need.part, option.server_id)
        queues.read_ms[key] = now_ms
        queues.read_ms.move_to_end(key)
        if len(queues.read_ms) > MAX_READ_PARTS:
            queues.read_ms.popitem(last=False)
    queues.assigned[attempt_id] = Assigned(option, work_ms)
    if len(queues.assigned) > MAX_ASSIGNED:
        queues.assigned.popitem(last=False)
    return option


def take_back_engine(queues: EngineQueues, attempt_id: str) -> None:
    """Give the time of an engine free that a refused request would have taken."""
    assigned = queues.assigned.pop(attempt_id, None)
    if assigned is None:
        return
    server_id = assigned.option.server_id
    if server_id in queues.busy_until_ms:
        queues.busy_until_ms[server_id] -= assigned.work_ms


def report_after_ms(expected_ms: int) -> int:
    """Return after which time without a first event an engine is reported."""
    return LATE_FACTOR * expected_ms + LATE_EXTRA_MS


def note_late_engine(
    queues: EngineQueues, server_id: str, late_ms: int, now_ms: int
) -> None:
    """Expect an engine to be as late as it was with the request of an instance."""
    until_ms = now_ms + min(MAX_LATE_MS, late_ms)
    known_ms = queues.busy_until_ms.get(server_id, now_ms)
    _set_busy(queues, server_id, max(known_ms, until_ms), now_ms)


def _set_busy(queues: EngineQueues, server_id: str, until_ms: int, now_ms: int) -> None:
    busy = queues.busy_until_ms
    busy[server_id] = until_ms
    if len(busy) > MAX_ENGINES:
        queues.busy_until_ms = {
            each: ends_ms for each, ends_ms in busy.items() if ends_ms > now_ms
        }


def _end_ms(
    queues: EngineQueues, option: EngineOption, need: EngineNeed, now_ms: int
) -> int:
    starts_ms = max(now_ms, queues.busy_until_ms.get(option.server_id, now_ms))
    return starts_ms + _work_ms(queues, option, need, now_ms)


def _work_ms(
    queues: EngineQueues, option: EngineOption, need: EngineNeed, now_ms: int
) -> int:
    read_ms = queues.read_ms.get((need.part, option.server_id))
    is_kept = read_ms is not None and now_ms - read_ms <= PART_KEPT_MS
    work_ms = REQUEST_MS + need.own_ms + (0 if is_kept else need.shared_ms)
    pace = queues.paces.get(option.server_id)
    return work_ms if pace is None else round(work_ms * pace)
