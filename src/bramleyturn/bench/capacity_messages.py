"""Measure the cost of gossip by its content, and of whole requests by stages."""

from functools import partial
from random import Random
from typing import Final

import orjson
from twisted.internet import reactor

from bramleyturn.bench.capacity_configuration import load, new_entry
from bramleyturn.bench.capacity_points import (
    Point,
    Slope,
    cpu_ms,
    fit_line,
    measure_point,
)
from bramleyturn.core.actions import Action, Answer, StartAttempt
from bramleyturn.core.entry import step
from bramleyturn.core.entry_state import EntryState, entry_state
from bramleyturn.core.events import (
    OutputArrived,
    PeerSeen,
    RequestArrived,
)
from bramleyturn.core.gossip import log_change
from bramleyturn.core.gossip_exchange import build_gossip
from bramleyturn.core.model import PoolKind
from bramleyturn.core.peer_message import (
    MessageKind,
    PeerMessage,
    SenderWindows,
    check_fresh,
    decode_message,
    encode_message,
    message_macs,
)
from bramleyturn.core.spend import record_spend
from bramleyturn.core.tickets import ProcessRef
from bramleyturn.runtime.backend_client import BackendClient, LineReader

KEY: Final = "a-key-for-measurements-only"
EXCHANGES: Final = 400
REQUESTS: Final = 300
STREAMS: Final = 30
MICROS_PER_MS: Final = 1_000


def measure_messages() -> list[Slope]:
    """Return the slopes of gossip messages, requests and streams."""
    return [*_measure_gossip(), _measure_requests(), _measure_streams()]


def _measure_gossip() -> list[Slope]:
    sizes: list[Point] = []
    times: list[Point] = []
    for counters in (0, 10, 20, 40):
        size = len(_encode_gossip(*_entry_pair(counters), 1))
        sizes.append(Point(counters, size, size, size))
        times.append(measure_point(counters, partial(_exchange_micros, counters)))
    # "greeting" names gossip in stored reports; the names stay comparable over runs.
    return [
        fit_line("greeting, envelope and MAC in", "B", "spent counter told", sizes),
        fit_line("greeting, written and read", "us CPU", "spent counter told", times),
    ]


def _entry_pair(counters: int) -> tuple[EntryState, EntryState]:
    configuration = load({})
    first = new_entry(configuration)
    peer = ProcessRef("10.9.0.2:7000", "incarnation2")
    second = entry_state("peer", "zone-1", peer, configuration, Random(2), 0)
    for number in range(counters):
        record_spend(first.spend, f"workspace-{number}", 100, 0)
        log_change(first.gossip.spend, (f"workspace-{number}", 0))
    return first, second


def _encode_gossip(sender: EntryState, receiver: EntryState, sequence: int) -> bytes:
    body = build_gossip(sender, receiver.me, receiver.zone, 0)
    message = PeerMessage(
        sender.me,
        sender.name,
        sender.zone,
        7,
        MessageKind.HELLO,
        body,
        sequence,
        receiver.me.incarnation,
    )
    packed = encode_message(message)
    return packed + message_macs(packed, (KEY,)).encode()


def _exchange_micros(counters: int) -> float:
    first, second = _entry_pair(counters)
    senders = SenderWindows()

    def work() -> None:
        for sequence in range(1, EXCHANGES + 1):
            signed = _encode_gossip(first, second, sequence)
            packed, mac = signed[:-32], signed[-32:].decode()
            message = decode_message(packed, mac, (KEY, ""))
            assert isinstance(message, PeerMessage)
            assert check_fresh(senders, message, second.me) is None
            seen = PeerSeen(
                first.name, first.zone, *first.me, 7, message.body | {"acks": [0, 0]}
            )
            step(second, seen, 1)

    return cpu_ms(work) * MICROS_PER_MS / EXCHANGES


def _measure_requests() -> Slope:
    points = [
        measure_point(stages, partial(_request_micros, stages))
        for stages in (1, 2, 4, 6)
    ]
    return fit_line("request in the core", "us CPU", "stage", points)


def _pipeline_folder(stages: int, kind: PoolKind) -> dict[str, str]:
    names = [f"stage-{number}" for number in range(stages)]
    text = f"[pool pool]\nkind = {kind}\nmodel = m\nconcurrency_per_server = 64\n"
    for number in range(65):
        text += f"[server s-{number}]\npool = pool\nzone = zone-0\n"
        text += f"address = 10.0.0.{number}:8000\n"
    text += f"[pipeline ask]\nstages = {', '.join(names)}\n"
    for name in names:
        text += f"[stage ask.{name}]\npool = pool\nrepeatable = yes\n"
    text += f"[workspace w]\nkey_sha256 = {0:064x}\nrate_per_s = 100000\n"
    text += "burst = 100000\nconcurrency = 1000\npipelines = ask\n"
    return {"a.ini": text}


def _request_micros(stages: int) -> float:
    state = new_entry(load(_pipeline_folder(stages, PoolKind.PLAIN)))

    def work() -> None:
        for number in range(REQUESTS):
            actions = _arrive(state, number)
            while started := _started_attempt(actions):
                output = OutputArrived(started, started, {"text": "x" * 200}, 0)
                actions = step(state, output, number * 10 + 5)
            assert isinstance(actions[0], Answer), actions

    return cpu_ms(work) * MICROS_PER_MS / REQUESTS


def _arrive(state: EntryState, number: int) -> list[Action]:
    arrived = RequestArrived(
        f"w{number}", "w", "ask", f"r{number}", {"n": number}, 200, 4_000, ""
    )
    return step(state, arrived, number * 10)


def _started_attempt(actions: list[Action]) -> str:
    found = [each.attempt_id for each in actions if isinstance(each, StartAttempt)]
    return found[0] if found else ""


def _measure_streams() -> Slope:
    points = [
        measure_point(tokens, partial(_stream_micros, tokens))
        for tokens in (32, 128, 252)
    ]
    return fit_line("stream, from lines to outcome", "us CPU", "token", points)


def _stream_micros(tokens: int) -> float:
    """Measure streams from received bytes to the outcome, without sockets."""
    state = new_entry(load(_pipeline_folder(1, PoolKind.ENGINE)))
    last: list[Action] = []
    client = BackendClient(reactor, lambda event: last.extend(step(state, event, 5)))

    def work() -> None:
        for number in range(STREAMS):
            (start,) = _arrive(state, number)
            assert isinstance(start, StartAttempt)
            reader = LineReader(client, start, is_answer=True)
            for offset in range(tokens):
                reader.dataReceived(_token_line(start.attempt_id, offset))
            end = {"attempt_id": start.attempt_id, "end": True, "total": tokens}
            reader.dataReceived(orjson.dumps(end) + b"\n")
            assert isinstance(last[-1], Answer), last

    return cpu_ms(work) * MICROS_PER_MS / STREAMS


def _token_line(attempt_id: str, offset: int) -> bytes:
    line = {"attempt_id": attempt_id, "offset": offset, "tokens": ["word"]}
    return orjson.dumps(line) + b"\n"
