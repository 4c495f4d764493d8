"""Tests of the settings of one process."""

from hypothesis import given, settings
from hypothesis import strategies as st

from bramleyturn.core.fault import describe_fault
from bramleyturn.core.process_settings import (
    ProcessSettings,
    RefusedSettings,
    parse_process_settings,
)
from bramleyturn.core.schema_operation import LogLevel

VALID = """\
[process]
name = entry-duluth-1
zone = duluth
listen = 127.0.0.1:0
platform = 127.0.0.1:7000, 127.0.0.1:7001
"""


class TestParseProcessSettings:
    def test_valid_settings(self) -> None:
        assert parse_process_settings(VALID, "entry.ini") == ProcessSettings(
            name="entry-duluth-1",
            zone="duluth",
            listen="127.0.0.1:0",
            watch="",
            platform=("127.0.0.1:7000", "127.0.0.1:7001"),
            advertise="",
            peers=(),
            peers_key="",
            log_level=LogLevel.INFO,
        )

    def test_missing_required_key(self) -> None:
        refused = parse_process_settings(VALID, "entry.ini", required=["watch"])
        assert isinstance(refused, RefusedSettings)
        assert [describe_fault(fault) for fault in refused.faults] == [
            "entry.ini:1: [process] watch: expected an address, which this program "
            "needs, found nothing"
        ]

    def test_all_faults_are_reported(self) -> None:
        text = "[process]\nlisten = localhost:1\nplatform = x\n[other]\n"
        refused = parse_process_settings(text, "entry.ini")
        assert isinstance(refused, RefusedSettings)
        assert [fault.key or fault.section for fault in refused.faults] == [
            "name",
            "zone",
            "listen",
            "platform",
            "other",
        ]

    def test_faults_of_an_empty_file_name_the_file(self) -> None:
        refused = parse_process_settings("", "entry.ini", required=["watch"])
        assert isinstance(refused, RefusedSettings)
        assert {fault.file for fault in refused.faults} == {"entry.ini"}

    def test_other_sections_are_ignored(self) -> None:
        text = VALID + "[standin]\nseed = 1\n"
        parsed = parse_process_settings(text, "a.ini", other_sections=["standin"])
        assert isinstance(parsed, ProcessSettings)

    @settings(derandomize=True, max_examples=200, deadline=None)
    @given(
        text=st.text(alphabet=st.sampled_from("[proces]=\n ;#:1.,\x00ä"), max_size=60)
    )
    def test_malformed_text_never_raises(self, text: str) -> None:
        assert isinstance(parse_process_settings(text, "a.ini"), RefusedSettings)
