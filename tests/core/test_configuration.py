"""Tests of loading and explaining a configuration."""

import time
from typing import get_type_hints

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from bramleyturn.core import model, schema
from bramleyturn.core.configuration import (
    HIDDEN_VALUE,
    MAX_FOLDER_CHARACTERS,
    EffectiveValue,
    LoadCache,
    RefusedConfiguration,
    explain,
    load_configuration,
)
from bramleyturn.core.fault import describe_fault
from bramleyturn.core.model import Configuration, Limits
from bramleyturn.core.settings_reference import settings_reference
from tests.settings_cases import (
    CASES,
    EXPECTED,
    VALID,
    faulty_cases,
    read_case,
    read_faulty_case,
)

# Generous: only catches loading whose time grows faster than linearly.
MAX_LOAD_S = 60
ONE_MEGABYTE = 1_000_000


def load_valid(files: dict[str, str]) -> Configuration:
    loaded = load_configuration(3, files)
    assert isinstance(loaded, Configuration), loaded
    return loaded


class TestLoadConfiguration:
    def test_valid_folder_loads_completely(self) -> None:
        loaded = load_valid(read_case(VALID))
        assert loaded.revision == 3
        assert sorted(loaded.pools) == ["drafting", "encoding", "signup"]
        assert loaded.pools["drafting"].model == "draft-8b"
        assert loaded.servers["drafting-duluth-1"].address == "[::1]:9102"
        workspace = loaded.workspaces["lessons"]
        assert workspace.pipelines == ("lesson-draft", "roster-signup")
        assert workspace.key_sha256 == "0123456789abcdef" * 4

    def test_stages_are_ordered_by_their_dependencies(self) -> None:
        pipeline = load_valid(read_case(VALID)).pipelines["lesson-draft"]
        assert [(stage.name, stage.after) for stage in pipeline.stages] == [
            ("encode", ()),
            ("retrieve", ("encode",)),
            ("generate", ("encode", "retrieve")),
        ]

    def test_empty_folder_is_valid(self) -> None:
        assert isinstance(load_valid({}).limits, Limits)
        assert load_valid({"a.ini": "[limits]"}).limits == load_valid({}).limits

    @pytest.mark.parametrize("case", faulty_cases())
    def test_every_fault_is_reported_with_its_location(self, case: str) -> None:
        refused = load_configuration(3, read_faulty_case(case))
        assert isinstance(refused, RefusedConfiguration)
        lines = "".join(describe_fault(fault) + "\n" for fault in refused.faults)
        assert lines == (CASES / case / EXPECTED).read_text()

    def test_order_of_files_in_the_mapping_does_not_matter(self) -> None:
        files = read_faulty_case("syntax")
        backwards = dict(reversed(files.items()))
        assert load_configuration(3, files) == load_configuration(3, backwards)

    def test_too_large_folder_is_refused(self) -> None:
        files = {"a.ini": "#" * (MAX_FOLDER_CHARACTERS + 1)}
        assert isinstance(load_configuration(1, files), RefusedConfiguration)

    def test_folder_of_one_megabyte_loads(self) -> None:
        server = (
            "[server s{0}]\npool = signup\nzone = duluth\naddress = 10.{1}.{2}.1:80\n"
        )
        text = ""
        parts = []
        count = 0
        while count * len(server) < ONE_MEGABYTE:
            parts.append(server.format(count, count // 256, count % 256))
            count += 1
        text = "".join(parts)
        files = {**read_case(VALID), "50-servers.ini": text}
        started_s = time.monotonic()
        loaded = load_valid(files)
        elapsed_s = time.monotonic() - started_s
        print(f"{len(text)} bytes, {count} servers: {elapsed_s:.3f} s")
        assert len(loaded.servers) == count + 2
        assert elapsed_s < MAX_LOAD_S


NAMES = st.sampled_from(["a", "b", "a.b", "a.a", "b.a", "", "ä", "a b"])
KINDS = st.sampled_from([section.kind for section in schema.PUBLISHED])
KEYS = st.sampled_from(
    [key.name for section in schema.PUBLISHED for key in section.keys]
)
VALUES = st.one_of(
    st.sampled_from(["a", "a, b", "*", "none", "yes", "no", "engine", "7", "-1", ""]),
    st.text(max_size=12),
)
LINES = st.one_of(
    st.builds("[{} {}]".format, KINDS, NAMES),
    st.builds("[{}]".format, KINDS),
    st.builds("{} = {}".format, KEYS, VALUES),
    st.builds("  {}".format, VALUES),
    st.text(max_size=20),
)
FILES = st.lists(LINES, max_size=30).map("\n".join)
FOLDERS = st.dictionaries(st.text(max_size=8), FILES, max_size=3)


class TestMalformedFolders:
    @pytest.mark.parametrize(
        "files",
        [
            {"a.ini": "[limits]\nmax_queued = 0\n[admin]\n  0\n"},
            {"": "[limits]\nmax_queued\n"},
            {"\x00": "[limits]\n\ud800 = 1\n"},
            {"a.ini": "[\ud800]\nx = 1\n"},
        ],
    )
    def test_malformed_folder_is_refused(self, files: dict[str, str]) -> None:
        refused = load_configuration(1, files)
        assert isinstance(refused, RefusedConfiguration)
        assert all(describe_fault(fault).isprintable() for fault in refused.faults)

    @settings(derandomize=True, max_examples=400, deadline=None)
    @given(files=FOLDERS)
    def test_any_folder_loads_or_reports_faults(self, files: dict[str, str]) -> None:
        loaded = load_configuration(1, files)
        if isinstance(loaded, RefusedConfiguration):
            assert loaded.faults
            assert all(describe_fault(fault).isprintable() for fault in loaded.faults)
        else:
            assert isinstance(loaded, Configuration)
        explain(files)


class TestExplain:
    def test_each_value_has_its_file(self) -> None:
        values = explain(read_case(VALID))
        assert (
            EffectiveValue("pool drafting", "model", "draft-8b", "40-duluth.ini", 2)
            in values
        )
        assert EffectiveValue("limits", "max_attempts", "3", "default", 0) in values

    def test_secrets_are_hidden(self) -> None:
        shown = {
            (value.section, value.key): value.value
            for value in explain(read_case(VALID))
        }
        assert shown["tickets", "key"] == HIDDEN_VALUE
        assert shown["workspace lessons", "key_sha256"] == HIDDEN_VALUE
        assert shown["tickets", "previous_key"] == ""


class TestSchema:
    @pytest.mark.parametrize(
        ("section", "described"),
        [
            (schema.POOL, model.Pool),
            (schema.SERVER, model.Server),
            (schema.PIPELINE, model.Pipeline),
            (schema.STAGE, model.Stage),
            (schema.WORKSPACE, model.Workspace),
            (schema.LIMITS, model.Limits),
            (schema.TICKETS, model.TicketSettings),
            (schema.PEERS, model.PeerSettings),
            (schema.ADMIN, model.AdminSettings),
        ],
    )
    def test_keys_are_the_fields_of_the_model(
        self, section: schema.SectionSchema, described: type
    ) -> None:
        keys = {key.name for key in section.keys}
        assert keys == set(get_type_hints(described)) - {"name"}

    def test_every_setting_is_in_the_reference(self) -> None:
        reference = settings_reference()
        for section in (*schema.PUBLISHED, schema.PROCESS):
            for key in section.keys:
                assert f"| `{key.name}` |" in reference


class TestCache:
    def test_reload_equals_a_fresh_load(self) -> None:
        first = {
            "10.ini": "[pool p]\nkind = plain\nprice_micros_per_call = 1\n",
            "20.ini": "[server s]\npool = p\nzone = z\naddress = 10.0.0.1:1\n",
        }
        override = "[pool p]\nprice_micros_per_call = 7\n"
        cache = LoadCache()
        for revision, files in enumerate(
            [
                first,
                first | {"90.ini": override},
                first,
                first | {"20.ini": "[server s]\npool = q\n"},
                first | {"90.ini": override + "bad\n"},
                {"20.ini": first["20.ini"]},
                first,
            ]
        ):
            fresh = load_configuration(revision, files)
            assert load_configuration(revision, files, cache) == fresh
