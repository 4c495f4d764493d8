"""Load a configuration from the files of one published revision."""

from collections.abc import Iterator, Mapping
from typing import Final, NamedTuple

from bramleyturn.core.fault import Fault
from bramleyturn.core.ini_folder import (
    IniFile,
    IniFolder,
    Section,
    merge_files,
    merge_folder,
    read_file,
)
from bramleyturn.core.model import (
    AdminSettings,
    Configuration,
    Limits,
    PeerSettings,
    Pipeline,
    Pool,
    Server,
    Stage,
    TicketSettings,
    Workspace,
)
from bramleyturn.core.pipeline_order import Cycle, order_stages
from bramleyturn.core.references import (
    Sections,
    SectionsByKind,
    check_references,
    stage_predecessors,
    stage_section_name,
)
from bramleyturn.core.schema import ALL_PIPELINES, PUBLISHED, Key, SectionSchema
from bramleyturn.core.section_values import (
    ParsedCache,
    ParsedSection,
    parse_in_steps,
)
from bramleyturn.core.steps import Steps, run_steps

MAX_FOLDER_CHARACTERS: Final = 8 * 1024 * 1024
DEFAULT_SOURCE: Final = "default"
HIDDEN_VALUE: Final = "(set, not shown)"


class RefusedConfiguration(NamedTuple):
    """Hold the number of a refused revision and all of its faults."""

    revision: int
    faults: tuple[Fault, ...]


class EffectiveValue(NamedTuple):
    """Hold the effective value of one setting and its source.

    ``file`` is ``DEFAULT_SOURCE`` and ``line`` 0 for a default.
    """

    section: str
    key: str
    value: str
    file: str
    line: int


class LoadCache:
    """Cache the files and sections of the last load.

    A file whose text has not changed is not parsed again, nor are its sections.
    """

    def __init__(self) -> None:
        self.files: dict[str, tuple[str, IniFile]] = {}
        self.parsed = ParsedCache()


def load_configuration(
    revision: int, files: Mapping[str, str], cache: LoadCache | None = None
) -> Configuration | RefusedConfiguration:
    """Return the configuration in ``files``, or all of its faults.

    The result depends only on the content of the files.
    """
    return run_steps(load_in_steps(revision, files, cache or LoadCache()))


def load_in_steps(
    revision: int, files: Mapping[str, str], cache: LoadCache
) -> Steps[Configuration | RefusedConfiguration]:
    """Load like ``load_configuration``, but yield between parts of the work."""
    size = sum(map(len, files.values()))
    if size > MAX_FOLDER_CHARACTERS:
        expected = f"at most {MAX_FOLDER_CHARACTERS} characters in all files"
        fault = Fault("(all files)", 0, "", "", expected, str(size))
        return RefusedConfiguration(revision, (fault,))
    previous, cache.files = cache.files, {}
    for name in sorted(files):
        cached = previous.get(name)
        if cached is None or cached[0] != files[name]:
            cached = files[name], read_file(name, files[name])
            yield
        cache.files[name] = cached
    folder = merge_files(file for _, file in cache.files.values())
    yield
    parsed = yield from parse_in_steps(folder.sections, PUBLISHED, cache.parsed)
    yield
    faults = [*folder.faults, *parsed.faults, *check_references(parsed.by_kind)]
    if faults:
        return RefusedConfiguration(revision, tuple(sorted(faults)))
    yield
    return _build(revision, parsed.by_kind)


def explain(files: Mapping[str, str]) -> tuple[EffectiveValue, ...]:
    """Return the value of each setting and where it comes from.

    Invalid values are shown as written. Secrets are hidden.
    """
    folder = merge_folder(files)
    return tuple(
        value
        for schema in PUBLISHED
        for section in _sections_of(folder, schema)
        for value in _explain_section(section, schema)
    )


def _sections_of(folder: IniFolder, schema: SectionSchema) -> list[Section]:
    """Return the sections of one kind; an unnamed kind always has one."""
    if not schema.named:
        return [folder.sections.get(schema.kind, Section(schema.kind, "", 0, {}))]
    prefix = schema.kind + " "
    return [
        section
        for name, section in sorted(folder.sections.items())
        if name.startswith(prefix)
    ]


def _explain_section(
    section: Section, schema: SectionSchema
) -> Iterator[EffectiveValue]:
    """Yield the effective values of one section."""
    for key in schema.keys:
        value = section.values.get(key.name)
        if value is not None:
            shown = _show(key, value.text)
            yield EffectiveValue(section.name, key.name, shown, value.file, value.line)
        elif key.default is not None:
            yield EffectiveValue(section.name, key.name, key.default, DEFAULT_SOURCE, 0)


def _show(key: Key, text: str) -> str:
    """Return the text of a value, or a placeholder if it is secret."""
    return HIDDEN_VALUE if key.secret and text else text


def _build(revision: int, by_kind: SectionsByKind) -> Configuration:
    """Build the configuration from validated sections."""
    pipelines = {
        name: _build_pipeline(section, by_kind["stage"])
        for name, section in by_kind["pipeline"].items()
    }
    return Configuration(
        revision=revision,
        pools={
            name: Pool(name=name, **section.values)
            for name, section in by_kind["pool"].items()
        },
        servers={
            name: Server(name=name, **section.values)
            for name, section in by_kind["server"].items()
        },
        pipelines=pipelines,
        workspaces={
            name: _build_workspace(section, tuple(pipelines))
            for name, section in by_kind["workspace"].items()
        },
        limits=Limits(**by_kind["limits"][""].values),
        tickets=TicketSettings(**by_kind["tickets"][""].values),
        peers=PeerSettings(**by_kind["peers"][""].values),
        admin=AdminSettings(**by_kind["admin"][""].values),
    )


def _build_pipeline(section: ParsedSection, stages: Sections) -> Pipeline:
    """Build a pipeline, its stages in an order that respects ``after``."""
    after = stage_predecessors(section, stages)
    ordered = order_stages(section.values["stages"], after)
    assert not isinstance(ordered, Cycle), "check_references rejects cycles"
    return Pipeline(
        name=section.name,
        stages=tuple(
            _build_stage(
                name, after[name], stages[stage_section_name(section.name, name)]
            )
            for name in ordered
        ),
        deadline_ms=section.values["deadline_ms"],
    )


def _build_stage(name: str, after: tuple[str, ...], section: ParsedSection) -> Stage:
    """Build one stage."""
    return Stage(name=name, **{**section.values, "after": after})


def _build_workspace(section: ParsedSection, pipelines: tuple[str, ...]) -> Workspace:
    """Build a workspace, ``*`` expanded to the names of all pipelines."""
    allowed = section.values["pipelines"]
    if allowed == (ALL_PIPELINES,):
        allowed = pipelines
    return Workspace(name=section.name, **{**section.values, "pipelines": allowed})
