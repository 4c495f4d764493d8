"""Tests of requests whose pipeline was removed by a newer configuration."""

from bramleyturn.core.actions import StartAttempt
from bramleyturn.core.arrivals import IssuedTicket, issue_ticket
from bramleyturn.core.events import ConfigurationAccepted
from bramleyturn.core.outcomes import OutcomeKind
from tests.core.entry_simulation import (
    FOLDER,
    EntrySimulation,
    answer,
    configuration,
    started,
)

REMOVED = """
[workspace lessons]
key_sha256 = aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa
pipelines = *
[tickets]
key = a-key-of-sixteen-characters
[peers]
key = another-key-of-sixteen-characters
"""


def accept(simulation: EntrySimulation, files: dict[str, str], revision: int) -> None:
    accepted = configuration(files)._replace(revision=revision)
    simulation.feed(ConfigurationAccepted(accepted))


def ticket_of(simulation: EntrySimulation) -> str:
    issued = issue_ticket(simulation.state, "lessons", "signup", simulation.now_ms)
    assert isinstance(issued, IssuedTicket)
    return issued.text


class TestTicketOfARemovedPipeline:
    def test_is_refused_permanently_once_it_was_answered_not_run(self) -> None:
        simulation = EntrySimulation()
        ticket = ticket_of(simulation)
        accept(simulation, {"10.ini": REMOVED}, 2)
        refused = answer(simulation.send("signup", ticket=ticket, is_forwarded=True))
        assert refused.outcome.kind is OutcomeKind.NOT_RUN
        accept(simulation, FOLDER, 3)
        actions = simulation.send("signup", ticket=ticket, waiter="w2")
        assert not [each for each in actions if isinstance(each, StartAttempt)]
        assert answer(actions).outcome.kind is OutcomeKind.NOT_RUN

    def test_returns_the_outcome_of_a_run_before_the_removal(self) -> None:
        simulation = EntrySimulation()
        ticket = ticket_of(simulation)
        enrol = started(simulation.send("signup", ticket=ticket))
        simulation.connect(enrol)
        simulation.output(enrol)
        accept(simulation, {"10.ini": REMOVED}, 2)
        again = answer(simulation.send("signup", ticket=ticket, waiter="w2"))
        assert again.outcome.kind is OutcomeKind.ANSWERED
