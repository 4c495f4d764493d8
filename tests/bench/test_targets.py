"""Tests of reading the description of a fleet."""

from pathlib import Path

import pytest

from bramleyturn.bench.requests_mix import default_mix
from bramleyturn.bench.targets import (
    BadTargets,
    Targets,
    read_configuration,
    read_targets,
)
from scripts.fleet import LAKESHORE, WORKSPACES


class TestExampleSettings:
    def test_are_accepted(self) -> None:
        configuration = read_configuration(LAKESHORE)
        assert not isinstance(configuration, BadTargets), configuration
        assert set(configuration.workspaces) == set(WORKSPACES)

    def test_let_every_workspace_of_the_mix_send(self) -> None:
        configuration = read_configuration(LAKESHORE)
        assert not isinstance(configuration, BadTargets), configuration
        for share in default_mix():
            for workspace in share.workspaces:
                allowed = configuration.workspaces[workspace].pipelines
                assert share.pipeline in allowed

    def test_mark_charges_and_orders_as_not_repeatable(self) -> None:
        configuration = read_configuration(LAKESHORE)
        assert not isinstance(configuration, BadTargets), configuration
        ticketed = {
            name
            for name, pipeline in configuration.pipelines.items()
            if not pipeline.repeatable
        }
        assert ticketed == {"roster-signup", "packet-order"}


class TestReadTargets:
    def test_reads_a_fleet(self, tmp_path: Path) -> None:
        path = tmp_path / "fleet.json"
        path.write_text(
            f'{{"entries": ["127.0.0.1:1"], "keys": {{}}, "settings": "{LAKESHORE}"}}'
        )
        targets = read_targets(path)
        assert isinstance(targets, Targets)
        assert targets.entries == ("127.0.0.1:1",)

    @pytest.mark.parametrize(
        ("text", "reason"),
        [
            ("{", "not JSON"),
            ("[]", "expected entries, keys and settings"),
            ('{"entries": [], "keys": {}, "settings": "x"}', "expected entries"),
        ],
    )
    def test_reports_the_fault(self, tmp_path: Path, text: str, reason: str) -> None:
        path = tmp_path / "fleet.json"
        path.write_text(text)
        targets = read_targets(path)
        assert isinstance(targets, BadTargets)
        assert reason in targets.reason

    def test_missing_file(self, tmp_path: Path) -> None:
        targets = read_targets(tmp_path / "none.json")
        assert isinstance(targets, BadTargets)
        assert "No such file" in targets.reason
