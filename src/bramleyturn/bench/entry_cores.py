"""Run several entry cores in virtual time, with a network and faults between them.

An entry may be killed and replaced under its address, or frozen and woken.
"""

from collections.abc import Callable
from random import Random
from typing import Final

from bramleyturn.bench.entry_network import (
    Call,
    Network,
    Node,
    Once,
    Run,
    Step,
    at_node,
    carry,
    chance,
    delay_ms,
    is_reachable,
    later,
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
GREET_MS: Final = 500
MAX_CLOCK_OFFSET_MS: Final = 1_000_000


def entry_network(
    configuration: Configuration,
    zones: dict[str, str],
    seed: int,
    stepping: Step = step,
) -> Network:
    """Return a network with an entry process at each address of ``zones``."""
    network = Network(configuration, zones, seed, stepping)
    for address in zones:
        start_node(network, address)
    return network


def start_node(network: Network, address: str) -> None:
    """Start an entry process, in place of a dead one where there was one."""
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
    greet(network, node)
    arrange_wake(network, node)


def greet(network: Network, node: Node) -> None:
    """Let a node and the others that it reaches learn of each other, for good."""
    if not node.is_alive:
        return
    for other in network.nodes.values():
        if other is node or not is_reachable(network, node, other):
            continue
        if node.is_frozen or other.is_frozen or not other.is_alive:
            continue
        feed(network, node, seen(other))
        feed(network, other, seen(node))
    later(network, GREET_MS, lambda: greet(network, node))


def seen(node: Node) -> PeerSeen:
    """Return the news that a node answered."""
    state = node.state
    return PeerSeen(state.name, state.zone, state.me.address, state.me.incarnation)


def kill(network: Network, address: str) -> None:
    """End a node at once."""
    node = network.nodes[address]
    node.is_alive = False
    node.inbox.clear()


def freeze(network: Network, address: str) -> Node:
    """Stop a node where it stands and return it.

    Its address may be given to another incarnation before it wakes.
    """
    node = network.nodes[address]
    node.is_frozen = True
    return node


def thaw(network: Network, node: Node) -> None:
    """Wake a node: what arrived meanwhile is handled in a random order."""
    node.is_frozen = False
    waiting, node.inbox = node.inbox, []
    network.random.shuffle(waiting)
    for call in waiting:
        at_node(node, call)
    arrange_wake(network, node)


def arrange_wake(network: Network, node: Node) -> None:
    """Wake a node's core when its next timer is due."""
    wake_ms = next_wake_ms(node.state)
    if wake_ms is None:
        return
    wait_ms = max(0, wake_ms - node.clock_offset_ms - network.now_ms)

    def wake() -> None:
        if next_wake_ms(node.state) == wake_ms:
            feed(network, node, TimePassed())

    later(network, wait_ms, lambda: at_node(node, wake))


def feed(network: Network, node: Node, event: Event) -> list[Action]:
    """Hand a node's core an event and carry out its actions."""
    before_ms = next_wake_ms(node.state)
    now_ms = network.now_ms + node.clock_offset_ms
    actions = network.stepping(node.state, event, now_ms)
    for action in actions:
        perform(network, node, action)
    if next_wake_ms(node.state) != before_ms or isinstance(event, TimePassed):
        arrange_wake(network, node)
    return actions


def perform(network: Network, node: Node, action: Action) -> None:
    """Carry out one action of a node's core."""
    match action:
        case SendToBackup():
            tell_backup(network, node, action)
        case ForwardToPrimary():
            tell_primary(network, node, action)
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


def tell_backup(network: Network, node: Node, action: SendToBackup) -> None:
    """Send a message to a backup; its answer or the time-out comes back."""
    once = Once()
    other = network.nodes[action.backup.address]

    def silent() -> None:
        event = BackupSilent(action.correlation_id, action.message)
        once.end(lambda: _ignore(feed(network, node, event)))

    def answered(answer: BackupAnswer) -> None:
        event = BackupAnswered(action.correlation_id, action.message, answer)
        carry(
            network,
            other,
            node,
            lambda: once.end(lambda: _ignore(feed(network, node, event))),
        )

    def ask() -> None:
        network.sequence += 1
        reply_to = f"b{network.sequence}"
        other.replies[reply_to] = answered
        feed(network, other, BackupAsked(reply_to, action.message))

    carry(network, node, other, ask)
    later(network, action.timeout_ms, lambda: at_node(node, silent))


def tell_primary(network: Network, node: Node, action: ForwardToPrimary) -> None:
    """Forward a request to its primary; its answer or the time-out comes back."""
    once = Once()
    other = network.nodes[action.primary.address]

    def silent() -> None:
        once.end(lambda: _ignore(feed(network, node, PrimarySilent(action.forward_id))))

    def answered(answer: PrimaryAnswer) -> None:
        event = PrimaryAnswered(action.forward_id, answer)
        carry(
            network,
            other,
            node,
            lambda: once.end(lambda: _ignore(feed(network, node, event))),
        )

    def ask() -> None:
        message = action.message
        arrived = RequestArrived(
            waiter=new_waiter(network, other, lambda found: answered(answer_of(found))),
            is_forwarded=True,
            **message._asdict(),
        )
        feed(network, other, arrived)
        later(network, PRIMARY_WAIT_MS, lambda: at_node(other, still_running(arrived)))

    def still_running(arrived: RequestArrived) -> Call:
        def end() -> None:
            if other.waiters.pop(arrived.waiter, None) is not None:
                feed(network, other, WaiterGone(arrived.waiter))
                answered(PrimaryRunning(ASK_AGAIN_MS))

        return end

    carry(network, node, other, ask)
    later(network, action.timeout_ms, lambda: at_node(node, silent))


def new_waiter(network: Network, node: Node, reply: Callable[[Action], None]) -> str:
    """Register a callback for the outcome of a request and return its name."""
    network.sequence += 1
    waiter = f"w{network.sequence}"
    node.waiters[waiter] = reply
    return waiter


def answer_of(action: Action) -> PrimaryAnswer:
    """Return what the end of a forwarded request is to its sender."""
    if isinstance(action, ForwardAnswer):
        return action.answer
    if isinstance(action, Answer):
        return PrimaryFinished(action.outcome)
    return InputDiffers()


def connect(network: Network, node: Node, action: StartAttempt) -> None:
    """Open the connection of an attempt that may not be repeated, and ask to write."""

    def broke(reason: FailureReason) -> None:
        feed(network, node, AttemptFailed(action.attempt_id, reason, "", None, False))

    def ready() -> None:
        if chance(network, network.faults.not_connected_percent):
            broke(FailureReason.NOT_CONNECTED)
            return
        actions = feed(network, node, ConnectionReady(action.attempt_id))
        if PermitWrite(action.attempt_id) not in actions:
            return
        later(network, delay_ms(network), lambda: serve(network, node, action))

    later(network, delay_ms(network), lambda: at_node(node, ready))


def serve(network: Network, node: Node, action: StartAttempt) -> None:
    """Let a backend server refuse or run an attempt that was written to it."""

    def tell(event: Event) -> None:
        def take() -> None:
            feed(network, node, event)

        later(network, delay_ms(network), lambda: at_node(node, take))

    def broke(reason: FailureReason) -> AttemptFailed:
        return AttemptFailed(action.attempt_id, reason, "", None, False)

    if chance(network, network.faults.refused_percent):
        tell(broke(FailureReason.NOT_STARTED))
        return
    if chance(network, network.faults.lost_percent):
        tell(broke(FailureReason.LOST))
        return
    if action.attempt_id in network.cancelled:
        return
    network.ledger[Run(action.stage, str(action.input))] += 1
    network.began.add(action.attempt_id)

    def ended() -> None:
        if chance(network, network.faults.lost_percent):
            tell(broke(FailureReason.LOST))
        elif chance(network, network.faults.failed_percent):
            tell(broke(FailureReason.ERROR_ANSWER))
        else:
            output = f"{action.input}|{action.stage}"
            tell(OutputArrived(action.attempt_id, action.attempt_id, output, 0))

    later(network, network.random.randint(1, network.faults.service_ms), ended)


def cancel(network: Network, attempt_id: str) -> None:
    """Tell a server to stop an attempt; one that has begun runs to its end."""
    if chance(network, network.faults.lost_percent):
        return
    later(network, delay_ms(network), lambda: network.cancelled.add(attempt_id))


def outcome_of(action: Action) -> Outcome | None:
    """Return the outcome that a caller is told, if it is told one."""
    return action.outcome if isinstance(action, Answer) else None


def _ignore(_actions: list[Action]) -> None:
    """Drop what has been carried out already."""
