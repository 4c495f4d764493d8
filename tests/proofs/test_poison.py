"""Proof: one poison request costs two servers at most, and no neighbour its answer."""

import pytest

from bramleyturn.core.outcomes import OutcomeKind
from tests.proofs.poison_world import (
    SERVERS,
    PoisonStory,
    PoisonWorld,
    send_poison_everywhere,
)

SEEDS = range(40)
MOST_CRASHES = 2
MOST_CRASHES_OF_MANY = 3


def assert_contained(story: PoisonStory, seed: int) -> None:
    """Check what the caller, its neighbours and the servers went through.

    Suspects are kept apart while there is a server for each. Beyond that, two of
    them may share the second server too, and it takes a third crash to tell.
    """
    can_be_apart = story.suspects <= SERVERS - 1
    most = MOST_CRASHES if can_be_apart else MOST_CRASHES_OF_MANY
    assert len(story.crashed) <= most, f"seed {seed}: {story.crashed}"
    kinds = {outcome.kind for outcome in story.poisoned}
    assert kinds == {OutcomeKind.FAILED}, f"seed {seed}: {story.poisoned}"
    assert story.poisoned[-1].reason == "input_crashes_servers"
    unanswered = {
        name: outcome
        for name, outcome in story.neighbours.items()
        if outcome.kind is not OutcomeKind.ANSWERED
    }
    assert not unanswered, f"seed {seed}: {unanswered}"


class TestInVirtualTime:
    @pytest.mark.parametrize("entries", [1, 3])
    @pytest.mark.parametrize("neighbours", [0, 2, 8])
    @pytest.mark.parametrize("stage", ["encode", "generate"])
    def test_two_servers_at_most_and_neighbours_answered(
        self, entries: int, neighbours: int, stage: str
    ) -> None:
        for seed in SEEDS:
            world = PoisonWorld(seed, entries=entries, crashes_stage=stage)
            assert_contained(send_poison_everywhere(world, neighbours), seed)

    def test_entries_that_tell_each_other_nothing_lose_more(self) -> None:
        world = PoisonWorld(1, tells_peers=False)
        story = send_poison_everywhere(world, neighbours=0)
        assert len(story.crashed) > MOST_CRASHES
