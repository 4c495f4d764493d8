"""Test the decisions on answers of backend servers."""

import pytest

from bramleyturn.core.placement.verdicts import AnswerVerdict, judge_answer


class TestJudge:
    """Which answers may reach a caller."""

    @pytest.mark.parametrize(
        ("status", "not_run", "signed", "own", "encoded", "verdict"),
        [
            (200, False, True, True, False, AnswerVerdict.PASS_ON),
            (200, False, False, True, False, AnswerVerdict.UNUSABLE),
            (200, False, True, True, True, AnswerVerdict.UNUSABLE),
            (200, False, True, False, False, AnswerVerdict.UNUSABLE),
            (503, True, False, True, False, AnswerVerdict.NOT_RUN),
            (421, True, False, True, False, AnswerVerdict.NOT_RUN),
            (503, False, True, True, False, AnswerVerdict.UNUSABLE),
            (429, False, True, True, False, AnswerVerdict.UNUSABLE),
            (408, False, True, True, False, AnswerVerdict.UNUSABLE),
            (500, False, True, True, False, AnswerVerdict.PASS_ON),
            (404, False, True, True, False, AnswerVerdict.PASS_ON),
        ],
    )
    def test_verdict(
        self,
        status: int,
        not_run: bool,
        signed: bool,
        own: bool,
        encoded: bool,
        verdict: AnswerVerdict,
    ) -> None:
        assert judge_answer(status, not_run, signed, own, encoded) is verdict
