"""Run several entry cores in virtual time over a network with faults.

An entry may be killed and replaced at its address, or frozen and resumed.
"""

from collections.abc import Callable
from random import Random
from typing import Final

from bramleyturn.bench.entry_network import (
    Callback,
    Network,
    Node,
    RunOnce,
    StageRun,
    StepFunction,
    delay_ms,
    fault_occurs,
    is_reachable,
    run_at_node,
    schedule,
    send_message,
)
from bramleyturn.core.actions import (
    Action,
    Answer,
    AnswerAsBackup,
    CancelAttempt,
    CancelOrphan,
    ForwardAnswer,
    ForwardToPrimary,
    PermitWrite,
    SendToBackup,
    StartAttempt,
    TicketNeeded,
    TicketRefused,
)
from bramleyturn.core.entry import next_wake_ms, start, step
from bramleyturn.core.entry_state import entry_state
from bramleyturn.core.events import (
    AttemptFailed,
    BackupAnswer,
    BackupAnswered,
    BackupAsked,
    BackupSilent,
    ConnectionReady,
    Event,
    FailureReason,
    OutputArrived,
    PeerSeen,
    PrimaryAnswered,
    PrimarySilent,
    RequestArrived,
    TimePassed,
    WaiterGone,
)
from bramleyturn.core.model import Configuration
from bramleyturn.core.outcomes import Outcome
from bramleyturn.core.ticket_messages import (
    InputDiffers,
    PrimaryAnswer,
    PrimaryFinished,
    PrimaryRunning,
)
from bramleyturn.core.tickets import ProcessRef

PRIMARY_WAIT_MS: Final = 1_000
ASK_AGAIN_MS: Final = 10
HEARTBEAT_INTERVAL_MS: Final = 500
MAX_CLOCK_OFFSET_MS: Final = 1_000_000


def entry_network(
    configuration: Configuration,
    zones: dict[str, str],
    seed: int,
    step_function: StepFunction = step,
) -> Network:
    """Return a network with an entry process at each address of ``zones``."""
    network = Network(configuration, zones, seed, step_function)
    for address in zones:
        start_node(network, address)
    return network


def start_node(network: Network, address: str) -> None:
    """Start an entry process at an address, in place of any earlier one."""
    network.sequence += 1
    offset_ms = network.random.randrange(MAX_CLOCK_OFFSET_MS)
    now_ms = network.now_ms + offset_ms
    state = entry_state(
        f"entry-{address}",
        network.zones[address],
        ProcessRef(address, f"run-{network.sequence}"),
        network.configuration,
        Random(network.random.random()),
        now_ms,
    )
    start(state, now_ms)
    node = Node(state, offset_ms)
    network.nodes[address] = node
    exchange_heartbeats(network, node)
    schedule_wake(network, node)


def exchange_heartbeats(network: Network, node: Node) -> None:
    """Exchange heartbeats with every reachable node, and repeat at an interval."""
    if not node.is_alive:
        return
    for other in network.nodes.values():
        if other is node or not is_reachable(network, node, other):
            continue
        if node.is_frozen or other.is_frozen or not other.is_alive:
            continue
        feed(network, node, peer_seen_event(other))
        feed(network, other, peer_seen_event(node))
    schedule(network, HEARTBEAT_INTERVAL_MS, lambda: exchange_heartbeats(network, node))


def peer_seen_event(node: Node) -> PeerSeen:
    """Return the event that a peer receives when this node answered."""
    state = node.state
    return PeerSeen(state.name, state.zone, state.me.address, state.me.incarnation)


def kill(network: Network, address: str) -> None:
    """Stop a node immediately and discard its inbox."""
    node = network.nodes[address]
    node.is_alive = False
    node.inbox.clear()


def freeze(network: Network, address: str) -> Node:
    """Suspend a node and return it.

    Another incarnation may take its address before it resumes.
    """
    node = network.nodes[address]
    node.is_frozen = True
    return node


def thaw(network: Network, node: Node) -> None:
    """Resume a node, which handles its inbox in random order."""
    node.is_frozen = False
    waiting, node.inbox = node.inbox, []
    network.random.shuffle(waiting)
    for callback in waiting:
        run_at_node(node, callback)
    schedule_wake(network, node)


def schedule_wake(network: Network, node: Node) -> None:
    """Schedule a wake-up of a node's core when its next timer is due."""
    wake_ms = next_wake_ms(node.state)
    if wake_ms is None:
        return
    wait_ms = max(0, wake_ms - node.clock_offset_ms - network.now_ms)

    def wake() -> None:
        if next_wake_ms(node.state) == wake_ms:
            feed(network, node, TimePassed())

    schedule(network, wait_ms, lambda: run_at_node(node, wake))


def feed(network: Network, node: Node, event: Event) -> list[Action]:
    """Pass an event to a node's core and perform the resulting actions."""
    before_ms = next_wake_ms(node.state)
    now_ms = network.now_ms + node.clock_offset_ms
    actions = network.step_function(node.state, event, now_ms)
    for action in actions:
        perform(network, node, action)
    if next_wake_ms(node.state) != before_ms or isinstance(event, TimePassed):
        schedule_wake(network, node)
    return actions


def perform(network: Network, node: Node, action: Action) -> None:
    """Perform one action of a node's core."""
    match action:
        case SendToBackup():
            send_to_backup(network, node, action)
        case ForwardToPrimary():
            forward_to_primary(network, node, action)
        case AnswerAsBackup(reply_to, answer):
            node.replies.pop(reply_to)(answer)
        case StartAttempt():
            connect(network, node, action)
        case CancelAttempt(attempt_id) | CancelOrphan(attempt_id):
            cancel(network, attempt_id)
        case Answer() | ForwardAnswer() | TicketRefused() | TicketNeeded():
            reply = node.waiters.pop(action.waiter, None)
            if reply is not None:
                reply(action)
        case PermitWrite():
            pass


def send_to_backup(network: Network, node: Node, action: SendToBackup) -> None:
    """Send a message to a backup; feed back its answer or a timeout."""
    completion = RunOnce()
    other = network.nodes[action.backup.address]

    def time_out() -> None:
        event = BackupSilent(action.correlation_id, action.message)
        completion.run(lambda: _ignore(feed(network, node, event)))

    def answered(answer: BackupAnswer) -> None:
        event = BackupAnswered(action.correlation_id, action.message, answer)
        send_message(
            network,
            other,
            node,
            lambda: completion.run(lambda: _ignore(feed(network, node, event))),
        )

    def deliver() -> None:
        network.sequence += 1
        reply_to = f"b{network.sequence}"
        other.replies[reply_to] = answered
        feed(network, other, BackupAsked(reply_to, action.message))

    send_message(network, node, other, deliver)
    schedule(network, action.timeout_ms, lambda: run_at_node(node, time_out))


def forward_to_primary(network: Network, node: Node, action: ForwardToPrimary) -> None:
    """Forward a request to its primary; feed back its answer or a timeout."""
    completion = RunOnce()
    other = network.nodes[action.primary.address]

    def time_out() -> None:
        completion.run(
            lambda: _ignore(feed(network, node, PrimarySilent(action.forward_id)))
        )

    def answered(answer: PrimaryAnswer) -> None:
        event = PrimaryAnswered(action.forward_id, answer)
        send_message(
            network,
            other,
            node,
            lambda: completion.run(lambda: _ignore(feed(network, node, event))),
        )

    def deliver() -> None:
        message = action.message
        arrived = RequestArrived(
            waiter=new_waiter(
                network, other, lambda end: answered(primary_answer(end))
            ),
            is_forwarded=True,
            **message._asdict(),
        )
        feed(network, other, arrived)
        schedule(
            network, PRIMARY_WAIT_MS, lambda: run_at_node(other, still_running(arrived))
        )

    def still_running(arrived: RequestArrived) -> Callback:
        def stop_waiting() -> None:
            if other.waiters.pop(arrived.waiter, None) is not None:
                feed(network, other, WaiterGone(arrived.waiter))
                answered(PrimaryRunning(ASK_AGAIN_MS))

        return stop_waiting

    send_message(network, node, other, deliver)
    schedule(network, action.timeout_ms, lambda: run_at_node(node, time_out))


def new_waiter(network: Network, node: Node, reply: Callable[[Action], None]) -> str:
    """Register a callback for the outcome of a request and return the waiter id."""
    network.sequence += 1
    waiter = f"w{network.sequence}"
    node.waiters[waiter] = reply
    return waiter


def primary_answer(action: Action) -> PrimaryAnswer:
    """Convert the final action of a forwarded request to the primary's answer."""
    if isinstance(action, ForwardAnswer):
        return action.answer
    if isinstance(action, Answer):
        return PrimaryFinished(action.outcome)
    return InputDiffers()


def connect(network: Network, node: Node, action: StartAttempt) -> None:
    """Connect for a non-repeatable attempt, then ask for permission to write."""

    def fail(reason: FailureReason) -> None:
        feed(network, node, AttemptFailed(action.attempt_id, reason, "", None, False))

    def ready() -> None:
        if fault_occurs(network, network.faults.not_connected_percent):
            fail(FailureReason.NOT_CONNECTED)
            return
        actions = feed(network, node, ConnectionReady(action.attempt_id))
        if PermitWrite(action.attempt_id) not in actions:
            return
        schedule(network, delay_ms(network), lambda: serve(network, node, action))

    schedule(network, delay_ms(network), lambda: run_at_node(node, ready))


def serve(network: Network, node: Node, action: StartAttempt) -> None:
    """Simulate a backend server that refuses or runs a received attempt."""

    def reply(event: Event) -> None:
        def deliver() -> None:
            feed(network, node, event)

        schedule(network, delay_ms(network), lambda: run_at_node(node, deliver))

    def failure_event(reason: FailureReason) -> AttemptFailed:
        return AttemptFailed(action.attempt_id, reason, "", None, False)

    if fault_occurs(network, network.faults.refused_percent):
        reply(failure_event(FailureReason.NOT_STARTED))
        return
    if fault_occurs(network, network.faults.lost_percent):
        reply(failure_event(FailureReason.LOST))
        return
    if action.attempt_id in network.cancelled:
        return
    network.ledger[StageRun(action.stage, str(action.input))] += 1
    network.started_attempts.add(action.attempt_id)

    def finish() -> None:
        if fault_occurs(network, network.faults.lost_percent):
            reply(failure_event(FailureReason.LOST))
        elif fault_occurs(network, network.faults.failed_percent):
            reply(failure_event(FailureReason.ERROR_ANSWER))
        else:
            output = f"{action.input}|{action.stage}"
            reply(OutputArrived(action.attempt_id, action.attempt_id, output, 0))

    schedule(network, network.random.randint(1, network.faults.service_ms), finish)


def cancel(network: Network, attempt_id: str) -> None:
    """Send a cancellation to a server; an attempt that has started runs to its end."""
    if fault_occurs(network, network.faults.lost_percent):
        return
    schedule(network, delay_ms(network), lambda: network.cancelled.add(attempt_id))


def outcome_of(action: Action) -> Outcome | None:
    """Return the outcome that the caller receives, if any."""
    return action.outcome if isinstance(action, Answer) else None


def _ignore(_actions: list[Action]) -> None:
    """Discard actions that were already performed."""
