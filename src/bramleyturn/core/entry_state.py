"""Hold the state of one entry process."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from random import Random
from typing import Final

from bramleyturn.core.admission import Admission, admission
from bramleyturn.core.cost import CostTotals
from bramleyturn.core.crashes import Suspects
from bramleyturn.core.events import RequestArrived
from bramleyturn.core.forecast import TooBusy, forecast
from bramleyturn.core.gossip import GossipState
from bramleyturn.core.kept_outcomes import KeptOutcomes, OutcomeKey
from bramleyturn.core.latency import StageLatencies
from bramleyturn.core.membership import Membership
from bramleyturn.core.model import Configuration, Stage
from bramleyturn.core.progress import Attempt, RunningRequest
from bramleyturn.core.retry_budget import RetryBudget
from bramleyturn.core.routing import (
    Choice,
    ChoiceRequest,
    NoServer,
    RoutingTable,
    apply_servers,
    choose_server,
    routing_table,
)
from bramleyturn.core.spend import SpendState, spend_state
from bramleyturn.core.ticket_asker import Asking
from bramleyturn.core.ticket_backup import TicketBackup
from bramleyturn.core.ticket_primary import TicketPrimary
from bramleyturn.core.tickets import ProcessRef
from bramleyturn.core.timeline import Timeline
from bramleyturn.core.timers import Timers

MAX_TICKETS: Final = 20_000
MAX_PRIMARIES: Final = 40_000

CheckForecast = Callable[[RoutingTable, Sequence[Stage], int, int, int], TooBusy | None]
ChooseServer = Callable[[RoutingTable, ChoiceRequest, int, Random], Choice | NoServer]


@dataclass(slots=True)
class Counters:
    """Count the events that the status shows to an operator."""

    answered: int = 0
    not_run: int = 0
    failed: int = 0
    unknown: int = 0
    late_answers_dropped: int = 0
    wrong_answers_dropped: int = 0
    retries: int = 0
    hedges: int = 0
    resumes: int = 0
    messages_refused: int = 0


@dataclass(slots=True)
class Forward:
    """Hold a request that waits for the primary of its ticket."""

    forward_id: str
    event: RequestArrived
    asking: Asking
    deadline_at_ms: int


@dataclass(slots=True)
class EntryState:
    """Hold an entry process's configuration, requests, attempts and view of others.

    ``choose`` is the policy that chooses a backend server for an attempt,
    ``check_forecast`` the one that refuses a request which the servers can't finish
    in time. ``probed_ms`` is when each pipeline last ran a request as a probe.
    """

    name: str
    zone: str
    me: ProcessRef
    random: Random
    configuration: Configuration
    routing: RoutingTable
    admission: Admission
    latencies: StageLatencies
    retry_budget: RetryBudget
    costs: CostTotals
    suspects: Suspects
    peers: Membership
    spend: SpendState
    primary_tickets: TicketPrimary
    backup_tickets: TicketBackup
    requests: dict[str, RunningRequest] = field(default_factory=dict)
    running_by_id: dict[OutcomeKey, str] = field(default_factory=dict)
    request_by_ticket: dict[int, str] = field(default_factory=dict)
    request_by_waiter: dict[str, str] = field(default_factory=dict)
    attempts: dict[str, Attempt] = field(default_factory=dict)
    waiting_for_server: dict[str, dict[tuple[str, str], int]] = field(
        default_factory=dict
    )
    forwards: dict[str, Forward] = field(default_factory=dict)
    gossip: GossipState = field(default_factory=GossipState)
    kept: KeptOutcomes = field(default_factory=KeptOutcomes)
    timers: Timers = field(default_factory=Timers)
    timeline: Timeline = field(default_factory=Timeline)
    counters: Counters = field(default_factory=Counters)
    choose: ChooseServer = choose_server
    check_forecast: CheckForecast = forecast
    probed_ms: dict[str, int] = field(default_factory=dict)
    next_number: int = 0
    is_draining: bool = False


def entry_state(
    name: str,
    zone: str,
    me: ProcessRef,
    configuration: Configuration,
    random: Random,
    now_ms: int,
) -> EntryState:
    """Return the state of an entry process that has just started."""
    routing = routing_table(zone)
    apply_servers(routing, configuration, now_ms)
    return EntryState(
        name=name,
        zone=zone,
        me=me,
        random=random,
        configuration=configuration,
        routing=routing,
        admission=admission(configuration.limits),
        latencies=StageLatencies(),
        retry_budget=RetryBudget(configuration.limits.retry_ratio_percent),
        costs=CostTotals(),
        suspects=Suspects(),
        peers=Membership(name, zone, me),
        spend=spend_state(name, me.incarnation),
        primary_tickets=TicketPrimary(me, MAX_TICKETS),
        backup_tickets=TicketBackup(
            me, MAX_TICKETS, MAX_PRIMARIES, configuration.tickets.margin_ms
        ),
    )


def new_key(state: EntryState) -> str:
    """Return a key that is unique among all processes and their incarnations."""
    state.next_number += 1
    return f"{state.me.incarnation}-{state.next_number}"
