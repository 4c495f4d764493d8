"""Proof: a streamed answer is whole, wherever it was cut and however it came."""

from itertools import product

import pytest

from bramleyturn.core.actions import Action, StartAttempt
from bramleyturn.core.events import AttemptBroke, BreakReason
from bramleyturn.core.outcomes import OutcomeKind
from tests.core.entry_world import World, answer, started

TOKENS = tuple("abcdefgh")
WHOLE = "".join(TOKENS)
CUTS = range(len(TOKENS) + 1)
# Two lost connections would convict the input of crashing servers.
BREAKS = (
    (BreakReason.CUT, BreakReason.CUT),
    (BreakReason.CUT, BreakReason.LOST),
    (BreakReason.LOST, BreakReason.CUT),
)
LEFT_MS = 5_000
RETRY_MS = 200


class Stream:
    """Hold the attempt that streams one draft through an entry's core."""

    def __init__(self) -> None:
        self.world = World()
        encode = started(self.world.send("draft", left_ms=LEFT_MS))
        self.attempt = started(self.world.output(encode))

    def say(self, first: int, last: int, chunk: int) -> None:
        """Send tokens in parts of ``chunk`` tokens, under their true offsets."""
        for offset in range(first, last, chunk):
            part = TOKENS[offset : min(offset + chunk, last)]
            self.world.tokens(self.attempt, offset, *part)

    def stop(self, reason: BreakReason) -> int:
        """Break the attempt off; return the offset from which the next one goes on."""
        event = AttemptBroke(self.attempt.attempt_id, reason, "", None, False)
        return self.go_on(self.world.feed(event))

    def go_on(self, actions: list[Action]) -> int:
        """Wait for the next attempt and return its offset."""
        more = [*actions, *self.world.advance(RETRY_MS)]
        (self.attempt,) = [each for each in more if isinstance(each, StartAttempt)]
        return self.attempt.resume_offset

    def finish(self, first: int) -> None:
        """Send the rest and check that the caller got the whole answer."""
        self.say(first, len(TOKENS), 1)
        outcome = answer(self.world.end(self.attempt, len(TOKENS))).outcome
        assert (outcome.kind, outcome.output) == (OutcomeKind.ANSWERED, WHOLE)


class TestInVirtualTime:
    @pytest.mark.parametrize("chunk", [1, 3, 8])
    def test_whole_after_two_cuts_anywhere(self, chunk: int) -> None:
        for first, second, reasons in product(CUTS, CUTS, BREAKS):
            if second < first:
                continue
            stream = Stream()
            stream.say(0, first, chunk)
            assert stream.stop(reasons[0]) == first
            stream.say(first, second, chunk)
            assert stream.stop(reasons[1]) == second
            stream.finish(second)

    def test_starts_again_where_a_resume_is_refused(self) -> None:
        for cut in CUTS:
            stream = Stream()
            stream.say(0, cut, 1)
            stream.stop(BreakReason.CUT)
            assert stream.stop(BreakReason.RESUME_REFUSED) == 0
            stream.finish(0)

    def test_whole_after_a_resume_from_the_wrong_offset(self) -> None:
        for cut, wrong in product(CUTS, CUTS):
            stream = Stream()
            stream.say(0, cut, 1)
            stream.stop(BreakReason.CUT)
            actions = stream.world.tokens(stream.attempt, wrong, *TOKENS[wrong:])
            if wrong <= cut:
                # It overlaps what is held and agrees with it.
                stream.finish(len(TOKENS))
                continue
            assert stream.go_on(actions) == cut
            stream.finish(cut)

    def test_whole_where_parts_come_twice_or_out_of_order(self) -> None:
        for order in product(range(0, len(TOKENS), 2), repeat=3):
            stream = Stream()
            held = 0
            for offset in order:
                actions = stream.world.tokens(
                    stream.attempt, offset, *TOKENS[offset : offset + 2]
                )
                if offset > held:
                    assert stream.go_on(actions) == held
                    break
                held = max(held, offset + 2)
            stream.finish(held)

    def test_starts_again_after_more_than_announced(self) -> None:
        for announced in range(len(TOKENS)):
            stream = Stream()
            stream.say(0, len(TOKENS), 3)
            actions = stream.world.end(stream.attempt, announced)
            assert stream.go_on(actions) == 0
            stream.finish(0)

    def test_goes_on_after_fewer_than_announced(self) -> None:
        for cut in range(len(TOKENS)):
            stream = Stream()
            stream.say(0, cut, 3)
            actions = stream.world.end(stream.attempt, len(TOKENS))
            assert stream.go_on(actions) == cut
            stream.finish(cut)
